// Package bootstrap lets the seeds of a new fleet agree on its first membership.
//
// Problem: all seeds start at the same time with the same settings, and each may be
// lost, cut off or restarted at any moment. At most one fleet may ever be founded, and
// one must be as soon as a majority of the seeds can talk.
//
// The seeds run single-decree Paxos. A seed that makes an attempt (Proposer) first
// obtains promises for its ballot from a majority, then asks them to accept a
// membership: the newest one that any of them has accepted, or that of the seeds that
// promised. A membership that a majority has accepted is decided, and each of its
// members starts from it. A seed (Acceptor) answers only after its record is on disk.
//
// Invariant: two decided memberships of the same seeds are equal. A seed takes part only
// for exactly the seeds that its first start named, so that one VM with other settings
// cannot found a fleet of its own.
//
// Alternative: the seed with the lowest address founds the fleet alone. It cannot be
// replaced if it is lost before the others hear of it.
package bootstrap

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Errors of a seed that does not take part.
var (
	ErrNotASeed   = errors.New("this VM is not one of the seeds of a first start")
	ErrOtherSeeds = errors.New("the seeds of the request are not the seeds of this VM")
)

// Seeds returns the sorted addresses of seeds without duplicates.
func Seeds(members []*statev1.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.GetAddress())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// NewRecord returns the record of a seed that has promised nothing.
func NewRecord(seeds []string) *statev1.BootstrapRecord {
	return &statev1.BootstrapRecord{Seeds: seeds}
}

// compareBallots orders ballots; an absent one is the lowest.
func compareBallots(a, b *statev1.BootstrapBallot) int {
	return cmp.Or(cmp.Compare(a.GetRound(), b.GetRound()), cmp.Compare(a.GetMember(), b.GetMember()))
}

// majority returns the number of seeds that decide.
func majority(seeds []string) int { return len(seeds)/2 + 1 }

// Accept returns the record of a seed after a request, and whether the request is
// granted. The record must be on disk before the seed answers. It is the same if nothing
// changed. The record is nil at a VM that is not a seed.
func Accept(record *statev1.BootstrapRecord, r *peerv1.BootstrapRequest) (next *statev1.BootstrapRecord, granted bool, err error) {
	switch {
	case record == nil:
		return nil, false, ErrNotASeed
	case !slices.Equal(record.GetSeeds(), r.GetSeeds()):
		return record, false, fmt.Errorf("seeds %v, requested %v: %w", record.GetSeeds(), r.GetSeeds(), ErrOtherSeeds)
	case record.GetDecided():
		return record, false, nil
	case r.GetDecided():
		return decide(record, r), true, nil
	case compareBallots(r.GetBallot(), record.GetPromised()) < 0:
		return record, false, nil
	}
	next = proto.CloneOf(record)
	next.Promised = r.GetBallot()
	if r.GetMembership() != nil {
		next.Accepted, next.Membership = r.GetBallot(), r.GetMembership()
	}
	if proto.Equal(next, record) {
		return record, true, nil
	}
	return next, true, nil
}

func decide(record *statev1.BootstrapRecord, r *peerv1.BootstrapRequest) *statev1.BootstrapRecord {
	next := proto.CloneOf(record)
	next.Accepted, next.Membership, next.Decided = r.GetBallot(), r.GetMembership(), true
	return next
}

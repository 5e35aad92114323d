package bootstrap

import (
	"cmp"
	"maps"
	"slices"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Proposer is one attempt of a seed to reach a decision. It does no I/O and reads no
// clock. Each request that it returns is for all seeds, its own VM included.
type Proposer struct {
	seeds    []string
	ballot   *statev1.BootstrapBallot
	promises map[string]*peerv1.BootstrapResponse // by address
	accepted map[string]bool                      // by address
	// membership is what the seeds are asked to accept; nil while promises are awaited.
	membership *statev1.Membership
	decided    bool
}

// NewProposer returns an attempt of a member with the next ballot after those in its own
// record, and its first request. Its own VM must promise the ballot before the request is
// sent to others: after a restart, the same ballot must not be used again.
func NewProposer(record *statev1.BootstrapRecord, member uint64) (*Proposer, *peerv1.BootstrapRequest) {
	p := &Proposer{
		seeds:    record.GetSeeds(),
		ballot:   &statev1.BootstrapBallot{Round: record.GetPromised().GetRound() + 1, Member: member},
		promises: map[string]*peerv1.BootstrapResponse{}, accepted: map[string]bool{},
	}
	return p, p.request()
}

func (p *Proposer) request() *peerv1.BootstrapRequest {
	return &peerv1.BootstrapRequest{Seeds: p.seeds, Ballot: p.ballot, Membership: p.membership, Decided: p.decided}
}

// Receive records the response of a seed to a request of this attempt. It returns the
// next request, or nil if there is none yet.
func (p *Proposer) Receive(address string, to *peerv1.BootstrapRequest, r *peerv1.BootstrapResponse) *peerv1.BootstrapRequest {
	switch {
	case p.decided:
		return nil
	case r.GetRecord().GetDecided():
		return p.decide(r.GetRecord().GetMembership())
	case !r.GetGranted():
		return nil
	case to.GetMembership() != nil:
		return p.receiveAccepted(address)
	case p.membership != nil:
		return nil // a promise that came after the membership was chosen
	}
	p.promises[address] = r
	if len(p.promises) == len(p.seeds) || p.newestAccepted() != nil {
		return p.Proceed()
	}
	return nil
}

func (p *Proposer) receiveAccepted(address string) *peerv1.BootstrapRequest {
	p.accepted[address] = true
	if len(p.accepted) < majority(p.seeds) {
		return nil
	}
	return p.decide(p.membership)
}

func (p *Proposer) decide(m *statev1.Membership) *peerv1.BootstrapRequest {
	p.membership, p.decided = m, true
	return p.request()
}

// Proceed returns the request to accept a membership, without waiting for the promises of
// further seeds. It returns nil before a majority has promised, and if the request has
// been returned before.
func (p *Proposer) Proceed() *peerv1.BootstrapRequest {
	if p.membership != nil || len(p.promises) < majority(p.seeds) {
		return nil
	}
	p.membership = p.newestAccepted()
	if p.membership == nil {
		p.membership = p.promisedMembers()
	}
	return p.request()
}

// newestAccepted returns the membership with the newest ballot that a seed has accepted
// before its promise; nil if there is none.
func (p *Proposer) newestAccepted() *statev1.Membership {
	var newest *statev1.BootstrapRecord
	for _, r := range p.promises {
		if compareBallots(r.GetRecord().GetAccepted(), newest.GetAccepted()) > 0 {
			newest = r.GetRecord()
		}
	}
	return newest.GetMembership()
}

// promisedMembers returns the seeds that have promised the ballot.
func (p *Proposer) promisedMembers() *statev1.Membership {
	m := &statev1.Membership{}
	for _, address := range slices.Sorted(maps.Keys(p.promises)) {
		m.Members = append(m.Members, p.promises[address].GetMember())
	}
	slices.SortFunc(m.Members, func(a, b *statev1.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return m
}

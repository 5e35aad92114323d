package bootstrap

import (
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// seed is one seed with its record on disk. proposer is nil without an attempt.
type seed struct {
	member   *statev1.Member
	record   *statev1.BootstrapRecord
	proposer *Proposer
	down     bool
}

// message is a request to a seed, or its response.
type message struct {
	from, to int
	request  *peerv1.BootstrapRequest
	response *peerv1.BootstrapResponse // nil in a request
}

// faults are deliberate errors that the property must detect.
type faults struct {
	// forgetful seeds lose their record in a restart.
	forgetful bool
	// unboundPromises are not kept: a seed grants each request.
	unboundPromises bool
}

// agreement is a set of seeds with messages that are lost, repeated and late.
type agreement struct {
	t        *rapid.T
	faults   faults
	seeds    []*seed
	messages []message
	decided  *statev1.Membership
}

// newAgreement returns seeds whose settings name the same addresses in any order. With
// oldList, the last one names a VM that does not exist in place of the first.
func newAgreement(t *rapid.T, f faults, n int, oldList bool) *agreement {
	a := &agreement{t: t, faults: f}
	var members []*statev1.Member
	for i := range n {
		members = append(members, &statev1.Member{Id: uint64(i + 1), Address: fmt.Sprint("10.0.0.", i+1)})
	}
	for _, m := range members {
		list := rapid.Permutation(members).Draw(t, "seeds")
		a.seeds = append(a.seeds, &seed{member: m, record: NewRecord(Seeds(list))})
	}
	if oldList {
		old := append([]*statev1.Member{{Address: "10.0.0.99"}}, members[1:]...)
		a.seeds[n-1].record = NewRecord(Seeds(old))
	}
	return a
}

func (a *agreement) index(address string) int {
	for i, s := range a.seeds {
		if s.member.GetAddress() == address {
			return i
		}
	}
	return -1
}

// handle lets a seed handle a request and records a decision.
func (a *agreement) handle(s *seed, r *peerv1.BootstrapRequest) *peerv1.BootstrapResponse {
	record := s.record
	if a.faults.unboundPromises {
		record = proto.CloneOf(record)
		record.Promised, record.Accepted, record.Membership = nil, nil, nil
	}
	next, granted, err := Accept(record, r)
	if err != nil {
		if !errors.Is(err, ErrOtherSeeds) {
			a.t.Fatal(err)
		}
		return nil
	}
	s.record = next
	if s.record.GetDecided() {
		a.checkDecided(s.record.GetMembership())
	}
	return &peerv1.BootstrapResponse{Member: s.member, Granted: granted, Record: s.record}
}

func (a *agreement) checkDecided(m *statev1.Membership) {
	if a.decided == nil {
		a.decided = m
	}
	if !proto.Equal(a.decided, m) {
		a.t.Fatalf("two first memberships are decided: %v and %v", a.decided, m)
	}
}

func (a *agreement) begin(i int) {
	s := a.seeds[i]
	p, r := NewProposer(s.record, s.member.GetId())
	if resp := a.handle(s, r); !resp.GetGranted() {
		return
	}
	s.proposer = p
	a.send(i, r)
}

func (a *agreement) send(from int, r *peerv1.BootstrapRequest) {
	if r == nil {
		return
	}
	for _, address := range r.GetSeeds() {
		if to := a.index(address); to >= 0 {
			a.messages = append(a.messages, message{from: from, to: to, request: r})
		}
	}
}

// deliver removes a message, unless it is repeated later, and lets its receiver handle it.
func (a *agreement) deliver(k int, repeat bool) {
	m := a.messages[k]
	if !repeat {
		a.messages = append(a.messages[:k], a.messages[k+1:]...)
	}
	s := a.seeds[m.to]
	switch {
	case s.down:
	case m.response == nil:
		if resp := a.handle(s, m.request); resp != nil {
			a.messages = append(a.messages, message{from: m.to, to: m.from, request: m.request, response: resp})
		}
	case s.proposer != nil && proto.Equal(s.proposer.ballot, m.request.GetBallot()):
		a.send(m.to, s.proposer.Receive(a.seeds[m.from].member.GetAddress(), m.request, m.response))
	}
}

// step makes one random move: an attempt, a delivery, a loss, or the end or start of a
// seed's process. A message that is not delivered for long is one of a frozen or cut seed.
func (a *agreement) step() {
	i := proptest.IntN(a.t, len(a.seeds))
	s := a.seeds[i]
	switch action := proptest.IntN(a.t, 16); {
	case action < 10 && len(a.messages) > 0:
		a.deliver(proptest.IntN(a.t, len(a.messages)), action == 0)
	case action == 10 && len(a.messages) > 0:
		k := proptest.IntN(a.t, len(a.messages))
		a.messages = append(a.messages[:k], a.messages[k+1:]...)
	case action < 13 && s.proposer != nil:
		a.send(i, s.proposer.Proceed())
	case action < 15 && !s.down:
		a.begin(i)
	case action == 15:
		a.restart(s)
	}
}

// restart ends the process of a seed, or starts it with its disk.
func (a *agreement) restart(s *seed) {
	s.down, s.proposer = !s.down, nil
	if a.faults.forgetful {
		s.record = NewRecord(s.record.GetSeeds())
	}
}

// finish lets a majority of the seeds talk without losses, while the others stay down.
func (a *agreement) finish(up []int) {
	a.messages = nil
	for _, s := range a.seeds {
		s.down = true
	}
	for _, i := range up {
		a.seeds[i].down = false
	}
	for _, i := range up {
		a.begin(i)
		for range 2 {
			for len(a.messages) > 0 {
				a.deliver(0, false)
			}
			if p := a.seeds[i].proposer; p != nil {
				a.send(i, p.Proceed())
			}
		}
		for len(a.messages) > 0 {
			a.deliver(0, false)
		}
	}
}

func agreementProperty(f faults, oldList bool) func(*rapid.T) {
	return func(t *rapid.T) {
		n := []int{1, 2, 3, 3, 3, 5}[proptest.IntN(t, 6)]
		if oldList {
			n = 3
		}
		a := newAgreement(t, f, n, oldList)
		for range proptest.IntN(t, 120) {
			a.step()
		}
		var up []int
		for i := range n {
			up = append(up, i)
		}
		for len(up) > n/2+1 && !oldList && proptest.IntN(t, 2) == 0 {
			k := proptest.IntN(t, len(up))
			up = append(up[:k], up[k+1:]...)
		}
		a.finish(up)
		if a.decided == nil {
			t.Fatalf("no first membership is decided although the seeds %v of %d talk", up, n)
		}
		for _, i := range up {
			if !a.seeds[i].record.GetDecided() && !(oldList && i == n-1) {
				t.Fatalf("seed %d has not heard of the decision", i)
			}
		}
	}
}

// Guards against two fleets of the same seeds, whatever the order of their lists and
// whichever of them are cut off, frozen or restarted, and against seeds that found none
// although a majority of them can talk.
func TestSeedsDecideOneMembership(t *testing.T) {
	proptest.Check(t, 2000, 1, agreementProperty(faults{}, false))
}

// Guards against a second fleet of a VM whose settings name other seeds.
func TestSeedWithAnOldListDecidesNothing(t *testing.T) {
	proptest.Check(t, 1000, 1, agreementProperty(faults{}, true))
}

// Checks that the property fails if seeds lose their promises in a restart.
func TestPropertyDetectsForgetfulSeeds(t *testing.T) {
	proptest.MustFail(t, 2000, 1, agreementProperty(faults{forgetful: true}, false))
}

// Checks that the property fails if promises bind nobody.
func TestPropertyDetectsUnboundPromises(t *testing.T) {
	proptest.MustFail(t, 2000, 1, agreementProperty(faults{unboundPromises: true}, false))
}

// Guards against a seed that answers for seeds which its own settings do not name.
func TestSeedRefusesOtherSeeds(t *testing.T) {
	record := NewRecord([]string{"a", "b", "c"})
	r := &peerv1.BootstrapRequest{Seeds: []string{"a", "b", "d"}, Ballot: &statev1.BootstrapBallot{Round: 1, Member: 1}}
	if next, granted, err := Accept(record, r); next != record || granted || !errors.Is(err, ErrOtherSeeds) {
		t.Errorf("got %v, %v, %v", next, granted, err)
	}
	if _, _, err := Accept(nil, r); !errors.Is(err, ErrNotASeed) {
		t.Errorf("without a record: got %v", err)
	}
}

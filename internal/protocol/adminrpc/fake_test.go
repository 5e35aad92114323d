package adminrpc_test

import (
	"context"
	"errors"
	"sync"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/protocol/adminrpc"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// machine is the real state machine without a replicated log. All fakeFleets of a
// test share it.
type machine struct {
	*fleet.Machine
	mu      sync.Mutex
	index   uint64
	entries []adminrpc.Entry
	members *peerv1.MembersResponse
}

func newMachine() *machine {
	return &machine{
		Machine: fleet.New(),
		members: &peerv1.MembersResponse{Leader: 1, Membership: &statev1.Membership{Members: []*statev1.Member{
			{Id: 1, Vm: "vm-1", Address: "127.0.0.1:1", DataCentre: "a"},
			{Id: 2, Vm: "vm-2", Address: "127.0.0.1:2", DataCentre: "a", Learner: true},
		}}},
	}
}

func (m *machine) apply(c *statev1.Command) *statev1.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index++
	return m.Apply(m.index, c)
}

// proposalFault is the fault injected into one proposal.
type proposalFault int

const (
	noFault           proposalFault = iota
	faultNotApplied                 // not applied, returns NoLeader
	faultResponseLost               // applied, returns an error without a result code
	faultDelayed                    // applied later, returns ChangeUnconfirmed
)

// fakeFleet implements adminrpc.Fleet for one server.
type fakeFleet struct {
	*machine
	vm string
	// nextFault returns the fault of the next proposal; nil means noFault.
	nextFault func() proposalFault
	delayed   []*statev1.Command
	drained   bool
}

var _ adminrpc.Fleet = (*fakeFleet)(nil)

func (f *fakeFleet) Status(context.Context) (*adminv1.StatusResponse, error) {
	return &adminv1.StatusResponse{Vm: f.vm, LeaderVm: "vm-1", ConfigVersion: f.Config().GetVersion()}, nil
}

func (f *fakeFleet) Propose(_ context.Context, c *statev1.Command) (*statev1.Result, error) {
	fault := noFault
	if f.nextFault != nil {
		fault = f.nextFault()
	}
	switch fault {
	case faultNotApplied:
		return nil, resultcode.New(resultcode.NoLeader, "no leader")
	case faultResponseLost:
		f.apply(c)
		return nil, errors.New("connection reset")
	case faultDelayed:
		f.delayed = append(f.delayed, c)
		return nil, resultcode.New(resultcode.ChangeUnconfirmed, "timed out")
	default:
		return f.apply(c), nil
	}
}

// flush applies the delayed proposals in order.
func (f *fakeFleet) flush() {
	for _, c := range f.delayed {
		f.apply(c)
	}
	f.delayed = nil
}

func (f *fakeFleet) Read(_ context.Context, _ bool, read func(v adminrpc.View)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.Machine)
	return nil
}

func (f *fakeFleet) Entries(context.Context) ([]adminrpc.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries { // each call brings the current version into force at one more VM
		if f.entries[i].Live && f.entries[i].ConfigVersion < f.Config().GetVersion() {
			f.entries[i].ConfigVersion = f.Config().GetVersion()
			break
		}
	}
	return append([]adminrpc.Entry(nil), f.entries...), nil
}

func (f *fakeFleet) Members(context.Context) (*peerv1.MembersResponse, error) { return f.members, nil }

func (f *fakeFleet) Join(_ context.Context, m *statev1.Member, replaces uint64) (*statev1.Membership, error) {
	if replaces == 1 {
		return nil, resultcode.New(resultcode.MembershipRefused, "member 1 is the leader")
	}
	f.members.Membership.Members = append(f.members.Membership.Members, m)
	return f.members.GetMembership(), nil
}

func (f *fakeFleet) Leave(_ context.Context, id uint64) (*statev1.Membership, error) {
	var remaining []*statev1.Member
	for _, m := range f.members.GetMembership().GetMembers() {
		if m.GetId() != id {
			remaining = append(remaining, m)
		}
	}
	f.members.Membership.Members = remaining
	return f.members.GetMembership(), nil
}

func (f *fakeFleet) Endpoints(context.Context) ([]adminrpc.EndpointState, error) {
	return []adminrpc.EndpointState{{Name: "e1", State: "live", Ready: []string{"m1"}, Loading: []string{"m2"}}}, nil
}

func (f *fakeFleet) Drain(_ context.Context, undo bool) (int, error) {
	f.drained = !undo
	return 3, nil
}

package adminrpc_test

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/protocol/adminrpc"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// machine is a replicated state machine for customers and keys only. All fakes
// of one test share it.
type machine struct {
	mu       sync.Mutex
	versions []*statev1.Config // index is the version
	history  []*statev1.VersionInfo
	results  map[string]*statev1.Result
	// applied counts the commands of each request identifier that changed the
	// state.
	applied map[string]int
	entries []adminrpc.Entry
	members *peerv1.MembersResponse
}

func newMachine() *machine {
	return &machine{
		versions: []*statev1.Config{{}},
		results:  make(map[string]*statev1.Result),
		applied:  make(map[string]int),
		members: &peerv1.MembersResponse{Leader: 1, Membership: &statev1.Membership{Members: []*statev1.Member{
			{Id: 1, Vm: "vm-1", Address: "127.0.0.1:1", DataCentre: "a"},
			{Id: 2, Vm: "vm-2", Address: "127.0.0.1:2", DataCentre: "a", Learner: true},
		}}},
	}
}

func (m *machine) FleetTime() uint64       { return 1 }
func (m *machine) Config() *statev1.Config { return m.versions[len(m.versions)-1] }

func (m *machine) ConfigAt(version uint64) (*statev1.Config, bool) {
	if version >= uint64(len(m.versions)) {
		return nil, false
	}
	return m.versions[version], true
}

func (m *machine) History(limit int) []*statev1.VersionInfo {
	return m.history[max(0, len(m.history)-limit):]
}

func (m *machine) apply(c *statev1.Command) *statev1.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if first, ok := m.results[c.GetRequestId()]; ok {
		return first
	}
	result := m.decide(c)
	m.results[c.GetRequestId()] = result
	return result
}

func (m *machine) decide(c *statev1.Command) *statev1.Result {
	current := m.Config()
	ch, base := c.GetConfigChange(), c.GetConfigChange().GetBaseVersion()
	if c.GetRollback() != nil {
		base = c.GetRollback().GetBaseVersion()
	}
	if !ch.GetAnyBase() && base != current.GetVersion() {
		return &statev1.Result{
			Code: uint32(resultcode.ConfigConflict), Message: "conflict", ConfigVersion: current.GetVersion(),
			Conflict: m.history[len(m.history)-1],
		}
	}
	next := m.changed(current, c)
	for _, customer := range next.GetCustomers() {
		if customer.GetRateTokensPerSecond() == 0 {
			return &statev1.Result{
				Code: uint32(resultcode.ConfigInvalid), Message: "invalid", ConfigVersion: current.GetVersion(),
				Faults: []string{"customers." + customer.GetName() + ".rate_tokens_per_second = 0: allowed: 1 or more"},
			}
		}
	}
	next.Version = current.GetVersion() + 1
	m.versions = append(m.versions, next)
	m.history = append(m.history, &statev1.VersionInfo{
		Version: next.GetVersion(), Author: c.GetAuthor(), Comment: ch.GetComment(),
		WallTimeMs: c.GetWallTimeMs(), RequestId: c.GetRequestId(),
	})
	m.applied[c.GetRequestId()]++
	return &statev1.Result{ConfigVersion: next.GetVersion()}
}

func (m *machine) changed(current *statev1.Config, c *statev1.Command) *statev1.Config {
	if r := c.GetRollback(); r != nil {
		old := proto.Clone(m.versions[r.GetToVersion()]).(*statev1.Config)
		old.Keys = current.GetKeys()
		return old
	}
	ch := c.GetConfigChange()
	next := proto.Clone(current).(*statev1.Config)
	if ch.GetReplace() != nil {
		next = proto.Clone(ch.GetReplace()).(*statev1.Config)
		next.Keys = current.GetKeys()
	}
	removed := make(map[string]bool)
	for _, r := range ch.GetRemoved() {
		removed[fmt.Sprint(r.GetKind(), r.GetName())] = true
	}
	for _, customer := range ch.GetUpserts().GetCustomers() {
		removed[fmt.Sprint(statev1.ResourceKind_RESOURCE_KIND_CUSTOMER, customer.GetName())] = true
	}
	customers, keys := next.Customers, next.Keys
	next.Customers, next.Keys = nil, nil
	for _, customer := range customers {
		if !removed[fmt.Sprint(statev1.ResourceKind_RESOURCE_KIND_CUSTOMER, customer.GetName())] {
			next.Customers = append(next.Customers, customer)
		}
	}
	for _, key := range keys {
		if !removed[fmt.Sprint(statev1.ResourceKind_RESOURCE_KIND_KEY, key.GetId())] {
			next.Keys = append(next.Keys, key)
		}
	}
	next.Customers = append(next.Customers, ch.GetUpserts().GetCustomers()...)
	next.Keys = append(next.Keys, ch.GetUpserts().GetKeys()...)
	return next
}

// loss is what happens to one proposal.
type loss int

const (
	lossNone    loss = iota
	lossBefore       // not applied, answered with NoLeader
	lossAfter        // applied, answered with an error without a code
	lossDelayed      // answered with ChangeUnconfirmed, applied later
)

// fakeFleet is the Fleet of one server.
type fakeFleet struct {
	*machine
	vm string
	// next returns the fate of the next proposal; nil means lossNone.
	next    func() loss
	delayed []*statev1.Command
	drained bool
}

var _ adminrpc.Fleet = (*fakeFleet)(nil)

func (f *fakeFleet) Status(context.Context) (*adminv1.StatusResponse, error) {
	return &adminv1.StatusResponse{Vm: f.vm, LeaderVm: "vm-1", ConfigVersion: f.Config().GetVersion()}, nil
}

func (f *fakeFleet) Propose(_ context.Context, c *statev1.Command) (*statev1.Result, error) {
	fate := lossNone
	if f.next != nil {
		fate = f.next()
	}
	switch fate {
	case lossBefore:
		return nil, resultcode.New(resultcode.NoLeader, "no leader")
	case lossAfter:
		f.apply(c)
		return nil, errors.New("connection reset")
	case lossDelayed:
		f.delayed = append(f.delayed, c)
		return nil, resultcode.New(resultcode.ChangeUnconfirmed, "timed out")
	default:
		return f.apply(c), nil
	}
}

// flush applies the delayed proposals.
func (f *fakeFleet) flush() {
	for _, c := range f.delayed {
		f.apply(c)
	}
	f.delayed = nil
}

func (f *fakeFleet) Read(_ context.Context, _ bool, read func(v adminrpc.View)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.machine)
	return nil
}

func (f *fakeFleet) Entries(context.Context) ([]adminrpc.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries { // each count shows one more VM with the change in force
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
		return nil, resultcode.New(resultcode.MembershipRefused, "member 1 leads")
	}
	f.members.Membership.Members = append(f.members.Membership.Members, m)
	return f.members.GetMembership(), nil
}

func (f *fakeFleet) Leave(_ context.Context, id uint64) (*statev1.Membership, error) {
	var left []*statev1.Member
	for _, m := range f.members.GetMembership().GetMembers() {
		if m.GetId() != id {
			left = append(left, m)
		}
	}
	f.members.Membership.Members = left
	return f.members.GetMembership(), nil
}

func (f *fakeFleet) Endpoints(context.Context) ([]adminrpc.EndpointState, error) {
	return []adminrpc.EndpointState{{Name: "e1", State: "live", Ready: []string{"m1"}, Loading: []string{"m2"}}}, nil
}

func (f *fakeFleet) Drain(_ context.Context, undo bool) (int, error) {
	f.drained = !undo
	return 3, nil
}

package daemon

import (
	"context"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/control"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/replica"
	"github.com/radishloom/radishloom/internal/protocol/adminrpc"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// liveWithinMs is the fleet time since the last Sync within which an entry
// counts as live: its token leases are still valid then.
const liveWithinMs = 5000

// adminFleet gives the administration API what it needs. On a VM without the
// control role, control is nil: changes go to a control VM, lists come from the
// entry's copy, and confirmed reads are refused.
type adminFleet struct {
	vm        string
	version   string
	control   *control.Server
	calls     *peerrpc.Fleet
	transport *peerrpc.Transport
	addresses []string
	replica   *replica.Replica
	entry     *entry.Server
}

var _ adminrpc.Fleet = (*adminFleet)(nil)

// Status implements adminrpc.Fleet.
func (f *adminFleet) Status(ctx context.Context) (*adminv1.StatusResponse, error) {
	s := &adminv1.StatusResponse{
		Vm:              f.vm,
		Ready:           f.entry.Ready(),
		LeaseValid:      f.replica.Fresh(),
		SoftwareVersion: f.version,
	}
	if index := f.replica.Index(); index != nil {
		s.ConfigVersion = index.Version()
	}
	members, err := f.Members(ctx)
	if err != nil {
		return s, nil // a VM that reaches no control VM still describes itself
	}
	s.Term = members.GetTerm()
	s.AppliedIndex = members.GetApplied()
	s.LeaderId = members.GetLeader()
	for _, m := range members.GetMembership().GetMembers() {
		if m.GetId() == members.GetLeader() {
			s.LeaderVm = m.GetVm()
		}
		if m.GetVm() == f.vm && f.control != nil {
			s.MemberId = m.GetId()
		}
	}
	if f.control != nil {
		err = f.control.Read(ctx, false, func(m *fleet.Machine) { s.FleetTimeMs = m.FleetTime() })
	}
	return s, err
}

// Propose implements adminrpc.Fleet.
func (f *adminFleet) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	return f.calls.Propose(ctx, c)
}

// Read implements adminrpc.Fleet.
func (f *adminFleet) Read(ctx context.Context, confirm bool, read func(v adminrpc.View)) error {
	if f.control != nil {
		return f.control.Read(ctx, confirm, func(m *fleet.Machine) { read(m) })
	}
	index := f.replica.Index()
	if confirm || index == nil {
		return f.noControl()
	}
	read(entryView{config: index.Config()})
	return nil
}

func (f *adminFleet) noControl() error {
	return resultcode.New(resultcode.NoLeader, "VM %s has no control role; ask one of %v", f.vm, f.addresses)
}

// entryView is the state as an entry knows it.
type entryView struct{ config *statev1.Config }

func (v entryView) FleetTime() uint64                        { return 0 }
func (v entryView) Config() *statev1.Config                  { return v.config }
func (v entryView) ConfigAt(uint64) (*statev1.Config, bool)  { return nil, false }
func (v entryView) History(limit int) []*statev1.VersionInfo { return nil }

// Entries implements adminrpc.Fleet.
func (f *adminFleet) Entries(ctx context.Context) ([]adminrpc.Entry, error) {
	if f.control == nil {
		return nil, f.noControl()
	}
	var out []adminrpc.Entry
	err := f.control.Read(ctx, true, func(m *fleet.Machine) {
		for _, s := range m.Sessions() {
			out = append(out, adminrpc.Entry{
				VM:            s.VM,
				DataCentre:    s.DataCentre,
				Incarnation:   s.Incarnation,
				Live:          s.LastSyncMs+liveWithinMs > m.FleetTime(),
				ConfigVersion: s.ConfigVersion,
			})
		}
	})
	return out, err
}

// Members implements adminrpc.Fleet.
func (f *adminFleet) Members(ctx context.Context) (*peerv1.MembersResponse, error) {
	if f.control != nil {
		return f.control.Members(ctx)
	}
	err := f.noControl()
	for _, address := range f.addresses {
		m, merr := f.transport.Members(ctx, address)
		if merr == nil {
			return m, nil
		}
		err = merr
	}
	return nil, err
}

// Join implements adminrpc.Fleet.
func (f *adminFleet) Join(ctx context.Context, m *statev1.Member, replaces uint64) (*statev1.Membership, error) {
	if f.control == nil {
		return nil, f.noControl()
	}
	return f.control.AddMember(ctx, m, replaces)
}

// Leave implements adminrpc.Fleet.
func (f *adminFleet) Leave(ctx context.Context, memberID uint64) (*statev1.Membership, error) {
	if f.control == nil {
		return nil, f.noControl()
	}
	return f.control.RemoveMember(ctx, memberID)
}

// Endpoints implements adminrpc.Fleet. Memory and loads in progress are known
// to control VMs only.
func (f *adminFleet) Endpoints(ctx context.Context) ([]adminrpc.EndpointState, error) {
	residency := f.replica.Residency()
	var out []adminrpc.EndpointState
	for _, s := range f.entry.Endpoints() {
		out = append(out, adminrpc.EndpointState{
			Name:     s.Name,
			State:    s.State.String(),
			InFlight: uint32(s.InFlight),
			Ready:    residency[s.Name].GetReadyModels(),
		})
	}
	if f.control == nil {
		return out, nil
	}
	states := make(map[string]*adminrpc.EndpointState, len(out))
	for i := range out {
		states[out[i].Name] = &out[i]
	}
	err := f.control.Read(ctx, false, func(m *fleet.Machine) {
		for _, e := range m.Config().GetEndpoints() {
			if s := states[e.GetName()]; s != nil && e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
				s.MemoryUsedMB, _ = m.Orders().Worst(s.Name, m.PinnedModels(e))
				s.Loading = loading(m, s)
			}
		}
	})
	return out, err
}

// loading returns the models whose load an engine has not answered.
func loading(m *fleet.Machine, s *adminrpc.EndpointState) []string {
	var models []string
	for _, o := range m.Orders().Open(s.Name) {
		open := o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
		if open && o.Issue.GetKind() == statev1.OrderKind_ORDER_KIND_LOAD_MODEL {
			models = append(models, o.Issue.GetModel())
		}
	}
	return models
}

// Drain implements adminrpc.Fleet.
func (f *adminFleet) Drain(_ context.Context, undo bool) (int, error) {
	return f.entry.Drain(!undo), nil
}

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

// liveWindowMs is the longest fleet time since the last Sync for which an entry
// counts as live: its token leases are still valid for that long.
const liveWindowMs = 5000

// adminFleet implements the fleet operations of the administration API. On a VM
// without the control role, control is nil: changes are sent to a control VM, lists
// come from the entry's replica of the state, and linearizable reads are refused.
type adminFleet struct {
	vm               string
	version          string
	control          *control.Server
	controlClient    *peerrpc.ControlClient
	transport        *peerrpc.Transport
	controlAddresses []string
	replica          *replica.Replica
	entry            *entry.Server
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
	_, s.EvacuatedDataCentres = f.replica.Evacuations()
	if index := f.replica.Index(); index != nil {
		s.ConfigVersion = index.Version()
	}
	members, err := f.Members(ctx)
	if err != nil {
		return s, nil // a VM that reaches no control VM still reports its own state
	}
	s.Term = members.GetTerm()
	s.AppliedIndex = members.GetApplied()
	s.LeaderId = members.GetLeader()
	if q := members.GetQuorum(); q.GetLeading() {
		s.Voters = q.GetVoters()
		s.InactiveVoters = uint32(len(q.GetInactiveVoters()))
		s.TolerableLosses = q.GetTolerableLosses()
	}
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
	return f.controlClient.Propose(ctx, c)
}

// Read implements adminrpc.Fleet.
func (f *adminFleet) Read(ctx context.Context, confirm bool, read func(v adminrpc.View)) error {
	if f.control != nil {
		return f.control.Read(ctx, confirm, func(m *fleet.Machine) { read(m) })
	}
	index := f.replica.Index()
	if confirm || index == nil {
		return f.noControlRole()
	}
	read(replicaView{config: index.Config()})
	return nil
}

func (f *adminFleet) noControlRole() error {
	return resultcode.New(resultcode.NoLeader, "VM %s has no control role; call one of %v", f.vm, f.controlAddresses)
}

// replicaView is the state in an entry's replica, which has the configuration only.
type replicaView struct{ config *statev1.Config }

func (v replicaView) FleetTime() uint64                        { return 0 }
func (v replicaView) Config() *statev1.Config                  { return v.config }
func (v replicaView) ConfigAt(uint64) (*statev1.Config, bool)  { return nil, false }
func (v replicaView) History(limit int) []*statev1.VersionInfo { return nil }

func (v replicaView) Evacuations() (uint64, []*statev1.EvacuationRecord) { return 0, nil }

// Entries implements adminrpc.Fleet.
func (f *adminFleet) Entries(ctx context.Context) ([]adminrpc.Entry, error) {
	if f.control == nil {
		return nil, f.noControlRole()
	}
	var out []adminrpc.Entry
	err := f.control.Read(ctx, true, func(m *fleet.Machine) {
		for _, s := range m.Sessions() {
			out = append(out, adminrpc.Entry{
				VM:            s.VM,
				DataCentre:    s.DataCentre,
				Incarnation:   s.Incarnation,
				Live:          s.LastSyncMs+liveWindowMs > m.FleetTime(),
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
	err := f.noControlRole()
	for _, address := range f.controlAddresses {
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
		return nil, f.noControlRole()
	}
	return f.control.AddMember(ctx, m, replaces)
}

// Leave implements adminrpc.Fleet.
func (f *adminFleet) Leave(ctx context.Context, memberID uint64) (*statev1.Membership, error) {
	if f.control == nil {
		return nil, f.noControlRole()
	}
	return f.control.RemoveMember(ctx, memberID)
}

// Endpoints implements adminrpc.Fleet. Only control VMs know the used memory and the
// model loads in progress.
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
				s.MemoryUsedMB, _ = m.Orders().WorstCase(s.Name, m.PinnedModels(e))
				s.Loading = loadingModels(m, s)
			}
		}
	})
	return out, err
}

// loadingModels returns the models with a load order whose outcome is not known yet.
func loadingModels(m *fleet.Machine, s *adminrpc.EndpointState) []string {
	var models []string
	for _, o := range m.Orders().OpenOrders(s.Name) {
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

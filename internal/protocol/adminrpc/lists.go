package adminrpc

import (
	"context"
	"sort"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Status implements adminv1.Admin. It does not need a quorum.
func (s *Server) Status(ctx context.Context, _ *adminv1.StatusRequest) (*adminv1.StatusResponse, error) {
	status, err := s.o.Fleet.Status(ctx)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	return status, nil
}

// ListVMs implements adminv1.Admin. It returns the entries with a session and the
// control VMs, merged by name.
func (s *Server) ListVMs(ctx context.Context, _ *adminv1.ListVMsRequest) (*adminv1.ListVMsResponse, error) {
	entries, err := s.o.Fleet.Entries(ctx)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	members, err := s.o.Fleet.Members(ctx)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	return &adminv1.ListVMsResponse{Vms: mergeVMs(entries, members)}, nil
}

func mergeVMs(entries []Entry, members *peerv1.MembersResponse) []*adminv1.VM {
	byName := make(map[string]*adminv1.VM)
	var vms []*adminv1.VM
	for _, e := range entries {
		vm := &adminv1.VM{
			Name: e.VM, DataCentre: e.DataCentre, Incarnation: e.Incarnation,
			Live: e.Live, ConfigVersion: e.ConfigVersion,
		}
		byName[e.VM] = vm
		vms = append(vms, vm)
	}
	for _, m := range members.GetMembership().GetMembers() {
		vm := byName[m.GetVm()]
		if vm == nil || vm.MemberId != 0 { // a VM that replaces itself has two members for a while
			vm = &adminv1.VM{Name: m.GetVm(), DataCentre: m.GetDataCentre()}
			byName[m.GetVm()] = vm
			vms = append(vms, vm)
		}
		vm.MemberId = m.GetId()
		vm.Address = m.GetAddress()
		vm.ControlRole = controlRole(m, members.GetLeader())
	}
	sort.SliceStable(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}

func controlRole(m *statev1.Member, leader uint64) string {
	switch {
	case m.GetId() == leader:
		return "leader"
	case m.GetLearner():
		return "learner"
	default:
		return "voter"
	}
}

// ListEndpoints implements adminv1.Admin.
func (s *Server) ListEndpoints(ctx context.Context, _ *adminv1.ListEndpointsRequest) (*adminv1.ListEndpointsResponse, error) {
	config, states, err := s.configAndStates(ctx)
	if err != nil {
		return nil, err
	}
	response := &adminv1.ListEndpointsResponse{}
	for _, e := range config.GetEndpoints() {
		state := states[e.GetName()]
		response.Endpoints = append(response.Endpoints, &adminv1.EndpointStatus{
			Endpoint:     e,
			State:        state.State,
			InFlight:     state.InFlight,
			MemoryUsedMb: state.MemoryUsedMB,
			ReadyModels:  state.Ready,
		})
	}
	return response, nil
}

// ListModels implements adminv1.Admin.
func (s *Server) ListModels(ctx context.Context, _ *adminv1.ListModelsRequest) (*adminv1.ListModelsResponse, error) {
	config, states, err := s.configAndStates(ctx)
	if err != nil {
		return nil, err
	}
	readyOn, loadingOn := make(map[string][]string), make(map[string][]string)
	for _, e := range config.GetEndpoints() {
		for _, model := range states[e.GetName()].Ready {
			readyOn[model] = append(readyOn[model], e.GetName())
		}
		for _, model := range states[e.GetName()].Loading {
			loadingOn[model] = append(loadingOn[model], e.GetName())
		}
	}
	response := &adminv1.ListModelsResponse{}
	for _, m := range config.GetModels() {
		response.Models = append(response.Models, &adminv1.ModelStatus{
			Model:     m,
			ReadyOn:   readyOn[m.GetName()],
			LoadingOn: loadingOn[m.GetName()],
		})
	}
	return response, nil
}

// configAndStates returns the configuration and the endpoint states by endpoint
// name. The read is not confirmed by a quorum, so that lists work without one.
func (s *Server) configAndStates(ctx context.Context) (*statev1.Config, map[string]EndpointState, error) {
	var config *statev1.Config
	if err := s.o.Fleet.Read(ctx, false, func(v View) { config = v.Config() }); err != nil {
		return nil, nil, s.callError(ctx, err)
	}
	list, err := s.o.Fleet.Endpoints(ctx)
	if err != nil {
		return nil, nil, s.callError(ctx, err)
	}
	states := make(map[string]EndpointState, len(list))
	for _, state := range list {
		states[state.Name] = state
	}
	return config, states, nil
}

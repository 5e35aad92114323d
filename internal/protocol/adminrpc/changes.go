package adminrpc

import (
	"context"
	"fmt"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// ApplyConfig implements adminv1.Admin.
func (s *Server) ApplyConfig(ctx context.Context, r *adminv1.ApplyConfigRequest) (*adminv1.ChangeResponse, error) {
	ch, err := s.newChange(ctx, "apply", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	if err := checkChange(r.GetChange()); err != nil {
		return nil, s.callError(ctx, err)
	}
	result, err := s.propose(ctx, ch, &statev1.Command{
		Op: &statev1.Command_ConfigChange{ConfigChange: r.GetChange()},
	})
	if err != nil {
		return nil, err
	}
	return s.changeResponse(ctx, result, r.GetWaitMs()), nil
}

// checkChange refuses empty changes and changes that must be made through other
// calls. The configuration itself is validated when the command is applied.
func checkChange(c *statev1.ConfigChange) error {
	if c == nil || (c.GetReplace() == nil && c.GetUpserts() == nil && len(c.GetRemoved()) == 0) {
		return resultcode.New(resultcode.BadRequest, "change must have replace, upserts or removed")
	}
	if c.GetAnyBase() {
		return resultcode.New(resultcode.BadRequest, "change.any_base must be false; set base_version instead")
	}
	if len(c.GetComment()) > maxTextBytes {
		return resultcode.New(resultcode.BadRequest, "change.comment must have at most %d bytes", maxTextBytes)
	}
	if len(c.GetReplace().GetKeys()) > 0 || len(c.GetUpserts().GetKeys()) > 0 {
		return resultcode.New(resultcode.BadRequest, "change must not contain keys; use CreateKey and WithdrawKey")
	}
	for _, name := range c.GetRemoved() {
		if name.GetKind() == statev1.ResourceKind_RESOURCE_KIND_KEY {
			return resultcode.New(resultcode.BadRequest, "change must not remove keys; use WithdrawKey")
		}
	}
	return nil
}

// RollbackConfig implements adminv1.Admin.
func (s *Server) RollbackConfig(ctx context.Context, r *adminv1.RollbackConfigRequest) (*adminv1.ChangeResponse, error) {
	ch, err := s.newChange(ctx, "rollback", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	if r.GetToVersion() == 0 {
		return nil, s.callError(ctx, resultcode.New(resultcode.BadRequest, "to_version must be 1 or more"))
	}
	result, err := s.propose(ctx, ch, &statev1.Command{
		Op: &statev1.Command_Rollback{Rollback: &statev1.Rollback{
			BaseVersion: r.GetBaseVersion(),
			ToVersion:   r.GetToVersion(),
		}},
	})
	if err != nil {
		return nil, err
	}
	return s.changeResponse(ctx, result, r.GetWaitMs()), nil
}

func (s *Server) changeResponse(ctx context.Context, result *statev1.Result, waitMs uint32) *adminv1.ChangeResponse {
	response := &adminv1.ChangeResponse{
		Code:     result.GetCode(),
		Message:  result.GetMessage(),
		Version:  result.GetConfigVersion(),
		Faults:   result.GetFaults(),
		Conflict: result.GetConflict(),
	}
	if result.GetCode() == uint32(resultcode.OK) {
		response.VmsInForce, response.VmsLive = s.waitInForce(ctx, result.GetConfigVersion(), waitMs)
	}
	return response
}

// GetConfig implements adminv1.Admin. The response contains no key hashes.
func (s *Server) GetConfig(ctx context.Context, r *adminv1.GetConfigRequest) (*adminv1.GetConfigResponse, error) {
	var config *statev1.Config
	found := true
	err := s.o.Fleet.Read(ctx, true, func(v View) {
		if r.GetVersion() == 0 {
			config = withoutHashes(v.Config())
			return
		}
		var old *statev1.Config
		if old, found = v.ConfigAt(r.GetVersion()); found {
			config = withoutHashes(old)
		}
	})
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	if !found {
		return nil, s.callError(ctx, resultcode.New(resultcode.VersionUnknown, "the history does not contain version %d", r.GetVersion()))
	}
	return &adminv1.GetConfigResponse{Config: config}, nil
}

// withoutHashes returns a copy of c without key hashes. The copy shares everything
// but the keys with c.
func withoutHashes(c *statev1.Config) *statev1.Config {
	public := &statev1.Config{
		Version:   c.GetVersion(),
		Profiles:  c.GetProfiles(),
		Routes:    c.GetRoutes(),
		Customers: c.GetCustomers(),
		Models:    c.GetModels(),
		Endpoints: c.GetEndpoints(),
		Platform:  c.GetPlatform(),
	}
	for _, k := range c.GetKeys() {
		public.Keys = append(public.Keys, &statev1.Key{Id: k.GetId(), Customer: k.GetCustomer(), Note: k.GetNote()})
	}
	return public
}

// ConfigHistory implements adminv1.Admin.
func (s *Server) ConfigHistory(ctx context.Context, r *adminv1.ConfigHistoryRequest) (*adminv1.ConfigHistoryResponse, error) {
	const defaultLimit, maxLimit = 100, 1000
	limit := min(int(r.GetLimit()), maxLimit)
	if limit == 0 {
		limit = defaultLimit
	}
	response := &adminv1.ConfigHistoryResponse{}
	err := s.o.Fleet.Read(ctx, true, func(v View) {
		response.Versions = append(response.Versions, v.History(limit)...)
	})
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	return response, nil
}

// JoinVM implements adminv1.Admin. If the member has already joined and the member
// that it replaces is removed, JoinVM returns at once, which makes retries
// harmless.
func (s *Server) JoinVM(ctx context.Context, r *adminv1.JoinVMRequest) (*adminv1.MembershipResponse, error) {
	ch, err := s.newChange(ctx, "join", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	m := r.GetMember()
	if m.GetId() == 0 || m.GetVm() == "" || m.GetAddress() == "" || m.GetDataCentre() == "" {
		return nil, s.callError(ctx, resultcode.New(resultcode.BadRequest, "member must have id, vm, address and data_centre"))
	}
	members, err := s.o.Fleet.Members(ctx)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	existing := memberByID(members.GetMembership(), m.GetId())
	if existing != nil && existing.GetAddress() != m.GetAddress() {
		return &adminv1.MembershipResponse{
			Code:       uint32(resultcode.MembershipRefused),
			Message:    fmt.Sprintf("member %d already has the address %s", m.GetId(), existing.GetAddress()),
			Membership: members.GetMembership(),
		}, nil
	}
	replaced := r.GetReplaces() == 0 || memberByID(members.GetMembership(), r.GetReplaces()) == nil
	if existing != nil && !existing.GetLearner() && replaced {
		return &adminv1.MembershipResponse{Membership: members.GetMembership()}, nil
	}
	membership, err := s.o.Fleet.Join(ctx, m, r.GetReplaces())
	return s.membershipResponse(ctx, ch, membership, err)
}

// LeaveVM implements adminv1.Admin. A retry after the removal returns
// resultcode.ResourceUnknown, since identifiers of removed members are not kept.
func (s *Server) LeaveVM(ctx context.Context, r *adminv1.LeaveVMRequest) (*adminv1.MembershipResponse, error) {
	ch, err := s.newChange(ctx, "leave", r.GetRequestId())
	if err != nil {
		return nil, err
	}
	members, err := s.o.Fleet.Members(ctx)
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	if memberByID(members.GetMembership(), r.GetMemberId()) == nil {
		return &adminv1.MembershipResponse{
			Code:       uint32(resultcode.ResourceUnknown),
			Message:    fmt.Sprintf("no member has the identifier %d", r.GetMemberId()),
			Membership: members.GetMembership(),
		}, nil
	}
	membership, err := s.o.Fleet.Leave(ctx, r.GetMemberId())
	return s.membershipResponse(ctx, ch, membership, err)
}

func memberByID(m *statev1.Membership, id uint64) *statev1.Member {
	for _, member := range m.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// membershipResponse returns a response with the result code for a change that was
// decided, and an error for any other.
func (s *Server) membershipResponse(ctx context.Context, ch change, m *statev1.Membership, err error) (*adminv1.MembershipResponse, error) {
	code := resultcode.Of(err)
	switch code {
	case resultcode.OK:
		s.o.Log.Info("membership changed", "operator", ch.operator, "call", ch.call, "request_id", ch.id)
		return &adminv1.MembershipResponse{Membership: m}, nil
	case resultcode.MembershipBusy, resultcode.MembershipRefused:
		return &adminv1.MembershipResponse{Code: uint32(code), Message: err.Error(), Membership: m}, nil
	default:
		return nil, s.unconfirmedError(ctx, ch, err)
	}
}

// Drain implements adminv1.Admin.
func (s *Server) Drain(ctx context.Context, r *adminv1.DrainRequest) (*adminv1.DrainResponse, error) {
	if r.GetVm() != s.o.VM {
		return nil, s.callError(ctx, resultcode.New(resultcode.ResourceUnknown,
			"this server is VM %s; send the call to the administration address of VM %s", s.o.VM, r.GetVm()))
	}
	open, err := s.o.Fleet.Drain(ctx, r.GetUndo())
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	s.o.Log.Info("drain state changed", "operator", operatorOf(ctx), "undo", r.GetUndo(), "open_requests", open)
	return &adminv1.DrainResponse{OpenRequests: uint32(open)}, nil
}

package adminrpc

import (
	"context"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// SetEvacuation implements adminv1.Admin.
func (s *Server) SetEvacuation(ctx context.Context, r *adminv1.SetEvacuationRequest) (*adminv1.SetEvacuationResponse, error) {
	call := "restore"
	if r.GetEvacuated() {
		call = "evacuate"
	}
	ch, err := s.newChange(ctx, call, r.GetRequestId())
	if err != nil {
		return nil, err
	}
	if err := fleet.CheckDataCentre(r.GetDataCentre()); err != nil {
		return nil, s.callError(ctx, err)
	}
	result, err := s.propose(ctx, ch, &statev1.Command{Op: &statev1.Command_SetEvacuation{
		SetEvacuation: &statev1.SetEvacuation{DataCentre: r.GetDataCentre(), Evacuated: r.GetEvacuated()},
	}})
	if err != nil {
		return nil, err
	}
	return &adminv1.SetEvacuationResponse{Code: result.GetCode(), Message: result.GetMessage(), Version: result.GetEvacuationsVersion()}, nil
}

// ListEvacuations implements adminv1.Admin. It returns the orders that were acknowledged
// before the call.
func (s *Server) ListEvacuations(ctx context.Context, _ *adminv1.ListEvacuationsRequest) (*adminv1.ListEvacuationsResponse, error) {
	response := &adminv1.ListEvacuationsResponse{}
	err := s.o.Fleet.Read(ctx, true, func(v View) {
		version, records := v.Evacuations()
		response.Version, response.Records = version, append(response.Records, records...)
	})
	if err != nil {
		return nil, s.callError(ctx, err)
	}
	return response, nil
}

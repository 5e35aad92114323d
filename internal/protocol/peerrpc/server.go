// Package peerrpc carries the calls between daemons over twirp: consensus
// messages between control VMs, and the calls that every daemon makes to the
// control role.
//
// Consensus tolerates lost messages, so Transport drops them instead of
// blocking. The other calls return *resultcode.Error values whose run state is
// reliable: a change whose response was lost is ChangeUnconfirmed, never
// NoLeader.
package peerrpc

import (
	"context"
	"net/http"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Control is the server side of the control role's calls.
type Control interface {
	Step(messages []*statev1.Message)
	Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error)
	Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
	Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error)
	Bootstrap(ctx context.Context, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error)
	Members(ctx context.Context) (*peerv1.MembersResponse, error)
}

// maxCallBytes bounds the body of one call. The largest body holds a snapshot
// chunk of 1 MiB and a batch of log entries.
const maxCallBytes = 32 << 20

// NewHandler returns an HTTP handler for the Raft and Fleet services of control.
func NewHandler(control Control) http.Handler {
	mux := http.NewServeMux()
	raft := peerv1.NewRaftServer(raftServer{control})
	fleet := peerv1.NewFleetServer(fleetServer{control})
	mux.Handle(raft.PathPrefix(), raft)
	mux.Handle(fleet.PathPrefix(), fleet)
	return limitBody(mux)
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxCallBytes)
		next.ServeHTTP(w, r)
	})
}

type raftServer struct{ control Control }

func (s raftServer) Step(_ context.Context, r *peerv1.StepRequest) (*peerv1.StepResponse, error) {
	s.control.Step(r.GetMessages())
	return &peerv1.StepResponse{}, nil
}

type fleetServer struct{ control Control }

func (s fleetServer) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	resp, err := s.control.Propose(ctx, r)
	return resp, toTwirp(err)
}

func (s fleetServer) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	resp, err := s.control.Sync(ctx, r)
	return resp, toTwirp(err)
}

func (s fleetServer) Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	resp, err := s.control.Join(ctx, r)
	return resp, toTwirp(err)
}

func (s fleetServer) Bootstrap(ctx context.Context, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	resp, err := s.control.Bootstrap(ctx, r)
	return resp, toTwirp(err)
}

func (s fleetServer) Members(ctx context.Context, _ *peerv1.MembersRequest) (*peerv1.MembersResponse, error) {
	resp, err := s.control.Members(ctx)
	return resp, toTwirp(err)
}

package peerrpc

import (
	"context"
	"net/http"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// directoryMargin is the time that a directory call may take in addition to its
// hold time (the duration of a long poll).
const directoryMargin = 600 * time.Millisecond

// Directory is the server side of the calls that entries make to control VMs, and
// control VMs to the leader.
type Directory interface {
	Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error)
	Follow(ctx context.Context, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error)
	Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error)
	Report(ctx context.Context, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error)
	Streams(ctx context.Context, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error)
}

// NewDirectoryHandler returns an HTTP handler for the Directory service and the
// services of NewHandler.
func NewDirectoryHandler(control Control, directory Directory) http.Handler {
	server := peerv1.NewDirectoryServer(directoryServer{directory})
	mux := http.NewServeMux()
	mux.Handle(server.PathPrefix(), limitBody(server))
	mux.Handle("/", NewHandler(control))
	return mux
}

type directoryServer struct{ directory Directory }

func (s directoryServer) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	resp, err := s.directory.Watch(ctx, r)
	return resp, toTwirp(err)
}

func (s directoryServer) Follow(ctx context.Context, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	resp, err := s.directory.Follow(ctx, r)
	return resp, toTwirp(err)
}

func (s directoryServer) Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	resp, err := s.directory.Load(ctx, r)
	return resp, toTwirp(err)
}

func (s directoryServer) Report(ctx context.Context, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	resp, err := s.directory.Report(ctx, r)
	return resp, toTwirp(err)
}

func (s directoryServer) Streams(ctx context.Context, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	resp, err := s.directory.Streams(ctx, r)
	return resp, toTwirp(err)
}

// Watch sends a long-poll request for changes to the Directory service of the
// control VM at address. The call times out after the hold time of the request plus
// directoryMargin.
func (t *Transport) Watch(ctx context.Context, address string, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	hold := time.Duration(r.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Watch(ctx, r)
	return resp, t.callError(address, err, resultcode.NoLeader)
}

// Follow sends a long-poll request for changes to the leader at address. It times out
// like Watch.
func (t *Transport) Follow(ctx context.Context, address string, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	hold := time.Duration(r.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Follow(ctx, r)
	return resp, t.callError(address, err, resultcode.NoLeader)
}

// Load calls Load of the directory at address.
func (t *Transport) Load(ctx context.Context, address string, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Load(ctx, r)
	return resp, t.callError(address, err, resultcode.NoLeader)
}

// Report calls Report of the directory at address.
func (t *Transport) Report(ctx context.Context, address string, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Report(ctx, r)
	return resp, t.callError(address, err, resultcode.NoLeader)
}

// Streams calls Streams of the directory at address.
func (t *Transport) Streams(ctx context.Context, address string, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Streams(ctx, r)
	return resp, t.callError(address, err, resultcode.NoLeader)
}

func (t *Transport) directory(address string) peerv1.Directory {
	return peerv1.NewDirectoryProtobufClient(t.baseURL(address), t.client(address))
}

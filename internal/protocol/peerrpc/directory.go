package peerrpc

import (
	"context"
	"net/http"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// directoryMargin is what a call of the directory may take beyond its hold.
const directoryMargin = 600 * time.Millisecond

// Directory is what the leading control VM offers to entries.
type Directory interface {
	Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error)
	Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error)
}

// NewDirectoryHandler serves the calls of a directory beside those of control.
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

func (s directoryServer) Load(ctx context.Context, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	resp, err := s.directory.Load(ctx, r)
	return resp, toTwirp(err)
}

// Watch calls the directory of the VM at the address.
func (t *Transport) Watch(ctx context.Context, address string, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	hold := time.Duration(r.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Watch(ctx, r)
	return resp, t.result(address, err, resultcode.NoLeader)
}

// Load calls the directory of the VM at the address.
func (t *Transport) Load(ctx context.Context, address string, r *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, directoryMargin)
	defer cancel()
	resp, err := t.directory(address).Load(ctx, r)
	return resp, t.result(address, err, resultcode.NoLeader)
}

func (t *Transport) directory(address string) peerv1.Directory {
	return peerv1.NewDirectoryProtobufClient(t.baseURL(address), t.client(address))
}

package peerrpc

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// proposeTimeout bounds one attempt at one control VM, so that an unresponsive
// VM does not use up the whole deadline of a request.
const proposeTimeout = 1500 * time.Millisecond

// Fleet is a client of the control role. Propose tries the local control role
// first, if there is one. Calls go to the same control VM until one fails and
// then fail over to the next address. It is safe for concurrent use.
type Fleet struct {
	transport *Transport
	local     Control

	mu struct {
		sync.Mutex
		addresses []string
		current   int
	}
}

// NewFleet returns a Fleet for the control VMs at addresses, in order of
// preference. local may be nil.
func NewFleet(transport *Transport, local Control, addresses []string) *Fleet {
	f := &Fleet{transport: transport, local: local}
	f.mu.addresses = append(f.mu.addresses, addresses...)
	return f
}

// UpdateAddresses appends the addresses of control VMs that joined after the
// settings were written. Known addresses keep their position, and none is
// removed, since a membership read from a partitioned VM may be stale.
func (f *Fleet) UpdateAddresses(members []*statev1.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := make(map[string]bool, len(f.mu.addresses))
	for _, a := range f.mu.addresses {
		known[a] = true
	}
	for _, m := range members {
		if a := m.GetAddress(); a != "" && !known[a] {
			f.mu.addresses = append(f.mu.addresses, a)
			known[a] = true
		}
	}
}

// Propose sends a command to the control role. It tries another control VM only
// after NoLeader, when the command was not executed. After ChangeUnconfirmed the
// caller may repeat a command that is idempotent by its request identifier or
// attempt.
func (f *Fleet) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	r := &peerv1.ProposeRequest{Command: c}
	err := error(resultcode.New(resultcode.NoLeader, "no control VM is configured"))
	if f.local != nil {
		resp, lerr := f.local.Propose(ctx, r)
		if lerr == nil {
			return resp.GetResult(), nil
		}
		if resultcode.Of(lerr) != resultcode.NoLeader {
			return nil, lerr
		}
		err = lerr
	}
	for range f.count() {
		address := f.address()
		resp, perr := f.proposeOnce(ctx, address, r)
		if perr == nil {
			return resp.GetResult(), nil
		}
		f.failOver(address)
		if resultcode.Of(perr) != resultcode.NoLeader {
			return nil, perr
		}
		err = perr
	}
	return nil, err
}

func (f *Fleet) proposeOnce(ctx context.Context, address string, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return f.transport.Propose(ctx, &statev1.Member{Address: address}, r)
}

// Sync calls the current control VM once. After a failure the next call goes to
// another VM.
func (f *Fleet) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	address := f.address()
	if address == "" {
		return nil, resultcode.New(resultcode.NoLeader, "no control VM is configured")
	}
	resp, err := f.transport.Sync(ctx, &statev1.Member{Address: address}, r)
	if err != nil {
		f.failOver(address)
		return nil, err
	}
	f.UpdateAddresses(resp.GetMembers())
	return resp, nil
}

func (f *Fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.mu.addresses)
}

func (f *Fleet) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.mu.addresses) == 0 {
		return ""
	}
	return f.mu.addresses[f.mu.current%len(f.mu.addresses)]
}

// failOver switches from the failed address to the next one, unless another call
// has already switched.
func (f *Fleet) failOver(failed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.mu.addresses)
	if n > 0 && f.mu.addresses[f.mu.current%n] == failed {
		f.mu.current = (f.mu.current + 1) % n
	}
}

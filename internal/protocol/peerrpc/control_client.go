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

// ControlClient is a client of the control role. Propose tries the local control
// role first, if there is one. Calls go to the same control VM until one fails and
// then fail over to the next address. It is safe for concurrent use.
type ControlClient struct {
	transport *Transport
	local     Control

	mu struct {
		sync.Mutex
		addresses []string
		current   int
	}
}

// NewControlClient returns a ControlClient for the control VMs at addresses, in
// order of preference. local may be nil.
func NewControlClient(transport *Transport, local Control, addresses []string) *ControlClient {
	c := &ControlClient{transport: transport, local: local}
	c.mu.addresses = append(c.mu.addresses, addresses...)
	return c
}

// UpdateAddresses appends the addresses of control VMs that joined after the
// settings were written. Known addresses keep their position, and none is
// removed, since a membership read from a partitioned VM may be stale.
func (c *ControlClient) UpdateAddresses(members []*statev1.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool, len(c.mu.addresses))
	for _, a := range c.mu.addresses {
		known[a] = true
	}
	for _, m := range members {
		if a := m.GetAddress(); a != "" && !known[a] {
			c.mu.addresses = append(c.mu.addresses, a)
			known[a] = true
		}
	}
}

// Propose sends a command to the control role. It tries another control VM only
// after NoLeader, when the command was not executed. After ChangeUnconfirmed the
// caller may repeat a command that is idempotent by its request identifier or
// attempt.
func (c *ControlClient) Propose(ctx context.Context, command *statev1.Command) (*statev1.Result, error) {
	r := &peerv1.ProposeRequest{Command: command}
	err := error(resultcode.New(resultcode.NoLeader, "no control VM is configured"))
	if c.local != nil {
		resp, lerr := c.local.Propose(ctx, r)
		if lerr == nil {
			return resp.GetResult(), nil
		}
		if resultcode.Of(lerr) != resultcode.NoLeader {
			return nil, lerr
		}
		err = lerr
	}
	for range c.count() {
		address := c.address()
		resp, perr := c.proposeOnce(ctx, address, r)
		if perr == nil {
			return resp.GetResult(), nil
		}
		c.failOver(address)
		if resultcode.Of(perr) != resultcode.NoLeader {
			return nil, perr
		}
		err = perr
	}
	return nil, err
}

func (c *ControlClient) proposeOnce(ctx context.Context, address string, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.transport.Propose(ctx, &statev1.Member{Address: address}, r)
}

// Sync calls the current control VM once. After a failure the next call goes to
// another VM.
func (c *ControlClient) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	address := c.address()
	if address == "" {
		return nil, resultcode.New(resultcode.NoLeader, "no control VM is configured")
	}
	resp, err := c.transport.Sync(ctx, &statev1.Member{Address: address}, r)
	if err != nil {
		c.failOver(address)
		return nil, err
	}
	c.UpdateAddresses(resp.GetMembers())
	return resp, nil
}

func (c *ControlClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.mu.addresses)
}

func (c *ControlClient) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.mu.addresses) == 0 {
		return ""
	}
	return c.mu.addresses[c.mu.current%len(c.mu.addresses)]
}

// failOver switches from the failed address to the next one, unless another call
// has already switched.
func (c *ControlClient) failOver(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.mu.addresses)
	if n > 0 && c.mu.addresses[c.mu.current%n] == failed {
		c.mu.current = (c.mu.current + 1) % n
	}
}

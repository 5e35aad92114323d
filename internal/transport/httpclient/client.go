// Package httpclient performs HTTP/1.1 exchanges with endpoints over pooled
// connections.
//
// It does not use net/http's Transport, because that retries a request on its
// own when a reused connection fails and the method is GET or the request has an
// Idempotency-Key header. Here a request is sent at most once, and each error
// states whether a byte of the request was handed to the operating system. Heads
// and bodies are parsed by net/http; httpresponse decides which of them are responses.
package httpclient

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Options sets the bounds of a Client. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds one connection attempt.
	ConnectTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes.
	KeepAlive time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: the longest time that sent data may stay
	// unacknowledged before the kernel closes the connection.
	UserTimeout time.Duration
	// IdleConnTimeout is the longest time that a connection may have been unused
	// when it is reused, unless the endpoint states its own limit in a Keep-Alive
	// field.
	IdleConnTimeout time.Duration
	// IdleTimeout is the longest time without a byte in either direction for
	// requests that set none.
	IdleTimeout time.Duration
	// MaxIdlePerEndpoint bounds the unused connections to one address.
	MaxIdlePerEndpoint int
	// MaxHeadBytes bounds the head of a response.
	MaxHeadBytes int
}

const (
	defaultConnectTimeout  = 500 * time.Millisecond
	defaultKeepAlive       = time.Second
	defaultUserTimeout     = 3 * time.Second
	defaultIdleConnTimeout = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMaxIdle         = 64
	defaultMaxHeadBytes    = 64 << 10
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.KeepAlive <= 0 {
		o.KeepAlive = defaultKeepAlive
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = defaultUserTimeout
	}
	if o.IdleConnTimeout <= 0 {
		o.IdleConnTimeout = defaultIdleConnTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdlePerEndpoint <= 0 {
		o.MaxIdlePerEndpoint = defaultMaxIdle
	}
	if o.MaxHeadBytes <= 0 {
		o.MaxHeadBytes = defaultMaxHeadBytes
	}
	return o
}

// Client holds one connection pool per address. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer
	faults faults
	mu     sync.Mutex
	pools  map[string]*pool
	closed bool
}

// faults are deliberate defects that a test enables to show that it detects
// them.
type faults struct {
	// replay sends a request again when a reused connection fails.
	replay bool
	// keepSilent keeps the idle connections of an endpoint after a time-out.
	keepSilent bool
	// claimNotRun reports every failed exchange as "not run".
	claimNotRun bool
	// reuseAny reuses idle connections without checking them.
	reuseAny bool
}

var _ exchange.Client = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{opts: o, dialer: newDialer(o), pools: make(map[string]*pool)}
}

// CloseIdle closes every unused connection.
func (c *Client) CloseIdle() {
	for _, p := range c.allPools() {
		p.closeIdle()
	}
}

// Close closes the unused connections; connections in use are closed when their
// exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, p := range c.allPools() {
		p.close()
	}
}

func (c *Client) allPools() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		out = append(out, p)
	}
	return out
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{opts: c.opts, framing: framingFields(), keepSilent: c.faults.keepSilent, reuseAny: c.faults.reuseAny, closed: c.closed}
		c.pools[address] = p
	}
	return p
}

// Do implements exchange.Client. It sends the request at most once. If a reused
// connection fails before the first byte is written, Do opens a new one.
func (c *Client) Do(ctx context.Context, req *exchange.Request) (*exchange.Response, error) {
	if err := validate(req); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, notSent(err, req.Address)
	}
	p := c.pool(req.Address)
	cn := c.takeIdle(p, req)
	if cn != nil {
		resp, err := c.exchange(ctx, cn, req)
		if err == nil || (cn.written > 0 && !c.faults.replay) || ctx.Err() != nil {
			return resp, c.applyFaults(err)
		}
	}
	cn, err := c.connect(ctx, p, req.Address)
	if err != nil {
		return nil, err
	}
	resp, err := c.exchange(ctx, cn, req)
	return resp, c.applyFaults(err)
}

// applyFaults applies the fault claimNotRun.
func (c *Client) applyFaults(err error) error {
	if err != nil && c.faults.claimNotRun {
		return resultcode.Wrap(resultcode.EndpointUnreachable, err, "fault enabled by a test")
	}
	return err
}

// takeIdle returns an idle connection if the request allows reuse, or nil. A
// request with a BodyReader cannot be sent again, even if no byte was written, so
// it always gets a new connection.
func (c *Client) takeIdle(p *pool, req *exchange.Request) *conn {
	if req.FreshConnection || req.BodyReader != nil {
		return nil
	}
	return p.get(req.ID)
}

func (c *Client) connect(ctx context.Context, p *pool, address string) (*conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	generation := p.currentGeneration()
	raw, err := c.dialer.DialContext(dialContext, "tcp", address)
	if err != nil {
		return nil, notSent(err, address)
	}
	return newConn(raw, p, generation, c.opts.MaxHeadBytes), nil
}

// exchange sends the request and reads the head of the response.
func (c *Client) exchange(ctx context.Context, cn *conn, req *exchange.Request) (*exchange.Response, error) {
	idleTimeout := req.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = c.opts.IdleTimeout
	}
	cn.begin(ctx, idleTimeout)
	if err := cn.send(req); err != nil {
		// An endpoint may respond and close before it has read the whole body.
		if cn.written == 0 || !isClosedByPeer(err) || !cn.responseWaiting() {
			return nil, cn.fail(ctx, err, stageSend)
		}
		cn.sendFailed = true
	}
	resp, skipped, err := cn.readHead(req.Method, req.MatchResponse)
	if err != nil {
		return nil, cn.fail(ctx, err, stageHead)
	}
	// The body may release the connection to another exchange, so its fields are not
	// used after newResponse.
	reused, openedAt := cn.reused, cn.openedAt
	cn.reused = true
	cn.refused.add(req.ID, resp.StatusCode)
	out := newResponse(ctx, cn, resp, req)
	out.Reused, out.Skipped, out.ConnectedAt = reused, skipped, openedAt
	return out, nil
}

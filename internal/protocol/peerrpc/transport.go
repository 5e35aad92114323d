package peerrpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/httpresponse"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	dialTimeout = 300 * time.Millisecond
	// stepTimeout is below the shortest election time-out of 600 ms, so that a
	// dead connection is replaced before a follower campaigns.
	stepTimeout = 400 * time.Millisecond
	// forwardTimeout bounds a forwarded call whose context has no deadline.
	forwardTimeout = 5 * time.Second
	// sendQueueSize bounds the messages queued for one member. Consensus resends
	// dropped messages.
	sendQueueSize = 1024
	// maxStepBytes bounds one batch of messages.
	maxStepBytes = 4 << 20
	// idleTimeout closes unused connections, such as those to removed members.
	idleTimeout = 30 * time.Second
	// idleConnectionsPerVM covers the consensus messages, which use one connection
	// at a time, and concurrent forwarded calls.
	idleConnectionsPerVM = 4
)

// Transport sends consensus messages and forwards calls to other control VMs. It
// implements control.Transport and is safe for concurrent use.
type Transport struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu struct {
		sync.Mutex
		queues  map[string]*peerQueue // by address
		clients map[string]*http.Client
	}
}

// peerQueue holds the consensus messages for one address in sending order.
type peerQueue struct {
	messages chan *statev1.Message
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SecureDial wraps a dial function so that its connections use mutual TLS.
type SecureDial func(dial DialFunc) DialFunc

// Options of a Transport. The zero value uses plain HTTP.
type Options struct {
	// Secure enables mutual TLS.
	Secure SecureDial
	// Dial replaces the system's dialer, for example to count bytes.
	Dial DialFunc
}

// NewTransport returns a Transport. Close stops it.
func NewTransport(o Options) *Transport {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext
	}
	t := &Transport{options: o}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.mu.queues = make(map[string]*peerQueue)
	t.mu.clients = make(map[string]*http.Client)
	return t
}

// Close stops the delivery of consensus messages and waits for it to end.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send queues messages for a member. It never blocks: messages that do not fit
// in the queue are dropped, which consensus tolerates.
func (t *Transport) Send(to *statev1.Member, messages []*statev1.Message) {
	q := t.queueFor(to.GetAddress())
	for _, m := range messages {
		select {
		case q.messages <- m:
		default:
			return
		}
	}
}

func (t *Transport) queueFor(address string) *peerQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q, ok := t.mu.queues[address]; ok {
		return q
	}
	q := &peerQueue{messages: make(chan *statev1.Message, sendQueueSize)}
	t.mu.queues[address] = q
	t.wg.Add(1)
	go t.sendLoop(address, q)
	return q
}

func (t *Transport) sendLoop(address string, q *peerQueue) {
	defer t.wg.Done()
	client := t.client(address)
	raft := peerv1.NewRaftProtobufClient(t.baseURL(address), client)
	for {
		batch, ok := t.nextBatch(q)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(t.ctx, stepTimeout)
		_, err := raft.Step(ctx, &peerv1.StepRequest{Messages: batch})
		cancel()
		if isTimeout(err) {
			client.CloseIdleConnections()
		}
	}
}

// nextBatch waits for one message and adds the messages that are already queued,
// up to about maxStepBytes. It returns false after Close.
func (t *Transport) nextBatch(q *peerQueue) ([]*statev1.Message, bool) {
	var batch []*statev1.Message
	select {
	case m := <-q.messages:
		batch = append(batch, m)
	case <-t.ctx.Done():
		return nil, false
	}
	size := messageBytes(batch[0])
	for size < maxStepBytes {
		select {
		case m := <-q.messages:
			batch = append(batch, m)
			size += messageBytes(m)
		default:
			return batch, true
		}
	}
	return batch, true
}

// messageBytes estimates the size of a message by its payloads, which dominate.
func messageBytes(m *statev1.Message) int {
	n := len(m.GetSnapshot().GetData())
	for _, e := range m.GetEntries() {
		n += len(e.GetData())
	}
	return n
}

// Propose forwards a command to a member.
func (t *Transport) Propose(ctx context.Context, to *statev1.Member, r *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Propose(ctx, r)
	return resp, t.callError(to.GetAddress(), err, resultcode.ChangeUnconfirmed)
}

// Sync forwards a sync request of an entry to a member.
func (t *Transport) Sync(ctx context.Context, to *statev1.Member, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Sync(ctx, r)
	return resp, t.callError(to.GetAddress(), err, resultcode.NoLeader)
}

// Join forwards a membership request to a member.
func (t *Transport) Join(ctx context.Context, to *statev1.Member, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Join(ctx, r)
	return resp, t.callError(to.GetAddress(), err, resultcode.ChangeUnconfirmed)
}

// Bootstrap sends a step of the agreement on the first membership to a seed.
func (t *Transport) Bootstrap(ctx context.Context, to *statev1.Member, r *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Bootstrap(ctx, r)
	return resp, t.callError(to.GetAddress(), err, resultcode.NoLeader)
}

// Members requests the membership from a control VM.
func (t *Transport) Members(ctx context.Context, address string) (*peerv1.MembersResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(address).Members(ctx, &peerv1.MembersRequest{})
	return resp, t.callError(address, err, resultcode.NoLeader)
}

// callError converts the error of a call. After a time-out it also closes the
// idle connections to address, which may be dead.
func (t *Transport) callError(address string, err error, lostCode resultcode.Code) error {
	if isTimeout(err) {
		t.client(address).CloseIdleConnections()
	}
	return fromTwirp(err, lostCode)
}

func (t *Transport) fleet(address string) peerv1.Fleet {
	return peerv1.NewFleetProtobufClient(t.baseURL(address), t.client(address))
}

func (t *Transport) baseURL(address string) string {
	if t.options.Secure != nil {
		return "https://" + address
	}
	return "http://" + address
}

func (t *Transport) client(address string) *http.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.mu.clients[address]; ok {
		return c
	}
	c := newClient(t.options)
	t.mu.clients[address] = c
	return c
}

// newClient returns a client for a single VM, so that closing its idle
// connections does not affect other VMs.
func newClient(o Options) *http.Client {
	transport := &http.Transport{
		DialContext:         o.Dial,
		MaxIdleConnsPerHost: idleConnectionsPerVM,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if o.Secure != nil {
		transport.DialTLSContext = o.Secure(o.Dial)
	}
	return &http.Client{Transport: httpresponse.Transport{Next: transport, RequireFraming: true}}
}

func withDefaultTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

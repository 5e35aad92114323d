package peerrpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	dialTimeout = 300 * time.Millisecond
	// stepTimeout is below the shortest election timeout of 600 ms, so that a
	// connection that went silent is replaced before a follower campaigns.
	stepTimeout = 400 * time.Millisecond
	// forwardTimeout bounds a forwarded call that came without a deadline.
	forwardTimeout = 5 * time.Second
	// sendQueue bounds the messages that wait for one member. Consensus sends
	// again what is dropped.
	sendQueue = 1024
	// maxStepBytes bounds one batch of messages.
	maxStepBytes = 4 << 20
	// idleTimeout closes unused connections to members that left.
	idleTimeout = 30 * time.Second
	// idleConnectionsPerVM covers the step lane and concurrent forwards.
	idleConnectionsPerVM = 4
)

// Transport sends the control role's messages to other members. It implements
// control.Transport and is safe for concurrent use.
type Transport struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu struct {
		sync.Mutex
		lanes   map[string]*lane // by address
		clients map[string]*http.Client
	}
}

// lane delivers consensus messages to one address in order.
type lane struct {
	queue chan *statev1.Message
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// SecureDial wraps a dial function so that its connections speak mutual TLS.
type SecureDial func(dial DialFunc) DialFunc

// Options of a Transport. The zero value speaks plain HTTP.
type Options struct {
	// Secure makes connections speak mutual TLS.
	Secure SecureDial
	// Dial replaces the system's dialer, for example to count bytes.
	Dial DialFunc
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext
	}
	t := &Transport{options: o}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.mu.lanes = make(map[string]*lane)
	t.mu.clients = make(map[string]*http.Client)
	return t
}

// Close stops all lanes.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send queues messages for a member. It never blocks: messages beyond the
// queue are dropped, which consensus tolerates.
func (t *Transport) Send(to *statev1.Member, messages []*statev1.Message) {
	l := t.lane(to.GetAddress())
	for _, m := range messages {
		select {
		case l.queue <- m:
		default:
			return
		}
	}
}

func (t *Transport) lane(address string) *lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.mu.lanes[address]; ok {
		return l
	}
	l := &lane{queue: make(chan *statev1.Message, sendQueue)}
	t.mu.lanes[address] = l
	t.wg.Add(1)
	go t.deliver(address, l)
	return l
}

func (t *Transport) deliver(address string, l *lane) {
	defer t.wg.Done()
	client := t.client(address)
	raft := peerv1.NewRaftProtobufClient(t.baseURL(address), client)
	for {
		batch, ok := t.nextBatch(l)
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

// nextBatch waits for one message and takes what else is queued.
func (t *Transport) nextBatch(l *lane) ([]*statev1.Message, bool) {
	var batch []*statev1.Message
	select {
	case m := <-l.queue:
		batch = append(batch, m)
	case <-t.ctx.Done():
		return nil, false
	}
	size := messageBytes(batch[0])
	for size < maxStepBytes {
		select {
		case m := <-l.queue:
			batch = append(batch, m)
			size += messageBytes(m)
		default:
			return batch, true
		}
	}
	return batch, true
}

// messageBytes is an estimate; only payloads matter for the bound.
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
	return resp, t.result(to.GetAddress(), err, resultcode.ChangeUnconfirmed)
}

// Sync forwards an entry's sync to a member.
func (t *Transport) Sync(ctx context.Context, to *statev1.Member, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Sync(ctx, r)
	return resp, t.result(to.GetAddress(), err, resultcode.NoLeader)
}

// Join forwards a membership request to a member.
func (t *Transport) Join(ctx context.Context, to *statev1.Member, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(to.GetAddress()).Join(ctx, r)
	return resp, t.result(to.GetAddress(), err, resultcode.ChangeUnconfirmed)
}

// Members asks a control VM for the membership.
func (t *Transport) Members(ctx context.Context, address string) (*peerv1.MembersResponse, error) {
	ctx, cancel := withDefaultTimeout(ctx, forwardTimeout)
	defer cancel()
	resp, err := t.fleet(address).Members(ctx, &peerv1.MembersRequest{})
	return resp, t.result(address, err, resultcode.NoLeader)
}

// result maps the error of a call and drops connections that may be silent.
func (t *Transport) result(address string, err error, lost resultcode.Code) error {
	if isTimeout(err) {
		t.client(address).CloseIdleConnections()
	}
	return fromTwirp(err, lost)
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

// newClient returns a client for one VM, so that closing its idle connections
// touches no other VM.
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
	return &http.Client{Transport: transport}
}

func withDefaultTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

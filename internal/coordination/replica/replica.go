package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	// pollHold is how long the control role may hold a poll.
	pollHold = time.Second
	// pollMargin is added to the hold time before a poll counts as lost.
	pollMargin = 500 * time.Millisecond
	// probeTimeout bounds an unheld call after a failure. With the freshness
	// lease of 4 s, a lost poll leaves time for five of them.
	probeTimeout = 400 * time.Millisecond
	// usageTimeout bounds a report of use.
	usageTimeout = 800 * time.Millisecond
	// usageInterval is the time between reports when nobody waits for tokens.
	usageInterval = time.Second
	// urgentInterval bounds the rate of reports while requests wait.
	urgentInterval = 20 * time.Millisecond
	// failurePause is the pause after a failed call, with as much jitter.
	failurePause = 50 * time.Millisecond
	// closeTimeout bounds the call that ends the session at shutdown.
	closeTimeout = 2 * time.Second
)

// Fleet is the port to the control role; peerrpc.Fleet implements it.
type Fleet interface {
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Sync makes one attempt. After an error the next call may go to another VM.
	Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
}

// Clock reads both clocks.
type Clock func() Instant

// SystemClock returns a Clock that starts now.
func SystemClock() Clock {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// Config holds what a Replica needs.
type Config struct {
	VM, DataCentre string
	Fleet          Fleet
	// Clock may be nil for the system's.
	Clock Clock
	// Logger may be nil.
	Logger *slog.Logger
	// OnConfig, if set, is called after a new configuration came into force.
	OnConfig func(index *config.Index)
	// OnLease, if set, is called after tokens were granted or returned.
	OnLease func(m Moved)
}

// Replica keeps the entry's copy of the fleet state up to date. It implements
// entry.Replica and is safe for concurrent use.
type Replica struct {
	config Config
	clock  Clock
	log    *slog.Logger
	index  atomic.Pointer[config.Index]
	// urgent wakes the usage loop because requests wait for tokens.
	urgent chan struct{}

	mu struct {
		sync.Mutex
		core    *core
		arrived chan struct{}
	}
}

// New returns a Replica without state. Run brings it up to date.
func New(c Config) *Replica {
	r := &Replica{config: c, clock: c.Clock, log: c.Logger, urgent: make(chan struct{}, 1)}
	if r.clock == nil {
		r.clock = SystemClock()
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	r.mu.core = newCore(r.newSession(), rand.Int64N)
	r.mu.arrived = make(chan struct{})
	return r
}

func (r *Replica) newSession() *statev1.Session {
	return &statev1.Session{
		Vm:          r.config.VM,
		DataCentre:  r.config.DataCentre,
		Incarnation: strconv.FormatUint(rand.Uint64(), 16),
	}
}

// Run keeps the replica up to date until ctx ends, then ends the session.
func (r *Replica) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.pollLoop(ctx) })
	wg.Go(func() { r.usageLoop(ctx) })
	wg.Wait()
	r.close()
	return nil
}

func (r *Replica) pollLoop(ctx context.Context) {
	healthy := false
	for ctx.Err() == nil {
		hold, timeout := pollHold, pollHold+pollMargin
		if !healthy {
			hold, timeout = 0, probeTimeout
		}
		err := r.call(ctx, timeout, func(c *core, _ Instant) *peerv1.SyncRequest { return c.poll(hold) })
		if healthy && err != nil && ctx.Err() == nil {
			r.log.Warn("sync with the control role failed", "error", err)
		}
		healthy = err == nil
		if !healthy {
			pause(ctx, failurePause+rand.N(failurePause))
		}
	}
}

func (r *Replica) usageLoop(ctx context.Context) {
	timer := time.NewTimer(usageInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.urgent:
		}
		err := r.call(ctx, usageTimeout, func(c *core, now Instant) *peerv1.SyncRequest { return c.usage(now.Mono) })
		if err != nil {
			pause(ctx, failurePause+rand.N(failurePause))
			r.wakeUsage()
		} else {
			pause(ctx, urgentInterval)
		}
		timer.Reset(r.usagePause())
	}
}

// usagePause is short while requests wait for tokens, since a customer's level
// grows all the time.
func (r *Replica) usagePause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.mu.core.ledger.customers {
		if l.waiting > l.free() {
			return urgentInterval
		}
	}
	return usageInterval
}

func (r *Replica) wakeUsage() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// call makes one Sync and takes over its answer. A build that returns nil ends
// the call without a message.
func (r *Replica) call(ctx context.Context, timeout time.Duration, build func(c *core, now Instant) *peerv1.SyncRequest) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := r.clock()
	r.mu.Lock()
	req := build(r.mu.core, sentAt)
	r.mu.Unlock()
	if req == nil {
		return nil
	}
	resp, err := r.config.Fleet.Sync(ctx, req)
	if err != nil {
		return err
	}
	return r.take(sentAt, req, resp)
}

func (r *Replica) take(sentAt Instant, req *peerv1.SyncRequest, resp *peerv1.SyncResponse) error {
	r.mu.Lock()
	out, err := r.mu.core.handle(sentAt, r.clock(), req, resp)
	if err != nil {
		r.mu.Unlock()
		return err
	}
	if out.sessionEnded {
		r.mu.core.begin(r.newSession())
	}
	if out.moved.grew {
		close(r.mu.arrived)
		r.mu.arrived = make(chan struct{})
	}
	index := r.mu.core.index
	if out.configChanged {
		// Under the lock, so that a renewed lease never covers an older index.
		r.index.Store(index)
	}
	r.mu.Unlock()
	if out.sessionEnded {
		r.log.Warn("session ended by the control role, a new one begins")
		r.wakeUsage()
	}
	if out.configChanged {
		r.announce(index)
	}
	if out.reported && r.config.OnLease != nil {
		r.config.OnLease(out.moved)
	}
	return nil
}

func (r *Replica) announce(index *config.Index) {
	r.log.Info("configuration in force", "version", index.Version())
	if r.config.OnConfig != nil {
		r.config.OnConfig(index)
	}
}

func (r *Replica) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.mu.Lock()
	req := r.mu.core.closing(r.clock().Mono)
	r.mu.Unlock()
	if _, err := r.config.Fleet.Sync(ctx, req); err != nil {
		r.log.Warn("session could not be closed; its leases are written off", "error", err)
	}
}

// Index returns the configuration in force, or nil before the first Sync.
func (r *Replica) Index() *config.Index { return r.index.Load() }

// Fresh says that the freshness lease is valid now.
func (r *Replica) Fresh() bool {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.fresh.valid(now)
}

// Propose commits one command through the control role.
func (r *Replica) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := r.config.Fleet.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if result == nil {
		return nil, resultcode.New(resultcode.ChangeUnconfirmed, "the control role answered without a result")
	}
	return result, nil
}

// Session returns the present session.
func (r *Replica) Session() *statev1.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.session
}

// Suspects returns the suspected poison requests.
func (r *Replica) Suspects() []*statev1.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.suspects
}

// Residency returns what the control role says of each engine. The map is
// replaced, never modified.
func (r *Replica) Residency() map[string]*peerv1.EndpointResidency {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.residency
}

// LiveEntries returns the number of entries with a session, at least 1.
func (r *Replica) LiveEntries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.liveEntries
}

// Charge turns held tokens into spent ones.
func (r *Replica) Charge(customer string, tokens uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.ledger.charge(customer, tokens)
}

// Hold reserves tokens of the customer's lease; false if there are not enough
// now.
func (r *Replica) Hold(customer string, tokens uint64) bool {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.hold(now, customer, tokens)
}

// Release returns what a hold did not charge.
func (r *Replica) Release(customer string, held, charged uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.ledger.release(customer, held-charged)
}

// SetWanted states how many tokens the customer's requests wait for at this entry.
func (r *Replica) SetWanted(customer string, tokens uint64) {
	r.mu.Lock()
	urgent := r.mu.core.ledger.want(customer, tokens)
	r.mu.Unlock()
	if urgent {
		r.wakeUsage()
	}
}

// TokensArrived returns a channel that is closed when a lease has grown.
func (r *Replica) TokensArrived() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.arrived
}

// AddDemand adds what was seen of one model.
func (r *Replica) AddDemand(d *peerv1.ModelDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.addDemand(d)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

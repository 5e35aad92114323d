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
	// pollMargin is the time beyond pollHold after which a poll times out.
	pollMargin = 500 * time.Millisecond
	// probeTimeout bounds a poll without hold after a failure. The freshness lease
	// of 4 s leaves time for five of them after a lost poll.
	probeTimeout = 400 * time.Millisecond
	// usageTimeout bounds a usage call.
	usageTimeout = 800 * time.Millisecond
	// usageInterval is the time between usage calls while no request waits for
	// tokens.
	usageInterval = time.Second
	// urgentInterval limits the rate of usage calls while requests wait.
	urgentInterval = 20 * time.Millisecond
	// retryBackoff is the time before a failed call is retried. Jitter of up to
	// 100% is added.
	retryBackoff = 50 * time.Millisecond
	// closeTimeout bounds the call that ends the session at shutdown.
	closeTimeout = 2 * time.Second
)

// ControlClient is the client interface to the control role. peerrpc.ControlClient
// implements it.
type ControlClient interface {
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Sync makes one attempt. After an error, the next call may go to another VM.
	Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error)
}

// Clock returns the current readings of both clocks.
type Clock func() Instant

// SystemClock returns a Clock whose monotonic reading starts at zero now.
func SystemClock() Clock {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// Config holds the dependencies of a Replica.
type Config struct {
	VM, DataCentre string
	Control        ControlClient
	// Clock defaults to SystemClock.
	Clock Clock
	// Logger defaults to a logger that discards everything.
	Logger *slog.Logger
	// OnConfig, if set, is called after a new configuration takes effect.
	OnConfig func(index *config.Index)
	// OnLease, if set, is called after a usage report was acknowledged.
	OnLease func(m LeaseChange)
}

// Replica keeps the entry's replica of the fleet state up to date. It implements
// entry.Replica and is safe for concurrent use.
type Replica struct {
	config Config
	clock  Clock
	log    *slog.Logger
	index  atomic.Pointer[config.Index]
	// usageWake triggers a usage call before usageInterval is over.
	usageWake chan struct{}

	mu struct {
		sync.Mutex
		core *core
		// tokensArrived is closed and replaced when free tokens were added.
		tokensArrived chan struct{}
	}
}

// New returns a Replica without state. Run fetches the state and keeps it up to
// date.
func New(c Config) *Replica {
	r := &Replica{config: c, clock: c.Clock, log: c.Logger, usageWake: make(chan struct{}, 1)}
	if r.clock == nil {
		r.clock = SystemClock()
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	r.mu.core = newCore(r.newSession(), rand.Int64N)
	r.mu.tokensArrived = make(chan struct{})
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
		err := r.call(ctx, timeout, func(c *core, _ Instant) *peerv1.SyncRequest { return c.pollRequest(hold) })
		if healthy && err != nil && ctx.Err() == nil {
			r.log.Warn("sync with the control role failed", "error", err)
		}
		healthy = err == nil
		if !healthy {
			sleep(ctx, retryBackoff+rand.N(retryBackoff))
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
		case <-r.usageWake:
		}
		err := r.call(ctx, usageTimeout, func(c *core, now Instant) *peerv1.SyncRequest { return c.usageRequest(now.Mono) })
		if err != nil {
			sleep(ctx, retryBackoff+rand.N(retryBackoff))
			r.wakeUsage()
		} else {
			sleep(ctx, urgentInterval)
		}
		timer.Reset(r.nextReportDelay())
	}
}

// nextReportDelay returns the time until the next usage call. It is short while
// requests wait for tokens, since the accounts are refilled continuously.
func (r *Replica) nextReportDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.mu.core.ledger.customers {
		if b.wanted > b.free() {
			return urgentInterval
		}
	}
	return usageInterval
}

func (r *Replica) wakeUsage() {
	select {
	case r.usageWake <- struct{}{}:
	default:
	}
}

// call builds a request, sends it with Sync and applies the response. It sends
// nothing if build returns nil.
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
	resp, err := r.config.Control.Sync(ctx, req)
	if err != nil {
		return err
	}
	return r.handleResponse(sentAt, req, resp)
}

func (r *Replica) handleResponse(sentAt Instant, req *peerv1.SyncRequest, resp *peerv1.SyncResponse) error {
	r.mu.Lock()
	out, err := r.mu.core.handleResponse(sentAt, r.clock(), req, resp)
	if err != nil {
		r.mu.Unlock()
		return err
	}
	if out.sessionEnded {
		r.mu.core.startSession(r.newSession())
	}
	if out.leaseChange.grew {
		close(r.mu.tokensArrived)
		r.mu.tokensArrived = make(chan struct{})
	}
	index := r.mu.core.index
	if out.configChanged {
		// Stored under the lock, so that a renewed lease is never combined with an
		// older index.
		r.index.Store(index)
	}
	r.mu.Unlock()
	if out.sessionEnded {
		r.log.Warn("session ended by the control role; starting a new one")
		r.wakeUsage()
	}
	if out.configChanged {
		r.notifyConfig(index)
	}
	if out.usageAcknowledged && r.config.OnLease != nil {
		r.config.OnLease(out.leaseChange)
	}
	return nil
}

func (r *Replica) notifyConfig(index *config.Index) {
	r.log.Info("configuration in force", "version", index.Version())
	if r.config.OnConfig != nil {
		r.config.OnConfig(index)
	}
}

func (r *Replica) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.mu.Lock()
	req := r.mu.core.closeRequest(r.clock().Mono)
	r.mu.Unlock()
	if _, err := r.config.Control.Sync(ctx, req); err != nil {
		r.log.Warn("closing the session failed; its token leases will be written off", "error", err)
	}
}

// Index returns the configuration in force, or nil before the first Sync.
func (r *Replica) Index() *config.Index { return r.index.Load() }

// Fresh reports whether the freshness lease is valid, that is, whether the
// configuration may still be used.
func (r *Replica) Fresh() bool {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.freshnessLease.valid(now)
}

// Propose commits one command through the control role.
func (r *Replica) Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error) {
	result, err := r.config.Control.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if result == nil {
		return nil, resultcode.New(resultcode.ChangeUnconfirmed, "the control role's response contains no result")
	}
	return result, nil
}

// Session returns the current session.
func (r *Replica) Session() *statev1.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.session
}

// Suspects returns the fingerprints of requests that were reported as crashing
// endpoints.
func (r *Replica) Suspects() []*statev1.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.suspects
}

// Residency returns the models resident on each engine, as the control role knows
// them. The map is replaced, never modified.
func (r *Replica) Residency() map[string]*peerv1.EndpointResidency {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.residency
}

// Evacuations returns the evacuated data centres, as the control role knows them.
func (r *Replica) Evacuations() (version uint64, dataCentres []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.evacuations.version, r.mu.core.evacuations.dataCentres
}

// LiveEntries returns the number of entries with a live session, at least 1.
func (r *Replica) LiveEntries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.liveEntries
}

// Charge counts held tokens as spent.
func (r *Replica) Charge(customer string, tokens uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.ledger.charge(customer, tokens)
}

// Hold reserves tokens of the customer's lease. It returns false if there are not
// enough free tokens now or the lease has expired.
func (r *Replica) Hold(customer string, tokens uint64) bool {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.core.hold(now, customer, tokens)
}

// Release frees the part of a hold that was not charged.
func (r *Replica) Release(customer string, held, charged uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.ledger.release(customer, held-charged)
}

// SetWanted sets how many tokens the customer's waiting requests need at this entry.
func (r *Replica) SetWanted(customer string, tokens uint64) {
	r.mu.Lock()
	urgent := r.mu.core.ledger.setWanted(customer, tokens)
	r.mu.Unlock()
	if urgent {
		r.wakeUsage()
	}
}

// TokensArrived returns a channel that is closed when free tokens were added.
func (r *Replica) TokensArrived() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.tokensArrived
}

// AddDemand adds to the demand for one model, which the next poll reports.
func (r *Replica) AddDemand(d *peerv1.ModelDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.core.addDemand(d)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/quarantine"
	"github.com/radishloom/radishloom/internal/coordination/retry"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	defaultMaxOpen  = 4096
	defaultMaxQueue = 2048
)

// Config holds what a Server needs.
type Config struct {
	// VM and DataCentre are those of this process.
	VM, DataCentre string
	Engine         engine.Engine
	Service        engine.Service
	// Platform may be nil; leaving endpoints are then learned from reports only.
	Platform engine.Platform
	Replica  Replica
	// Observer and Logger may be nil.
	Observer Observer
	Logger   *slog.Logger
	// Seed feeds the random choices (endpoint candidates, jitter).
	Seed uint64
	// MaxOpen bounds the open requests of the VM, MaxQueue those that wait for
	// an endpoint in one pool. Zero means the default.
	MaxOpen, MaxQueue int
	// MaxOpenCustomer bounds the open requests of a customer that the
	// configuration gives no bound. Zero means half of MaxOpen.
	MaxOpenCustomer int
	// Baseline replaces a decision by a simple rule, for comparison only.
	Baseline Baseline
}

// Baseline is a simple rule that the bench program compares with.
type Baseline struct {
	// Policy is the rule for the choice of an endpoint.
	Policy routing.Policy
	// ByArrival admits requests first in, first out, without customers and
	// priorities.
	ByArrival bool
}

// Server takes requests through admission, routing and retries. It is safe for
// concurrent use.
type Server struct {
	config   Config
	replica  Replica
	observer Observer
	log      *slog.Logger
	start    time.Time
	// incarnation makes identifiers unique over restarts and VMs.
	incarnation string
	counter     atomic.Uint64
	draining    atomic.Bool
	open        atomic.Int64
	configured  atomic.Uint64 // version that the scheduler has
	refreshed   time.Duration // of refresh only: the last change of residency
	keysChecked uint64        // of refresh only: the version that open streams were checked with
	random      func(n int) int

	schedule *scheduler
	tokens   *tokens
	finisher *finisher
	streams  streams
	demand   demand

	retries struct {
		mu      sync.Mutex
		decider *retry.Decider
	}
	suspects struct {
		mu      sync.Mutex
		tracker *quarantine.Tracker
	}

	// faults breaks single rules. Tests set them to show that they notice.
	faults faults
}

type faults struct {
	sendUnconfirmed bool // send although the claim is not confirmed
	skipRecheck     bool // do not check key and lease before a send
	forgetUncertain bool // report the last refusal even if an earlier attempt may have run
	blindResume     bool // pass resumed events on without looking at their number
	keepKeys        bool // do not clean requests
	ignoreCustomer  bool // queue all customers as one
	cancelClaimed   bool // cancel a non-idempotent call when its caller leaves
}

// New returns a Server. Run must be called for it to make progress.
func New(c Config) (*Server, error) {
	if c.Engine == nil || c.Service == nil || c.Replica == nil {
		return nil, errors.New("entry: Engine, Service and Replica must be set")
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Observer == nil {
		c.Observer = NopObserver{}
	}
	if c.MaxOpen == 0 {
		c.MaxOpen = defaultMaxOpen
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	s := &Server{
		config: c, replica: c.Replica, observer: c.Observer, log: c.Logger,
		start: time.Now(), incarnation: uuid.NewString(), random: lockedRandom(c.Seed),
	}
	s.schedule = newScheduler(s.now, s.random, c.MaxOpen, c.MaxQueue)
	s.schedule.byArrival = c.Baseline.ByArrival
	s.schedule.table.SetPolicy(c.Baseline.Policy)
	s.tokens = newTokens(s.now, c.Replica)
	s.finisher = newFinisher(c.Replica)
	s.streams.open = make(map[*call]context.CancelCauseFunc)
	s.demand.models = make(map[string]*modelDemand)
	s.retries.decider = retry.New(s.random)
	s.suspects.tracker = quarantine.New()
	return s, nil
}

// lockedRandom returns a source of numbers below n for concurrent use.
func lockedRandom(seed uint64) func(n int) int {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, seed))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
}

// now is the time since the process started.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// unique returns an identifier that no other call of any entry returns.
func (s *Server) unique() string {
	return fmt.Sprintf("%s.%d", s.incarnation, s.counter.Add(1))
}

// Index returns the configuration in force, or nil before the first Sync.
func (s *Server) Index() *config.Index { return s.replica.Index() }

// Ready says whether the VM can serve keyed requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.replica.Index() != nil && s.replica.Fresh()
}

// Drain refuses new requests while on, and returns how many are open,
// including claims whose end is not committed yet. Open requests finish.
func (s *Server) Drain(on bool) (open int) {
	s.draining.Store(on)
	return int(s.open.Load() + s.finisher.pending.Load())
}

// Endpoints returns what this entry knows of each endpoint, in order of name.
func (s *Server) Endpoints() []routing.Status { return s.schedule.status() }

// Open returns the number of open requests.
func (s *Server) Open() int { return int(s.open.Load()) }

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

// Config configures a Server.
type Config struct {
	// VM and DataCentre say where this process runs.
	VM, DataCentre string
	Engine         engine.Engine
	Service        engine.Service
	// Platform may be nil; then only load reports announce leaving endpoints.
	Platform engine.Platform
	Replica  Replica
	// Observer and Logger may be nil.
	Observer Observer
	Logger   *slog.Logger
	// Seed seeds the random choices (endpoint candidates, jitter).
	Seed uint64
	// MaxOpen bounds the open requests of this VM, MaxQueue the requests in each
	// queue for endpoints. Zero means the default.
	MaxOpen, MaxQueue int
	// MaxOpenPerCustomer bounds the open requests of each customer for which the
	// configuration sets no bound. Zero means half of MaxOpen.
	MaxOpenPerCustomer int
	// Baseline replaces decisions by simple rules. It is for benchmarks only.
	Baseline Baseline
}

// Baseline selects the simple rules that the bench program compares with.
type Baseline struct {
	// Policy chooses the endpoint.
	Policy routing.Policy
	// FIFO dispatches requests first in, first out, without regard to
	// customers and priorities.
	FIFO bool
}

// Server serves requests: it admits them, chooses endpoints and retries. It is
// safe for concurrent use.
type Server struct {
	config   Config
	replica  Replica
	observer Observer
	log      *slog.Logger
	start    time.Time
	// incarnation makes identifiers unique across restarts and VMs.
	incarnation       string
	counter           atomic.Uint64
	draining          atomic.Bool
	stop              atomic.Pointer[stopTimes] // nil until the process begins to stop
	open              atomic.Int64
	configuredVersion atomic.Uint64 // version of the configuration that the scheduler uses
	// configuredEvacuations is the version of the evacuations that the scheduler uses.
	configuredEvacuations atomic.Uint64
	lastReconfigure       time.Duration // used by refresh only
	// keysCheckedVersion is the version of the configuration that the keys of open
	// streams were checked against. It is used by refresh only.
	keysCheckedVersion uint64
	random             func(n int) int

	schedule *scheduler
	tokens   *tokenQueue
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

	// faults breaks single rules. Tests set it to prove that they detect that.
	faults faults
}

type faults struct {
	sendUnconfirmed bool // send although the claim is not committed
	skipRecheck     bool // do not check the key and the freshness lease before a send
	forgetUncertain bool // return a later refusal although an earlier attempt may have run
	blindResume     bool // forward events after a resume without checking their sequence number
	keepKeys        bool // do not remove keys from requests to services
	ignoreCustomer  bool // queue the requests of all customers as those of one
	cancelClaimed   bool // cancel a non-idempotent call when its caller disconnects
}

// New returns a Server. It makes progress only while Run is running.
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
	s.schedule.fifo = c.Baseline.FIFO
	s.schedule.table.SetPolicy(c.Baseline.Policy)
	s.tokens = newTokenQueue(s.now, c.Replica)
	s.finisher = newFinisher(c.Replica)
	s.streams.open = make(map[*call]context.CancelCauseFunc)
	s.demand.models = make(map[string]*modelDemand)
	s.retries.decider = retry.New(s.random)
	s.suspects.tracker = quarantine.New()
	return s, nil
}

// lockedRandom returns a function that returns a random number in [0, n). It is
// safe for concurrent use.
func lockedRandom(seed uint64) func(n int) int {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, seed))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
}

// now returns the time since the server was created.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// unique returns an identifier that no other call of any entry returns.
func (s *Server) unique() string {
	return fmt.Sprintf("%s.%d", s.incarnation, s.counter.Add(1))
}

// Index returns the configuration in force, or nil before the first Sync.
func (s *Server) Index() *config.Index { return s.replica.Index() }

// Ready reports whether this VM can serve keyed requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.replica.Index() != nil && s.replica.Fresh()
}

// Drain turns the refusal of new requests on or off. It returns the number of
// open requests, which are finished, plus the claims whose outcome is not
// committed yet.
func (s *Server) Drain(on bool) (open int) {
	s.draining.Store(on)
	return int(s.open.Load() + s.finisher.pending.Load())
}

// stopTimes are the times of a stop, as results of now: no new connections are accepted
// after closed, and requests still in flight at end are cut off.
type stopTimes struct{ closed, end time.Duration }

// BeginStop tells the server that the process stops: it closes its listener after the
// first time and cuts off requests in flight after the second one, which begins then.
func (s *Server) BeginStop(untilClosed, grace time.Duration) {
	closed := s.now() + untilClosed
	s.stop.Store(&stopTimes{closed: closed, end: closed + grace})
}

// Endpoints returns the status of each endpoint as this entry sees it, sorted by
// name.
func (s *Server) Endpoints() []routing.Status { return s.schedule.status() }

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

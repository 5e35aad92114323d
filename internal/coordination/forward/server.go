package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Metrics records counts and times. Its methods must not block.
type Metrics interface {
	Refusal(code resultcode.Code)
	Retry(reason string)
	// SkippedResponses counts responses of endpoints that named another request.
	SkippedResponses(n int)
	OpenRequests(n int)
	// EntryWarmingEndpoints records how many endpoints this entry treats as warming up.
	EntryWarmingEndpoints(n int)
	// ResponseTime records the time until a response was complete.
	ResponseTime(took time.Duration)
	// StreamTimes records the time to the first event of a stream and its longest
	// pause.
	StreamTimes(first, pause time.Duration)
	// OutputEstimate records the output tokens that were predicted for a stream and
	// those that it generated.
	OutputEstimate(predicted, generated int)
	// SlotDecisions counts decisions of this entry's broker about waiting requests.
	SlotDecisions(kind string, n uint64)
	// SlotWaits counts waits for slots by how they compare with what was expected.
	SlotWaits(result string, n uint64)
	// TakeUp counts requests that take up a stream by their outcome.
	TakeUp(outcome string)
	// ResumptionRefused counts streams that broke off and were not resumed at another
	// endpoint, because of the software version that began them.
	ResumptionRefused()
}

// Loader asks the leader to load a model or adapter that no endpoint has.
type Loader interface {
	// Load returns the expected time until the model or adapter is resident. It fails with
	// NoEndpoint if no endpoint with the software version can load it.
	Load(ctx context.Context, m pool.MissingModel) (time.Duration, error)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Codec   Codec
	Client  exchange.Client
	Loader  Loader
	Metrics Metrics
	// Send sends a datagram to another entry. Datagrams may be lost.
	Send func(to string, m *peerv1.PlaceMessage)
	// Self is the address at which this entry receives such datagrams, and its
	// incarnation.
	Self pool.Sender
	// DataCentre is the data centre of this entry.
	DataCentre string
	Log        *slog.Logger
	// RetryWindow, RetryRatio and RetrySlack bound the retries of each service over
	// all entries: at most RetryRatio * requests + RetrySlack within RetryWindow.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time
	log   *limitedLog
	index atomic.Pointer[catalog.Index]
	open  atomic.Int64
	// heldBytes is the size of the incomplete events of all streams, see maxHeldBytes.
	heldBytes atomic.Int64
	// draining is closed when the process begins to stop. stopEnd, which is valid from
	// then on, is the time at which requests that are still in flight are cut off.
	draining chan struct{}
	stopEnd  time.Duration

	mu struct {
		sync.Mutex
		entry        *pool.Entry
		buckets      *Buckets
		budget       *RetryBudget
		queue        pool.Queue // waiting requests for plain services
		demand       map[string]*Demand
		loading      map[pool.MissingModel]bool
		hasEndpoints bool // a list of endpoints has been received
		hasServed    bool // a request has been served
		evidence     evidence
		outputs      outputModel
		listState    listState
		streams      *StreamRegister
		doubtful     doubtfulEndpoints
		routeHistory routeHistory
		lookups      lookups
	}
}

// Demand is the demand for a model or an adapter since the last report.
type Demand struct {
	Requests, Waiting int
	// Work is the engines' work for the requests, in prompt tokens.
	Work uint64
}

// New returns a Server that refuses all requests until it has a catalog.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now(), log: newLimitedLog(c.Log), draining: make(chan struct{})}
	s.mu.entry = pool.NewEntry(c.Self, c.DataCentre)
	s.mu.entry.SetWarmUps(s.warmUpOf)
	s.mu.buckets = NewBuckets()
	s.mu.budget = NewRetryBudget(c.RetryWindow, c.RetryRatio, c.RetrySlack)
	s.mu.demand = map[string]*Demand{}
	s.mu.loading = map[pool.MissingModel]bool{}
	s.mu.evidence = newEvidence()
	s.mu.outputs = newOutputModel()
	s.mu.streams = NewStreamRegister()
	s.mu.lookups = newLookups()
	s.mu.doubtful = doubtfulEndpoints{}
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Ready reports whether the entry can serve requests: it has a catalog and a list
// of endpoints and is not draining.
func (s *Server) Ready() bool {
	s.mu.Lock()
	known := s.mu.hasEndpoints
	s.mu.Unlock()
	return known && s.index.Load() != nil && !s.isDraining()
}

// Drain makes Ready return false and refuses the requests that wait for a slot:
// another entry can serve them, and this process may end before they get one. Requests
// in flight are cut off after grace, so a request that may last longer is refused as
// well. Drain must be called only once.
func (s *Server) Drain(grace time.Duration) {
	s.stopEnd = s.now() + grace
	close(s.draining)
}

func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// Index returns the current catalog, or nil.
func (s *Server) Index() *catalog.Index { return s.index.Load() }

// SetCatalog replaces the catalog, unless x is not newer.
func (s *Server) SetCatalog(x *catalog.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.index.Load(); old != nil && old.Version() >= x.Version() {
		return
	}
	if s.mu.routeHistory.set(s.now(), x) {
		s.mu.streams.RoutesChanged()
	}
	s.index.Store(x)
	s.mu.entry.SetWarmUps(s.warmUpOf)
	s.cfg.Log.Info("catalog applied", "version", x.Version(), "routes", len(x.Catalog().Routes), "since_start_ms", s.now().Milliseconds())
}

// warmUpOf returns the rate and the time of the warm-up of a service, by the catalog.
func (s *Server) warmUpOf(service string) (rate float64, duration time.Duration) {
	x := s.index.Load()
	if x == nil || x.Service(service) == nil {
		return 0, 0
	}
	return x.Service(service).WarmUpRate, x.Service(service).WarmUpTime
}

// SetEndpoints replaces the list of endpoints.
func (s *Server) SetEndpoints(list []pool.Endpoint) {
	s.step(func(now time.Duration, e *pool.Entry) {
		if !s.mu.hasEndpoints {
			s.cfg.Log.Info("first list of endpoints received", "endpoints", len(list), "since_start_ms", now.Milliseconds())
		}
		e.SetEndpoints(now, list)
		s.mu.hasEndpoints = true
		if n := s.mu.streams.SetEndpoints(s.mu.listState.confirmedAt, e.Table.SoftwareVersion, servicesWithVersions(list)); n > 0 {
			s.log.Info("endpoints changed their software version", "doubtful_streams", n)
		}
		s.dispatchLocked(now, e.Table)
	})
}

// SetEntries replaces the addresses of all entries.
func (s *Server) SetEntries(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.entry.Owners.SetEntries(addresses)
}

// step calls f, then sends the messages and starts the loads that pool.Entry has
// to make as a result. Messages are sent under the lock, so that they leave in
// the order of the steps.
func (s *Server) step(f func(now time.Duration, e *pool.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.mu.entry)
	for _, m := range s.mu.entry.Messages() {
		s.cfg.Send(m.To, m.Message)
	}
	for _, n := range s.mu.entry.TakeMissingModels() {
		s.loadLocked(n)
	}
}

// Receive handles a datagram of another entry.
func (s *Server) Receive(m *peerv1.PlaceMessage) {
	s.step(func(now time.Duration, e *pool.Entry) { e.Step(now, m) })
}

// Run performs periodic work until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(pool.TickInterval)
	defer tick.Stop()
	decisions := time.NewTicker(decisionInterval)
	defer decisions.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.step(func(now time.Duration, e *pool.Entry) {
				s.mu.listState.tick(now)
				e.Tick(now)
				s.dispatchLocked(now, e.Table)
			})
		case <-decisions.C:
			s.reportDecisions()
		}
	}
}

// decisionInterval is the time between two reports of the broker's decisions.
const decisionInterval = 5 * time.Second

// reportDecisions counts and logs what this entry's broker has decided. Grants that
// needed no decision are not logged.
func (s *Server) reportDecisions() {
	s.mu.Lock()
	d := s.mu.entry.TakeDecisions()
	s.mu.Unlock()
	for kind, n := range d.ByKind() {
		s.cfg.Metrics.SlotDecisions(kind, n)
	}
	for result, n := range d.Waits() {
		s.cfg.Metrics.SlotWaits(result, n)
	}
	if d.RefusedOnArrival+d.RefusedWaiting+d.RefusedLate+d.LessUrgent == 0 {
		return
	}
	s.cfg.Log.Info("slots contended", "refused_on_arrival", d.RefusedOnArrival, "refused_waiting", d.RefusedWaiting, "refused_late", d.RefusedLate,
		"less_urgent", d.LessUrgent, "waits_shorter", d.WaitsShorter, "waits_as_expected", d.WaitsAsExpected, "waits_longer", d.WaitsLonger)
}

// SetShares replaces this entry's shares of the customers' rates and the number
// of entries.
func (s *Server) SetShares(shares map[string]directory.Share, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.buckets.SetShares(s.now(), shares, entries)
	s.mu.budget.SetEntries(entries)
	s.cfg.Metrics.EntryWarmingEndpoints(s.mu.entry.Table.Warming(s.now()))
}

// TakeUsage returns the usage of customers and the demand for models since the
// last call, and resets both.
func (s *Server) TakeUsage() (usage map[string]directory.Usage, demand map[string]*Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage, demand = s.mu.buckets.TakeUsage(), s.mu.demand
	s.mu.demand = map[string]*Demand{}
	s.mu.entry.ForEachWaiting(func(q *pool.Query) {
		demandOf(demand, q.Model, "").Waiting++
		if q.Adapter != "" {
			demandOf(demand, q.Model, q.Adapter).Waiting++
		}
	})
	return usage, demand
}

// takeSlowdowns returns what endpoints stated of their speed since the last call.
func (s *Server) takeSlowdowns() []*peerv1.EndpointSlowdown {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.entry.Table.TakeSlowdowns()
}

func demandOf(m map[string]*Demand, model, adapter string) *Demand {
	key := model
	if adapter != "" {
		key = model + "/" + adapter
	}
	d := m[key]
	if d == nil {
		d = &Demand{}
		m[key] = d
	}
	return d
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.cfg.Metrics.OpenRequests(int(s.open.Add(1)))
	defer func() { s.cfg.Metrics.OpenRequests(int(s.open.Add(-1))) }()
	c := &call{server: s, w: w, arrived: s.now(), takesChunks: r.ProtoAtLeast(1, 1), req: s.cfg.Codec.DecodeRequest(r)}
	c.ctx = r.Context()
	c.serve(r)
}

// controlAge returns the time since the last response of a control VM, which is the
// age of this entry's catalog, list of endpoints and shares.
func (s *Server) controlAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - s.mu.buckets.lastContact
}

// logFirstServed logs the first request that this process served: the end of its
// recovery from a restart.
func (s *Server) logFirstServed(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.hasServed {
		return
	}
	s.mu.hasServed = true
	s.cfg.Log.Info("first request served", "service", service, "catalog", s.index.Load().Version(), "since_start_ms", s.now().Milliseconds())
}

// Open returns the number of in-flight requests.
func (s *Server) Open() int { return int(s.open.Load()) }

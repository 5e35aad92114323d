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

// Metrics receives counts; calls must not block.
type Metrics interface {
	Refusal(code resultcode.Code)
	Retry(reason string)
	OpenRequests(n int)
	// Answered reports the time of a whole answer, Streamed the time to the first
	// event and the longest pause of a stream.
	Answered(took time.Duration)
	Streamed(first, pause time.Duration)
}

// Loader asks the leader for a model or adapter that is resident nowhere.
type Loader interface {
	// Load returns the expected time until it is resident.
	Load(ctx context.Context, model, adapter string) (time.Duration, error)
}

// Config holds what a Server needs.
type Config struct {
	Codec   Codec
	Client  exchange.Client
	Loader  Loader
	Metrics Metrics
	// Send sends a datagram to another entry; it may be lost.
	Send func(to string, m *peerv1.PlaceMessage)
	// Self is where this entry takes such datagrams, and names its incarnation.
	Self pool.Sender
	// DataCentre is where this entry is.
	DataCentre string
	Log        *slog.Logger
	// RetryWindow, RetryRatio and RetrySlack bound further attempts for a service
	// over all entries.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time
	log   *limitedLog
	index atomic.Pointer[catalog.Index]
	open  atomic.Int64
	// leaving is closed once the process was told to stop.
	leaving chan struct{}

	mu struct {
		sync.Mutex
		entry    *pool.Entry
		buckets  *Buckets
		budget   *RetryBudget
		queue    pool.Queue // requests for plain services
		demand   map[string]*Demand
		loading  map[pool.MissingModel]bool
		known    bool // a list of endpoints has arrived
		suspects suspects
	}
}

// Demand is what was asked of a model or an adapter since the last report.
type Demand struct {
	Requests, Waiting int
	// Work is in prompt tokens.
	Work uint64
}

// New returns a Server that refuses everything until it has a catalog.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now(), log: newLimitedLog(c.Log), leaving: make(chan struct{})}
	s.mu.entry = pool.NewEntry(c.Self, c.DataCentre)
	s.mu.buckets = NewBuckets()
	s.mu.budget = NewRetryBudget(c.RetryWindow, c.RetryRatio, c.RetrySlack)
	s.mu.demand = map[string]*Demand{}
	s.mu.loading = map[pool.MissingModel]bool{}
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Ready says whether the entry can serve.
func (s *Server) Ready() bool {
	s.mu.Lock()
	known := s.mu.known
	s.mu.Unlock()
	return known && s.index.Load() != nil && !s.isLeaving()
}

// Drain makes the entry report not ready and refuses the requests that wait:
// another entry can serve them, and this one may not live until they get a
// place. It must be called once.
func (s *Server) Drain() { close(s.leaving) }

func (s *Server) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// Index returns the present catalog, or nil.
func (s *Server) Index() *catalog.Index { return s.index.Load() }

// SetCatalog takes over a newer catalog; an older one is ignored.
func (s *Server) SetCatalog(x *catalog.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.index.Load(); old != nil && old.Version() >= x.Version() {
		return
	}
	s.index.Store(x)
	s.cfg.Log.Info("catalog in force", "version", x.Version(), "routes", len(x.Catalog().Routes))
}

// SetEndpoints takes over a list of endpoints.
func (s *Server) SetEndpoints(list []pool.Endpoint) {
	s.step(func(now time.Duration, e *pool.Entry) {
		e.SetEndpoints(now, list)
		s.mu.known = true
		s.mu.queue.Dispatch(now, e.Table)
	})
}

// SetEntries takes over the addresses of all entries.
func (s *Server) SetEntries(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.entry.Owners.SetEntries(addresses)
}

// step makes one step of the exchange of places and sends what it has to say, in
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

// Receive takes over a datagram of another entry.
func (s *Server) Receive(m *peerv1.PlaceMessage) {
	s.step(func(now time.Duration, e *pool.Entry) { e.Step(now, m) })
}

// Run does what time makes due, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(pool.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.step(func(now time.Duration, e *pool.Entry) {
				e.Tick(now)
				s.mu.queue.Dispatch(now, e.Table)
			})
		}
	}
}

// SetShares takes over this entry's parts of the customers' rates.
func (s *Server) SetShares(shares map[string]directory.Share, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.buckets.SetShares(s.now(), shares, entries)
	s.mu.budget.SetEntries(entries)
}

// TakeUsage returns and forgets what customers and models were asked for.
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
	c := &call{server: s, w: w, arrived: s.now(), req: s.cfg.Codec.DecodeRequest(r)}
	c.ctx = r.Context()
	c.serve(r)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int { return int(s.open.Load()) }

package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/protocol/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Metrics receives counts; calls must not block.
type Metrics interface {
	Refusal(code resultcode.Code)
	Retry(reason string)
	OpenRequests(n int)
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
	Log     *slog.Logger
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
		table   *Table
		buckets *Buckets
		budget  *Budget
		queue   queue
		demand  map[string]*Demand
		loading map[string]bool
		// ready is when a model that is resident nowhere is expected.
		ready map[string]time.Duration
		known   bool // a list of endpoints has arrived
	}
}

// Demand is what was asked of a model or an adapter since the last report.
type Demand struct {
	Requests, Waiting int
	Tokens            uint64
}

// New returns a Server that refuses everything until it has a catalog.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now(), log: newLimitedLog(c.Log), leaving: make(chan struct{})}
	s.mu.table = NewTable()
	s.mu.buckets = NewBuckets()
	s.mu.budget = NewBudget(c.RetryWindow, c.RetryRatio, c.RetrySlack)
	s.mu.demand = map[string]*Demand{}
	s.mu.loading = map[string]bool{}
	s.mu.ready = map[string]time.Duration{}
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

// Leave makes the entry report not ready and refuses the requests that wait:
// another entry can serve them, and this one may not live until they get a
// place. It must be called once.
func (s *Server) Leave() { close(s.leaving) }

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
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Update(s.now(), list)
	s.mu.known = true
	s.mu.queue.dispatch(s.now(), s.mu.table)
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
	for _, w := range s.mu.queue.list {
		if w.query.Model == "" {
			continue
		}
		d := demandOf(demand, w.query.Model, "")
		d.Waiting++
		if w.query.Adapter != "" {
			demandOf(demand, w.query.Model, w.query.Adapter).Waiting++
		}
	}
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
	c := &call{server: s, w: w, arrived: s.now(), req: s.cfg.Codec.Decode(r)}
	c.ctx = r.Context()
	c.serve(r)
}

// Open returns the number of requests in progress.
func (s *Server) Open() int { return int(s.open.Load()) }

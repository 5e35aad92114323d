package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
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
	// Tell sends a datagram with an update to every other entry; it may be lost.
	Tell func(u *peerv1.LoadUpdate)
	// With more entries than AtOnceLimit they collect what they tell each other.
	AtOnceLimit int
	// DataCentre is where this entry is. With more entries than ExchangeLimit it
	// hears the loads of its own data centre only.
	DataCentre    string
	ExchangeLimit int
	// Name is this incarnation of the entry in updates.
	Name string
	Log  *slog.Logger
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
		known bool // a list of endpoints has arrived
		// seq numbers updates; flushing and heard say that a timer is pending.
		seq      uint64
		flushing bool
		heard    bool
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
	s.dispatchLocked()
}

// dispatchLocked gives places to waiting requests. Other entries wait for the
// same engines, so they are told at once where a place was taken; other changes
// are told within the usual delay.
func (s *Server) dispatchLocked() {
	waiting := len(s.mu.queue.list)
	s.mu.queue.dispatch(s.now(), s.mu.table)
	if len(s.mu.queue.list) < waiting && s.cfg.Tell != nil {
		s.flushLoads()
		return
	}
	s.tellLoads(false)
}

// SetShares takes over this entry's parts of the customers' rates.
func (s *Server) SetShares(shares map[string]directory.Share, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.buckets.SetShares(s.now(), shares, entries)
	s.mu.budget.SetEntries(entries)
	t := s.mu.table
	t.many, t.crowded = entries > s.cfg.AtOnceLimit, entries > s.cfg.ExchangeLimit
	t.dataCentre = s.cfg.DataCentre
	t.preference = xxhash.Sum64String(s.cfg.Name)
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

// tellLoads tells other entries what changed: at once when a request was sent,
// since they would send theirs to the same engine, else within flushDelay. Where
// many listen, nothing is told at once.
// Callers hold the lock.
func (s *Server) tellLoads(now bool) {
	if len(s.mu.table.loads.changed) == 0 || s.cfg.Tell == nil {
		return
	}
	if now && !s.mu.table.many {
		s.flushLoads()
		return
	}
	if s.mu.flushing {
		return
	}
	s.mu.flushing = true
	delay := flushDelay
	if s.mu.table.many {
		delay = flushDelayLarge
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.flushing = false
		s.flushLoads()
	})
}

// flushLoads tells what changed. Callers hold the lock.
func (s *Server) flushLoads() {
	if len(s.mu.table.loads.changed) == 0 {
		return
	}
	s.mu.seq++
	s.cfg.Tell(s.mu.table.update(s.cfg.Name, s.mu.seq, false))
}

// HearLoads takes over an update of another entry. Waiting requests look for
// places a moment later, so that entries do not all take the same one.
func (s *Server) HearLoads(u *peerv1.LoadUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.loads.Take(s.now(), u)
	if len(s.mu.queue.list) == 0 || s.mu.heard {
		return
	}
	s.mu.heard = true
	spread := heardDelaySpread
	if s.mu.table.many {
		spread = heardDelaySpreadMany
	}
	time.AfterFunc(heardDelayMin+rand.N(spread), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.heard = false
		s.dispatchLocked()
	})
}

// heardDelayMin and heardDelaySpread delay the use of a place that another
// entry gave back; that entry has waiting requests of its own. Where there are
// many entries the first that takes the place has to be heard by the others,
// which takes 2 to 3 ms, before most of them look.
const (
	heardDelayMin        = time.Millisecond
	heardDelaySpread     = 5 * time.Millisecond
	heardDelaySpreadMany = 40 * time.Millisecond
)

// RefreshLoads repeats the whole load now and then, until ctx ends: updates can
// be lost, and new entries know nothing.
func (s *Server) RefreshLoads(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, refreshInterval)
		s.mu.Lock()
		s.mu.seq++
		u := s.mu.table.update(s.cfg.Name, s.mu.seq, true)
		s.mu.Unlock()
		s.cfg.Tell(u)
	}
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

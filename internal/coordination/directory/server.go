package directory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of the leader's work.
const (
	// workInterval is the pause between looks at what is due.
	workInterval = 100 * time.Millisecond
	// listInterval is the pause between calls of the platform's list. Leaving
	// endpoints have to be known everywhere within its draining time of seconds.
	listInterval = 900 * time.Millisecond
	// reportInterval is the pause between reports of one engine.
	reportInterval = time.Second
	// movingReportInterval is the same for an engine that carries out an order.
	movingReportInterval = 250 * time.Millisecond
	// callLimit bounds one call to an engine, listLimit the calls for all pages of
	// the platform's list.
	callLimit = time.Second
	listLimit = 3 * time.Second
	// planPart is the part of the time that rounds of the planner may take: with
	// thousands of engines a round takes longer than workInterval allows.
	planPart = 0.1
	// publishPerEntry is the time between two versions of what entries are told, for
	// each entry: every version is an answer to each of them.
	publishPerEntry = time.Millisecond
	// peersInterval bounds how often entries are told of other entries: after a
	// restart of all of them each one that comes back would be news to the others.
	peersInterval = 300 * time.Millisecond
)

// Leadership is what the directory needs of the control role.
type Leadership interface {
	// Leading returns the term in which this VM leads.
	Leading(ctx context.Context) (term uint64, leading bool)
	// ConfirmOwnership returns the fencing token once a quorum has confirmed that
	// this VM leads now.
	ConfirmOwnership(ctx context.Context) (fence uint64, err error)
	// Catalog returns the newest applied catalog, which is nil before the first,
	// and the control VMs.
	Catalog(ctx context.Context) (*statev1.Catalog, []*statev1.Member, error)
	// Leader returns the address of the present leader, or "", and the control
	// VMs.
	Leader(ctx context.Context) (string, []*statev1.Member, error)
	// CatalogChanged is closed when a catalog newer than the version is applied.
	CatalogChanged(version uint64) <-chan struct{}
}

// Config holds what a Server needs.
type Config struct {
	Leadership Leadership
	Platform   Platform
	// Decode decodes a catalog's document.
	Decode func(document []byte) (*catalog.Catalog, error)
	// Holder names this VM in orders.
	Holder string
	// OrderLease is how long orders of an earlier leader exclude this one's.
	OrderLease time.Duration
	Metrics    Metrics
	Log        *slog.Logger
}

// Metrics receives counts; calls must not block.
type Metrics interface {
	// ModelMove counts an accepted order by its kind.
	ModelMove(kind string)
}

// Server is the directory of one control VM. It is safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time

	mu struct {
		sync.Mutex
		term     uint64 // zero while another VM leads
		since    time.Duration
		planner  *Planner
		shares   *Shares
		suspects *Suspects
		list     []Endpoint
		listed   bool
		version  uint64
		changed  chan struct{} // closed and replaced with each version
		// published is what entries are told, with the version of each change; an
		// entry older than complete gets the whole list.
		published map[string]*published
		complete  uint64
		gone      []gone // by version
		packed    packedList
		index     *catalog.Index
		nextList  time.Duration
		listing   bool
		reports   *reportCalls
		// publishedAt is when the last version was made; publishing says that a timer
		// for the next one runs.
		publishedAt time.Duration
		publishing  bool
		nextPlan    time.Duration
	}
}

// New returns a Server; Run starts it.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now()}
	s.mu.changed = make(chan struct{})
	s.mu.published = map[string]*published{}
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run works while this VM leads, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.work(ctx)
		}
	}
}

func (s *Server) work(ctx context.Context) {
	term, leading := s.cfg.Leadership.Leading(ctx)
	if !leading {
		term = 0
	}
	s.setTerm(term)
	if term == 0 {
		return
	}
	s.updateCatalog(ctx)
	s.startList(ctx)
	s.startReports(ctx)
	for _, d := range s.plan() {
		go func() { _, _ = s.send(ctx, d) }() // the outcome is logged and planned with
	}
}

func (s *Server) setTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == term {
		return
	}
	s.cfg.Log.Info("directory term", "term", term, "before", s.mu.term)
	s.mu.term = term
	s.mu.since = s.now()
	s.mu.planner = NewPlanner(s.now())
	s.mu.shares = NewShares()
	s.mu.suspects = NewSuspects()
	s.mu.list, s.mu.listed = nil, false
	s.mu.nextList, s.mu.listing = 0, false
	s.mu.reports = newReportCalls(s.now())
	s.mu.nextPlan = 0
	s.publishLocked()
	s.mu.complete = s.mu.version
	s.mu.gone, s.mu.packed = nil, packedList{}
}

func (s *Server) updateCatalog(ctx context.Context) {
	c, _, err := s.cfg.Leadership.Catalog(ctx)
	if err != nil || c == nil {
		return
	}
	s.mu.Lock()
	current := s.mu.index
	s.mu.Unlock()
	if current != nil && current.Version() == c.GetVersion() {
		return
	}
	decoded, err := s.cfg.Decode(c.GetDocument())
	if err != nil {
		s.cfg.Log.Error("committed catalog cannot be decoded", "version", c.GetVersion(), "error", err)
		return
	}
	s.mu.Lock()
	s.mu.index = catalog.NewIndex(decoded)
	s.mu.Unlock()
}

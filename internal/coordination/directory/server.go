package directory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/suspect"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Intervals and time-outs of the leader's work.
const (
	// workInterval is the interval at which the leader checks what is due.
	workInterval = 100 * time.Millisecond
	// listInterval is the pause between calls of the platform's list. All entries have
	// to know a leaving endpoint within its draining time, which is a few seconds.
	listInterval = 900 * time.Millisecond
	// restartListInterval is the same for restartListTime after an engine has restarted:
	// the platform lists its new incarnation, which can take orders, somewhat later.
	restartListInterval = 200 * time.Millisecond
	restartListTime     = 2 * time.Second
	// reportInterval is the pause between reports of one engine.
	reportInterval = time.Second
	// busyReportInterval is the same for an engine that carries out an order.
	busyReportInterval = 250 * time.Millisecond
	// engineCallTimeout bounds one call to an engine, pageTimeout one call for a page
	// of the platform's list.
	engineCallTimeout = time.Second
	pageTimeout       = 3 * time.Second
	// maxPageAttempts bounds the calls for one page, with pageRetryDelay in between: the
	// platform refuses calls beyond its rate.
	maxPageAttempts = 3
	pageRetryDelay  = 100 * time.Millisecond
	// maxListPages bounds a list whose pages always name a next one.
	maxListPages = 10_000
	// planTimeFraction is the fraction of the time that planning rounds may take: with
	// thousands of engines a round takes longer than workInterval.
	planTimeFraction = 0.1
	// publishIntervalPerEntry, times the number of entries, is the least time between
	// two published versions that change only models or loads: each version is sent to
	// every entry.
	publishIntervalPerEntry = time.Millisecond
	// peersInterval is the least time between two versions of the list of entries:
	// after a restart of all entries, each one that reconnects would cause a new
	// version for all others.
	peersInterval = 300 * time.Millisecond
	// peersDelay is how long after its election a leader sends its list of entries only
	// to control VMs that have none; the others keep theirs. Until all control VMs have
	// reported, the leader's list lacks entries, and the shares of limits and warm-up rates that entries derive from
	// it would add up to more than the whole.
	peersDelay = time.Second
	// frozenTime is the time between two rounds of the leader's work from which this
	// process counts as frozen. Another VM may have become the leader meanwhile and have
	// published an evacuation that this one does not know.
	frozenTime = 3 * time.Second
)

// Leadership is the part of the control role that the directory uses.
type Leadership interface {
	// Leading returns the term in which this VM leads.
	Leading(ctx context.Context) (term uint64, leading bool)
	// ConfirmOwnership returns the fencing token once a quorum has confirmed that
	// this VM leads now.
	ConfirmOwnership(ctx context.Context) (fence uint64, err error)
	// Catalog returns the latest applied catalog, which is nil before the first, and
	// the control VMs.
	Catalog(ctx context.Context) (*statev1.Catalog, []*statev1.Member, error)
	// Leader returns the address of the current leader, or "" if it is not known, and
	// the control VMs.
	Leader(ctx context.Context) (string, []*statev1.Member, error)
	// StreamRoutesChanged returns the version of the catalog that last replaced other routes
	// with resumable streams, zero if none did, and how long ago that was. It fails unless
	// this VM leads.
	StreamRoutesChanged(ctx context.Context) (catalogVersion uint64, ago time.Duration, err error)
	// CatalogChanged is closed when a catalog newer than the version is applied.
	CatalogChanged(version uint64) <-chan struct{}
}

// Config configures a Server.
type Config struct {
	Leadership Leadership
	Quarantine QuarantineStore
	// Evacuations may be nil if no data centre is ever evacuated.
	Evacuations EvacuationStore
	// Versions may be nil if this VM is never replaced as the leader: without it no other
	// leader learns which software versions are in use.
	Versions VersionStore
	Platform Platform
	// Decode decodes a catalog's document.
	Decode func(document []byte) (*catalog.Catalog, error)
	// Holder names this VM in orders.
	Holder string
	// OrderLease is how long an order of an earlier leader excludes those of a new one.
	// A new leader sends no orders in that time.
	OrderLease time.Duration
	Metrics    Metrics
	Log        *slog.Logger
}

// Metrics receives counts; calls must not block.
type Metrics interface {
	// EngineOrder counts an accepted order by its kind.
	EngineOrder(kind string)
	// WarmingEndpoints records how many endpoints warm up by the leader's list.
	WarmingEndpoints(n int)
	// RecordedStreams records for how many streams the leader knows the software version.
	RecordedStreams(n int)
	// StreamAnswer counts an answer about a stream by its kind, a StreamAnswer.
	StreamAnswer(kind string)
}

// Server is the directory of one control VM. It is safe for concurrent use.
type Server struct {
	cfg   Config
	start time.Time

	mu struct {
		sync.Mutex
		term      uint64 // zero while another VM leads
		termStart time.Duration
		planner   *Planner
		warmUps   *WarmUps
		levels    *Levels
		watchers  *watchers
		suspects  *suspect.Register
		// listedSuspects is the list of suspects as last sent to followers, and
		// suspectsVersion its number in this term.
		listedSuspects  []suspect.Suspect
		suspectsVersion uint64
		quarantineSave  quarantineSave
		evacuations     evacuations
		versions        *StreamVersions
		versionsSave    versionsSave
		countedStreams  int        // as last recorded in the metrics
		list            []Endpoint // as the platform lists them
		listed          bool
		published       *endpointList // as sent to the control VMs
		changed         chan struct{} // closed and replaced with each published version
		index           *catalog.Index
		nextList        time.Duration
		// listInFlight is set during a call of the platform's list.
		listInFlight bool
		reports      *reportScheduler
		// allPolled is set once every engine has been polled in this term.
		allPolled bool
		// publishedAt is when the last version was published; publishScheduled is set while
		// a timer for the next one runs.
		publishedAt      time.Duration
		publishScheduled bool
		nextPlan         time.Duration
		// workedAt is when this VM last knew that it leads; zero before the first time.
		workedAt time.Duration
	}
}

// New returns a Server; Run starts it.
func New(c Config) *Server {
	s := &Server{cfg: c, start: time.Now()}
	s.mu.changed = make(chan struct{})
	s.mu.published = newEndpointList()
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run does the leader's work while this VM leads, until ctx ends.
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
	if leading && !s.stillLeads(ctx) {
		return
	}
	if !leading {
		term = 0
	}
	if err := s.startTerm(ctx, term); err != nil {
		s.cfg.Log.Warn("term not started: the quarantine or the evacuations cannot be read", "term", term, "error", err)
		return
	}
	if term == 0 {
		return
	}
	s.saveVersions(ctx)
	s.countStreams()
	s.updateEvacuations(ctx)
	s.updateCatalog(ctx)
	s.updateWarmUps()
	s.evaluateSuspects()
	s.saveQuarantine(ctx)
	s.startList(ctx)
	s.startReports(ctx)
	for _, d := range s.plan() {
		go func() { _, _ = s.send(ctx, d) }() // send logs the outcome and records it in the planner
	}
}

// stillLeads records that this VM leads. After a freeze of this process a quorum has to
// confirm that first.
func (s *Server) stillLeads(ctx context.Context) bool {
	s.mu.Lock()
	frozen := s.frozenLocked()
	s.mu.Unlock()
	if frozen {
		if _, err := s.cfg.Leadership.ConfirmOwnership(ctx); err != nil {
			s.cfg.Log.Info("leadership not confirmed after a freeze", "error", err)
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.workedAt = s.now()
	return true
}

// frozenLocked reports whether this process was frozen while it led, so that another VM
// may lead now.
func (s *Server) frozenLocked() bool {
	return s.mu.term != 0 && s.mu.workedAt != 0 && s.now()-s.mu.workedAt >= frozenTime
}

func (s *Server) evaluateSuspects() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluateSuspectsLocked()
}

// startTerm begins a term if it is new, with the quarantine and the evacuations of
// earlier terms. Term zero means that another VM leads.
func (s *Server) startTerm(ctx context.Context, term uint64) error {
	s.mu.Lock()
	current := s.mu.term
	s.mu.Unlock()
	if term == current {
		return nil
	}
	var stored []*statev1.QuarantinedTrait
	var evacuated evacuations
	if term != 0 {
		var err error
		if stored, err = s.cfg.Quarantine.Quarantine(ctx); err != nil {
			return err
		}
		if evacuated, err = s.readEvacuations(ctx); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.evacuations = evacuated
	s.setTermLocked(term)
	for _, dataCentre := range evacuated.endedLately {
		s.mu.warmUps.EvacuationEnded(s.now(), dataCentre)
	}
	s.restoreQuarantineLocked(stored)
	return nil
}

func (s *Server) setTermLocked(term uint64) {
	s.cfg.Log.Info("directory term changed", "term", term, "before", s.mu.term)
	s.mu.term = term
	s.mu.termStart = s.now()
	s.mu.planner = NewPlanner(s.now())
	if s.mu.warmUps != nil && s.mu.warmUps.Count() > 0 {
		s.cfg.Metrics.WarmingEndpoints(0)
	}
	s.mu.warmUps = NewWarmUps()
	s.mu.levels = NewLevels()
	s.mu.watchers = newWatchers()
	s.mu.suspects, s.mu.listedSuspects, s.mu.suspectsVersion = suspect.New(), nil, 0
	s.mu.versions, s.mu.versionsSave = NewStreamVersions(s.cfg.Versions != nil), versionsSave{}
	s.countStreamsLocked()
	s.mu.list, s.mu.listed = nil, false
	s.mu.nextList, s.mu.listInFlight = 0, false
	s.mu.reports, s.mu.allPolled = newReportScheduler(s.now()), false
	s.mu.nextPlan = 0
	s.mu.published.begin(term, 0)
	s.publishLocked()
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

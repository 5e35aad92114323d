package placement

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

const (
	// tickInterval is the time between two planning rounds. tickIntervalLarge
	// applies above largeFleetEndpoints, where a round takes longer, and keeps the
	// planner within its share of a core.
	tickInterval        = 100 * time.Millisecond
	tickIntervalLarge   = maxPlanIntervalMs * time.Millisecond
	largeFleetEndpoints = 100
	// idleInterval is how often a control VM that is not the leader checks whether
	// it has become the leader.
	idleInterval       = 200 * time.Millisecond
	callTimeout        = 2 * time.Second
	maxParallelCommits = 8
	// maxInFlightOrders bounds the orders that are sent and not yet answered.
	maxInFlightOrders = 256
)

// Control is the part of the control role that the Owner uses.
type Control interface {
	// Propose commits a command if this VM leads. It never forwards the command.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Read calls f with the applied state.
	Read(ctx context.Context, f func(m *fleet.Machine)) error
	// SetResidency publishes the residency to the entries.
	SetResidency(ctx context.Context, list []*peerv1.EndpointResidency) error
	// Leading returns the current term and whether this VM leads in it.
	Leading(ctx context.Context) (term uint64, leading bool)
}

// Config holds the dependencies of an Owner.
type Config struct {
	// Member identifies this control VM.
	Member  uint64
	Control Control
	Engine  engine.Engine
	// Platform lists the VMs that are leaving; it may be nil.
	Platform engine.Platform
	// Now returns a monotonic time. The default is the clock of the process.
	Now    func() time.Duration
	Logger *slog.Logger
	// OnOrderDone, if set, is called for each order that an engine carried out.
	// It must not block.
	OnOrderDone func(kind engine.OrderKind)
}

// Owner runs the Planner and issues its orders while its control VM leads.
type Owner struct {
	cfg         Config
	poller      *poller
	pollLimiter *rate.Limiter

	mu      sync.Mutex
	meter   *Meter
	leading bool
	term    uint64
	token   uint64
	// answeredMs is the fleet time, by endpoint, of the last response to an order.
	// Reports requested before that time may contradict the response.
	answeredMs map[string]uint64
	clock      fleetClock

	planner    *Planner
	published  []*peerv1.EndpointResidency
	blocked    []string
	observedMs map[string]uint64 // time of the last report submitted to the ledger
	sends      sync.WaitGroup
	sendSlots  chan struct{}
}

// fleetClock estimates the leader's fleet time between two commands. The
// estimate is never ahead of the leader's fleet time.
type fleetClock struct {
	ms uint64
	at time.Duration
}

func (c *fleetClock) set(ms uint64, now time.Duration) {
	if c.ms == 0 || ms > c.now(now) {
		c.ms, c.at = ms, now
	}
}

func (c *fleetClock) now(now time.Duration) uint64 {
	return c.ms + uint64((now - c.at).Milliseconds())
}

// NewOwner returns an owner that does nothing until Run.
func NewOwner(cfg Config) *Owner {
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Owner{
		cfg:         cfg,
		poller:      newPoller(),
		pollLimiter: rate.NewLimiter(pollsPerSecond, maxParallelPolls),
		meter:       NewMeter(),
		answeredMs:  make(map[string]uint64),
		planner:     NewPlanner(),
		observedMs:  make(map[string]uint64),
		sendSlots:   make(chan struct{}, maxInFlightOrders),
	}
}

// ObserveDemand records the demand that an entry reports for the time since its
// last report. It does not block.
func (o *Owner) ObserveDemand(session *statev1.Session, demand []*peerv1.ModelDemand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meter.Add(o.cfg.Now(), session.GetVm()+"/"+session.GetIncarnation(), demand)
}

// Run manages placement whenever this VM leads, until ctx ends. Orders that were
// sent are not cancelled.
func (o *Owner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return o.pollLoop(ctx) })
	g.Go(func() error { return o.platformLoop(ctx) })
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(o.tick(ctx)):
			}
		}
	})
	err := g.Wait()
	o.sends.Wait()
	return err
}

// tick runs one planning round and returns the pause until the next.
func (o *Owner) tick(ctx context.Context) time.Duration {
	if !o.ensureOwnership(ctx) {
		return idleInterval
	}
	v, err := o.buildView(ctx)
	if err != nil {
		o.cfg.Logger.Warn("placement: cannot read the fleet state", "error", err)
		return idleInterval
	}
	if v.Ledger.Token != o.currentToken() {
		o.relinquish() // another owner took over; the next tick takes ownership again if this VM leads
		return idleInterval
	}
	o.observeReports(ctx, v)
	plan := o.planner.Plan(v)
	o.publishResidency(ctx, plan.Residency)
	o.issue(ctx, plan.Orders)
	if !slices.Equal(o.blocked, plan.Blocked) {
		o.blocked = plan.Blocked
		o.cfg.Logger.Warn("placement: models have too few replicas and no engine can load them now", "models", plan.Blocked)
	}
	if len(v.Config.GetEndpoints()) > largeFleetEndpoints {
		return tickIntervalLarge
	}
	return tickInterval
}

// ensureOwnership reports whether this VM owns placement, and takes ownership if
// it leads and does not own it yet.
func (o *Owner) ensureOwnership(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	term, leading := o.cfg.Control.Leading(ctx)
	if !leading {
		o.relinquish()
		return false
	}
	if o.ownsTerm(term) {
		return true
	}
	o.relinquish()
	r, err := o.cfg.Control.Propose(ctx, &statev1.Command{Op: &statev1.Command_TakeOwnership{
		TakeOwnership: &statev1.TakeOwnership{Owner: o.cfg.Member},
	}})
	if err != nil || r.GetCode() != 0 {
		o.cfg.Logger.Warn("placement: cannot take ownership", "error", err, "code", r.GetCode())
		return false
	}
	o.cfg.Logger.Info("placement: this VM owns placement", "fencing_token", r.GetIndex(), "term", term)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leading, o.term, o.token = true, term, r.GetIndex()
	o.clock = fleetClock{}
	return true
}

func (o *Owner) ownsTerm(term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leading && o.term == term
}

// relinquish gives up ownership and discards the state that is only valid for the
// owner.
func (o *Owner) relinquish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.leading {
		return
	}
	o.leading, o.token = false, 0
	clear(o.answeredMs)
	clear(o.observedMs)
	o.published = nil
	o.poller.reset()
}

func (o *Owner) currentToken() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token
}

// buildView collects the input of a plan.
func (o *Owner) buildView(ctx context.Context) (*View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := &View{}
	var ms uint64
	err := o.cfg.Control.Read(ctx, func(m *fleet.Machine) {
		v.Config = m.Config()
		v.Ledger = ReadLedger(m)
		v.Evacuated = readEvacuated(m)
		ms = m.FleetTime()
	})
	if err != nil {
		return nil, err
	}
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clock.set(ms, now)
	v.NowMs = o.clock.now(now)
	v.Demand = o.meter.Read(now)
	v.LostAfterMs = o.poller.update(v)
	v.Reports, v.Leaving = o.poller.latest()
	return v, nil
}

// fleetNow returns the estimated fleet time, or zero before the first view.
func (o *Owner) fleetNow() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.clock.ms == 0 {
		return 0
	}
	return o.clock.now(o.cfg.Now())
}

// observeReports submits the reports to the ledger that differ from it or that
// close orders. The content of a report may be as old as maxReportLagMs, so it is
// submitted with a request time that much earlier.
func (o *Owner) observeReports(ctx context.Context, v *View) {
	g := errgroup.Group{}
	g.SetLimit(maxParallelCommits)
	for _, e := range v.Config.GetEndpoints() {
		name := e.GetName()
		l, known := v.Ledger.Engines[name]
		r, reported := v.Reports[name]
		if !known || !reported || r.RequestedMs <= maxReportLagMs || o.observedMs[name] == r.RequestedMs {
			continue
		}
		requestedMs := r.RequestedMs - maxReportLagMs
		if requestedMs <= o.lastAnsweredMs(name) && !closesOrder(l, requestedMs) || !differsFromLedger(l, r) && !closesOrder(l, requestedMs) {
			continue
		}
		o.observedMs[name] = r.RequestedMs
		c := &statev1.EndpointObserved{FencingToken: v.Ledger.Token, Endpoint: name, AskedAtMs: requestedMs, Resident: residents(r)}
		g.Go(func() error {
			o.propose(ctx, &statev1.Command{Op: &statev1.Command_EndpointObserved{EndpointObserved: c}})
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owner) lastAnsweredMs(endpoint string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answeredMs[endpoint]
}

// closesOrder reports whether a report requested at that time closes an order.
func closesOrder(l EngineLedger, requestedMs uint64) bool {
	for i := range l.Orders {
		if l.Orders[i].ExpiresMs() <= requestedMs {
			return true
		}
	}
	return false
}

// differsFromLedger reports whether a report's models differ from those of the
// ledger, or the ledger has no report of the engine yet.
func differsFromLedger(l EngineLedger, r Report) bool {
	if !l.Observed {
		return true
	}
	return !slices.EqualFunc(l.Resident, residents(r), func(a, b *statev1.ResidentModel) bool {
		return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetMemoryMb() == b.GetMemoryMb()
	})
}

func (o *Owner) publishResidency(ctx context.Context, list []*peerv1.EndpointResidency) {
	same := func(a, b *peerv1.EndpointResidency) bool { return proto.Equal(a, b) }
	if list == nil || slices.EqualFunc(o.published, list, same) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := o.cfg.Control.SetResidency(ctx, list); err != nil {
		o.cfg.Logger.Warn("placement: cannot publish the residency", "error", err)
		return
	}
	o.published = list
}

// propose commits a command. It returns nil if the command was refused or is not
// known to be applied.
func (o *Owner) propose(ctx context.Context, c *statev1.Command) *statev1.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := o.cfg.Control.Propose(ctx, c)
	if err != nil {
		o.cfg.Logger.Warn("placement: command not confirmed", "error", err)
		return nil
	}
	if r.GetCode() != 0 {
		o.cfg.Logger.Warn("placement: command refused", "code", r.GetCode(), "reason", r.GetMessage())
		return nil
	}
	return r
}

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
	// tickInterval is the time between two plans; tickIntervalLarge keeps the
	// planner of a large fleet under its share of a core.
	tickInterval      = 100 * time.Millisecond
	tickIntervalLarge = runIntervalMs * time.Millisecond
	largeFleet        = 100
	// idleInterval is how often a control VM that does not lead looks whether it
	// does.
	idleInterval    = 200 * time.Millisecond
	callTimeout     = 2 * time.Second
	parallelCommits = 8
	// maxSends bounds the orders under way.
	maxSends = 256
)

// Control is what the owner needs of the control role.
type Control interface {
	// Propose commits a command on this VM if it leads, and never forwards it.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Read calls f with the applied state.
	Read(ctx context.Context, f func(m *fleet.Machine)) error
	SetResidency(ctx context.Context, list []*peerv1.EndpointResidency) error
	// Leading reports whether this VM leads, and its term.
	Leading(ctx context.Context) (term uint64, leading bool)
}

// Config holds what an Owner needs.
type Config struct {
	// Member identifies this control VM.
	Member  uint64
	Control Control
	Engine  engine.Engine
	// Platform may be nil.
	Platform engine.Platform
	// Now returns a monotonic time; the process's clock if nil.
	Now    func() time.Duration
	Logger *slog.Logger
	// Moved, if set, is called for each order that an engine carried out. It must
	// not block.
	Moved func(kind engine.OrderKind)
}

// Owner places models while its control VM leads.
type Owner struct {
	cfg   Config
	polls *poller
	limit *rate.Limiter

	mu      sync.Mutex
	meter   *Meter
	leading bool
	term    uint64
	token   uint64
	// changed is the fleet time, by endpoint, of the last answer to an order.
	// Reports asked for before then may contradict it.
	changed map[string]uint64
	fleet   fleetClock

	planner   *Planner
	published []*peerv1.EndpointResidency
	blocked   []string
	observed  map[string]uint64 // fleet time of the last report handed on
	sends     sync.WaitGroup
	slots     chan struct{}
}

// fleetClock estimates the leader's fleet time between two commands. The
// estimate is never ahead of the leader's own.
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
		cfg:      cfg,
		polls:    newPoller(),
		limit:    rate.NewLimiter(pollsPerSecond, parallelPolls),
		meter:    NewMeter(),
		changed:  make(map[string]uint64),
		planner:  NewPlanner(),
		observed: make(map[string]uint64),
		slots:    make(chan struct{}, maxSends),
	}
}

// Demand takes what an entry saw since its last report. It does not block.
func (o *Owner) Demand(session *statev1.Session, demand []*peerv1.ModelDemand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.meter.Add(o.cfg.Now(), session.GetVm()+"/"+session.GetIncarnation(), demand)
}

// Run places models whenever this VM leads, until ctx ends. Orders that were
// sent are not recalled.
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

// tick does one round and returns the pause until the next.
func (o *Owner) tick(ctx context.Context) time.Duration {
	if !o.lead(ctx) {
		return idleInterval
	}
	v, err := o.view(ctx)
	if err != nil {
		o.cfg.Logger.Warn("placement: cannot read the fleet state", "error", err)
		return idleInterval
	}
	if v.Ledger.Token != o.currentToken() {
		o.leave() // another owner took over; lead decides whether to take it back
		return idleInterval
	}
	o.observe(ctx, v)
	plan := o.planner.Plan(v)
	o.publish(ctx, plan.Residency)
	o.issue(ctx, plan.Orders)
	if !slices.Equal(o.blocked, plan.Blocked) {
		o.blocked = plan.Blocked
		o.cfg.Logger.Warn("placement: models that cannot get the copies they need now", "models", plan.Blocked)
	}
	if len(v.Config.GetEndpoints()) > largeFleet {
		return tickIntervalLarge
	}
	return tickInterval
}

// lead makes sure that this VM owns placement if it leads.
func (o *Owner) lead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	term, leading := o.cfg.Control.Leading(ctx)
	if !leading {
		o.leave()
		return false
	}
	if o.leads(term) {
		return true
	}
	o.leave()
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
	o.fleet = fleetClock{}
	return true
}

func (o *Owner) leads(term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leading && o.term == term
}

// leave forgets what only the owner may rely on.
func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.leading {
		return
	}
	o.leading, o.token = false, 0
	clear(o.changed)
	clear(o.observed)
	o.published = nil
	o.polls.reset()
}

func (o *Owner) currentToken() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token
}

// view collects what a plan depends on.
func (o *Owner) view(ctx context.Context) (*View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := &View{}
	var ms uint64
	err := o.cfg.Control.Read(ctx, func(m *fleet.Machine) {
		v.Config = m.Config()
		v.Ledger = ReadLedger(m)
		ms = m.FleetTime()
	})
	if err != nil {
		return nil, err
	}
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fleet.set(ms, now)
	v.NowMs = o.fleet.now(now)
	v.Demand = o.meter.Read(now)
	v.LostAfterMs = o.polls.update(v)
	v.Reports, v.Leaving = o.polls.latest()
	return v, nil
}

// fleetNow estimates the fleet time; zero before the first view.
func (o *Owner) fleetNow() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fleet.ms == 0 {
		return 0
	}
	return o.fleet.now(o.cfg.Now())
}

// observe hands reports to the ledger that differ from it or that close orders.
// What a report says may be as old as reportLagMs, so it counts as asked for
// that much earlier.
func (o *Owner) observe(ctx context.Context, v *View) {
	g := errgroup.Group{}
	g.SetLimit(parallelCommits)
	for _, e := range v.Config.GetEndpoints() {
		name := e.GetName()
		l, known := v.Ledger.Engines[name]
		r, reported := v.Reports[name]
		if !known || !reported || r.AskedMs <= reportLagMs || o.observed[name] == r.AskedMs {
			continue
		}
		asked := r.AskedMs - reportLagMs
		if asked <= o.changedAt(name) && !closes(l, asked) || !differs(l, r) && !closes(l, asked) {
			continue
		}
		o.observed[name] = r.AskedMs
		c := &statev1.EndpointObserved{FencingToken: v.Ledger.Token, Endpoint: name, AskedAtMs: asked, Resident: residents(r)}
		g.Go(func() error {
			o.propose(ctx, &statev1.Command{Op: &statev1.Command_EndpointObserved{EndpointObserved: c}})
			return nil
		})
	}
	_ = g.Wait()
}

func (o *Owner) changedAt(endpoint string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed[endpoint]
}

// closes reports whether a report closes an order.
func closes(l EngineLedger, asked uint64) bool {
	for i := range l.Orders {
		if l.Orders[i].ExpiresMs() <= asked {
			return true
		}
	}
	return false
}

// differs reports whether the ledger does not know what a report says.
func differs(l EngineLedger, r Report) bool {
	if !l.Observed {
		return true
	}
	return !slices.EqualFunc(l.Resident, residents(r), func(a, b *statev1.ResidentModel) bool {
		return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetMemoryMb() == b.GetMemoryMb()
	})
}

func (o *Owner) publish(ctx context.Context, list []*peerv1.EndpointResidency) {
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

// propose commits a command; the result is nil if it is not known to be applied
// or was refused.
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

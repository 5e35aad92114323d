package placement

import (
	"cmp"
	"slices"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// LifetimeMs is the lifetime of an order. The memory of a failed load counts
	// until it is over, so it is shorter than the ledger's bound of 30 s.
	LifetimeMs = 10_000
	// runIntervalMs is the longest usual time between two runs of the planner.
	runIntervalMs = 500
	// drainMs is how long a copy gets no new work before it is unloaded. Entries
	// learn of it within 2 s.
	drainMs = 5_000
	// retireMs is the drain time of copies that no other model waits for, such as
	// old versions. Most streams end within it.
	retireMs = 30_000
	// reportLagMs is how old the content of a report may be when it is asked for.
	reportLagMs = 5_000
	// overdueMs is when an order counts as lost if no report shows its effect.
	overdueMs = reportLagMs + 2_000
	// lostLoadMs is how long the loads of a lost engine count at the store.
	lostLoadMs = 10_000
	// reserveMs is how long memory that is being freed waits for its model.
	reserveMs = 120_000
	// settleMs protects a new copy from eviction for the sake of a replica.
	settleMs = 120_000

	// tokensPerSlot is the rate of a running request at the target of 25 ms
	// between tokens.
	tokensPerSlot = 40
	// usableShare leaves room for bursts between two reports.
	usableShare = 0.8
	// idleRate is the rate of requests below which a copy is unloaded without a
	// drain time: less than one request in five drain times.
	idleRate = 0.04
	// benefitSeconds is the time over which a new copy has to pay for its load.
	benefitSeconds = 600
	// loadCost is what a load costs in slot-seconds: about 5 s of slower service
	// on an engine with 64 slots.
	loadCost = 300
	// minGain is the least unmet demand, in slots, that justifies a load, and the
	// double of it one that evicts another copy.
	minGain = float64(loadCost) / benefitSeconds
	// maxReplicaNeeds bounds the replicas considered in one plan; the weight
	// store serves fewer than this in a second.
	maxReplicaNeeds = 16
	// maxOrders bounds the orders of one plan; they are committed before the next.
	maxOrders = 32
)

// faults are deliberately wrong rules. Tests set them to show that they notice.
type faults struct {
	ignoreSole  bool // unload without regard to other copies
	ignoreStore bool // issue loads without regard to the weight store
	ignoreWorst bool // count only what engines report
	noCopies    bool // never reload a model that lost its copies
	restless    bool // replace copies without a gain
}

// Order is an order to issue now.
type Order struct {
	Endpoint string
	Kind     statev1.OrderKind
	Model    string
	Version  string
	MemoryMB uint64
}

// Plan is the result of one run of the planner.
type Plan struct {
	Orders []Order
	// Residency is nil until the engines have had time to report to a new owner;
	// what was published before stays in force.
	Residency []*peerv1.EndpointResidency
	// Blocked names the models whose least copies no engine can take now.
	Blocked []string
	// Unmet is the demand without slots, in requests at once.
	Unmet float64
}

type reservation struct {
	engine  string
	untilMs uint64
	memory  int64
}

// Planner holds what is not in the ledger: drains in progress and memory that
// is being freed. Losing it costs time and nothing else. It is not safe for
// concurrent use.
type Planner struct {
	token     uint64
	draining  map[copyKey]drain
	reserved  map[string]reservation
	confirmed map[uint64]uint64 // order to the time at which its confirmation was seen
	loaded    map[copyKey]uint64
	nextLoad  uint64
	faults    faults
}

// drain is a copy that gets no new work, since a time and for a model.
type drain struct {
	sinceMs uint64
	purpose string
}

// endMs is when the drain time is over.
func (d drain) endMs() uint64 {
	if d.purpose == "" {
		return d.sinceMs + retireMs
	}
	return d.sinceMs + drainMs
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	p := &Planner{}
	p.reset(0)
	return p
}

func (p *Planner) reset(token uint64) {
	p.token = token
	p.draining = make(map[copyKey]drain)
	p.reserved = make(map[string]reservation)
	p.confirmed = make(map[uint64]uint64)
	p.loaded = make(map[copyKey]uint64)
	p.nextLoad = 0
}

func (p *Planner) confirmedAt(id, now uint64) uint64 {
	at, ok := p.confirmed[id]
	if !ok {
		at = now
		p.confirmed[id] = now
	}
	return at
}

// run is one call of Plan.
type run struct {
	*Planner
	*state
	plan Plan
	// wanted are the models with a need.
	wanted map[string]bool
}

// Plan decides what to do now.
func (p *Planner) Plan(v *View) *Plan {
	if p.token != v.Ledger.Token {
		p.reset(v.Ledger.Token)
	}
	r := &run{Planner: p, state: p.newState(v), wanted: map[string]bool{}}
	r.forget()
	if !r.blind {
		r.reserve()
		for _, n := range r.needs() {
			r.wanted[n.model.name()] = true
			r.serve(n)
		}
		r.releaseUnwanted()
		r.fill()
		r.retire()
		r.unload()
		r.publish()
		slices.Sort(r.plan.Blocked)
	}
	for _, m := range r.models {
		r.plan.Unmet += m.unmet()[1]
	}
	return &r.plan
}

// forget drops what is over.
func (r *run) forget() {
	now := r.view.NowMs
	open := map[uint64]bool{}
	for _, e := range r.engines {
		for _, o := range e.ledger.Orders {
			open[o.ID] = true
			if o.Issue.GetKind() == statev1.OrderKind_ORDER_KIND_LOAD_MODEL && r.loadSlack() == 0 {
				r.nextLoad = max(r.nextLoad, o.IssuedMs+r.loadInterval())
			}
		}
	}
	for id := range r.confirmed {
		if !open[id] {
			delete(r.confirmed, id)
		}
	}
	for k, at := range r.loaded {
		if now > at+settleMs {
			delete(r.loaded, k)
		}
	}
	for m, x := range r.reserved {
		if now > x.untilMs || r.byModel[m] == nil || r.byName[x.engine] == nil || !r.byName[x.engine].usable() {
			delete(r.reserved, m)
		}
	}
	for k, d := range r.draining {
		_, wanted := r.reserved[d.purpose]
		if r.find(k) == nil || (d.purpose != "" && !wanted) {
			r.keep(k)
		}
	}
}

// keep ends the drain of a copy.
func (r *run) keep(k copyKey) {
	delete(r.draining, k)
	if c := r.find(k); c != nil {
		c.draining = false
	}
}

func (s *state) find(k copyKey) *copyState {
	e := s.byName[k.engine]
	if e == nil {
		return nil
	}
	for _, c := range e.copies {
		if c.key == k {
			return c
		}
	}
	return nil
}

// loadInterval is the time between two loads at the weight store's rate.
func (s *state) loadInterval() uint64 {
	rate := uint64(s.view.Config.GetPlatform().GetStoreMilliLoadsPerSecond())
	if rate == 0 {
		return 0
	}
	return (1_000_000 + rate - 1) / rate
}

// loadSlack lets a store that is faster than the planner's runs serve several
// loads of one run.
func (s *state) loadSlack() uint64 {
	if s.loadInterval() < runIntervalMs {
		return runIntervalMs
	}
	return 0
}

// mayLoad reports whether the weight store has room for another load. Zero
// limits mean none.
func (r *run) mayLoad() bool {
	if r.faults.ignoreStore {
		return len(r.plan.Orders) < maxOrders
	}
	parallel := int(r.view.Config.GetPlatform().GetStoreParallelLoads())
	return (parallel == 0 || r.loads < parallel) && r.view.NowMs >= r.nextLoad && len(r.plan.Orders) < maxOrders
}

// load orders a load; the caller has checked that it fits.
func (r *run) load(e *engineState, m *modelState) bool {
	if !r.mayLoad() {
		return false
	}
	r.plan.Orders = append(r.plan.Orders, Order{
		Endpoint: e.name(), Kind: statev1.OrderKind_ORDER_KIND_LOAD_MODEL,
		Model: m.name(), Version: m.version(), MemoryMB: m.cfg.GetMemoryMb(),
	})
	now := r.view.NowMs
	r.nextLoad = max(r.nextLoad, now-min(now, r.loadSlack())) + r.loadInterval()
	r.loads++
	e.freeMB -= e.extra(m)
	e.open[m.name()] = true
	c := &copyState{
		key:    copyKey{e.name(), m.name(), m.version()},
		engine: e, memoryMB: m.cfg.GetMemoryMb(), loading: true,
	}
	r.loaded[c.key] = r.view.NowMs
	e.copies = append(e.copies, c)
	m.copies = append(m.copies, c)
	r.spread(1)
	return true
}

// extra is the memory that a load adds to the worst case, which already counts
// pinned models.
func (e *engineState) extra(m *modelState) int64 {
	if e.pinned(m.name()) {
		return 0
	}
	return int64(m.cfg.GetMemoryMb())
}

// removable reports whether the model keeps enough secure copies without c.
func (r *run) removable(c *copyState) bool {
	m := r.byModel[c.key.model]
	if c.unloading || c.loading || c.engine.open[c.key.model] || !c.engine.usable() {
		return false
	}
	if m == nil || r.faults.ignoreSole {
		return true
	}
	if c.engine.pinned(c.key.model) && m.current(c) {
		return false
	}
	// A copy of the new version is not replaced by one of an old version.
	others := m.count(func(o *copyState) bool {
		return o != c && o.secure() && (m.current(o) || !m.current(c))
	})
	return others >= m.min()
}

// drain takes a copy out of use.
func (r *run) drain(c *copyState, purpose string) {
	c.draining = true
	r.draining[c.key] = drain{r.view.NowMs, purpose}
}

// retire drains copies that nobody wants: of models that left the
// configuration, and old versions that new ones replace. Old copies go one at a
// time.
func (r *run) retire() {
	for _, e := range r.engines {
		for _, c := range e.copies {
			if e.usable() && r.byModel[c.key.model] == nil && c.stays() && r.removable(c) {
				r.drain(c, "")
			}
		}
	}
	for _, m := range r.models {
		current := m.count(func(c *copyState) bool { return m.current(c) && c.secure() })
		if current < m.min() || m.count(func(c *copyState) bool { return c.draining && !m.current(c) }) > 0 {
			continue
		}
		for _, c := range m.copies {
			if !m.current(c) && c.stays() && r.removable(c) && m.loss(c).mean() < minGain {
				r.drain(c, "")
				break
			}
		}
	}
}

// unload orders the unloads whose drain time is over, and ends drains that
// would leave a model with too few copies.
func (r *run) unload() {
	keys := make([]copyKey, 0, len(r.draining))
	for k := range r.draining {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b copyKey) int {
		return cmp.Or(cmp.Compare(a.engine, b.engine), cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version))
	})
	for _, k := range keys {
		c := r.find(k)
		if c.unloading {
			continue
		}
		m := r.byModel[k.model]
		if !r.removable(c) {
			r.keep(k)
			continue
		}
		over := r.view.NowMs >= r.draining[k].endMs() || m == nil || m.idle()
		if !over || !c.engine.mayOrder(r.view.NowMs) || len(r.plan.Orders) >= maxOrders {
			continue
		}
		r.plan.Orders = append(r.plan.Orders, Order{
			Endpoint: k.engine, Kind: statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL,
			Model: k.model, Version: k.version, MemoryMB: c.memoryMB,
		})
		c.unloading = true
		c.engine.open[k.model] = true
	}
}

// mayOrder reports whether the engine takes orders of this owner now.
func (e *engineState) mayOrder(now uint64) bool {
	return e.usable() && e.ledger.Observed && now >= e.ledger.ReadyAtMs
}

// publish lists what can be used. A lost engine's copies are listed while
// their model has no other, since entries may still reach it.
func (r *run) publish() {
	for _, e := range r.engines {
		p := &peerv1.EndpointResidency{Endpoint: e.name()}
		for _, c := range e.copies {
			m := r.byModel[c.key.model]
			if m == nil || !(c.reported || c.confirmed) {
				continue
			}
			other := func(o *copyState) bool { return o.ready() && o.engine.live && !o.draining }
			switch {
			case c.unloading || c.draining:
				p.UnloadingModels = append(p.UnloadingModels, c.key.model)
			case e.live || m.count(other) == 0:
				p.ReadyModels = append(p.ReadyModels, c.key.model)
			}
		}
		p.ReadyModels = slices.Compact(p.ReadyModels)
		p.UnloadingModels = slices.Compact(p.UnloadingModels)
		r.plan.Residency = append(r.plan.Residency, p)
	}
}

package placement

import (
	"cmp"
	"slices"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// OrderLifetimeMs is the lifetime of an order. The memory of a failed load
	// stays accounted for until the order expires, so the lifetime is shorter
	// than the ledger's limit of 30 s.
	OrderLifetimeMs = 10_000
	// maxPlanIntervalMs is the longest time between two plans in normal operation.
	maxPlanIntervalMs = 500
	// evictionDrainMs is how long a replica receives no new requests before it is
	// evicted. Entries receive the new residency within 2 s.
	evictionDrainMs = 5_000
	// unneededDrainMs is the drain time of replicas whose memory no other model
	// is waiting for, such as old versions. Most streams end within it.
	unneededDrainMs = 30_000
	// maxReportLagMs is how old the content of a report may be at the time of the
	// poll that returns it.
	maxReportLagMs = 5_000
	// loadOverdueMs is the age from which an open load order counts as lost if no
	// report shows its effect.
	loadOverdueMs = maxReportLagMs + 2_000
	// lostEngineLoadMs is how long the loads of a lost engine still count towards
	// the limit of the weight store.
	lostEngineLoadMs = 10_000
	// reservationMs is how long memory that is being freed stays reserved for a
	// model.
	reservationMs = 120_000
	// evictionCooldownMs is how long a newly loaded replica cannot be evicted to
	// serve another model's unmet demand.
	evictionCooldownMs = 120_000

	// slotTokensPerSecond is the rate of a running request at the target of 25 ms
	// between tokens.
	slotTokensPerSecond = 40
	// targetUtilization is the fraction of an engine's slots that planned demand
	// may use; the rest absorbs bursts between two reports.
	targetUtilization = 0.8
	// idleRequestRate is the request rate below which a replica is unloaded
	// without a drain time: fewer than one request in five eviction drain times.
	idleRequestRate = 0.04
	// paybackSeconds is the time within which the gain of a new replica must
	// offset the cost of its load.
	paybackSeconds = 600
	// loadCost is what a load costs in slot-seconds: about 5 s of slower service
	// on an engine with 64 slots.
	loadCost = 300
	// minGain is the least unmet demand, in slots, that justifies a load. A load
	// that evicts another replica needs twice that.
	minGain = float64(loadCost) / paybackSeconds
	// maxUnmetDemandLoads bounds the replicas that one plan considers for unmet
	// demand; the weight store serves fewer than this in a second.
	maxUnmetDemandLoads = 16
	// maxOrdersPerPlan bounds the orders of one plan; all of them are committed
	// before the next plan is made.
	maxOrdersPerPlan = 32
)

// faults are deliberate defects of the planner. Tests set them to prove that
// they detect each one.
type faults struct {
	ignoreLastReplica bool // unload even if too few replicas remain
	ignoreWeightStore bool // exceed the limits of the weight store
	ignoreWorstCase   bool // count only the memory that engines report
	neverReload       bool // never reload a model without replicas
	ignoreGain        bool // replace replicas without a gain
}

// Order is an order for the Owner to issue.
type Order struct {
	Endpoint string
	Kind     statev1.OrderKind
	Model    string
	Version  string
	MemoryMB uint64
}

// Plan is the result of one planning round.
type Plan struct {
	Orders []Order
	// Residency is nil until the engines have had time to report to a new owner.
	// Until then, the residency published before stays in force.
	Residency []*peerv1.EndpointResidency
	// Blocked names the models that have too few replicas and that no engine can
	// take now.
	Blocked []string
	// Unmet is the demand without slots, in concurrent requests.
	Unmet float64
}

// memoryReservation keeps memory of an engine for one model while it is freed.
type memoryReservation struct {
	engine   string
	untilMs  uint64
	memoryMB int64
}

// Planner holds the state that is not in the ledger, such as drains in
// progress and memory reservations. Losing this state only delays work that is
// in progress. It is not safe for concurrent use.
type Planner struct {
	token       uint64
	draining    map[replicaKey]drain
	reserved    map[string]memoryReservation
	confirmedMs map[uint64]uint64     // time at which an order was first seen as confirmed
	loadedMs    map[replicaKey]uint64 // time at which a load was ordered
	nextLoadMs  uint64
	faults      faults
}

// drain is the state of a replica that receives no new requests. forModel is
// the model that needs its memory, or empty.
type drain struct {
	sinceMs  uint64
	forModel string
}

// endMs returns the end of the drain time.
func (d drain) endMs() uint64 {
	if d.forModel == "" {
		return d.sinceMs + unneededDrainMs
	}
	return d.sinceMs + evictionDrainMs
}

// NewPlanner returns a planner without drains or reservations.
func NewPlanner() *Planner {
	p := &Planner{}
	p.reset(0)
	return p
}

func (p *Planner) reset(token uint64) {
	p.token = token
	p.draining = make(map[replicaKey]drain)
	p.reserved = make(map[string]memoryReservation)
	p.confirmedMs = make(map[uint64]uint64)
	p.loadedMs = make(map[replicaKey]uint64)
	p.nextLoadMs = 0
}

// firstConfirmedMs returns the time at which an order was first seen as
// confirmed, and records now if this is the first time.
func (p *Planner) firstConfirmedMs(id, now uint64) uint64 {
	at, ok := p.confirmedMs[id]
	if !ok {
		at = now
		p.confirmedMs[id] = now
	}
	return at
}

// planningRound is the state of one call of Plan.
type planningRound struct {
	*Planner
	*fleetState
	plan Plan
	// underProvisioned holds the models with a missing replica.
	underProvisioned map[string]bool
}

// Plan computes the orders to issue and the residency to publish.
func (p *Planner) Plan(v *View) *Plan {
	if p.token != v.Ledger.Token {
		p.reset(v.Ledger.Token)
	}
	r := &planningRound{Planner: p, fleetState: p.newFleetState(v), underProvisioned: map[string]bool{}}
	r.dropExpired()
	if !r.awaitingReports {
		r.deductReservations()
		for _, mr := range r.missingReplicas() {
			r.underProvisioned[mr.model.name()] = true
			r.provide(mr)
		}
		r.releaseUnneeded()
		r.loadBurstReplica()
		r.drainUnneeded()
		r.orderUnloads()
		r.buildResidency()
		slices.Sort(r.plan.Blocked)
	}
	for _, m := range r.models {
		r.plan.Unmet += m.unmet()[1]
	}
	return &r.plan
}

// dropExpired removes records of closed orders, ended cooldowns, and
// reservations and drains that expired or no longer apply.
func (r *planningRound) dropExpired() {
	now := r.view.NowMs
	open := map[uint64]bool{}
	for _, e := range r.engines {
		for _, o := range e.ledger.Orders {
			open[o.ID] = true
			if o.Issue.GetKind() == statev1.OrderKind_ORDER_KIND_LOAD_MODEL && r.loadSlackMs() == 0 {
				r.nextLoadMs = max(r.nextLoadMs, o.IssuedMs+r.loadIntervalMs())
			}
		}
	}
	for id := range r.confirmedMs {
		if !open[id] {
			delete(r.confirmedMs, id)
		}
	}
	for k, at := range r.loadedMs {
		if now > at+evictionCooldownMs {
			delete(r.loadedMs, k)
		}
	}
	for m, x := range r.reserved {
		if now > x.untilMs || r.byModel[m] == nil || r.byName[x.engine] == nil || !r.byName[x.engine].usable() {
			delete(r.reserved, m)
		}
	}
	for k, d := range r.draining {
		_, wanted := r.reserved[d.forModel]
		if r.findReplica(k) == nil || (d.forModel != "" && !wanted) {
			r.cancelDrain(k)
		}
	}
}

// cancelDrain makes a draining replica available again.
func (r *planningRound) cancelDrain(k replicaKey) {
	delete(r.draining, k)
	if rep := r.findReplica(k); rep != nil {
		rep.draining = false
	}
}

func (s *fleetState) findReplica(k replicaKey) *replicaState {
	e := s.byName[k.engine]
	if e == nil {
		return nil
	}
	for _, rep := range e.replicas {
		if rep.key == k {
			return rep
		}
	}
	return nil
}

// loadIntervalMs returns the time between two loads at the weight store's rate,
// or zero if the rate is unlimited.
func (s *fleetState) loadIntervalMs() uint64 {
	rate := uint64(s.view.Config.GetPlatform().GetStoreMilliLoadsPerSecond())
	if rate == 0 {
		return 0
	}
	return (1_000_000 + rate - 1) / rate
}

// loadSlackMs returns for how long unused capacity of the weight store may be
// used later. It lets one plan order several loads if the store allows more than
// one per planning interval.
func (s *fleetState) loadSlackMs() uint64 {
	if s.loadIntervalMs() < maxPlanIntervalMs {
		return maxPlanIntervalMs
	}
	return 0
}

// canLoad reports whether the limits of the weight store and of the plan allow
// another load. A limit of zero for the weight store means no limit.
func (r *planningRound) canLoad() bool {
	if r.faults.ignoreWeightStore {
		return len(r.plan.Orders) < maxOrdersPerPlan
	}
	parallel := int(r.view.Config.GetPlatform().GetStoreParallelLoads())
	return (parallel == 0 || r.activeLoads < parallel) && r.view.NowMs >= r.nextLoadMs && len(r.plan.Orders) < maxOrdersPerPlan
}

// orderLoad orders a load. The caller has checked that the model fits.
func (r *planningRound) orderLoad(e *engineState, m *modelState) bool {
	if !r.canLoad() {
		return false
	}
	r.plan.Orders = append(r.plan.Orders, Order{
		Endpoint: e.name(), Kind: statev1.OrderKind_ORDER_KIND_LOAD_MODEL,
		Model: m.name(), Version: m.version(), MemoryMB: m.cfg.GetMemoryMb(),
	})
	now := r.view.NowMs
	r.nextLoadMs = max(r.nextLoadMs, now-min(now, r.loadSlackMs())) + r.loadIntervalMs()
	r.activeLoads++
	e.freeMB -= e.addedMemoryMB(m)
	e.openOrders[m.name()] = true
	rep := &replicaState{
		key:    replicaKey{e.name(), m.name(), m.version()},
		engine: e, memoryMB: m.cfg.GetMemoryMb(), loading: true,
	}
	r.loadedMs[rep.key] = r.view.NowMs
	e.replicas = append(e.replicas, rep)
	m.replicas = append(m.replicas, rep)
	r.balanceDemand(1)
	return true
}

// addedMemoryMB returns the memory that a load adds to the worst case. Pinned
// models add nothing, since the worst case includes them.
func (e *engineState) addedMemoryMB(m *modelState) int64 {
	if e.pinned(m.name()) {
		return 0
	}
	return int64(m.cfg.GetMemoryMb())
}

// removable reports whether the model keeps enough stable replicas if rep is
// unloaded.
func (r *planningRound) removable(rep *replicaState) bool {
	m := r.byModel[rep.key.model]
	if rep.unloading || rep.loading || rep.engine.openOrders[rep.key.model] || !rep.engine.usable() {
		return false
	}
	if m == nil || r.faults.ignoreLastReplica {
		return true
	}
	if rep.engine.pinned(rep.key.model) && m.current(rep) {
		return false
	}
	// Replicas of an old version do not make one of the current version removable.
	others := m.count(func(o *replicaState) bool {
		return o != rep && o.stable() && (m.current(o) || !m.current(rep))
	})
	return others >= m.minReplicas()
}

// startDrain stops new requests to a replica. forModel is the model that needs
// its memory, or empty.
func (r *planningRound) startDrain(rep *replicaState, forModel string) {
	rep.draining = true
	r.draining[rep.key] = drain{r.view.NowMs, forModel}
}

// drainUnneeded drains replicas of models that left the configuration, and of
// old versions once enough replicas of the new version are stable. Old versions
// of a model are drained one replica at a time.
func (r *planningRound) drainUnneeded() {
	for _, e := range r.engines {
		for _, rep := range e.replicas {
			if e.usable() && r.byModel[rep.key.model] == nil && rep.retained() && r.removable(rep) {
				r.startDrain(rep, "")
			}
		}
	}
	for _, m := range r.models {
		current := m.count(func(rep *replicaState) bool { return m.current(rep) && rep.stable() })
		if current < m.minReplicas() || m.count(func(rep *replicaState) bool { return rep.draining && !m.current(rep) }) > 0 {
			continue
		}
		for _, rep := range m.replicas {
			if !m.current(rep) && rep.retained() && r.removable(rep) && m.lossWithout(rep).mean() < minGain {
				r.startDrain(rep, "")
				break
			}
		}
	}
}

// orderUnloads orders the unload of replicas whose drain time is over, and
// cancels drains that would leave a model with too few replicas.
func (r *planningRound) orderUnloads() {
	keys := make([]replicaKey, 0, len(r.draining))
	for k := range r.draining {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b replicaKey) int {
		return cmp.Or(cmp.Compare(a.engine, b.engine), cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version))
	})
	for _, k := range keys {
		rep := r.findReplica(k)
		if rep.unloading {
			continue
		}
		m := r.byModel[k.model]
		if !r.removable(rep) {
			r.cancelDrain(k)
			continue
		}
		drained := r.view.NowMs >= r.draining[k].endMs() || m == nil || m.idle()
		if !drained || !rep.engine.acceptsOrders(r.view.NowMs) || len(r.plan.Orders) >= maxOrdersPerPlan {
			continue
		}
		r.plan.Orders = append(r.plan.Orders, Order{
			Endpoint: k.engine, Kind: statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL,
			Model: k.model, Version: k.version, MemoryMB: rep.memoryMB,
		})
		rep.unloading = true
		rep.engine.openOrders[k.model] = true
	}
}

// acceptsOrders reports whether this owner may send orders to the engine now.
func (e *engineState) acceptsOrders(now uint64) bool {
	return e.usable() && e.ledger.Observed && now >= e.ledger.ReadyAtMs
}

// buildResidency lists the replicas that entries may use. Replicas on a lost
// engine are listed while their model has no other, since entries may still
// reach that engine.
func (r *planningRound) buildResidency() {
	for _, e := range r.engines {
		p := &peerv1.EndpointResidency{Endpoint: e.name()}
		for _, rep := range e.replicas {
			m := r.byModel[rep.key.model]
			if m == nil || !(rep.reported || rep.confirmed) {
				continue
			}
			other := func(o *replicaState) bool { return o.ready() && o.engine.live && !o.draining }
			switch {
			case rep.unloading || rep.draining:
				p.UnloadingModels = append(p.UnloadingModels, rep.key.model)
			case e.live || m.count(other) == 0:
				p.ReadyModels = append(p.ReadyModels, rep.key.model)
			}
		}
		p.ReadyModels = slices.Compact(p.ReadyModels)
		p.UnloadingModels = slices.Compact(p.UnloadingModels)
		r.plan.Residency = append(r.plan.Residency, p)
	}
}

package placement

import (
	"cmp"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
	"github.com/radishloom/radishloom/internal/state/order"
)

// replicaKey identifies a replica: one version of a model on one engine.
type replicaKey struct{ engine, model, version string }

// replicaState is the planner's state of one replica.
type replicaState struct {
	key      replicaKey
	engine   *engineState
	memoryMB uint64
	// reported is set if the last report lists the replica as ready, confirmed if
	// the engine confirmed its load and no later report contradicts it.
	reported, confirmed bool
	// loading is set while the replica is being loaded, overdue if a report should
	// have listed it by now.
	loading, overdue bool
	// unloading is set while an unload order is open.
	unloading bool
	draining  bool
	share     float64 // slots of the model's demand assigned to the replica
}

func (r *replicaState) ready() bool { return (r.reported || r.confirmed) && !r.unloading }

// retained reports whether nothing is about to remove the replica.
func (r *replicaState) retained() bool {
	return r.engine.usable() && !r.draining && !r.unloading
}

// stable reports whether the replica may be relied on when another one is
// unloaded.
func (r *replicaState) stable() bool { return r.reported && r.retained() && !r.engine.replacing(r) }

// willServe reports whether the replica is ready or becomes ready without another
// order.
func (r *replicaState) willServe() bool {
	return r.retained() && (r.ready() || r.loading && !r.overdue)
}

type engineState struct {
	cfg        *statev1.Endpoint
	ledger     EngineLedger
	live       bool
	leaving    bool
	freeMB     int64
	replicas   []*replicaState
	openOrders map[string]bool // models with an open order
	reported   bool
	load       float64 // assigned demand, in slots
	slots      float64
}

func (e *engineState) name() string { return e.cfg.GetName() }
func (e *engineState) usable() bool { return e.live && !e.leaving }

// slotsByLevel holds numbers of slots at two levels of utilization. At
// targetUtilization an engine still absorbs bursts; at 1, further demand finds
// no slot. Decisions use the mean of both, so that a fleet that is above the
// target everywhere still adds replicas for demand that finds no slot.
type slotsByLevel [2]float64

func utilizationLevels() slotsByLevel { return slotsByLevel{targetUtilization, 1} }

func (s slotsByLevel) mean() float64 { return (s[0] + s[1]) / 2 }

// spare returns the slots of the engine that more demand may use.
func (e *engineState) spare() slotsByLevel {
	var out slotsByLevel
	for i, level := range utilizationLevels() {
		out[i] = max(0, level*e.slots-e.load)
	}
	return out
}

// gain returns how much of the unmet demand a new replica on the engine would
// serve if other models gave up the freed slots.
func (e *engineState) gain(unmet slotsByLevel, freed float64) float64 {
	var out slotsByLevel
	for i, level := range utilizationLevels() {
		out[i] = min(unmet[i], max(0, level*e.slots-e.load+freed))
	}
	return out.mean()
}

func (e *engineState) holds(model string) bool {
	return slices.ContainsFunc(e.replicas, func(rep *replicaState) bool { return rep.key.model == model })
}

// replacing reports whether the engine is loading another version of the
// replica's model, which may replace the replica in place.
func (e *engineState) replacing(rep *replicaState) bool {
	return slices.ContainsFunc(e.replicas, func(o *replicaState) bool {
		return o != rep && o.key.model == rep.key.model && o.loading
	})
}

func (e *engineState) pinned(model string) bool {
	return slices.Contains(e.cfg.GetPinnedModels(), model)
}

type modelState struct {
	cfg      *statev1.Model
	replicas []*replicaState
	demand   Demand
	// demandSlots is the demand in concurrent requests, running or waiting.
	demandSlots float64
}

func (m *modelState) name() string     { return m.cfg.GetName() }
func (m *modelState) version() string  { return m.cfg.GetVersion() }
func (m *modelState) minReplicas() int { return config.MinReplicas(m.cfg) }

func (m *modelState) count(match func(*replicaState) bool) int {
	n := 0
	for _, rep := range m.replicas {
		if match(rep) {
			n++
		}
	}
	return n
}

func (m *modelState) current(rep *replicaState) bool { return rep.key.version == m.version() }

// idle reports whether the model has so little demand that a replica can be
// unloaded without a drain time.
func (m *modelState) idle() bool {
	return m.demand.Waiting == 0 && m.demand.Requests < idleRequestRate
}

// fleetState is the state of the fleet in one planning round.
type fleetState struct {
	view    *View
	engines []*engineState
	byName  map[string]*engineState
	models  []*modelState
	byModel map[string]*modelState
	// activeLoads is the number of loads that the weight store may be serving.
	activeLoads int
	// awaitingReports is set while an engine that may be live has not reported to
	// this owner yet.
	awaitingReports bool
}

func (p *Planner) newFleetState(v *View) *fleetState {
	s := &fleetState{view: v, byName: map[string]*engineState{}, byModel: map[string]*modelState{}}
	for _, m := range v.Config.GetModels() {
		d := v.Demand[m.GetName()]
		ms := &modelState{cfg: m, demand: d, demandSlots: d.Tokens/slotTokensPerSecond + d.Waiting}
		s.models = append(s.models, ms)
		s.byModel[m.GetName()] = ms
	}
	for _, e := range v.Config.GetEndpoints() {
		if e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			s.addEngine(p, e)
		}
	}
	slices.SortFunc(s.models, func(a, b *modelState) int { return cmp.Compare(a.name(), b.name()) })
	slices.SortFunc(s.engines, func(a, b *engineState) int { return cmp.Compare(a.name(), b.name()) })
	for _, e := range s.engines {
		for _, rep := range e.replicas {
			if m := s.byModel[rep.key.model]; m != nil {
				m.replicas = append(m.replicas, rep)
			}
		}
	}
	s.balanceDemand(3)
	return s
}

func (s *fleetState) addEngine(p *Planner, cfg *statev1.Endpoint) {
	v := s.view
	r, reported := v.Reports[cfg.GetName()]
	e := &engineState{
		cfg: cfg, ledger: v.Ledger.Engines[cfg.GetName()], reported: reported,
		live:       reported && v.NowMs < r.RequestedMs+v.LostAfterMs,
		leaving:    r.Leaving || v.Leaving[cfg.GetName()] || v.Evacuated[cfg.GetDataCentre()],
		slots:      max(1, float64(cfg.GetSlots())),
		openOrders: map[string]bool{},
	}
	e.freeMB = int64(cfg.GetMemoryMb()) - int64(e.ledger.WorstCaseMB)
	if !reported && v.NowMs < v.Ledger.OwnerSinceMs+v.LostAfterMs {
		s.awaitingReports = true
	}
	s.addReported(p, e, r)
	for i := range e.ledger.Orders {
		s.addOrder(p, e, r, &e.ledger.Orders[i])
	}
	slices.SortFunc(e.replicas, func(a, b *replicaState) int {
		return cmp.Or(cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.version, b.key.version))
	})
	s.countLoads(e, r)
	s.engines = append(s.engines, e)
	s.byName[e.name()] = e
}

// countLoads counts the models that the engine may be loading. The loads of a
// lost engine count for some time, since they may still be in progress.
func (s *fleetState) countLoads(e *engineState, r Report) {
	last := r.RequestedMs
	for _, o := range e.ledger.Orders {
		last = max(last, o.ExpiresMs())
	}
	if s.view.NowMs >= last+s.view.LostAfterMs+lostEngineLoadMs {
		return
	}
	for _, rep := range e.replicas {
		if rep.loading && !rep.unloading {
			s.activeLoads++
		}
	}
}

func (s *fleetState) addReported(p *Planner, e *engineState, r Report) {
	for _, x := range r.Resident {
		key := replicaKey{e.name(), x.Model, x.Version}
		_, draining := p.draining[key]
		e.replicas = append(e.replicas, &replicaState{
			key: key, engine: e, memoryMB: x.MemoryMB, reported: x.Ready, loading: !x.Ready, draining: draining,
		})
	}
}

// addOrder applies an open order of the ledger: it adds a replica whose load no
// report shows yet, or marks a replica as unloading.
func (s *fleetState) addOrder(p *Planner, e *engineState, r Report, o *order.Order) {
	model := o.Issue.GetModel()
	e.openOrders[model] = true
	switch o.Issue.GetKind() {
	case statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL:
		for _, rep := range e.replicas {
			if rep.key.model == model && rep.key.version == o.Issue.GetVersion() {
				rep.unloading = true
			}
		}
	case statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		s.addLoad(p, e, r, o)
	}
}

func (s *fleetState) addLoad(p *Planner, e *engineState, r Report, o *order.Order) {
	key := replicaKey{e.name(), o.Issue.GetModel(), o.Issue.GetVersion()}
	i := slices.IndexFunc(e.replicas, func(rep *replicaState) bool { return rep.key == key })
	var rep *replicaState
	if i >= 0 {
		rep = e.replicas[i]
	}
	switch o.Outcome {
	case statev1.OrderOutcome_ORDER_OUTCOME_DONE:
		// Reports requested up to maxReportLagMs after the confirmation may not
		// list the replica yet.
		firstSeen := p.firstConfirmedMs(o.ID, s.view.NowMs)
		if r.RequestedMs > firstSeen+maxReportLagMs {
			return
		}
		if rep == nil {
			rep = &replicaState{key: key, engine: e, memoryMB: o.Issue.GetMemoryMb()}
			e.replicas = append(e.replicas, rep)
		}
		rep.confirmed, rep.loading = true, false
	case statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED:
		if rep != nil {
			return
		}
		e.replicas = append(e.replicas, &replicaState{
			key: key, engine: e, memoryMB: o.Issue.GetMemoryMb(), loading: true,
			overdue: s.view.NowMs > o.IssuedMs+loadOverdueMs,
		})
	}
}

// balanceDemand distributes the demand of each model over its replicas so that
// the engines are utilized evenly, like a router that prefers the least utilized
// engine. Each round redistributes one model after the other on top of the load
// of the others.
func (s *fleetState) balanceDemand(rounds int) {
	for range rounds {
		for _, m := range s.models {
			m.waterFill()
		}
	}
}

// waterFill distributes a model's demand over the engines of its replicas so that
// those that receive any reach the same utilization.
func (m *modelState) waterFill() {
	var replicas []*replicaState
	for _, rep := range m.replicas {
		rep.engine.load -= rep.share
		rep.share = 0
		if rep.willServe() {
			replicas = append(replicas, rep)
		}
	}
	if len(replicas) == 0 || m.demandSlots == 0 {
		return
	}
	utilization := func(rep *replicaState) float64 { return rep.engine.load / rep.engine.slots }
	slices.SortStableFunc(replicas, func(a, b *replicaState) int { return cmp.Compare(utilization(a), utilization(b)) })
	level, load, slots := 0.0, 0.0, 0.0
	for i, rep := range replicas {
		load += rep.engine.load
		slots += rep.engine.slots
		level = (load + m.demandSlots) / slots
		if i+1 == len(replicas) || level <= utilization(replicas[i+1]) {
			break
		}
	}
	for _, rep := range replicas {
		rep.share = max(0, level*rep.engine.slots-rep.engine.load)
		rep.engine.load += rep.share
	}
}

// unmet returns the part of a model's demand that finds no slot at its replicas.
func (m *modelState) unmet() slotsByLevel {
	var out slotsByLevel
	for _, rep := range m.replicas {
		for i, served := range rep.served() {
			out[i] += rep.share - served
		}
	}
	return out
}

// served returns the part of the replica's share that finds a slot.
func (r *replicaState) served() slotsByLevel {
	var out slotsByLevel
	for i, level := range utilizationLevels() {
		out[i] = r.share * min(1, level*r.engine.slots/max(r.engine.load, 1e-9))
	}
	return out
}

// lossWithout returns the demand that would lose its slots if a replica were
// unloaded.
func (m *modelState) lossWithout(gone *replicaState) slotsByLevel {
	out := gone.served()
	for _, rep := range m.replicas {
		if rep == gone || !rep.willServe() || rep.loading {
			continue
		}
		for i, spare := range rep.engine.spare() {
			out[i] = max(0, out[i]-spare)
		}
	}
	return out
}

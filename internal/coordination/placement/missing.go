package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/radishloom/radishloom/internal/state/config"
)

// Classes of missing replicas, most urgent first.
const (
	classNoReplicaQueued = iota // no replica, and requests wait for it
	classNoReplica              // no replica
	classUnderReplicated        // too few replicas, of any or of the current version, or a missing pinned model
	classUnmetDemand            // demand exceeds the slots of the replicas
	classBurst                  // a burst of demand would need the replica
)

// missingReplica is a replica that the planner should load. gain ranks those of
// one class by the demand for the model; for unmet demand it is in slots.
type missingReplica struct {
	model *modelState
	class int
	gain  float64
	unmet slotsByLevel
	// pinnedTo, if set, is the engine that must hold the replica.
	pinnedTo *engineState
}

// missingReplicas lists the missing replicas, most urgent first.
func (r *planningRound) missingReplicas() []missingReplica {
	var out []missingReplica
	for _, m := range r.models {
		if mr, ok := r.missingReplicaOf(m); ok {
			out = append(out, mr)
		}
	}
	for _, e := range r.engines {
		out = append(out, r.missingPinned(e)...)
	}
	slices.SortStableFunc(out, func(a, b missingReplica) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(b.gain, a.gain),
			cmp.Compare(a.model.name(), b.model.name()),
		)
	})
	unmetDemand := slices.IndexFunc(out, func(mr missingReplica) bool { return mr.class == classUnmetDemand })
	if unmetDemand >= 0 && len(out) > unmetDemand+maxUnmetDemandLoads {
		out = out[:unmetDemand+maxUnmetDemandLoads]
	}
	return out
}

func (r *planningRound) missingReplicaOf(m *modelState) (missingReplica, bool) {
	// Drains are cancelled before a load is planned.
	if m.count((*replicaState).willServe) < m.minReplicas() {
		for _, rep := range m.replicas {
			if rep.draining && !rep.unloading {
				r.cancelDrain(rep.key)
			}
		}
	}
	provided := m.count((*replicaState).willServe)
	readyOnLive := m.count(func(rep *replicaState) bool { return rep.ready() && rep.engine.live })
	current := m.count(func(rep *replicaState) bool { return m.current(rep) && rep.willServe() })
	requests := m.demand.Waiting + m.demand.Requests
	switch {
	case provided == 0 && r.faults.neverReload:
		return missingReplica{}, false
	case provided == 0 && readyOnLive == 0 && m.demand.Waiting > 0:
		return missingReplica{model: m, class: classNoReplicaQueued, gain: requests}, true
	case provided == 0 && readyOnLive == 0:
		return missingReplica{model: m, class: classNoReplica, gain: requests}, true
	case provided < m.minReplicas(), current < m.minReplicas():
		return missingReplica{model: m, class: classUnderReplicated, gain: requests}, true
	}
	unmet := m.unmet()
	for _, rep := range m.replicas {
		// If a replica of an old version still serves demand, another replica of
		// the current version is needed to replace it.
		if !m.current(rep) && rep.stable() {
			for i, lost := range m.lossWithout(rep) {
				unmet[i] = max(unmet[i], lost)
			}
		}
	}
	if r.faults.ignoreGain {
		unmet = slotsByLevel{2, 2}
	}
	mr := missingReplica{model: m, class: classUnmetDemand, gain: unmet.mean(), unmet: unmet}
	return mr, mr.gain >= minGain
}

// missingPinned lists the pinned models of an engine whose current version it
// does not hold.
func (r *planningRound) missingPinned(e *engineState) []missingReplica {
	var out []missingReplica
	for _, name := range e.cfg.GetPinnedModels() {
		m := r.byModel[name]
		if m == nil || !e.usable() || e.openOrders[name] {
			continue
		}
		if !slices.ContainsFunc(e.replicas, func(rep *replicaState) bool { return rep.key.model == name && m.current(rep) }) {
			out = append(out, missingReplica{model: m, class: classUnderReplicated, pinnedTo: e})
		}
	}
	return out
}

// provide orders the load of a missing replica, or starts to free memory for it.
func (r *planningRound) provide(mr missingReplica) {
	if !r.canLoad() && mr.class == classUnmetDemand {
		return
	}
	if e := r.bestEngine(mr); e != nil {
		if r.orderLoad(e, mr.model) {
			r.releaseReservation(mr.model.name())
		}
		return
	}
	if _, reserved := r.reserved[mr.model.name()]; reserved && r.continueEviction(mr) {
		return
	}
	if !r.startEviction(mr) && mr.class != classUnmetDemand {
		r.plan.Blocked = append(r.plan.Blocked, mr.model.name())
	}
}

// releaseReservation deletes a model's reservation and cancels its drains, except
// of replicas whose unload is already ordered.
func (r *planningRound) releaseReservation(model string) {
	delete(r.reserved, model)
	for k, d := range r.draining {
		if rep := r.findReplica(k); d.forModel == model && !rep.unloading {
			r.cancelDrain(k)
		}
	}
}

// releaseUnneeded releases the reservations of models that no longer miss a
// replica.
func (r *planningRound) releaseUnneeded() {
	for m := range r.reserved {
		if !r.underProvisioned[m] {
			r.releaseReservation(m)
		}
	}
}

// deductReservations subtracts reserved memory from the engines' free memory.
func (r *planningRound) deductReservations() {
	for _, x := range r.reserved {
		r.byName[x.engine].freeMB -= x.memoryMB
	}
}

// availableMB returns the memory that a model may use on an engine, including
// what is reserved for it.
func (r *planningRound) availableMB(e *engineState, m *modelState) int64 {
	available := e.freeMB
	if r.faults.ignoreWorstCase {
		available = int64(e.cfg.GetMemoryMb())
		for _, rep := range e.replicas {
			if rep.reported {
				available -= int64(rep.memoryMB)
			}
		}
	}
	if x, ok := r.reserved[m.name()]; ok && x.engine == e.name() {
		available += x.memoryMB
	}
	return available
}

// eligible reports whether an engine may load the replica, regardless of how much
// of its memory is in use.
func (r *planningRound) eligible(e *engineState, mr missingReplica) bool {
	m := mr.model
	switch {
	case mr.pinnedTo != nil && mr.pinnedTo != e,
		!e.acceptsOrders(r.view.NowMs), e.openOrders[m.name()], !config.CanHold(e.cfg, m.cfg):
		return false
	case !e.holds(m.name()):
		return true
	case slices.ContainsFunc(e.replicas, func(rep *replicaState) bool { return rep.key.model == m.name() && m.current(rep) }):
		return false
	}
	// An engine may replace the old version in place, which interrupts service.
	// That is accepted only if no other engine can hold the model.
	return mr.pinnedTo != nil || !slices.ContainsFunc(r.engines, func(o *engineState) bool {
		return o.usable() && !o.holds(m.name()) && config.CanHold(o.cfg, m.cfg)
	})
}

// outdatedReplica returns a replica of an old version of the model on the engine
// that should be unloaded before the current version is loaded there.
func (r *planningRound) outdatedReplica(e *engineState, m *modelState) *replicaState {
	for _, rep := range e.replicas {
		if rep.key.model == m.name() && !m.current(rep) && (rep.unloading || r.removable(rep)) {
			return rep
		}
	}
	return nil
}

// bestEngine returns the eligible engine with enough free memory and the lowest
// score, or nil.
func (r *planningRound) bestEngine(mr missingReplica) *engineState {
	var best *engineState
	var bestScore score
	for _, e := range r.engines {
		if !r.eligible(e, mr) || r.availableMB(e, mr.model) < e.addedMemoryMB(mr.model) || r.outdatedReplica(e, mr.model) != nil {
			continue
		}
		if mr.class == classUnmetDemand && e.gain(mr.unmet, 0) < minGain {
			continue
		}
		if s := r.score(e, mr.model); best == nil || s.less(bestScore) {
			best, bestScore = e, s
		}
	}
	return best
}

// score ranks engines for a new replica; lower is better. Its fields are compared
// in their order.
type score struct {
	sameDataCentre    int     // replicas of the model in the engine's data centre
	utilizationTenths float64 // with the new replica, in tenths of the slots
	leftMB            int64   // memory that stays free
}

func (s score) less(o score) bool {
	return cmp.Or(
		cmp.Compare(s.sameDataCentre, o.sameDataCentre), cmp.Compare(s.utilizationTenths, o.utilizationTenths), cmp.Compare(s.leftMB, o.leftMB),
	) < 0
}

func (r *planningRound) score(e *engineState, m *modelState) score {
	s := score{leftMB: e.freeMB - int64(m.cfg.GetMemoryMb())}
	replicas := 1
	for _, rep := range m.replicas {
		if rep.willServe() {
			replicas++
			if rep.engine.cfg.GetDataCentre() == e.cfg.GetDataCentre() {
				s.sameDataCentre++
			}
		}
	}
	s.utilizationTenths = math.Floor(10 * (e.load + m.demandSlots/float64(replicas)) / e.slots)
	return s
}

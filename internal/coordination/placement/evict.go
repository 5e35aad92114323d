package placement

import (
	"cmp"
	"slices"

	"github.com/radishloom/radishloom/internal/state/config"
)

// eviction is a set of replicas whose removal frees memory on an engine.
type eviction struct {
	engine  *engineState
	evicted []*replicaState
	// relocated are the evicted replicas that must first be loaded elsewhere.
	relocated []*replicaState
	cost      float64
	loss      slotsByLevel
}

// continueEviction drains replicas that have become removable on the engine of a
// reservation. It returns false, and releases the reservation, if that engine
// can no longer take the missing replica.
func (r *planningRound) continueEviction(mr missingReplica) bool {
	e := r.byName[r.reserved[mr.model.name()].engine]
	if !r.eligible(e, mr) {
		r.releaseReservation(mr.model.name())
		return false
	}
	missingMB := e.addedMemoryMB(mr.model) - r.availableMB(e, mr.model)
	for _, rep := range e.replicas {
		if rep.draining || rep.unloading {
			missingMB -= int64(rep.memoryMB)
		}
	}
	if old := r.outdatedReplica(e, mr.model); missingMB <= 0 && (old == nil || old.draining || old.unloading) {
		return true
	}
	x := r.planEviction(e, mr, missingMB)
	if x == nil {
		r.releaseReservation(mr.model.name())
		return false
	}
	r.applyEviction(mr, x)
	return true
}

// startEviction starts the cheapest eviction that frees the memory for a missing
// replica. It returns false if no engine can free enough.
func (r *planningRound) startEviction(mr missingReplica) bool {
	var best *eviction
	for _, e := range r.engines {
		if !r.eligible(e, mr) {
			continue
		}
		x := r.planEviction(e, mr, e.addedMemoryMB(mr.model)-r.availableMB(e, mr.model))
		if x != nil && (best == nil || x.cost < best.cost) {
			best = x
		}
	}
	if best == nil {
		return false
	}
	r.applyEviction(mr, best)
	return true
}

// applyEviction reserves the memory, drains the replicas that are removable
// already, and loads the others on another engine first.
func (r *planningRound) applyEviction(mr missingReplica, x *eviction) {
	name := mr.model.name()
	if old, ok := r.reserved[name]; ok {
		r.byName[old.engine].freeMB += old.memoryMB
	}
	memory := x.engine.addedMemoryMB(mr.model)
	r.reserved[name] = memoryReservation{x.engine.name(), r.view.NowMs + reservationMs, memory}
	x.engine.freeMB -= memory
	for _, rep := range x.evicted {
		if !slices.Contains(x.relocated, rep) {
			r.startDrain(rep, name)
		}
	}
	for _, rep := range x.relocated {
		m := r.byModel[rep.key.model]
		if m.count((*replicaState).willServe) > m.minReplicas() {
			continue // the new replica is already loading
		}
		if to := r.bestEngine(missingReplica{model: m, class: classUnderReplicated}); to != nil && to != x.engine {
			r.orderLoad(to, m)
		}
	}
}

// candidate is a replica that may be evicted, with the demand that would lose
// its slots and the total cost.
type candidate struct {
	replica  *replicaState
	loss     slotsByLevel
	cost     float64
	relocate bool
}

// evictionCandidates lists the replicas on an engine that may be evicted for a
// missing replica.
func (r *planningRound) evictionCandidates(e *engineState, mr missingReplica) []candidate {
	var candidates []candidate
	for _, rep := range e.replicas {
		m := r.byModel[rep.key.model]
		if m == nil || !rep.stable() || e.openOrders[rep.key.model] || m.current(rep) && (m == mr.model || e.pinned(m.name())) {
			continue
		}
		_, recentlyLoaded := r.loadedMs[rep.key]
		switch {
		case m == mr.model && r.removable(rep):
			candidates = append(candidates, candidate{replica: rep}) // the new version takes its place
		case m == mr.model:
		case r.removable(rep) && !(recentlyLoaded && mr.class == classUnmetDemand):
			loss := m.lossWithout(rep)
			cost := loss.mean()
			if !m.idle() {
				cost += drainCost
			}
			candidates = append(candidates, candidate{replica: rep, loss: loss, cost: cost})
		case mr.class != classUnmetDemand && r.relocatable(m, e):
			candidates = append(candidates, candidate{replica: rep, cost: relocationCost + m.demandSlots, relocate: true})
		}
	}
	return candidates
}

// planEviction selects replicas on an engine whose removal frees the missing
// memory, those with the least cost per memory first. It returns nil if they
// free too little or are not worth evicting. A replica that its model cannot
// spare is evicted only for a class more urgent than unmet demand, and only if
// its model fits on another engine.
func (r *planningRound) planEviction(e *engineState, mr missingReplica, missingMB int64) *eviction {
	candidates := r.evictionCandidates(e, mr)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost/float64(a.replica.memoryMB+1), b.cost/float64(b.replica.memoryMB+1)),
			cmp.Compare(b.replica.memoryMB, a.replica.memoryMB),
		)
	})
	x := &eviction{engine: e}
	for _, o := range candidates {
		if missingMB <= 0 && o.replica.key.model != mr.model.name() {
			continue
		}
		missingMB -= int64(o.replica.memoryMB)
		x.evicted = append(x.evicted, o.replica)
		x.cost += o.cost
		for i := range x.loss {
			x.loss[i] += o.loss[i]
		}
		if o.relocate {
			x.relocated = append(x.relocated, o.replica)
		}
	}
	if missingMB > 0 {
		return nil
	}
	if mr.class == classUnmetDemand && !r.worthEvicting(mr, x) {
		return nil
	}
	return x
}

// drainCost makes evictions prefer replicas that need no drain time over others
// of about the same cost.
const drainCost = 0.1

// relocationCost makes the relocation of a last replica the last resort.
const relocationCost = 1000

// worthEvicting reports whether the unmet demand that a new replica would serve
// exceeds the demand that would lose its slots by the eviction by at least
// 2*minGain.
func (r *planningRound) worthEvicting(mr missingReplica, x *eviction) bool {
	var freed float64
	for _, rep := range x.evicted {
		freed += rep.share
	}
	return x.engine.gain(mr.unmet, freed)-x.loss.mean() >= 2*minGain
}

// relocatable reports whether another replica of the model is loading already
// or fits on another engine now.
func (r *planningRound) relocatable(m *modelState, from *engineState) bool {
	if m.count((*replicaState).willServe) > m.minReplicas() {
		return true
	}
	return slices.ContainsFunc(r.engines, func(e *engineState) bool {
		return e != from && e.acceptsOrders(r.view.NowMs) && !e.openOrders[m.name()] && !e.holds(m.name()) &&
			config.CanHold(e.cfg, m.cfg) && e.freeMB >= e.addedMemoryMB(m)
	})
}

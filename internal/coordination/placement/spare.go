package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// burstFactor is the factor by which the demand for a model may rise without
	// warning.
	burstFactor = 10
	// minBurstReplicas is the number of replicas that each model gets from free
	// memory, even without demand. With two, every model still has a replica after
	// one engine is lost.
	minBurstReplicas = 2
)

// loadBurstReplica uses free memory for replicas that a burst of demand would
// need, one load at a time and only while nothing else needs the weight store. It
// evicts nothing, so it stops once the memory is full. While some model has no
// more than its minimum of replicas, it leaves room for the largest model on one
// engine, so that replicas can be relocated.
func (r *planningRound) loadBurstReplica() {
	if r.activeLoads > 0 || len(r.underProvisioned) > 0 || len(r.reserved) > 0 || !r.canLoad() {
		return
	}
	meanSpare := r.meanSpareSlots()
	shortfall := func(m *modelState) float64 {
		replicas := m.count((*replicaState).willServe)
		want := max(minBurstReplicas, int(math.Ceil(burstFactor*m.demandSlots/meanSpare)))
		if replicas >= want || m.count(func(rep *replicaState) bool { return !m.current(rep) }) > 0 {
			return 0
		}
		return (1 + burstFactor*m.demandSlots) / float64(replicas)
	}
	models := slices.DeleteFunc(slices.Clone(r.models), func(m *modelState) bool { return shortfall(m) == 0 })
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(shortfall(b), shortfall(a)) })
	relocationTarget := r.relocationEngine()
	tightModels := 0
	for _, m := range r.models {
		if m.tight() {
			tightModels++
		}
	}
	for _, m := range models {
		e := r.bestEngine(missingReplica{model: m, class: classBurst})
		mayUseTarget := tightModels == 0 || tightModels == 1 && m.tight()
		if e != nil && (mayUseTarget || e != relocationTarget || e.freeMB-e.addedMemoryMB(m) >= r.largestModelMB()) {
			r.orderLoad(e, m)
			return
		}
	}
}

// tight reports whether the model has no replica to spare.
func (m *modelState) tight() bool { return m.count((*replicaState).willServe) <= m.minReplicas() }

// meanSpareSlots returns the mean number of slots per engine that more demand
// may use.
func (r *planningRound) meanSpareSlots() float64 {
	var sum, slots float64
	for _, e := range r.engines {
		sum += e.spare()[0]
		slots += e.slots
	}
	const minSpareFraction = 0.1 // fraction of the slots that is assumed even in a full fleet
	return max(sum, minSpareFraction*slots) / float64(max(1, len(r.engines)))
}

func (r *planningRound) largestModelMB() int64 {
	var largest int64
	for _, m := range r.models {
		largest = max(largest, int64(m.cfg.GetMemoryMb()))
	}
	return largest
}

// relocationEngine returns the engine with the most free memory, or nil if a
// second engine also has room for the largest model.
func (r *planningRound) relocationEngine() *engineState {
	var first, second *engineState
	for _, e := range r.engines {
		switch {
		case !e.acceptsOrders(r.view.NowMs):
		case first == nil || e.freeMB > first.freeMB:
			first, second = e, first
		case second == nil || e.freeMB > second.freeMB:
			second = e
		}
	}
	if second != nil && second.freeMB >= r.largestModelMB() {
		return nil
	}
	return first
}

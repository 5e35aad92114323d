package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// burstFactor is how far the demand for a model may rise without warning.
	burstFactor = 10
	// fillCopies is the least number of copies that free memory is used for: the
	// loss of an engine then leaves no model without one.
	fillCopies = 2
)

// fill uses free memory for copies that a burst would need, one load at a time
// and only while nothing else waits for the weight store. It evicts nothing, so
// it comes to rest when the memory is full. While some model has no copy to
// spare, it leaves room for the largest model on one engine, for swaps.
func (r *run) fill() {
	if r.loads > 0 || len(r.wanted) > 0 || len(r.reserved) > 0 || !r.mayLoad() {
		return
	}
	room := r.meanRoom()
	missing := func(m *modelState) float64 {
		copies := m.count((*copyState).counts)
		want := max(fillCopies, int(math.Ceil(burstFactor*m.slots/room)))
		if copies >= want || m.count(func(c *copyState) bool { return !m.current(c) }) > 0 {
			return 0
		}
		return (1 + burstFactor*m.slots) / float64(copies)
	}
	models := slices.DeleteFunc(slices.Clone(r.models), func(m *modelState) bool { return missing(m) == 0 })
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(missing(b), missing(a)) })
	hole := r.onlyHole()
	tight := 0
	for _, m := range r.models {
		if m.tight() {
			tight++
		}
	}
	for _, m := range models {
		e := r.fitting(need{model: m, class: classFill})
		last := tight == 0 || tight == 1 && m.tight()
		if e != nil && (last || e != hole || e.freeMB-e.extra(m) >= r.largestMB()) {
			r.load(e, m)
			return
		}
	}
}

// tight reports whether the model has no copy to spare.
func (m *modelState) tight() bool { return m.count((*copyState).counts) <= m.min() }

// meanRoom is the mean number of slots that an engine has left.
func (r *run) meanRoom() float64 {
	var sum, slots float64
	for _, e := range r.engines {
		sum += e.spare()[0]
		slots += e.slots
	}
	const least = 0.1 // of the slots, in a full fleet
	return max(sum, least*slots) / float64(max(1, len(r.engines)))
}

func (r *run) largestMB() int64 {
	var largest int64
	for _, m := range r.models {
		largest = max(largest, int64(m.cfg.GetMemoryMb()))
	}
	return largest
}

// onlyHole returns the engine with the most free memory, unless a second one
// has room for the largest model as well.
func (r *run) onlyHole() *engineState {
	var first, second *engineState
	for _, e := range r.engines {
		switch {
		case !e.mayOrder(r.view.NowMs):
		case first == nil || e.freeMB > first.freeMB:
			first, second = e, first
		case second == nil || e.freeMB > second.freeMB:
			second = e
		}
	}
	if second != nil && second.freeMB >= r.largestMB() {
		return nil
	}
	return first
}

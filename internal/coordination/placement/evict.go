package placement

import (
	"cmp"
	"slices"

	"github.com/radishloom/radishloom/internal/state/config"
)

// eviction is a way to free memory on an engine.
type eviction struct {
	engine *engineState
	out    []*copyState
	// moves are copies in out that have to be loaded elsewhere first.
	moves []*copyState
	cost  float64
	loss  slotSums
}

// continueFreeing goes on with a reservation: it drains what has become
// removable. It returns false if the reservation no longer helps.
func (r *run) continueFreeing(n need) bool {
	e := r.byName[r.reserved[n.model.name()].engine]
	if !r.able(e, n) {
		r.release(n.model.name())
		return false
	}
	missing := e.extra(n.model) - r.room(e, n.model)
	for _, c := range e.copies {
		if c.draining || c.unloading {
			missing -= int64(c.memoryMB)
		}
	}
	if old := r.outdated(e, n.model); missing <= 0 && (old == nil || old.draining || old.unloading) {
		return true
	}
	x := r.evictionOn(e, n, missing)
	if x == nil {
		r.release(n.model.name())
		return false
	}
	r.start(n, x)
	return true
}

// free starts to free memory for a need. It returns false if there is no way.
func (r *run) free(n need) bool {
	var best *eviction
	for _, e := range r.engines {
		if !r.able(e, n) {
			continue
		}
		x := r.evictionOn(e, n, e.extra(n.model)-r.room(e, n.model))
		if x != nil && (best == nil || x.cost < best.cost) {
			best = x
		}
	}
	if best == nil {
		return false
	}
	r.start(n, best)
	return true
}

// start drains the copies that may go now, and loads elsewhere those that may
// not; the reservation keeps the freed memory.
func (r *run) start(n need, x *eviction) {
	name := n.model.name()
	if old, ok := r.reserved[name]; ok {
		r.byName[old.engine].freeMB += old.memory
	}
	memory := x.engine.extra(n.model)
	r.reserved[name] = reservation{x.engine.name(), r.view.NowMs + reserveMs, memory}
	x.engine.freeMB -= memory
	for _, c := range x.out {
		if !slices.Contains(x.moves, c) {
			r.drain(c, name)
		}
	}
	for _, c := range x.moves {
		m := r.byModel[c.key.model]
		if m.count((*copyState).counts) > m.min() {
			continue // the new copy is on its way
		}
		if to := r.fitting(need{model: m, class: classFew}); to != nil && to != x.engine {
			r.load(to, m)
		}
	}
}

// option is a copy that may go, the slots of demand that this costs, and what
// it costs in all.
type option struct {
	c    *copyState
	loss slotSums
	cost float64
	move bool
}

// evictable lists the copies on an engine that may go for a need.
func (r *run) evictable(e *engineState, n need) []option {
	var out []option
	for _, c := range e.copies {
		m := r.byModel[c.key.model]
		if m == nil || !c.secure() || e.open[c.key.model] || m.current(c) && (m == n.model || e.pinned(m.name())) {
			continue
		}
		_, young := r.loaded[c.key]
		switch {
		case m == n.model && r.removable(c):
			out = append(out, option{c: c}) // the new version takes its place
		case m == n.model:
		case r.removable(c) && !(young && n.class == classReplica):
			loss := m.loss(c)
			cost := loss.mean()
			if !m.idle() {
				cost += drainCost
			}
			out = append(out, option{c: c, loss: loss, cost: cost})
		case n.class != classReplica && r.movable(m, e):
			out = append(out, option{c: c, cost: moveCost + m.slots, move: true})
		}
	}
	return out
}

// evictionOn finds the copies on an engine whose removal frees the missing
// memory at the least cost. Sole copies may go only for needs that are more
// than replicas, and only if their model fits elsewhere first.
func (r *run) evictionOn(e *engineState, n need, missing int64) *eviction {
	options := r.evictable(e, n)
	// The cheapest for its memory goes first.
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.cost/float64(a.c.memoryMB+1), b.cost/float64(b.c.memoryMB+1)),
			cmp.Compare(b.c.memoryMB, a.c.memoryMB),
		)
	})
	x := &eviction{engine: e}
	for _, o := range options {
		if missing <= 0 && o.c.key.model != n.model.name() {
			continue
		}
		missing -= int64(o.c.memoryMB)
		x.out = append(x.out, o.c)
		x.cost += o.cost
		for i := range x.loss {
			x.loss[i] += o.loss[i]
		}
		if o.move {
			x.moves = append(x.moves, o.c)
		}
	}
	if missing > 0 {
		return nil
	}
	if n.class == classReplica && !r.worth(n, x) {
		return nil
	}
	return x
}

// drainCost prefers copies that need no drain time, among those whose removal
// costs about the same.
const drainCost = 0.1

// moveCost makes the move of a sole copy the last resort.
const moveCost = 1000

// worth weighs the gain of a replica against what the evicted copies served.
func (r *run) worth(n need, x *eviction) bool {
	var freed float64
	for _, c := range x.out {
		freed += c.share
	}
	return x.engine.gain(n.unmet, freed)-x.loss.mean() >= 2*minGain
}

// movable reports whether another copy of the model is on its way already, or
// fits on another engine now.
func (r *run) movable(m *modelState, from *engineState) bool {
	if m.count((*copyState).counts) > m.min() {
		return true
	}
	return slices.ContainsFunc(r.engines, func(e *engineState) bool {
		return e != from && e.mayOrder(r.view.NowMs) && !e.open[m.name()] && !e.holds(m.name()) &&
			config.CanHold(e.cfg, m.cfg) && e.freeMB >= e.extra(m)
	})
}

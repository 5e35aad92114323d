package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/radishloom/radishloom/internal/state/config"
)

// Classes of needs, most urgent first.
const (
	classAwaited = iota // no copy, and requests wait
	classAbsent         // no copy
	classFew            // fewer copies than the minimum, or none of the new version
	classReplica        // unmet demand
	classFill           // a copy that a burst would need
)

// need is a copy that is missing.
type need struct {
	model *modelState
	class int
	gain  float64
	unmet slotSums
	// only, if set, is the engine that has to hold the copy.
	only *engineState
}

// needs lists the missing copies by urgency.
func (r *run) needs() []need {
	var out []need
	for _, m := range r.models {
		if n, ok := r.needOf(m); ok {
			out = append(out, n)
		}
	}
	for _, e := range r.engines {
		out = append(out, r.pinnedNeeds(e)...)
	}
	slices.SortStableFunc(out, func(a, b need) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(b.gain, a.gain),
			cmp.Compare(a.model.name(), b.model.name()),
		)
	})
	replicas := slices.IndexFunc(out, func(n need) bool { return n.class == classReplica })
	if replicas >= 0 && len(out) > replicas+maxReplicaNeeds {
		out = out[:replicas+maxReplicaNeeds]
	}
	return out
}

func (r *run) needOf(m *modelState) (need, bool) {
	// A drain is given up before a load is planned.
	if m.count((*copyState).counts) < m.min() {
		for _, c := range m.copies {
			if c.draining && !c.unloading {
				r.keep(c.key)
			}
		}
	}
	have := m.count((*copyState).counts)
	anywhere := m.count(func(c *copyState) bool { return c.ready() && c.engine.live })
	current := m.count(func(c *copyState) bool { return m.current(c) && c.counts() })
	awaited := m.demand.Waiting + m.demand.Requests
	switch {
	case have == 0 && r.faults.noCopies:
		return need{}, false
	case have == 0 && anywhere == 0 && m.demand.Waiting > 0:
		return need{model: m, class: classAwaited, gain: awaited}, true
	case have == 0 && anywhere == 0:
		return need{model: m, class: classAbsent, gain: awaited}, true
	case have < m.min(), current < m.min():
		return need{model: m, class: classFew, gain: awaited}, true
	}
	unmet := m.unmet()
	for _, c := range m.copies {
		// An old copy that is still needed is replaced by one more new copy.
		if !m.current(c) && c.secure() {
			for i, lost := range m.loss(c) {
				unmet[i] = max(unmet[i], lost)
			}
		}
	}
	if r.faults.restless {
		unmet = slotSums{2, 2}
	}
	n := need{model: m, class: classReplica, gain: unmet.mean(), unmet: unmet}
	return n, n.gain >= minGain
}

// pinnedNeeds are the pinned models that a live engine does not hold.
func (r *run) pinnedNeeds(e *engineState) []need {
	var out []need
	for _, name := range e.cfg.GetPinnedModels() {
		m := r.byModel[name]
		if m == nil || !e.usable() || e.open[name] {
			continue
		}
		if !slices.ContainsFunc(e.copies, func(c *copyState) bool { return c.key.model == name && m.current(c) }) {
			out = append(out, need{model: m, class: classFew, only: e})
		}
	}
	return out
}

// serve orders a load for a need, or starts to free the memory for it.
func (r *run) serve(n need) {
	if !r.mayLoad() && n.class == classReplica {
		return
	}
	if e := r.fitting(n); e != nil {
		if r.load(e, n.model) {
			r.release(n.model.name())
		}
		return
	}
	if _, waits := r.reserved[n.model.name()]; waits && r.continueFreeing(n) {
		return
	}
	if !r.free(n) && n.class != classReplica {
		r.plan.Blocked = append(r.plan.Blocked, n.model.name())
	}
}

// release ends a reservation and the drains for it that go on no further.
func (r *run) release(model string) {
	delete(r.reserved, model)
	for k, d := range r.draining {
		if c := r.find(k); d.purpose == model && !c.unloading {
			r.keep(k)
		}
	}
}

// releaseUnwanted ends the reservations of models that need nothing any more.
func (r *run) releaseUnwanted() {
	for m := range r.reserved {
		if !r.wanted[m] {
			r.release(m)
		}
	}
}

// reserve takes reserved memory out of what other models may use.
func (r *run) reserve() {
	for _, x := range r.reserved {
		r.byName[x.engine].freeMB -= x.memory
	}
}

// room is the memory that a model may use on an engine.
func (r *run) room(e *engineState, m *modelState) int64 {
	room := e.freeMB
	if r.faults.ignoreWorst {
		room = int64(e.cfg.GetMemoryMb())
		for _, c := range e.copies {
			if c.reported {
				room -= int64(c.memoryMB)
			}
		}
	}
	if x, ok := r.reserved[m.name()]; ok && x.engine == e.name() {
		room += x.memory
	}
	return room
}

// able reports whether an engine may get a copy at all, apart from its memory
// in use.
func (r *run) able(e *engineState, n need) bool {
	m := n.model
	switch {
	case n.only != nil && n.only != e,
		!e.mayOrder(r.view.NowMs), e.open[m.name()], !config.CanHold(e.cfg, m.cfg):
		return false
	case !e.holds(m.name()):
		return true
	case slices.ContainsFunc(e.copies, func(c *copyState) bool { return c.key.model == m.name() && m.current(c) }):
		return false
	}
	// An engine may replace the old version in place, which interrupts it. That
	// is accepted only where no other engine can hold the model.
	return n.only != nil || !slices.ContainsFunc(r.engines, func(o *engineState) bool {
		return o.usable() && !o.holds(m.name()) && config.CanHold(o.cfg, m.cfg)
	})
}

// outdated returns an old version of the model on the engine that should be
// unloaded before the new one is loaded in its place.
func (r *run) outdated(e *engineState, m *modelState) *copyState {
	for _, c := range e.copies {
		if c.key.model == m.name() && !m.current(c) && (c.unloading || r.removable(c)) {
			return c
		}
	}
	return nil
}

// fitting returns the best engine with enough free memory.
func (r *run) fitting(n need) *engineState {
	var best *engineState
	var bestScore score
	for _, e := range r.engines {
		if !r.able(e, n) || r.room(e, n.model) < e.extra(n.model) || r.outdated(e, n.model) != nil {
			continue
		}
		if n.class == classReplica && e.gain(n.unmet, 0) < minGain {
			continue
		}
		if s := r.score(e, n.model); best == nil || s.less(bestScore) {
			best, bestScore = e, s
		}
	}
	return best
}

// score orders engines; lower is better.
type score struct {
	sameCentre int     // copies of the model in the data centre
	load       float64 // use of the slots with the new copy, in tenths
	left       int64   // memory left over
}

func (s score) less(o score) bool {
	return cmp.Or(
		cmp.Compare(s.sameCentre, o.sameCentre), cmp.Compare(s.load, o.load), cmp.Compare(s.left, o.left),
	) < 0
}

func (r *run) score(e *engineState, m *modelState) score {
	s := score{left: e.freeMB - int64(m.cfg.GetMemoryMb())}
	copies := 1
	for _, c := range m.copies {
		if c.counts() {
			copies++
			if c.engine.cfg.GetDataCentre() == e.cfg.GetDataCentre() {
				s.sameCentre++
			}
		}
	}
	s.load = math.Floor(10 * (e.load + m.slots/float64(copies)) / e.slots)
	return s
}

package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// fillFree gives an engine that has just started its first model. The model
// with the most load for each copy
// comes first, and a single copy counts as more, since its engine may go.
func (r *plan) fillFree() (Decision, bool) {
	if r.store < storeBurst {
		return Decision{}, false // needed loads come first
	}
	var best *candidate
	var bestModel *catalog.Model
	worth := leastSpare
	for _, e := range r.engines {
		if !r.free(e) || len(e.report.Models) > 0 {
			continue // a model that nobody needs would only have to go again
		}
		for name, m := range r.models {
			gain := r.perCopy(name)
			if r.copies[name] <= 1 {
				gain += singleCopy
			}
			if gain > worth && r.copies[name] < len(r.engines) && !e.planned(name) && r.fits(e, m, nil) {
				best, bestModel, worth = &candidate{engine: e}, m, gain
			}
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return r.begin(best, bestModel)
}

// leastSpare is the load of each copy from which a model gets one in free
// memory; singleCopy is added where there is one copy only.
const (
	leastSpare = 0.1
	singleCopy = 0.5
)

// used is the memory of an engine without some of its models.
func (r *plan) used(e *engine, without []string) float64 {
	total := 0.0
	largest := 0.0
	for _, m := range r.models {
		largest = max(largest, m.AdapterMB)
	}
	for _, held := range e.report.Models {
		if slices.Contains(without, held.Model) {
			continue
		}
		if m := r.models[held.Model]; m != nil {
			total += m.MemoryMB
		}
	}
	// Adapters may be loaded at any time, so all their places count.
	return total + largest*float64(r.service.Engine.AdapterSlots)
}

func (r *plan) fits(e *engine, m *catalog.Model, without []string) bool {
	return r.used(e, without)+m.MemoryMB <= r.service.Engine.MemoryMB
}

// unreachable lists models that are asked for and that no engine holds, those
// with the most demand first. Requests for such a model may be refused at once,
// so their number counts and not how many of them wait.
func (r *plan) unreachable() []string {
	var out []string
	for name := range r.models {
		if r.copies[name] == 0 && r.asked(name) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.rates[b], r.rates[a]), cmp.Compare(r.demand[b].waits(), r.demand[a].waits()), cmp.Compare(a, b))
	})
	return out
}

// asked says whether somebody wants a model now.
func (r *plan) asked(model string) bool {
	d := r.demand[model]
	if d == nil {
		return false
	}
	return r.rates[model] >= leastAsked || d.waits() > 0 || (d.wanted != 0 && r.now-d.wanted < time.Second)
}

// leastAsked is the load of a model from which it is kept reachable.
const leastAsked = 0.05

// perCopy is the load of each copy of a model.
func (r *plan) perCopy(model string) float64 {
	return r.rates[model] / float64(max(1, r.copies[model]))
}

// otherLoad is the load of an engine from all models but one and those that are
// evicted.
func (r *plan) otherLoad(e *engine, model string, evict []string) float64 {
	total := 0.0
	for name := range r.rates {
		if name != model && e.planned(name) && !slices.Contains(evict, name) {
			total += r.perCopy(name)
		}
	}
	return total
}

// poolLoad is the mean load of the engines of a model. Requests go to the least
// loaded of them, so they share it.
func (r *plan) poolLoad(model string) float64 {
	total, n := r.rates[model], 0
	for _, e := range r.engines {
		if !e.Leaving && e.planned(model) {
			total += r.otherLoad(e, model, nil)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / float64(n)
}

// byPoolLoad lists the models whose pools have much load, the most first.
func (r *plan) byPoolLoad() []string {
	loads := make(map[string]float64, len(r.rates))
	var out []string
	for name, rate := range r.rates {
		if r.copies[name] == 0 || r.copies[name] >= len(r.engines) || rate < leastLoad/2 {
			continue
		}
		if loads[name] = r.poolLoad(name); loads[name] >= leastLoad {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b], loads[a]), cmp.Compare(a, b))
	})
	return out
}

// candidate is an engine for a new copy, with what has to go for it.
type candidate struct {
	engine *engine
	evict  []string
	cost   float64
}

// loadSomewhere starts a load of the model on the engine where it costs least.
// A needed model is not reachable at all; another one must gain enough.
func (r *plan) loadSomewhere(model string, needed bool) (Decision, bool) {
	m := r.models[model]
	limit := math.Inf(1)
	if !needed {
		limit = gainToMove * r.poolLoad(model)
	}
	var best *candidate
	for _, e := range r.engines {
		if !r.free(e) || e.planned(model) {
			continue
		}
		evict, ok := r.evictFor(e, m, needed, limit)
		if !ok {
			continue
		}
		c := &candidate{engine: e, evict: evict, cost: r.otherLoad(e, model, evict)}
		c.cost += loadCost*e.loadTime(m).Seconds() + r.evictCost(evict)
		if c.cost > limit {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return r.begin(best, m)
}

// evictCost is what the copies that have to go count, in load: each delays the
// new one, and a model without any other copy will be missed.
func (r *plan) evictCost(evict []string) float64 {
	total := 0.0
	for _, gone := range evict {
		total += evictEach
		if r.ready[gone] <= 1 {
			total += evictLast
		}
	}
	return total
}

const (
	evictEach = 0.3
	evictLast = 3.0
)

// loadCost is what a second of loading counts, in load: until it is over the
// engine has lost a copy and gained none, and demand may have moved on.
const loadCost = 0.7

func (r *plan) begin(c *candidate, m *catalog.Model) (Decision, bool) {
	if !c.engine.local(m.Name) && r.store < 1 {
		return Decision{}, false
	}
	r.copies[m.Name]++
	if len(c.evict) == 0 {
		r.mayLoad(c.engine, m)
		return r.order(c.engine, Order{Operation: Load, Model: m.Name}), true
	}
	for _, gone := range c.evict {
		c.engine.closing[gone] = r.now
		r.copies[gone]--
		r.ready[gone]--
	}
	c.engine.replacement = m.Name
	r.moved = true
	return Decision{}, false
}

// evictFor returns the models whose memory a new one needs on an engine, the
// least loaded first. A model keeps a copy elsewhere unless nobody asks for it
// and the new one is needed, and its other copies must not get more than limit.
func (r *plan) evictFor(e *engine, m *catalog.Model, needed bool, limit float64) ([]string, bool) {
	var evict []string
	if r.fits(e, m, evict) {
		return nil, true
	}
	held := slices.Clone(e.report.Models)
	slices.SortFunc(held, func(a, b Resident) int {
		return cmp.Or(cmp.Compare(r.perCopy(a.Model), r.perCopy(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, h := range held {
		if !needed && r.now-e.since[h.Model] < leastStay {
			continue
		}
		last := r.ready[h.Model] <= 1
		if last && (!needed || r.asked(h.Model)) {
			continue
		}
		if !last && r.rates[h.Model]/float64(max(1, r.ready[h.Model]-1)) > limit {
			continue
		}
		evict = append(evict, h.Model)
		if r.fits(e, m, evict) {
			return r.needed(e, m, evict), true
		}
	}
	return nil, false
}

// needed leaves out what need not go, the most loaded first.
func (r *plan) needed(e *engine, m *catalog.Model, evict []string) []string {
	for i := len(evict) - 2; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(evict), i, i+1)
		if r.fits(e, m, fewer) {
			evict = fewer
		}
	}
	return evict
}

package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// fillFree gives an engine that has just started its first model. The model
// with the most load for each copy
// comes first, and a single copy counts as more, since its engine may go.
func (r *plan) fillFree() (Decision, bool) {
	if r.store < min(storeSlack, fullStore(r.service.Engine.LoadsPerSecond)) {
		return Decision{}, false // needed loads come first
	}
	var best *candidate
	var bestModel *catalog.Model
	worth := leastSpare
	for _, e := range r.engines {
		if !r.free(e) || len(e.report.Models) > 0 {
			continue // a model that nobody needs would only have to go again
		}
		for _, name := range r.names() {
			gain := r.perCopy(name)
			if len(r.pools[name]) <= 1 {
				gain += singleCopy
			}
			if gain > worth && !r.plans(e, name) && r.fits(e, r.models[name], nil) {
				best, bestModel, worth = &candidate{engine: e}, r.models[name], gain
			}
		}
	}
	if best == nil {
		return Decision{}, false
	}
	d, _, now := r.begin(best, bestModel)
	return d, now
}

// leastSpare is the load of each copy from which a model gets one in free
// memory; singleCopy is added where there is one copy only.
const (
	leastSpare = 0.01
	singleCopy = 0.05
)

// names lists the models in a fixed order.
func (r *plan) names() []string { return slices.Sorted(maps.Keys(r.models)) }

func (r *plan) plans(e *engine, model string) bool { return slices.Contains(r.held[e], model) }

// used is the memory of an engine without some of its models.
func (r *plan) used(e *engine, without []string) float64 {
	total := 0.0
	for _, held := range e.report.Models {
		if slices.Contains(without, held.Model) {
			continue
		}
		if m := r.models[held.Model]; m != nil {
			total += m.MemoryMB
		}
	}
	// Adapters may be loaded at any time, so all their places count.
	return total + r.adapterMB*float64(r.service.Engine.AdapterSlots)
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
		if len(r.pools[name]) == 0 && r.asked(name) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.load[b], r.load[a]), cmp.Compare(r.demand[b].waits(), r.demand[a].waits()), cmp.Compare(a, b))
	})
	return out
}

// asked says whether somebody wants a model now.
func (r *plan) asked(model string) bool {
	d := r.demand[model]
	if d == nil {
		return false
	}
	recent := d.used != 0 && r.now-d.used < askedFor
	return recent || d.slow >= leastAsked || d.waits() > 0 || (d.wanted != 0 && r.now-d.wanted < time.Second)
}

// leastAsked is the load of a model from which it is kept reachable.
const leastAsked = 0.01

// perCopy is the load of each copy of a model.
func (r *plan) perCopy(model string) float64 {
	return r.load[model] / float64(max(1, len(r.pools[model])))
}

// otherLoad is the load of an engine from all models but one and those that are
// evicted.
func (r *plan) otherLoad(e *engine, model string, evict []string) float64 {
	total := 0.0
	for _, name := range r.held[e] {
		if name != model && !slices.Contains(evict, name) {
			total += r.perCopy(name)
		}
	}
	return total
}

// poolLoad is the mean load of the engines of a model. Requests go to the least
// loaded of them, so they share it.
func (r *plan) poolLoad(model string) float64 {
	pool := r.pools[model]
	if len(pool) == 0 {
		return 0
	}
	total := r.load[model]
	for _, e := range pool {
		total += r.otherLoad(e, model, nil)
	}
	return total / float64(len(pool))
}

// spread begins copies of the models whose pools have the most load. It looks at
// all pools again after each. Orders that can be sent at once go to take.
func (r *plan) spread(take func(d Decision, ok bool)) {
	if r.measured() < settleTime {
		return
	}
	for range triesPerRound {
		model := r.mostLoaded()
		if model == "" {
			return
		}
		d, begun, now := r.loadSomewhere(model, false)
		take(d, now)
		if !begun {
			r.stuck[model] = r.now + stuckTime
		}
	}
}

// mostLoaded returns the model whose pool has the most load, if that is enough
// for a further copy and the model is not passed over; or "".
func (r *plan) mostLoaded() string {
	best, most := "", leastLoad
	for name, load := range r.load {
		copies := len(r.pools[name])
		if r.now < r.stuck[name] || copies == 0 || copies >= len(r.engines) || load < leastLoad/2 || !r.lacks(name) {
			continue
		}
		if l := r.poolLoad(name); l > most || (l == most && name < best) {
			best, most = name, l
		}
	}
	return best
}

// candidate is an engine for a new copy, with what has to go for it.
type candidate struct {
	engine *engine
	evict  []string
	cost   float64
}

// loadSomewhere starts a load of the model on the engine where it costs least.
// A needed model is not reachable at all; another one must gain enough. It says
// whether a copy was begun, and whether there is an order to send now.
func (r *plan) loadSomewhere(model string, needed bool) (d Decision, begun, now bool) {
	m := r.models[model]
	limit := math.Inf(1)
	if !needed {
		limit = gainToMove * r.poolLoad(model)
	}
	var best *candidate
	for _, e := range r.engines {
		if !r.free(e) || r.plans(e, model) || !r.mayBegin(e, m) {
			continue
		}
		evict, ok := r.evictFor(e, m, needed)
		if !ok {
			continue
		}
		shared := r.otherLoad(e, model, evict)
		if shared > limit {
			continue
		}
		c := &candidate{engine: e, evict: evict, cost: shared + loadCost*(e.loadTime(m).Seconds()+r.drainTime(evict).Seconds())}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Decision{}, false, false
	}
	return r.begin(best, m)
}

// drainTime is how long the copies that have to go delay a load. An engine unloads
// a model once its runs have ended.
func (r *plan) drainTime(evict []string) time.Duration {
	longest := time.Duration(0)
	for _, gone := range evict {
		runs := min(1, r.perCopy(gone)/busyCopy)
		longest = max(longest, closeTime+time.Duration(runs*float64(longRun)))
	}
	return longest
}

const (
	// drainAhead is the time in which models make way. What the store allows in it is
	// there for the loads that wait for them.
	drainAhead = 2 * time.Second
	// longRun is how long the longest run of a busy copy lasts, and busyCopy the load
	// of a copy that has runs at any time.
	longRun  = 4 * time.Second
	busyCopy = 0.2
	// loadCost is what a second until a copy serves counts, in load: until then the
	// engine has lost a copy and gained none, and demand may have moved on.
	loadCost = 0.05
)

// mayBegin says whether the store's rate allows a further load beside those that
// were begun and wait for models to make way. Loads of engines that have their own
// copy of the weights do not count.
func (r *plan) mayBegin(e *engine, m *catalog.Model) bool {
	ahead := drainAhead.Seconds() * r.service.Engine.LoadsPerSecond * storePart
	return e.local(m.Name) || (r.store >= 1 && r.store+ahead-float64(r.reserved) >= 1)
}

// takeStore counts a load that starts now.
func (r *plan) takeStore(e *engine, m *catalog.Model) {
	if !e.local(m.Name) {
		r.store--
	}
}

// begin orders a load, or closes the models that have to go first.
func (r *plan) begin(c *candidate, m *catalog.Model) (d Decision, begun, now bool) {
	e := c.engine
	for _, gone := range c.evict {
		e.closing[gone] = r.now
		r.ready[gone]--
		r.pools[gone] = slices.DeleteFunc(r.pools[gone], func(x *engine) bool { return x == e })
		r.held[e] = slices.DeleteFunc(r.held[e], func(held string) bool { return held == gone })
	}
	r.moves = append(r.moves, Move{
		Model: m.Name, Engine: e.ID, Evicted: c.evict, Copies: len(r.pools[m.Name]), Local: e.local(m.Name),
		Demand: r.demand[m.Name].fast, Expected: r.load[m.Name], PoolLoad: r.poolLoad(m.Name), ReportAge: r.now - e.reported,
	})
	r.pools[m.Name] = append(r.pools[m.Name], e)
	r.held[e] = append(r.held[e], m.Name)
	if len(c.evict) > 0 {
		e.replacement = m.Name
		if !e.local(m.Name) {
			r.reserved++
		}
		return Decision{}, true, false
	}
	r.takeStore(e, m)
	return e.order(Order{Operation: Load, Model: m.Name}), true, true
}

// evictFor returns the models whose memory a new one needs on an engine, the
// least loaded first. Copies that are not spare stay, unless a model is reachable
// nowhere: then any copy but the last one of a model that is asked for may go.
func (r *plan) evictFor(e *engine, m *catalog.Model, needed bool) ([]string, bool) {
	var evict []string
	if r.fits(e, m, evict) {
		return nil, true
	}
	held := slices.Clone(e.report.Models)
	slices.SortFunc(held, func(a, b Resident) int {
		return cmp.Or(cmp.Compare(r.perCopy(a.Model), r.perCopy(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, h := range held {
		if since, ordered := e.since[h.Model]; !needed && ordered && r.now-since < r.loadTimeOf(h.Model)+leastUse {
			continue
		}
		last := r.ready[h.Model] <= 1 && r.asked(h.Model)
		if last || (!needed && !r.spares(h.Model)) {
			continue
		}
		evict = append(evict, h.Model)
		if r.fits(e, m, evict) {
			return r.needed(e, m, evict), true
		}
	}
	return nil, false
}

func (r *plan) loadTimeOf(model string) time.Duration {
	if m := r.models[model]; m != nil {
		return m.LoadTime
	}
	return 0
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

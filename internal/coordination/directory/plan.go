package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of placement.
const (
	// reportLag is how much older than its arrival a report may be.
	reportLag = 400 * time.Millisecond
	// closeTime is how long a model takes no new requests before its unload, so
	// that every entry has heard of it.
	closeTime = 400 * time.Millisecond
	// gainToMove is the part of a pool's load below which the load of an engine
	// must be before the engine joins the pool.
	gainToMove = 0.75
	// leastLoad is the mean load of a pool's engines, in engines, below which it
	// gets no further one.
	leastLoad = 0.4
	// settleTime is how long demand is measured before copies move by it.
	settleTime = 2 * time.Second
	// leastUse is how long a copy stays beyond the time of its load, unless another
	// model is reachable nowhere.
	leastUse = 4 * time.Second
	// storePart is the part of the weight store's rate that is used, and storeBurst
	// the seconds of that rate, and storeSlack the loads, that may start at once.
	// The platform allows 1.1 times the rate and 3 loads in any 5 s, of which
	// 0.85 x 5 s and the burst use 4.95 s and 2 loads.
	storePart  = 0.85
	storeBurst = 0.7
	storeSlack = 2.0
	// triesPerRound bounds the models for which one round looks for an engine, and
	// stuckTime is how long one that found none is passed over: a control VM of the
	// users has 0.12 of a core, and under overload most models want copies.
	triesPerRound = 8
	stuckTime     = 700 * time.Millisecond
	// adapterIdle is the age from which an unused adapter may make way.
	adapterIdle = 1500 * time.Millisecond
	// adapterReady is the time from an accepted order to the adapter's use.
	adapterReady = 15 * time.Millisecond
)

// Planner decides which orders engines get.
type Planner struct {
	engines map[string]*engine
	demand  map[string]*modelDemand
	// stuck is until when a model that found no engine is passed over.
	stuck map[string]time.Duration
	// reportAge is the age from which a report is too old for an order.
	reportAge time.Duration
	moves     []Move
	// measuredFrom is when the first work was reported.
	measuredFrom time.Duration
	store        float64 // loads that may start now
	storeAt      time.Duration
}

// NewPlanner returns a planner without engines that may start no load at once.
func NewPlanner(now time.Duration) *Planner {
	return &Planner{engines: map[string]*engine{}, demand: map[string]*modelDemand{}, stuck: map[string]time.Duration{}, reportAge: leastReportAge, storeAt: now}
}

// Decision is an order for one engine.
type Decision struct {
	Engine Endpoint
	Order  Order
}

// Move is the decision to give a model a further copy, with what decided it.
type Move struct {
	Model, Engine string
	// Evicted are the models that make way.
	Evicted []string
	// Copies is how many there were, also those that were only begun.
	Copies int
	// Local says that the engine has its own copy of the weights.
	Local bool
	// Demand is the present one and Expected that at the end of the load, in
	// engines. PoolLoad is the mean load of the model's engines.
	Demand, Expected, PoolLoad float64
	// ReportAge is the age of the engine's last report.
	ReportAge time.Duration
}

// TakeMoves returns the moves that were decided since the last call.
func (p *Planner) TakeMoves() []Move {
	moves := p.moves
	p.moves = nil
	return moves
}

// plan is the state of one round.
type plan struct {
	*Planner
	now     time.Duration
	service *catalog.Service
	engines []*engine // of the service, by identifier
	models  map[string]*catalog.Model
	// pools holds the engines of a model, also those where it was only begun;
	// ready counts those that serve it.
	pools map[string][]*engine
	ready map[string]int
	// held is planned for each engine.
	held map[*engine][]string
	// load is the demand expected for each model, in engines.
	load map[string]float64
	// want is how many copies each model should have, in parts of a copy.
	want map[string]float64
	// reserved counts loads from the store that wait for models to make way.
	reserved int
	// adapterMB is the memory of the largest adapter.
	adapterMB float64
}

// Plan returns the orders to send now for one service, at most one for each
// engine. Each of them counts as sent.
func (p *Planner) Plan(now time.Duration, s *catalog.Service) []Decision {
	r := p.newPlan(now, s)
	var out []Decision
	take := func(d Decision, ok bool) {
		if ok {
			p.Sent(d) // an engine gets one order at a time
			out = append(out, d)
		}
	}
	for _, e := range r.engines {
		take(r.finishClosing(e))
	}
	for _, m := range r.unreachable() {
		d, _, now := r.loadSomewhere(m, true)
		take(d, now)
	}
	r.spread(take)
	take(r.fillFree())
	return out
}

func (p *Planner) newPlan(now time.Duration, s *catalog.Service) *plan {
	r := &plan{
		Planner: p, now: now, service: s, models: map[string]*catalog.Model{},
		pools: map[string][]*engine{}, ready: map[string]int{}, held: map[*engine][]string{},
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		r.models[m.Name] = m
		r.adapterMB = max(r.adapterMB, m.AdapterMB)
	}
	r.load = r.forecasts()
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.Service != s.Name {
			continue
		}
		r.engines = append(r.engines, e)
		r.addToPools(e)
		if e.replacement != "" && !e.local(e.replacement) {
			r.reserved++
		}
	}
	r.want = r.copiesWanted()
	p.refillStore(now, s.Engine.LoadsPerSecond)
	return r
}

func (r *plan) addToPools(e *engine) {
	if e.Leaving {
		return
	}
	r.held[e] = e.planned()
	for _, model := range r.held[e] {
		r.pools[model] = append(r.pools[model], e)
		if e.serves(model) {
			r.ready[model]++
		}
	}
}

func (p *Planner) refillStore(now time.Duration, rate float64) {
	p.store = min(fullStore(rate), p.store+(now-p.storeAt).Seconds()*rate*storePart)
	p.storeAt = now
}

// fullStore is how many loads from the weight store may start at once.
func fullStore(rate float64) float64 { return storeBurst*rate + storeSlack }

// idle says whether an engine can take an order now.
func (r *plan) idle(e *engine) bool {
	return !e.Leaving && !e.ordering && !e.stale && e.reported != 0 && !e.report.Busy && !e.report.Leaving &&
		e.loading == "" && r.now-e.reported < r.reportAge
}

// free is idle without a move under way.
func (r *plan) free(e *engine) bool {
	return r.idle(e) && len(e.closing) == 0 && e.replacement == ""
}

// finishClosing goes on with a move: unload what was closed, then load.
func (r *plan) finishClosing(e *engine) (Decision, bool) {
	if !r.idle(e) {
		return Decision{}, false
	}
	if closing := slices.Sorted(maps.Keys(e.closing)); len(closing) > 0 {
		if r.now-e.closing[closing[0]] < closeTime {
			return Decision{}, false
		}
		return e.order(Order{Operation: Unload, Model: closing[0]}), true
	}
	if e.replacement == "" {
		return Decision{}, false
	}
	m := r.models[e.replacement]
	if m == nil || !r.fits(e, m, nil) {
		e.replacement = ""
		return Decision{}, false
	}
	if !e.local(m.Name) {
		if r.store < 1 {
			return Decision{}, false
		}
		r.reserved--
	}
	r.takeStore(e, m)
	e.replacement = ""
	return e.order(Order{Operation: Load, Model: m.Name}), true
}

// order is an order for the engine's present state.
func (e *engine) order(o Order) Decision {
	o.ExpectedSequence = e.report.Sequence
	return Decision{Engine: e.Endpoint, Order: o}
}

// ReadyIn estimates how long it takes until a model is resident somewhere.
func (p *Planner) ReadyIn(now time.Duration, s *catalog.Service, model string) time.Duration {
	m := findModel(s, model)
	best := closeTime + m.LoadTime
	for _, e := range p.engines {
		switch {
		case e.Service != s.Name || e.Leaving:
		case e.loading == model && !e.ordering:
			best = min(best, max(0, e.loadingReady-now))
		case e.replacement == model:
			best = min(best, closeTime+e.loadTime(m))
		case e.reported != 0:
			best = min(best, closeTime+e.loadTime(m))
		}
	}
	return best
}

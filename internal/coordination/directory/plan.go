package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of placement.
const (
	// loadMemory is the time constant of the measured demand for a model.
	loadMemory = 2500 * time.Millisecond
	// reportLag is how much older than its arrival a report may be.
	reportLag = 400 * time.Millisecond
	// closeTime is how long a model takes no new requests before its unload, so
	// that every entry has heard of it.
	closeTime = 700 * time.Millisecond
	// gainToMove is the part of a pool's load below which the load of an engine
	// must be before the engine joins the pool, and below which the load of an
	// evicted model's copies must stay.
	gainToMove = 0.75
	// tokensPerLoad makes tokens a unit of load: about one request.
	tokensPerLoad = 1500.0
	// leastLoad is the load of a pool, a second and engine, below which it gets no
	// further engine.
	leastLoad = 4.5
	// leastStay is how long a copy stays after its load was ordered, unless another
	// model is reachable nowhere.
	leastStay = 12 * time.Second
	// storeBurst is how many loads may start at once; the platform's bound allows
	// a few more than the rate in each window.
	storeBurst = 2.0
	// storePart is the part of the weight store's rate that is used, so that a
	// change of the leader stays within the bound.
	storePart = 0.85
	// adapterIdle is the age from which an unused adapter may make way.
	adapterIdle = 1500 * time.Millisecond
	// adapterReady is the time from an accepted order to the adapter's use.
	adapterReady = 15 * time.Millisecond
)

// engine is what the planner knows of one engine.
type engine struct {
	Endpoint
	report   Report
	reported time.Duration // zero before the first report
	// asked is when the report was asked for.
	asked time.Duration
	// stale says that a newer report is needed before the next order.
	stale bool
	// staleSince is when the last order made the report useless.
	staleSince time.Duration
	// ordering says that an order is on its way.
	ordering bool
	// loading is the model whose load was accepted. It should be resident at
	// loadingReady; at loadingUntil the load counts as failed.
	loading                    string
	loadingReady, loadingUntil time.Duration
	// closing holds the models that are about to be unloaded, and since when.
	closing map[string]time.Duration
	// replacement is the model that is loaded once closing models are gone.
	replacement string
	since       map[string]time.Duration  // when a load of a model was accepted
	adapters    map[Adapter]time.Duration // last use
}

func (e *engine) holds(model string) bool {
	return slices.ContainsFunc(e.report.Models, func(r Resident) bool { return r.Model == model })
}

func (e *engine) serves(model string) bool {
	_, closing := e.closing[model]
	return e.holds(model) && !closing && !e.Leaving
}

func (e *engine) adaptersOf(model string) []string {
	for _, r := range e.report.Models {
		if r.Model == model {
			return r.Adapters
		}
	}
	return nil
}

// adapterPlaces counts the adapters that are loaded or on their way.
func (e *engine) adapterPlaces() int {
	n := len(e.report.Incoming)
	for _, r := range e.report.Models {
		n += len(r.Adapters)
	}
	return n
}

// modelDemand is the measured demand for a model or adapter.
type modelDemand struct {
	rate    float64 // load a second
	waiting map[string]int
	at      time.Duration
	used    time.Duration
	wanted  time.Duration // when an entry last asked for a load
}

// Planner decides which orders engines get.
type Planner struct {
	engines map[string]*engine
	demand  map[string]*modelDemand
	store   float64 // loads that may start now
	storeAt time.Duration
}

// NewPlanner returns a planner without engines that may start no load at once.
func NewPlanner(now time.Duration) *Planner {
	return &Planner{engines: map[string]*engine{}, demand: map[string]*modelDemand{}, storeAt: now}
}

// SetEndpoints takes over the engines of the platform's list.
func (p *Planner) SetEndpoints(list []Endpoint) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		e := p.engines[in.ID]
		if e == nil || e.Address != in.Address {
			e = &engine{closing: map[string]time.Duration{}, adapters: map[Adapter]time.Duration{}, since: map[string]time.Duration{}, stale: true}
			e.report.Models = in.Models
			p.engines[in.ID] = e
		}
		e.Endpoint = in
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
}

// Reported takes over a report that was asked for at the time.
func (p *Planner) Reported(now, asked time.Duration, id string, r Report) {
	e := p.engines[id]
	if e == nil || e.ordering {
		return
	}
	if e.report.Started != r.Started && e.reported != 0 {
		e.closing = map[string]time.Duration{}
		e.replacement, e.loading = "", ""
	}
	if e.reported != 0 && asked < e.staleSince+reportLag {
		// Older than the last order: only the load in it is news.
		if !e.stale {
			e.reported = now
			e.report.Running, e.report.Waiting, e.report.KVUsed = r.Running, r.Waiting, r.KVUsed
		}
		return
	}
	e.report, e.reported, e.asked, e.stale = r, now, asked, false
	if e.loading != "" && (e.holds(e.loading) || (now > e.loadingUntil && !r.Busy)) {
		e.loading = ""
	}
	for model := range e.closing {
		if !e.holds(model) {
			delete(e.closing, model)
		}
	}
	for _, m := range r.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			if _, known := e.adapters[key]; !known {
				e.adapters[key] = now
			}
		}
	}
}

// Asked adds what an entry reports of a model, or of MODEL/ADAPTER: requests
// with their tokens, and how many wait now.
func (p *Planner) Asked(now time.Duration, entry, name string, requests, tokens, waiting int) {
	d := p.demandOf(now, name)
	d.rate += float64(tokens) / tokensPerLoad / loadMemory.Seconds()
	if requests > 0 {
		d.used = now
	}
	if waiting > 0 {
		d.waiting[entry] = waiting
	} else {
		delete(d.waiting, entry)
	}
}

func (p *Planner) demandOf(now time.Duration, name string) *modelDemand {
	d := p.demand[name]
	if d == nil {
		d = &modelDemand{waiting: map[string]int{}, at: now}
		p.demand[name] = d
	}
	d.rate *= math.Exp(-(now - d.at).Seconds() / loadMemory.Seconds())
	d.at = now
	return d
}

func (d *modelDemand) waits() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// Decision is an order for one engine.
type Decision struct {
	Engine Endpoint
	Order  Order
}

// plan is the state of one round.
type plan struct {
	*Planner
	now     time.Duration
	service *catalog.Service
	engines []*engine // of the service, by identifier
	models  map[string]*catalog.Model
	// copies counts those that were begun, ready only those that serve.
	copies, ready map[string]int
	rates         map[string]float64
	moved         bool // a move was begun in this round
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
		take(r.loadSomewhere(m, true))
	}
	for _, m := range r.byPoolLoad() {
		if d, ok := r.loadSomewhere(m, false); ok || r.moved {
			take(d, ok)
			break
		}
	}
	take(r.fillFree())
	return out
}

// fillFree gives an engine that has just started its first model. The model with the most load for each copy
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

func (p *Planner) newPlan(now time.Duration, s *catalog.Service) *plan {
	r := &plan{Planner: p, now: now, service: s, models: map[string]*catalog.Model{}, copies: map[string]int{}, ready: map[string]int{}, rates: map[string]float64{}}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		r.models[m.Name] = m
		r.rates[m.Name] = p.demandOf(now, m.Name).rate
	}
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.Service != s.Name {
			continue
		}
		r.engines = append(r.engines, e)
		r.countCopies(e)
	}
	p.refillStore(now, s.Engine.LoadsPerSecond)
	return r
}

func (r *plan) countCopies(e *engine) {
	if e.Leaving {
		return
	}
	for _, m := range e.report.Models {
		if e.serves(m.Model) {
			r.copies[m.Model]++
			r.ready[m.Model]++
		}
	}
	for _, coming := range []string{e.loading, e.replacement} {
		if coming != "" && !e.holds(coming) {
			r.copies[coming]++
		}
	}
}

func (p *Planner) refillStore(now time.Duration, rate float64) {
	p.store = min(storeBurst, p.store+(now-p.storeAt).Seconds()*rate*storePart)
	p.storeAt = now
}

// idle says whether an engine can take an order now.
func (r *plan) idle(e *engine) bool {
	return !e.Leaving && !e.ordering && !e.stale && e.reported != 0 && !e.report.Busy && !e.report.Leaving &&
		e.loading == "" && r.now-e.reported < ReportAge
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
		return r.order(e, Order{Operation: Unload, Model: closing[0]}), true
	}
	if e.replacement == "" {
		return Decision{}, false
	}
	m := r.models[e.replacement]
	if m == nil || !r.fits(e, m, nil) {
		e.replacement = ""
		return Decision{}, false
	}
	if !r.mayLoad(e, m) {
		return Decision{}, false
	}
	e.replacement = ""
	return r.order(e, Order{Operation: Load, Model: m.Name}), true
}

func (r *plan) order(e *engine, o Order) Decision {
	o.Expected = e.report.Sequence
	return Decision{Engine: e.Endpoint, Order: o}
}

// local says whether the engine has its own copy of the weights.
func (e *engine) local(model string) bool {
	return slices.Contains(e.report.InMemory, model) || slices.Contains(e.report.OnDisk, model)
}

// mayLoad takes a load from the store's rate if the weights come from there.
func (r *plan) mayLoad(e *engine, m *catalog.Model) bool {
	if e.local(m.Name) {
		return true
	}
	if r.store < 1 {
		return false
	}
	r.store--
	return true
}

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

// planned says whether an engine serves a model, or will when what was begun is
// done.
func (e *engine) planned(model string) bool {
	return e.serves(model) || e.loading == model || e.replacement == model
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

// Sent records that an order is on its way.
func (p *Planner) Sent(d Decision) {
	if e := p.engines[d.Engine.ID]; e != nil {
		e.ordering = true
	}
}

// Answered records what became of an order; ok is false without an answer.
func (p *Planner) Answered(now time.Duration, d Decision, out Outcome, ok bool, s *catalog.Service) {
	e := p.engines[d.Engine.ID]
	if e == nil {
		return
	}
	e.ordering = false
	o := d.Order
	if !ok || (out != Accepted && out != Holds) {
		e.stale, e.staleSince = true, now
		return
	}
	switch {
	case o.Adapter != "":
		p.adapterDone(now, e, o)
	case o.Operation == Load:
		e.loading = o.Model
		e.since[o.Model] = now
		e.loadingReady = now + e.loadTime(findModel(s, o.Model))
		e.loadingUntil = now + loadLimit(findModel(s, o.Model))
		e.stale, e.staleSince = true, now
	default:
		e.stale, e.staleSince = true, now
	}
}

// adapterDone takes over an adapter order without waiting for a report.
func (p *Planner) adapterDone(now time.Duration, e *engine, o Order) {
	e.report.Sequence++
	models := slices.Clone(e.report.Models)
	for i, m := range models {
		if m.Model != o.Model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
		if o.Operation == Load {
			adapters = append(adapters, o.Adapter)
		}
		models[i] = Resident{Model: m.Model, Adapters: adapters}
	}
	e.report.Models = models
	key := Adapter{o.Model, o.Adapter}
	if o.Operation == Load {
		e.adapters[key] = now
	} else {
		delete(e.adapters, key)
	}
	// Reports that were asked for before this order do not show it yet.
	e.stale, e.staleSince = false, now
}

func findModel(s *catalog.Service, name string) *catalog.Model {
	for i := range s.Engine.Models {
		if s.Engine.Models[i].Name == name {
			return &s.Engine.Models[i]
		}
	}
	return &catalog.Model{Name: name}
}

// loadLimit bounds how long a load counts as running without a report of it.
func loadLimit(m *catalog.Model) time.Duration { return 3*m.LoadTime + time.Second }

// loadTime is how long an engine takes to load a model.
func (e *engine) loadTime(m *catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.report.InMemory, m.Name):
		return m.WarmLoadTime
	case slices.Contains(e.report.OnDisk, m.Name):
		return m.DiskLoadTime
	default:
		return m.LoadTime
	}
}

// ReadyIn estimates how long it takes until a model is resident somewhere.
func (p *Planner) ReadyIn(now time.Duration, s *catalog.Service, model string) time.Duration {
	m := findModel(s, model)
	best := closeTime + m.LoadTime
	for _, e := range p.engines {
		switch {
		case e.Service != s.Name || e.Leaving:
		case e.loading == model:
			best = min(best, max(0, e.loadingReady-now))
		case e.replacement == model:
			best = min(best, closeTime+e.loadTime(m))
		case e.reported != 0:
			best = min(best, closeTime+e.loadTime(m))
		}
	}
	return best
}

// WantModel records that an entry needs a model that is resident nowhere.
func (p *Planner) WantModel(now time.Duration, model string) {
	p.demandOf(now, model).wanted = now
}

// PlanAdapter returns the order that brings an adapter closer: its load, or the
// unload of another one in its place. The second result is the engine that has
// it already.
func (p *Planner) PlanAdapter(now time.Duration, s *catalog.Service, model, adapter string) (*Decision, string) {
	r := p.newPlan(now, s)
	var best *engine
	for _, e := range r.engines {
		if !e.serves(model) {
			continue
		}
		if slices.Contains(e.adaptersOf(model), adapter) {
			return nil, e.ID
		}
		usable := !e.ordering && !e.stale && e.reported != 0 && r.now-e.reported < ReportAge && len(e.report.Incoming) < 4
		if usable && (best == nil || r.adapterCost(e) < r.adapterCost(best)) {
			best = e
		}
	}
	if best == nil {
		return nil, ""
	}
	if best.adapterPlaces() >= s.Engine.AdapterSlots {
		victim, ok := r.idleAdapter(best)
		if !ok {
			return nil, ""
		}
		d := r.order(best, Order{Operation: Unload, Model: victim.Model, Adapter: victim.Name})
		return &d, ""
	}
	d := r.order(best, Order{Operation: Load, Model: model, Adapter: adapter})
	return &d, ""
}

// adapterCost prefers engines with free places and little load.
func (r *plan) adapterCost(e *engine) float64 {
	cost := float64(e.report.Running+e.report.Waiting) / float64(max(1, e.Slots))
	cost += float64(e.adapterPlaces()) / float64(max(1, r.service.Engine.AdapterSlots))
	return cost
}

// idleAdapter returns the adapter that was used longest ago.
func (r *plan) idleAdapter(e *engine) (Adapter, bool) {
	var oldest Adapter
	found, at := false, r.now
	for _, m := range e.report.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			last := e.adapters[key]
			if d := r.demand[m.Model+"/"+a]; d != nil {
				last = max(last, d.used)
			}
			if r.now-last >= adapterIdle && (!found || last < at) {
				oldest, found, at = key, true, last
			}
		}
	}
	return oldest, found
}

// Silent forgets the waiting requests of an entry for everything that its
// report does not name.
func (p *Planner) Silent(entry string, reported map[string]bool) {
	for name, d := range p.demand {
		if !reported[name] {
			delete(d.waiting, entry)
		}
	}
}

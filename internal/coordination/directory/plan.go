package directory

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Parameters of the placement of models.
const (
	// reportLag is how much older than its arrival the state in a report may be.
	reportLag = 400 * time.Millisecond
	// drainDelay is how long a model gets no new requests before it is unloaded, so
	// that every entry knows of the unload by then.
	drainDelay = 400 * time.Millisecond
	// maxJoinRatio is the ratio of an engine's load to the load of a pool up to which
	// the engine may join the pool.
	maxJoinRatio = 0.75
	// minPoolLoad is the mean load of a pool's engines up to which it gets no further
	// engine.
	minPoolLoad = 0.4
	// minMeasuredTime is how long demand is measured before replicas are added because
	// of it.
	minMeasuredTime = 2 * time.Second
	// minReplicaUse is how long a replica stays after the time of its load, unless
	// another model is reachable nowhere.
	minReplicaUse = 4 * time.Second
	// storeRateFraction is the fraction of the weight store's rate that is used.
	// storeBurstSeconds of that rate and storeBurstLoads in addition may start at once.
	// The platform allows 1.1 times the rate and 3 loads in any 5 s, of which
	// 0.85 x 5 s and the burst use 4.95 s and 2 loads.
	storeRateFraction = 0.85
	storeBurstSeconds = 0.7
	storeBurstLoads   = 2.0
	// attemptsPerRound bounds the models for which one planning round looks for an
	// engine, and backoffTime is how long a model for which none was found is skipped:
	// a control VM of the users has 0.12 of a core, and under overload most models need
	// further replicas.
	attemptsPerRound = 8
	backoffTime      = 700 * time.Millisecond
	// adapterIdleTime is the time without use after which an adapter may be evicted.
	adapterIdleTime = 1500 * time.Millisecond
	// adapterLoadTime is the time from an accepted order until the adapter can be used.
	adapterLoadTime = 15 * time.Millisecond
)

// Planner decides which orders engines get.
type Planner struct {
	engines map[string]*engine
	demand  map[string]*modelDemand
	// backoffUntil is the time until which a model that found no engine is skipped.
	backoffUntil map[string]time.Duration
	// maxReportAge is the age from which a report is too old for an order.
	maxReportAge  time.Duration
	replicaStarts []ReplicaStart
	// measuredFrom is when the first work was reported.
	measuredFrom    time.Duration
	storeTokens     float64 // loads from the weight store that may start now
	storeRefilledAt time.Duration
}

// NewPlanner returns a Planner without engines. No load from the weight store may
// start at once, since an earlier leader may have used the rate of the last
// seconds.
func NewPlanner(now time.Duration) *Planner {
	return &Planner{engines: map[string]*engine{}, demand: map[string]*modelDemand{}, backoffUntil: map[string]time.Duration{}, maxReportAge: reportAgeFloor, storeRefilledAt: now}
}

// Decision is an order for one engine.
type Decision struct {
	Engine Endpoint
	Order  Order
}

// ReplicaStart is the decision to add a replica of a model, with the values that
// led to it.
type ReplicaStart struct {
	Model, Engine string
	// SoftwareVersion is that of the engine, RequestedVersion the one for which the model
	// was requested, or empty.
	SoftwareVersion, RequestedVersion string
	// Evicted lists the models that are evicted for it.
	Evicted []string
	// Replicas is the number of replicas before, including those that are not loaded
	// yet.
	Replicas int
	// Local is set if the engine has its own copy of the weights.
	Local bool
	// Demand is the current demand and Expected the demand at the end of the load, in
	// engines. PoolLoad is the mean load of the model's engines.
	Demand, Expected, PoolLoad float64
	// ReportAge is the age of the engine's last report.
	ReportAge time.Duration
}

// TakeReplicaStarts returns the replica starts that were decided since the last
// call.
func (p *Planner) TakeReplicaStarts() []ReplicaStart {
	starts := p.replicaStarts
	p.replicaStarts = nil
	return starts
}

// plan is the state of one planning round.
type plan struct {
	*Planner
	now     time.Duration
	service *catalog.Service
	engines []*engine // of the service, sorted by identifier
	models  map[string]*catalog.Model
	// pools holds the engines of each model, including those that are still to load it;
	// ready counts those that serve it.
	pools map[string][]*engine
	ready map[string]int
	// planned holds the models that each engine serves or will serve.
	planned map[*engine][]string
	// load is the expected demand for each model, in engines.
	load map[string]float64
	// desired is the desired number of replicas of each model, which may be fractional.
	desired map[string]float64
	// pendingStoreLoads counts the loads from the weight store that wait for models to
	// drain.
	pendingStoreLoads int
	// adapterMB is the memory of the largest adapter.
	adapterMB float64
}

// Plan runs one planning round for a service. It returns the orders to send now, at
// most one for each engine, and records each of them as sent.
func (p *Planner) Plan(now time.Duration, s *catalog.Service) []Decision {
	r := p.newPlan(now, s)
	var out []Decision
	take := func(d Decision, ok bool) {
		if ok {
			p.RecordSent(d) // an engine gets one order at a time
			out = append(out, d)
		}
	}
	for _, e := range r.engines {
		take(r.continueReplacement(e))
	}
	for _, l := range r.requiredLoads() {
		if r.holds(l) {
			continue // by a load that was started for another version
		}
		d, _, now := r.startReplica(l, true)
		take(d, now)
	}
	r.addReplicas(take)
	take(r.fillEmptyEngine())
	return out
}

func (p *Planner) newPlan(now time.Duration, s *catalog.Service) *plan {
	r := &plan{
		Planner: p, now: now, service: s, models: map[string]*catalog.Model{},
		pools: map[string][]*engine{}, ready: map[string]int{}, planned: map[*engine][]string{},
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
		if e.replacement != "" && !e.hasLocalWeights(e.replacement) {
			r.pendingStoreLoads++
		}
	}
	r.desired = r.desiredReplicas()
	p.refillStoreTokens(now, s.Engine.LoadsPerSecond)
	return r
}

func (r *plan) addToPools(e *engine) {
	if e.outOfUse() {
		return
	}
	r.planned[e] = e.plannedModels()
	for _, model := range r.planned[e] {
		r.pools[model] = append(r.pools[model], e)
		if e.serves(model) {
			r.ready[model]++
		}
	}
}

func (p *Planner) refillStoreTokens(now time.Duration, rate float64) {
	p.storeTokens = min(maxStoreTokens(rate), p.storeTokens+(now-p.storeRefilledAt).Seconds()*rate*storeRateFraction)
	p.storeRefilledAt = now
}

// maxStoreTokens returns how many loads from the weight store may start at once.
func maxStoreTokens(rate float64) float64 { return storeBurstSeconds*rate + storeBurstLoads }

// canOrder reports whether an engine can take an order for a model now.
func (r *plan) canOrder(e *engine) bool {
	return !e.outOfUse() && !e.orderInFlight && !e.stale && e.reportedAt != 0 && !e.report.Busy && !e.report.Leaving &&
		e.loading == "" && r.now-e.reportedAt < r.maxReportAge
}

// available reports whether an engine can take an order and has no replacement in
// progress.
func (r *plan) available(e *engine) bool {
	return r.canOrder(e) && len(e.draining) == 0 && e.replacement == ""
}

// continueReplacement returns the next order of a replacement: the unload of a
// drained model, then the load of the new one.
func (r *plan) continueReplacement(e *engine) (Decision, bool) {
	if !r.canOrder(e) {
		return Decision{}, false
	}
	if draining := slices.Sorted(maps.Keys(e.draining)); len(draining) > 0 {
		if r.now-e.draining[draining[0]] < drainDelay {
			return Decision{}, false
		}
		return e.decide(Order{Operation: Unload, Model: draining[0]}), true
	}
	if e.replacement == "" {
		return Decision{}, false
	}
	m := r.models[e.replacement]
	if m == nil || !r.fits(e, m, nil) {
		e.replacement = ""
		return Decision{}, false
	}
	if !e.hasLocalWeights(m.Name) {
		if r.storeTokens < 1 {
			return Decision{}, false
		}
		r.pendingStoreLoads--
	}
	r.takeStoreToken(e, m)
	e.replacement = ""
	return e.decide(Order{Operation: Load, Model: m.Name}), true
}

// decide returns the order with the current sequence of the engine.
func (e *engine) decide(o Order) Decision {
	o.ExpectedSequence = e.report.Sequence
	return Decision{Engine: e.Endpoint, Order: o}
}

// EstimateReady estimates how long it takes until a model is resident on some
// engine of a software version, which is empty for any version.
func (p *Planner) EstimateReady(now time.Duration, s *catalog.Service, model, version string) time.Duration {
	m := findModel(s, model)
	coming, possible := time.Duration(math.MaxInt64), drainDelay+m.LoadTime
	for _, e := range p.engines {
		switch {
		case e.Service != s.Name || e.outOfUse() || !e.hasVersion(version):
		case e.loading == model && e.orderInFlight:
			coming = min(coming, e.loadTime(m))
		case e.loading == model:
			coming = min(coming, max(0, e.loadReadyAt-now))
		case e.replacement == model:
			coming = min(coming, drainDelay+e.loadTime(m))
		case e.reportedAt != 0:
			possible = min(possible, drainDelay+e.loadTime(m))
		}
	}
	if coming != math.MaxInt64 {
		return coming // no other engine gets a load meanwhile
	}
	return possible
}

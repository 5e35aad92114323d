package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// fillEmptyEngine orders the first model of an engine that has just started. The
// model with the highest load per replica comes first. A model with a single
// replica gets a bonus, since its engine may leave or fail.
func (r *plan) fillEmptyEngine() (Decision, bool) {
	if r.storeTokens < min(storeBurstLoads, maxStoreTokens(r.service.Engine.LoadsPerSecond)) {
		return Decision{}, false // loads of models in demand come first
	}
	var best *candidate
	var bestModel *catalog.Model
	bestGain := minFillLoad
	for _, e := range r.engines {
		if !r.available(e) || len(e.report.Models) > 0 {
			continue // a further model that nobody needs would only be evicted again
		}
		for _, name := range r.modelNames() {
			gain := r.loadPerReplica(name)
			if len(r.pools[name]) <= 1 {
				gain += singleReplicaBonus
			}
			if gain > bestGain && !r.isPlanned(e, name) && r.fits(e, r.models[name], nil) {
				best, bestModel, bestGain = &candidate{engine: e}, r.models[name], gain
			}
		}
	}
	if best == nil {
		return Decision{}, false
	}
	d, _, sendNow := r.startLoad(best, bestModel, "")
	return d, sendNow
}

// minFillLoad is the load per replica from which a model gets a replica on an empty
// engine; singleReplicaBonus is added to that load for a model with at most one
// replica.
const (
	minFillLoad        = 0.01
	singleReplicaBonus = 0.05
)

// modelNames returns the names of the models in sorted order.
func (r *plan) modelNames() []string { return slices.Sorted(maps.Keys(r.models)) }

func (r *plan) isPlanned(e *engine, model string) bool { return slices.Contains(r.planned[e], model) }

// usedMemoryMB returns the memory of an engine that is in use, without the models
// in except.
func (r *plan) usedMemoryMB(e *engine, except []string) float64 {
	total := 0.0
	for _, held := range e.report.Models {
		if slices.Contains(except, held.Model) {
			continue
		}
		if m := r.models[held.Model]; m != nil {
			total += m.MemoryMB
		}
	}
	// Adapters may be loaded at any time, so all adapter slots count.
	return total + r.adapterMB*float64(r.service.Engine.AdapterSlots)
}

func (r *plan) fits(e *engine, m *catalog.Model, except []string) bool {
	return r.usedMemoryMB(e, except)+m.MemoryMB <= r.service.Engine.MemoryMB
}

// unreachable lists the models in demand that no engine holds or is about to load.
func (r *plan) unreachable() []string {
	var out []string
	for name := range r.models {
		if len(r.pools[name]) == 0 && r.inDemand(name) {
			out = append(out, name)
		}
	}
	return out
}

// compareDemand orders models by their demand, the highest first. Requests for a model
// that no engine holds may be refused at once, so the demand decides before the number of
// waiting requests.
func (r *plan) compareDemand(a, b string) int {
	return cmp.Or(cmp.Compare(r.load[b], r.load[a]), cmp.Compare(r.demand[b].waitingRequests(), r.demand[a].waitingRequests()), cmp.Compare(a, b))
}

// inDemand reports whether a model is requested now.
func (r *plan) inDemand(model string) bool {
	d := r.demand[model]
	if d == nil {
		return false
	}
	recent := d.lastUsed != 0 && r.now-d.lastUsed < demandWindow
	return recent || d.slow >= minReachableLoad || d.waitingRequests() > 0 || (d.loadRequestedAt != 0 && r.now-d.loadRequestedAt < requestWindow)
}

// minReachableLoad is the load of a model from which it is kept reachable.
const minReachableLoad = 0.01

// loadPerReplica returns the load of each replica of a model, relative to the capacity
// of its engine: faster engines get more requests.
func (r *plan) loadPerReplica(model string) float64 {
	if len(r.pools[model]) == 0 {
		return r.load[model]
	}
	return r.load[model] / r.capacityOf(model)
}

// otherLoad returns the load of an engine from all its models but one and those to
// be evicted.
func (r *plan) otherLoad(e *engine, model string, evict []string) float64 {
	total := 0.0
	for _, name := range r.planned[e] {
		if name != model && !slices.Contains(evict, name) {
			total += r.loadPerReplica(name)
		}
	}
	return total
}

// poolLoad returns the mean load of the engines of a model. Requests go to the
// least loaded of them, so they share the load.
func (r *plan) poolLoad(model string) float64 {
	pool := r.pools[model]
	if len(pool) == 0 {
		return 0
	}
	total := r.load[model]
	for _, e := range pool {
		total += r.otherLoad(e, model, nil) * e.capacity()
	}
	return total / r.capacityOf(model)
}

// addReplicas starts replicas of the models whose pools have the highest load. It
// compares all pools again after each. Orders that can be sent at once are passed
// to take.
func (r *plan) addReplicas(take func(d Decision, ok bool)) {
	if r.measuredFor() < minMeasuredTime {
		return
	}
	for range attemptsPerRound {
		model := r.mostLoaded()
		if model == "" {
			return
		}
		d, started, sendNow := r.startReplica(versionedModel{model: model}, false)
		take(d, sendNow)
		if !started {
			r.backoffUntil[model] = r.now + backoffTime
		}
	}
}

// mostLoaded returns the model whose pool has the highest load, or "" if no pool
// needs a further replica. Models in backoff are skipped.
func (r *plan) mostLoaded() string {
	best, most := "", minPoolLoad
	for name, load := range r.load {
		replicas := len(r.pools[name])
		if r.now < r.backoffUntil[name] || replicas == 0 || replicas >= len(r.engines) || load < minPoolLoad/2 || !r.underReplicated(name) {
			continue
		}
		if l := r.poolLoad(name); l > most || (l == most && name < best) {
			best, most = name, l
		}
	}
	return best
}

// candidate is an engine for a new replica, with the models to evict for it.
type candidate struct {
	engine *engine
	evict  []string
	cost   float64
}

// startReplica starts a load of the model on the engine of the version where it costs
// least. A required model is not reachable there; for any other one, the engine must have
// clearly less load than the pool. It returns whether a replica was started, and
// whether there is an order to send now.
func (r *plan) startReplica(l versionedModel, required bool) (d Decision, started, sendNow bool) {
	model, m := l.model, r.models[l.model]
	limit := math.Inf(1)
	if !required {
		limit = maxJoinRatio * r.poolLoad(model)
	}
	var best *candidate
	for _, e := range r.engines {
		if !e.hasVersion(l.version) || !r.available(e) || r.isPlanned(e, model) || !r.storeAllows(e, m) {
			continue
		}
		evict, ok := r.evictionsFor(e, m, required)
		if !ok {
			continue
		}
		shared := r.otherLoad(e, model, evict)
		if shared > limit {
			continue
		}
		c := &candidate{engine: e, evict: evict, cost: r.joinCost(e, model, shared) + loadTimeCost*(e.loadTime(m).Seconds()+r.evictionDelay(evict).Seconds())}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil {
		return Decision{}, false, false
	}
	return r.startLoad(best, m, l.version)
}

// joinCost returns the cost of a further replica of the model on an engine, given the
// load of its other models: the load of all of them together, multiplied by the engine's
// slowdown, less the replica's own load at the usual speed. At an engine of the usual
// speed this is the given load.
func (r *plan) joinCost(e *engine, model string, shared float64) float64 {
	own := r.load[model] / (r.capacityOf(model) + e.capacity())
	return (shared+own)*e.slowdown.factor() - own
}

// evictionDelay returns how long evictions delay a load. An engine unloads a model
// once its running requests have ended.
func (r *plan) evictionDelay(evict []string) time.Duration {
	longest := time.Duration(0)
	for _, evicted := range evict {
		busyFraction := min(1, r.loadPerReplica(evicted)/busyReplicaLoad)
		longest = max(longest, drainDelay+time.Duration(busyFraction*float64(longestRun)))
	}
	return longest
}

const (
	// drainLookahead is the time in which models are drained. The loads that the store
	// allows in this time are available to the loads that wait for the draining.
	drainLookahead = 2 * time.Second
	// longestRun is the duration of the longest request on a busy replica;
	// busyReplicaLoad is the load from which a replica has running requests at any
	// time.
	longestRun      = 4 * time.Second
	busyReplicaLoad = 0.2
	// loadTimeCost is the cost, in load, of each second until a replica serves: until
	// then the engine has lost a replica and gained none, and demand may have changed.
	loadTimeCost = 0.05
)

// storeAllows reports whether the rate of the weight store allows a further load
// beside those that wait for models to drain. Loads from an engine's own copy of
// the weights do not count.
func (r *plan) storeAllows(e *engine, m *catalog.Model) bool {
	lookahead := drainLookahead.Seconds() * r.service.Engine.LoadsPerSecond * storeRateFraction
	return e.hasLocalWeights(m.Name) || (r.storeTokens >= 1 && r.storeTokens+lookahead-float64(r.pendingStoreLoads) >= 1)
}

// takeStoreToken counts a load that starts now, unless the engine has the weights.
func (r *plan) takeStoreToken(e *engine, m *catalog.Model) {
	if !e.hasLocalWeights(m.Name) {
		r.storeTokens--
	}
}

// startLoad orders a load that is needed for a software version, or begins to drain the
// models that have to be evicted first.
func (r *plan) startLoad(c *candidate, m *catalog.Model, version string) (d Decision, started, sendNow bool) {
	e := c.engine
	for _, evicted := range c.evict {
		e.draining[evicted] = r.now
		r.ready[evicted]--
		r.pools[evicted] = slices.DeleteFunc(r.pools[evicted], func(x *engine) bool { return x == e })
		r.planned[e] = slices.DeleteFunc(r.planned[e], func(held string) bool { return held == evicted })
	}
	r.replicaStarts = append(r.replicaStarts, ReplicaStart{
		Model: m.Name, Engine: e.ID, SoftwareVersion: e.SoftwareVersion, RequestedVersion: version, Evicted: c.evict, Replicas: len(r.pools[m.Name]), Local: e.hasLocalWeights(m.Name),
		Demand: r.demand[m.Name].fast, Expected: r.load[m.Name], PoolLoad: r.poolLoad(m.Name), ReportAge: r.now - e.reportedAt,
	})
	r.pools[m.Name] = append(r.pools[m.Name], e)
	r.planned[e] = append(r.planned[e], m.Name)
	if len(c.evict) > 0 {
		e.replacement = m.Name
		if !e.hasLocalWeights(m.Name) {
			r.pendingStoreLoads++
		}
		return Decision{}, true, false
	}
	r.takeStoreToken(e, m)
	return e.decide(Order{Operation: Load, Model: m.Name}), true, true
}

// evictionsFor returns the models to evict so that a new one fits on an engine, the
// least loaded first. Only surplus replicas are evicted, unless the new model is
// required, which means that it is reachable nowhere, or on no engine of a requested
// software version: then any replica may be evicted but the last one of a model in demand.
// A model that was itself requested for the engine's version lately is kept.
func (r *plan) evictionsFor(e *engine, m *catalog.Model, required bool) ([]string, bool) {
	var evict []string
	if r.fits(e, m, evict) {
		return nil, true
	}
	held := slices.Clone(e.report.Models)
	slices.SortFunc(held, func(a, b Resident) int {
		return cmp.Or(cmp.Compare(r.loadPerReplica(a.Model), r.loadPerReplica(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, h := range held {
		if since, ordered := e.loadAcceptedAt[h.Model]; !required && ordered && r.now-since < r.loadTimeOf(h.Model)+minReplicaUse {
			continue
		}
		lastReplica := r.ready[h.Model] <= 1 && r.inDemand(h.Model)
		if lastReplica || r.keptForVersion(e, h.Model) || (!required && !r.hasSurplus(h.Model, e)) {
			continue
		}
		evict = append(evict, h.Model)
		if r.fits(e, m, evict) {
			return r.trimEvictions(e, m, evict), true
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

// trimEvictions removes the models that need not be evicted, starting with the most
// loaded.
func (r *plan) trimEvictions(e *engine, m *catalog.Model, evict []string) []string {
	for i := len(evict) - 2; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(evict), i, i+1)
		if r.fits(e, m, fewer) {
			evict = fewer
		}
	}
	return evict
}

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the choice of an endpoint.
const (
	// affinityWeight is the value of a shared prefix, in requests. Reading a few
	// hundred prompt tokens again costs an engine less than one further request.
	affinityWeight = 0.5
	// minPromptWindow is the lower bound of the prompt window, which limits the
	// prompt tokens that are waiting to be read at an engine. An engine reads
	// about 25 of them per millisecond, so 1500 tokens pause its streams for some
	// 60 ms. The fewer streams an engine runs, the less harm a pause does: the
	// window is promptWindowBudget divided by the slots, up to maxPromptWindow,
	// which an engine reads within the permitted gap between two events of a
	// stream.
	minPromptWindow    = 1500
	maxPromptWindow    = 4000
	promptWindowBudget = 48_000
	// maxKVFraction is the fraction of an engine's KV cache that may be reserved.
	// The rest is for outputs that are longer than expected.
	maxKVFraction = 0.9
	// heldTokenWeight is the cost of a token held in the KV cache, relative to a
	// prompt token that is yet to be read.
	heldTokenWeight = 0.03
	// tokensPerRequest converts tokens to requests in the cost.
	tokensPerRequest = 1000.0
	// crossDataCentreCost is the additional cost of an engine in another data
	// centre, in requests.
	crossDataCentreCost = 0.1
	// preferenceWeight is the weight of an entry's own order of endpoints, in
	// requests. It makes each entry use few endpoints, over connections that are
	// already open.
	preferenceWeight = 0.3
	// randomWeight is the weight of a random term that keeps entries with the
	// same state from making the same choice.
	randomWeight = 0.1
)

// choose returns the endpoint with the lowest cost, or the reason why none can take
// the request.
func (t *Table) choose(now time.Duration, q *Query) (*endpoint, UnavailableReason) {
	reason := NoEndpoints
	if q.Model != "" && t.mayLoadModel(now, q) {
		reason = NoModel
	}
	var best *endpoint
	var bestCost float64
	for _, e := range t.candidates(q) {
		if t.excluded(now, e, q) {
			continue
		}
		if why := t.unavailableReason(now, e, q); why != None {
			reason = max(reason, why)
			continue
		}
		cost := t.cost(now, e, q)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		return best, None
	}
	return nil, reason
}

// mayLoadModel reports whether an endpoint may get the model of a request. One that only
// endpoints of another software version have is no reason to wait.
func (t *Table) mayLoadModel(now time.Duration, q *Query) bool {
	list := t.services[q.Service]
	if q.SoftwareVersion == "" {
		return len(list) > 0
	}
	return slices.ContainsFunc(list, func(e *endpoint) bool { return !t.excluded(now, e, q) })
}

// servesVersion reports whether an endpoint with the software version of a request gets
// requests now or by a time. One that the request was sent to does not count, one that is
// ejected, or avoided by the entry of the request, does.
func (t *Table) servesVersion(now time.Duration, q *Query, by time.Duration) bool {
	return slices.ContainsFunc(t.services[q.Service], func(e *endpoint) bool {
		return e.hasVersion(q.SoftwareVersion) && !e.outOfUse(now) && max(now, e.ejectedUntil) < by && !slices.Contains(q.Exclude, e.ID)
	})
}

func (t *Table) unavailableReason(now time.Duration, e *endpoint, q *Query) UnavailableReason {
	if q.Model != "" && !e.has(now, q.Model, "") {
		return NoModel
	}
	if q.Adapter != "" && !e.has(now, q.Model, q.Adapter) {
		return NoAdapter
	}
	if t.takesAt(now, e, q) > now {
		return Limited
	}
	if now < e.fullUntil || (q.Model == "" && float64(e.load(now)) >= float64(max(1, e.Slots))*(1+q.Overcommit)) {
		return Full
	}
	if q.Model != "" && t.engineFull(now, e, q) {
		return Full
	}
	return None
}

// engineFull reports whether another request would make the streams of an
// engine late. An engine reads prompts between the tokens of its streams, so
// prompts that arrive together stall all streams. One prompt may have any size;
// further ones are accepted only up to the prompt window, which is smaller at an
// engine that is slow at the moment, since it takes longer to read them.
func (t *Table) engineFull(now time.Duration, e *endpoint, q *Query) bool {
	usage := t.totalUsage(now, e)
	free := max(1, e.Slots) - usage.Requests
	if free <= 0 || (usage.PromptTokens > 0 && usage.PromptTokens+q.PromptTokens > t.promptWindowAt(now, e)) {
		return true
	}
	if (free == 1 || usage.PromptTokens > 0) && t.yields(now, e) {
		return true
	}
	return usage.Requests > 0 && e.KVTotal > 0 && float64(usage.HeldTokens+q.HeldTokens) > maxKVFraction*float64(e.KVTotal)
}

// yields reports whether the next slot at an engine is left to another broker:
// requests for its models wait there, and this broker has reserved more slots
// at the engine. Otherwise the broker of a busy model, which is the first to
// learn of each free slot, would leave none to the other models of the engine. The
// permits of a warming engine are given to the brokers in turn.
func (t *Table) yields(now time.Duration, e *endpoint) bool {
	return !e.warming(now) && t.loads.Waiting(now, e.ID) && e.reserved.Requests > t.loads.At(now, e.ID).Requests
}

// promptWindow returns how many prompt tokens may wait to be read at an engine.
func promptWindow(slots int) int {
	return min(maxPromptWindow, max(minPromptWindow, promptWindowBudget/max(1, slots)))
}

// promptWindowAt returns the prompt window of an engine at its present speed.
func (t *Table) promptWindowAt(now time.Duration, e *endpoint) int {
	return int(float64(promptWindow(e.Slots)) / max(1, t.slowdown(now, e)))
}

// totalUsage returns what all brokers together have reserved at an engine.
func (t *Table) totalUsage(now time.Duration, e *endpoint) Usage {
	usage := t.loads.At(now, e.ID)
	usage.add(e.reserved)
	return usage
}

// cost is the expected wait with a small random term, so that entries with the same
// state do not all choose the same endpoint. At a plain service it is the time until
// the request is done, if all take as long; at an engine, the work ahead of its first
// event and its own, in tokens, times the slowdown.
func (t *Table) cost(now time.Duration, e *endpoint, q *Query) float64 {
	terms := t.costTerms(now, e, q, t.rand())
	return terms.total()
}

// CostTerms are the parts of the cost of an endpoint, in requests. Affinity is
// subtracted, the others are added; Slowdown is a factor within Work.
type CostTerms struct {
	// Work is the work ahead of the request and its own, times Slowdown.
	Work, Slowdown float64
	Random         float64
	Preference     float64
	DataCentre     float64
	Affinity       float64
}

func (c *CostTerms) total() float64 {
	return c.Work + c.Random + c.Preference + c.DataCentre - c.Affinity
}

// costTerms returns the terms of the cost for a random number in [0, 1).
func (t *Table) costTerms(now time.Duration, e *endpoint, q *Query, random float64) CostTerms {
	c := CostTerms{Slowdown: t.slowdown(now, e)}
	if q.Model == "" {
		perRequest := c.Slowdown / t.costSlots(e)
		c.Work, c.Random = float64(e.load(now)+1)*perRequest, random*perRequest
		return c
	}
	usage := t.totalUsage(now, e)
	work := float64(usage.PromptTokens+q.PromptTokens) + heldTokenWeight*float64(usage.HeldTokens+q.HeldTokens)
	c.Work, c.Random = work*c.Slowdown/tokensPerRequest, random*randomWeight
	c.Preference = preferenceWeight * rendezvous(q.Preference, e.ID)
	if e.DataCentre != q.DataCentre {
		c.DataCentre = crossDataCentreCost
	}
	if q.Affinity != 0 {
		c.Affinity = affinityWeight * rendezvous(q.Affinity, e.ID)
	}
	return c
}

// excluded reports whether a request may not be sent to an endpoint, whatever its
// load.
func (t *Table) excluded(now time.Duration, e *endpoint, q *Query) bool {
	return e.outOfUse(now) || now < e.ejectedUntil || slices.Contains(q.Exclude, e.ID) || slices.Contains(q.Avoid, e.ID) || !e.hasVersion(q.SoftwareVersion)
}

// hasVersion reports whether an endpoint has the software version that a request is
// restricted to.
func (e *endpoint) hasVersion(version string) bool {
	return version == "" || e.SoftwareVersion == version
}

// candidates returns the endpoints of the service that may have the model.
func (t *Table) candidates(q *Query) []*endpoint {
	if q.Model == "" {
		return t.services[q.Service]
	}
	return t.byModel[modelKey{q.Service, q.Model}]
}

// rendezvous returns a number in [0, 1) that is the same at every entry.
func rendezvous(key uint64, id string) float64 {
	h := (xxhash.Sum64String(id) ^ key) * 0x9e3779b97f4a7c15
	return float64(h>>11) / (1 << 53)
}

// HashPrefix returns the affinity of a request, or zero without shared parts: a
// hash of its model, its adapter and the last part of its prompt that is shared
// with other requests. The very last part belongs to the request alone. Parts
// before the last shared one are few and soon cached at every endpoint, so they
// do not help to choose one.
func HashPrefix(model, adapter string, parts []string) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return cmp.Or(xxhash.Sum64String(model+"/"+adapter+"/"+parts[len(parts)-2]), 1)
}

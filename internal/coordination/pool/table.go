package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/coordination/directory"
)

// Constants of the choice of an endpoint.
const (
	// failuresToEject in a row take an endpoint out for ejectTime, doubled with
	// each further failure up to maxEject.
	failuresToEject = 2
	ejectTime       = 500 * time.Millisecond
	maxEject        = 4 * time.Second
	// fullTime is how long an endpoint that refused a request gets none.
	fullTime = 100 * time.Millisecond
	// loadAge is how long an endpoint's count of other entries' requests is used.
	loadAge = 3 * time.Second
	// missingTime is how long a model counts as absent after the endpoint said
	// so, unless a newer list names it.
	missingTime = 700 * time.Millisecond
	// affinity is what a shared prefix is worth, in requests that may be ahead:
	// reading a few hundred tokens again costs an engine less than one request.
	affinity = 0.5
	// leastWindow is how many prompt tokens may wait at an engine at least. It
	// reads about 25 of them in a millisecond, so its streams pause for some 60 ms.
	// The fewer streams an engine runs, the less harm a pause does: the window is
	// slotWindow over its slots, up to mostWindow, which an engine reads within one
	// event of a stream that is on time.
	leastWindow = 1500
	mostWindow  = 4000
	slotWindow  = 48_000
	// kvPart of an engine's memory for tokens may be taken; the rest is for
	// outputs that are longer than expected.
	kvPart = 0.9
	// heldCost is what a token that is kept costs beside one that is to be read.
	heldCost = 0.03
	// tokensPerRequest makes tokens comparable with requests.
	tokensPerRequest = 1000.0
	// elsewhere is what an engine in another data centre costs, in requests.
	elsewhere = 0.1
	// preferred is what an entry's own order of endpoints counts, in requests: each
	// then uses few endpoints, on connections that it has.
	preferred = 0.3
	// randomPart keeps entries with equal knowledge from choosing alike.
	randomPart = 0.1
)

// Endpoint is an endpoint as the directory last described it.
type Endpoint struct {
	directory.Endpoint
	// Draining holds models that take no new requests.
	Draining map[string]bool
	// KVTotal is the memory for tokens; zero if it is not known.
	KVTotal int
}

// endpoint is the record of an endpoint at one entry.
type endpoint struct {
	Endpoint
	models map[string]map[string]bool // model -> adapters
	// own are the places that this entry gave out: to its own requests, and as a
	// broker to those of all entries.
	own Usage
	// others is the last known number of requests of other entries, from the
	// endpoint's own count. Only plain services need it.
	others   int
	othersAt time.Duration

	failures int
	// failedBy is the entry whose request failed last; a broker sets it.
	failedBy string
	// ejectedUntil is when a request may be tried again; full is the same after
	// the endpoint refused one.
	ejectedUntil time.Duration
	fullUntil    time.Duration
	// missing holds until when a model or model/adapter counts as absent.
	missing map[string]time.Duration
}

// Query describes what a request needs.
type Query struct {
	Service        string
	Model, Adapter string
	// Affinity is a hash of what the prompt shares with others; zero if nothing.
	Affinity uint64
	// Urgency 0 is served first. Overcommit is the fraction of its slots by which
	// an endpoint of a plain service may be filled beyond them.
	Urgency    int
	Overcommit float64
	// PromptTokens are read by the engine, HeldTokens are kept in its KV cache
	// until the request ends. Both are zero for plain services.
	PromptTokens, HeldTokens int
	// Exclude holds endpoints that this request already went to, Avoid those that
	// its entry cannot reach now.
	Exclude, Avoid []string
	// Preference orders the engines for the entry that sends the request, and
	// DataCentre is where that entry is.
	Preference uint64
	DataCentre string
}

// Reservation is a slot that is counted at an endpoint until Table.Release.
type Reservation struct {
	EndpointID, Address string
	target              *endpoint
	// work is counted at the endpoint; its prompt until the first event.
	work Usage
}

// UnavailableReason says why no endpoint can take a request.
type UnavailableReason int

// Reasons, in ascending order of precedence.
const (
	// None: an endpoint can take the request.
	None UnavailableReason = iota
	// NoEndpoints: the service has no endpoint that can be tried.
	NoEndpoints
	// NoModel: no endpoint has the model.
	NoModel
	// NoAdapter: endpoints have the model, none of them the adapter.
	NoAdapter
	// Full: each endpoint that could take the request has enough.
	Full
)

// String returns the name used in logs.
func (a UnavailableReason) String() string {
	return [...]string{"nothing", "an endpoint", "a model", "an adapter", "a slot"}[a]
}

// Result is what a send says of its endpoint.
type Result int

// Results.
const (
	// Unknown says nothing: the caller left, or the request was never sent.
	Unknown Result = iota
	// Succeeded: the endpoint answered.
	Succeeded
	// Failed: the endpoint could not be reached, broke off or was silent.
	Failed
	// Refused: the endpoint did not take the request.
	Refused
	// Absent: the endpoint has another incarnation or lacks the model.
	Absent
)

// Load is an endpoint's own count of its requests.
type Load struct{ Running, Waiting, Slots int }

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// Table holds the endpoints that an entry knows.
type Table struct {
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	byModel   map[modelKey][]*endpoint
	loads     *Loads
	// changed are engines whose own work has to be told to other brokers.
	changed map[string]bool
	rand    func() float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{}, loads: NewLoads(), changed: map[string]bool{}, rand: rand.Float64}
}

// Update replaces the list. What this entry learned of an incarnation stays.
func (t *Table) Update(list []Endpoint) {
	old := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(list))
	t.services = make(map[string][]*endpoint)
	t.byModel = make(map[modelKey][]*endpoint)
	for _, in := range list {
		e := old[in.ID]
		if e == nil || e.Address != in.Address {
			e = &endpoint{missing: map[string]time.Duration{}}
		}
		e.Endpoint = in
		e.setModels(in.Models)
		t.endpoints[in.ID] = e
		t.services[in.Service] = append(t.services[in.Service], e)
		for _, m := range in.Models {
			key := modelKey{in.Service, m.Model}
			t.byModel[key] = append(t.byModel[key], e)
		}
	}
}

func (e *endpoint) setModels(list []directory.Resident) {
	e.models = make(map[string]map[string]bool, len(list))
	for _, m := range list {
		adapters := make(map[string]bool, len(m.Adapters))
		for _, a := range m.Adapters {
			adapters[a] = true
		}
		e.models[m.Model] = adapters
	}
}

func (e *endpoint) observe(now time.Duration, total int) {
	e.others = max(0, total-e.own.Requests)
	e.othersAt = now
}

func (e *endpoint) load(now time.Duration) int {
	if now-e.othersAt > loadAge {
		return e.own.Requests
	}
	return e.own.Requests + e.others
}

func missingKey(model, adapter string) string { return model + "/" + adapter }

func (e *endpoint) has(now time.Duration, model, adapter string) bool {
	adapters, ok := e.models[model]
	if !ok || e.Draining[model] || e.missing[missingKey(model, "")] > now {
		return false
	}
	return adapter == "" || (adapters[adapter] && e.missing[missingKey(model, adapter)] <= now)
}

// Reserve chooses the endpoint with the lowest cost and counts the request
// there.
func (t *Table) Reserve(now time.Duration, q *Query) (*Reservation, UnavailableReason) {
	best, why := t.choose(now, q)
	if best == nil {
		return nil, why
	}
	return t.give(best, Usage{1, q.PromptTokens, q.HeldTokens}), why
}

func (t *Table) give(e *endpoint, w Usage) *Reservation {
	e.own.add(w)
	t.changed[e.ID] = true
	return &Reservation{EndpointID: e.ID, Address: e.Address, target: e, work: w}
}

// Adopt counts a place in that another broker gave out before. It returns nil if
// the endpoint is not known.
func (t *Table) Adopt(id string, w Usage) *Reservation {
	e := t.endpoints[id]
	if e == nil {
		return nil
	}
	return t.give(e, w)
}

func (t *Table) choose(now time.Duration, q *Query) (*endpoint, UnavailableReason) {
	candidates := t.services[q.Service]
	absence := NoEndpoints
	if q.Model != "" {
		if len(candidates) > 0 {
			absence = NoModel
		}
		candidates = t.byModel[modelKey{q.Service, q.Model}]
	}
	var best *endpoint
	var bestCost float64
	for _, e := range candidates {
		if e.Leaving || now < e.ejectedUntil || slices.Contains(q.Exclude, e.ID) || slices.Contains(q.Avoid, e.ID) {
			continue
		}
		if why := t.obstacle(now, e, q); why != None {
			absence = max(absence, why)
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
	return nil, absence
}

func (t *Table) obstacle(now time.Duration, e *endpoint, q *Query) UnavailableReason {
	if q.Model != "" && !e.has(now, q.Model, "") {
		return NoModel
	}
	if q.Adapter != "" && !e.has(now, q.Model, q.Adapter) {
		return NoAdapter
	}
	if now < e.fullUntil || (q.Model == "" && float64(e.load(now)) >= float64(max(1, e.Slots))*(1+q.Overcommit)) {
		return Full
	}
	if q.Model != "" && t.engineFull(now, e, q) {
		return Full
	}
	return None
}

// engineFull says whether another request would make the engine's streams late:
// an engine reads prompts between the tokens of its streams, so prompts that
// arrive together stop all of them. It takes one prompt of any size, and more
// only up to a window.
func (t *Table) engineFull(now time.Duration, e *endpoint, q *Query) bool {
	w := t.work(now, e)
	free := max(1, e.Slots) - w.Requests
	if free <= 0 || (w.PromptTokens > 0 && w.PromptTokens+q.PromptTokens > promptWindow(e.Slots)) {
		return true
	}
	if (free == 1 || w.PromptTokens > 0) && t.yields(now, e) {
		return true
	}
	return w.Requests > 0 && e.KVTotal > 0 && float64(w.HeldTokens+q.HeldTokens) > kvPart*float64(e.KVTotal)
}

// yields says whether the next place at an engine belongs to another broker:
// requests for its models wait, and this broker has given out more places there.
// Without it a busy model's broker, which knows of each free place first, would
// leave none to the other models of the engine.
func (t *Table) yields(now time.Duration, e *endpoint) bool {
	return t.loads.Waiting(now, e.ID) && e.own.Requests > t.loads.At(now, e.ID).Requests
}

// promptWindow is how many prompt tokens may wait at an engine.
func promptWindow(slots int) int {
	return min(mostWindow, max(leastWindow, slotWindow/max(1, slots)))
}

// work is what all brokers have given out at an engine.
func (t *Table) work(now time.Duration, e *endpoint) Usage {
	w := t.loads.At(now, e.ID)
	w.add(e.own)
	return w
}

// cost is the load with a small random part, so that entries with equal
// knowledge do not all choose the same endpoint.
func (t *Table) cost(now time.Duration, e *endpoint, q *Query) float64 {
	if q.Model == "" {
		return float64(e.load(now)) + t.rand()
	}
	w := t.work(now, e)
	cost := (float64(w.PromptTokens)+heldCost*float64(w.HeldTokens))/tokensPerRequest + t.rand()*randomPart
	cost += preferred * rendezvous(q.Preference, e.ID)
	if e.DataCentre != q.DataCentre {
		cost += elsewhere
	}
	if q.Affinity != 0 {
		cost -= affinity * rendezvous(q.Affinity, e.ID)
	}
	return cost
}

// Release ends a reservation and records the result at its endpoint. The model
// and adapter are the ones that the endpoint lacks if the result is Absent.
func (t *Table) Release(now time.Duration, ticket *Reservation, r Result, model, adapter string) {
	e := ticket.target
	e.own.remove(ticket.work)
	ticket.work = Usage{}
	t.changed[e.ID] = true
	switch r {
	case Succeeded:
		e.failures, e.ejectedUntil = 0, 0
	case Failed:
		e.failures++
		if e.failures >= failuresToEject {
			d := min(maxEject, ejectTime<<min(e.failures-failuresToEject, 3))
			e.ejectedUntil = now + d
		}
	case Refused:
		e.fullUntil = now + fullTime
	case Absent:
		e.missing[missingKey(model, adapter)] = now + missingTime
	case Unknown:
	}
}

// Observe takes over an endpoint's own count.
func (t *Table) Observe(now time.Duration, id string, l Load) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.observe(now, l.Running+l.Waiting)
	if l.Slots > 0 {
		e.Slots = l.Slots
	}
}

// MarkPrefilled records that the first event of a request has arrived, so the
// prefill of its prompt is done.
func (t *Table) MarkPrefilled(ticket *Reservation) {
	if ticket.work.PromptTokens == 0 {
		return
	}
	ticket.target.own.PromptTokens -= ticket.work.PromptTokens
	ticket.work.PromptTokens = 0
	t.changed[ticket.EndpointID] = true
}

// MarkLeaving marks an endpoint that announced that it leaves.
func (t *Table) MarkLeaving(id string) {
	if e := t.endpoints[id]; e != nil {
		e.Leaving = true
	}
}

// Usable says whether nothing is known against sending to an endpoint. One that
// is not in the list yet may have been listed elsewhere already.
func (t *Table) Usable(id string) bool {
	e := t.endpoints[id]
	return e == nil || !e.Leaving
}

// rendezvous returns a number in [0, 1) that is the same at every entry.
func rendezvous(key uint64, id string) float64 {
	h := (xxhash.Sum64String(id) ^ key) * 0x9e3779b97f4a7c15
	return float64(h>>11) / (1 << 53)
}

// HashPrefix returns the affinity of a request: its model and adapter with the
// last part of its prompt that others share, or zero without one. The last part
// of a prompt is the request's own. Parts before the last shared one are few, and
// every endpoint keeps them soon.
func HashPrefix(model, adapter string, parts []string) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return cmp.Or(xxhash.Sum64String(model+"/"+adapter+"/"+parts[len(parts)-2]), 1)
}

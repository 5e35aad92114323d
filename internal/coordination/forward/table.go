package forward

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
	// elsewhere is what an engine in another data centre costs, in requests, where
	// there are many entries; elsewhereUnknown is the same if the loads of its
	// entries are not known.
	elsewhere        = 0.1
	elsewhereUnknown = 0.7
	// preferred is what an entry's own order of endpoints counts, in requests,
	// where there are many entries: each then uses few endpoints, on connections
	// that it has.
	preferred = 0.3
	// randomPart keeps entries with equal knowledge from choosing alike.
	randomPart = 0.1
)

// Endpoint is an endpoint as the directory last described it.
type Endpoint struct {
	directory.Endpoint
	// Closing holds models that take no new requests.
	Closing          map[string]bool
	Running, Waiting int
	// KVTotal is the memory for tokens; zero if it is not known.
	KVTotal int
}

// endpoint is the entry's own record of an endpoint.
type endpoint struct {
	Endpoint
	models map[string]map[string]bool // model -> adapters
	// own are the requests of this entry.
	own work
	// others is the last known number of requests of other entries, from the
	// endpoint's own count. Only plain services need it.
	others   int
	othersAt time.Duration

	failures int
	// ejectedUntil is when a request may be tried again; full is the same after
	// the endpoint refused one.
	ejectedUntil time.Duration
	fullUntil    time.Duration
	// missing holds until when a model or model/adapter counts as absent.
	missing map[string]time.Duration
	gone    bool
}

// Query describes what a request needs.
type Query struct {
	Service        string
	Model, Adapter string
	// Affinity is a hash of what the prompt shares with others; zero if nothing.
	Affinity uint64
	// Urgency 0 is first. Depth is how many requests beyond its slots an endpoint
	// may have before this one is added, as a part of its slots.
	Urgency int
	Depth   float64
	// Prompt and Held are the tokens that an engine has to read, and to keep
	// until the end. They are zero for plain services.
	Prompt, Held int
	// Exclude holds endpoints that this request already went to.
	Exclude []string
}

// Ticket is a place at an endpoint; it goes back with Table.Done.
type Ticket struct {
	ID, Address string
	target      *endpoint
	// prompt and held are counted at the endpoint; prompt until the first event.
	prompt, held int
}

// Absence says why there is no ticket.
type Absence int

// Absences.
const (
	// None: there is a ticket.
	None Absence = iota
	// NoEndpoints: the service has no endpoint that can be tried.
	NoEndpoints
	// NoModel: no endpoint has the model.
	NoModel
	// NoAdapter: endpoints have the model, none of them the adapter.
	NoAdapter
	// Full: each endpoint that could take the request has enough.
	Full
)

// Table holds the endpoints that an entry knows. It is not safe for concurrent
// use.
type Table struct {
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	loads     *Loads
	// many says that entries tell their loads now and then; crowded, that they do
	// so in their own data centre only.
	many, crowded bool
	// dataCentre is where this entry is. Where there are many entries, its
	// endpoints come first, in an order by preference.
	dataCentre string
	preference uint64
	rand       func() float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{}, loads: NewLoads(), rand: rand.Float64}
}

// Update replaces the list. What this entry learned of an incarnation stays.
func (t *Table) Update(now time.Duration, list []Endpoint) {
	old := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(list))
	t.services = make(map[string][]*endpoint)
	for _, in := range list {
		e := old[in.ID]
		if e == nil || e.Address != in.Address {
			e = &endpoint{missing: map[string]time.Duration{}}
		}
		if in.Running != e.Running || in.Waiting != e.Waiting {
			e.observe(now, in.Running+in.Waiting)
		}
		e.Endpoint = in
		e.setModels(in.Models)
		t.endpoints[in.ID] = e
		t.services[in.Service] = append(t.services[in.Service], e)
	}
	for id, e := range old {
		if t.endpoints[id] != e {
			e.gone = true
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
	e.others = max(0, total-e.own.requests)
	e.othersAt = now
}

func (e *endpoint) load(now time.Duration) int {
	if now-e.othersAt > loadAge {
		return e.own.requests
	}
	return e.own.requests + e.others
}

func missingKey(model, adapter string) string { return model + "/" + adapter }

func (e *endpoint) has(now time.Duration, model, adapter string) bool {
	adapters, ok := e.models[model]
	if !ok || e.Closing[model] || e.missing[missingKey(model, "")] > now {
		return false
	}
	return adapter == "" || (adapters[adapter] && e.missing[missingKey(model, adapter)] <= now)
}

// Pick chooses the endpoint with the least load and counts the request in.
func (t *Table) Pick(now time.Duration, q *Query) (*Ticket, Absence) {
	var best *endpoint
	var bestCost float64
	absence := NoEndpoints
	for _, e := range t.services[q.Service] {
		if e.Leaving || now < e.ejectedUntil || slices.Contains(q.Exclude, e.ID) {
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
	if best == nil {
		return nil, absence
	}
	best.own.add(work{1, q.Prompt, q.Held})
	t.loads.changed[best.ID] = true
	return &Ticket{ID: best.ID, Address: best.Address, target: best, prompt: q.Prompt, held: q.Held}, None
}

func (t *Table) obstacle(now time.Duration, e *endpoint, q *Query) Absence {
	if q.Model != "" && !e.has(now, q.Model, "") {
		return NoModel
	}
	if q.Adapter != "" && !e.has(now, q.Model, q.Adapter) {
		return NoAdapter
	}
	if now < e.fullUntil || (q.Model == "" && float64(e.load(now)) >= float64(max(1, e.Slots))*(1+q.Depth)) {
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
	if w.prompt > 0 && w.prompt+q.Prompt > promptWindow(e.Slots) {
		return true
	}
	if w.requests >= max(1, e.Slots) || (t.crowded && e.load(now) >= max(1, e.Slots)) {
		return true
	}
	return w.requests > 0 && e.KVTotal > 0 && float64(w.held+q.Held) > kvPart*float64(e.KVTotal)
}

// promptWindow is how many prompt tokens may wait at an engine.
func promptWindow(slots int) int {
	return min(mostWindow, max(leastWindow, slotWindow/max(1, slots)))
}

// work is what all entries have at an engine.
func (t *Table) work(now time.Duration, e *endpoint) work {
	w := t.loads.At(now, e.ID)
	w.add(e.own)
	return w
}

// cost is the load with a small random part, so that entries with equal
// knowledge do not all choose the same endpoint.
func (t *Table) cost(now time.Duration, e *endpoint, q *Query) float64 {
	cost := float64(e.load(now)) + t.rand()
	if q.Model != "" {
		w := t.work(now, e)
		cost = (float64(w.prompt)+heldCost*float64(w.held))/tokensPerRequest + t.rand()*randomPart
	}
	if t.many {
		cost += preferred * rendezvous(t.preference, e.ID)
	}
	switch {
	case e.DataCentre == t.dataCentre || !t.many:
	case t.crowded:
		cost += elsewhereUnknown
	default:
		cost += elsewhere
	}
	if q.Affinity != 0 {
		cost -= affinity * rendezvous(q.Affinity, e.ID)
	}
	return cost
}

// Result is what a send says of its endpoint.
type Result int

// Results.
const (
	// Unknown says nothing: the caller left, or the request was never sent.
	Unknown Result = iota
	// Worked: the endpoint answered.
	Worked
	// Failed: the endpoint could not be reached, broke off or was silent.
	Failed
	// Refused: the endpoint did not take the request.
	Refused
	// Absent: the endpoint has another incarnation or lacks the model.
	Absent
)

// fullTime is how long an endpoint that refused a request gets none.
const fullTime = 100 * time.Millisecond

// Done gives a place back.
func (t *Table) Done(now time.Duration, ticket *Ticket, r Result, q *Query) {
	e := ticket.target
	e.own.add(work{-1, -ticket.prompt, -ticket.held})
	t.loads.changed[e.ID] = true
	switch r {
	case Worked:
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
		e.missing[missingKey(q.Model, "")] = 0
		e.missing[missingKey(q.Model, q.Adapter)] = now + missingTime
	case Unknown:
	}
}

// Observe takes over an endpoint's own count.
func (t *Table) Observe(now time.Duration, ticket *Ticket, l Load) {
	ticket.target.observe(now, l.Running+l.Waiting)
	if l.Slots > 0 {
		ticket.target.Slots = l.Slots
	}
}

// Begun records that the first event of a request has come: its prompt is read.
func (t *Table) Begun(ticket *Ticket) {
	if ticket.prompt == 0 {
		return
	}
	ticket.target.own.prompt -= ticket.prompt
	ticket.prompt = 0
	t.loads.changed[ticket.ID] = true
}

// Leaves marks an endpoint that said that it leaves.
func (t *Table) Leaves(ticket *Ticket) { ticket.target.Leaving = true }

// Present says whether an endpoint is in the present list and not leaving.
func (t *Table) Present(id string) bool {
	e := t.endpoints[id]
	return e != nil && !e.Leaving
}

// rendezvous returns a number in [0, 1) that is the same at every entry.
func rendezvous(affinity uint64, id string) float64 {
	h := (xxhash.Sum64String(id) ^ affinity) * 0x9e3779b97f4a7c15
	return float64(h>>11) / (1 << 53)
}

// HashPrefix returns the affinity of a request: its model and adapter with the
// last part of its prompt that others share, or zero without one. The last part
// of a prompt is the request's own. Parts before the last shared one are few, and
// every endpoint keeps them soon.
func HashPrefix(model, adapter string, prefix []Part) uint64 {
	if len(prefix) < 2 {
		return 0
	}
	return cmp.Or(xxhash.Sum64String(model+"/"+adapter+"/"+prefix[len(prefix)-2].ID), 1)
}

// peek is Pick without taking the place.
func (t *Table) peek(now time.Duration, q *Query) (bool, Absence) {
	ticket, why := t.Pick(now, q)
	if ticket == nil {
		return false, why
	}
	ticket.target.own.add(work{-1, -ticket.prompt, -ticket.held})
	return true, None
}

// String returns the name used in logs.
func (a Absence) String() string {
	return [...]string{"nothing", "an endpoint", "a model", "an adapter", "a place"}[a]
}

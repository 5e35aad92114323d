package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/speed"
)

// Parameters of the state of an endpoint.
const (
	// failuresBeforeEject consecutive failures eject an endpoint for ejectTime,
	// doubled with each further failure up to maxEjectTime.
	failuresBeforeEject = 2
	ejectTime           = 500 * time.Millisecond
	maxEjectTime        = 4 * time.Second
	// fullBackoff is how long an endpoint that refused a request receives no
	// further ones.
	fullBackoff = 100 * time.Millisecond
	// loadTTL is how long the number of other entries' requests is used after the
	// endpoint last reported its count.
	loadTTL = 3 * time.Second
	// missingTime is how long a model counts as not resident after the endpoint
	// reported it missing.
	missingTime = 700 * time.Millisecond
)

// Endpoint is an endpoint as last described by the directory.
type Endpoint struct {
	directory.Endpoint
	// Draining holds models that take no new requests.
	Draining map[string]bool
	// KVTotal is the size of the KV cache in tokens; zero if unknown.
	KVTotal int
	// VersionsDiffer is set while the service has, or lately had, endpoints of several
	// software versions.
	VersionsDiffer bool
	// WarmingUp endpoints get at most WarmUpRate requests per second from all entries
	// together. WarmUpTime is how long endpoints of the service warm up after a start.
	// Both are zero for services without a warm-up.
	WarmingUp  bool
	WarmUpRate float64
	WarmUpTime time.Duration
}

// endpoint is the state of an endpoint at one entry.
type endpoint struct {
	Endpoint
	models map[string]map[string]bool // model -> adapters
	// reserved is what this entry has reserved: for its own requests, and as a
	// broker for those of all entries.
	reserved Usage
	// others is the last known number of requests of other entries, derived from
	// the endpoint's own count. It is needed only for plain services.
	others   int
	othersAt time.Duration

	failures int
	// lastFailedBy is the entry whose request failed last. It is set by a broker.
	lastFailedBy string
	// ejectedUntil is when an ejected endpoint may be tried again, fullUntil when
	// one that refused a request may be.
	ejectedUntil time.Duration
	fullUntil    time.Duration
	// missingUntil holds until when a model or model/adapter counts as not
	// resident.
	missingUntil map[string]time.Duration
	// advice is what the endpoint said in the newest answer that is known, which
	// arrived at advisedAt; zero if none is known. advised is set once an answer
	// said anything.
	advice    Advice
	advised   bool
	advisedAt time.Duration
	// leavingUntil is until when the endpoint gets no requests because it said that
	// it leaves.
	leavingUntil time.Duration
	// budget counts against the limit in advice. grants is the number of slots that
	// this entry granted here.
	budget limitBudget
	grants uint64
	speed  cachedSpeed
	// listedSlots is the number of slots by the directory; zero if unknown.
	listedSlots int

	// warmUntil is until when the endpoint is treated as warming up, by its answers or
	// failures. sentFailures counts consecutive failures of this entry's requests.
	// adviceIgnoredUntil is until when other entries' statements about it are ignored.
	warmUntil, adviceIgnoredUntil time.Duration
	sentFailures                  int
	// warmBudget counts the requests to a plain endpoint that warms up, permits holds
	// until when each permit of an engine can be used. nextPermitAt is when the next one
	// is expected.
	warmBudget   limitBudget
	permits      []time.Duration
	nextPermitAt time.Duration
	// lastUnboundedGrant is when the last request was granted while the endpoint was not
	// known to warm up.
	lastUnboundedGrant time.Duration
}

// Query describes the requirements of a request.
type Query struct {
	Service        string
	Model, Adapter string
	// Affinity is a hash of the part of the prompt that is shared with other
	// requests; zero if there is none.
	Affinity uint64
	// Urgency 0 is served first. Overcommit is how far an endpoint of a plain
	// service may be filled beyond its slots, as a fraction of them.
	Urgency    int
	Overcommit float64
	// PromptTokens are read by the engine, HeldTokens are kept in its KV cache
	// until the request ends. Both are zero for plain services.
	PromptTokens, HeldTokens int
	// Work is the expected work of the whole request, in prompt tokens that an engine
	// reads in the same time; zero for plain services.
	Work int
	// Customer is the customer that sent the request; empty for none.
	Customer string
	// Paused holds until when endpoints want no requests from the entry of this
	// one. It is set for engines only; at a plain service the entry's own table
	// has it.
	Paused map[string]time.Duration
	// Exclude lists endpoints that this request was already sent to, Avoid those
	// that its entry cannot reach now.
	Exclude, Avoid []string
	// SoftwareVersion restricts the request to endpoints with that version; empty for any.
	SoftwareVersion string
	// Preference seeds the order in which the entry that sends the request
	// prefers engines. DataCentre is the data centre of that entry.
	Preference uint64
	DataCentre string
}

// Reservation is a slot that is counted at an endpoint until Table.Release.
type Reservation struct {
	EndpointID, Address string
	target              *endpoint
	// usage is counted at the endpoint, its prompt tokens until the first event.
	usage     Usage
	grantedAt time.Duration // for plain services
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
	// NoAdapter: endpoints have the model, but none has the adapter.
	NoAdapter
	// Limited: every endpoint that could take the request has reached the limit
	// that it states.
	Limited
	// Full: every endpoint that could take the request is full.
	Full
)

// String returns the text used in error messages.
func (r UnavailableReason) String() string {
	return [...]string{"nothing", "an endpoint", "a model", "an adapter", "the limit of an endpoint", "a slot"}[r]
}

// Result says how an endpoint handled a request.
type Result int

// Results.
const (
	// Unknown: nothing can be concluded, since the caller left or the request was
	// never sent.
	Unknown Result = iota
	// Succeeded: the endpoint answered.
	Succeeded
	// Failed: the endpoint could not be reached, closed the connection early or
	// did not answer.
	Failed
	// Refused: the endpoint did not accept the request.
	Refused
	// Absent: the endpoint is another incarnation or lacks the model.
	Absent
)

// Load is an endpoint's own count of its requests.
type Load struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes at the endpoint now, 100 as usual; zero if
	// it did not say.
	SlowdownPercent int
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// Table holds the endpoints known to an entry.
type Table struct {
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	evacuated map[string]bool // services with an evacuated endpoint
	byModel   map[modelKey][]*endpoint
	loads     *Loads
	// changed is the set of engines whose reserved usage has yet to be sent to
	// other brokers.
	changed map[string]bool
	rand    func() float64
	// paused holds until when endpoints want no requests from this entry.
	paused map[string]time.Duration
	// serviceHolds has the hold times of plain services.
	serviceHolds map[string]*holdTimes
	// owners has the entries that share the limits of plain endpoints.
	owners *Owners
	// speeds has the slowdown of endpoints that state it: of plain ones by their
	// answers to this entry, of engines by the reports on slots that it granted.
	speeds *speed.Tracker
	// usualSlots holds the slots that an endpoint of a service last stated. They are
	// assumed for endpoints without a known number.
	usualSlots map[string]int
	// warmUpOf returns the rate and the time of the warm-up of a service; nil if the
	// list of endpoints has them. listAt is when the list arrived.
	warmUpOf func(service string) (rate float64, duration time.Duration)
	listAt   time.Duration
	// permitsWanted is the set of engines for whose permits requests wait.
	permitsWanted map[string]bool
	// stated has what endpoints stated since the last report to the control VMs.
	stated map[string]statedSlowdown
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{}, loads: NewLoads(), changed: map[string]bool{}, rand: rand.Float64,
		paused: map[string]time.Duration{}, speeds: speed.NewTracker(), usualSlots: map[string]int{},
		serviceHolds: map[string]*holdTimes{}, permitsWanted: map[string]bool{}, stated: map[string]statedSlowdown{},
	}
}

// Update replaces the list of endpoints. The state of an endpoint is kept while
// it is the same incarnation, that is, while its ID and address stay the same.
func (t *Table) Update(list []Endpoint) {
	old := t.endpoints
	t.endpoints = make(map[string]*endpoint, len(list))
	t.services = make(map[string][]*endpoint)
	t.byModel = make(map[modelKey][]*endpoint)
	t.evacuated = map[string]bool{}
	for _, in := range list {
		e := old[in.ID]
		if e == nil || e.Address != in.Address {
			e = &endpoint{missingUntil: map[string]time.Duration{}}
			delete(t.paused, in.ID)
			t.speeds.Forget(in.ID)
		}
		if t.warmUpOf != nil {
			in.WarmUpRate, in.WarmUpTime = t.warmUpOf(in.Service)
		}
		e.noteListed(t.listAt, &in)
		e.Endpoint, e.listedSlots = in, in.Slots
		e.setModels(in.Models)
		t.endpoints[in.ID] = e
		t.services[in.Service] = append(t.services[in.Service], e)
		if in.Evacuated {
			t.evacuated[in.Service] = true
		}
		for _, m := range in.Models {
			key := modelKey{in.Service, m.Model}
			t.byModel[key] = append(t.byModel[key], e)
		}
	}
	for id := range old {
		if t.endpoints[id] == nil {
			t.speeds.Forget(id)
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
	e.others = max(0, total-e.reserved.Requests)
	e.othersAt = now
}

func (e *endpoint) load(now time.Duration) int {
	if now-e.othersAt > loadTTL {
		return e.reserved.Requests
	}
	return e.reserved.Requests + e.others
}

func missingKey(model, adapter string) string { return model + "/" + adapter }

// isMissing reports whether the endpoint lately said that it lacks a model or adapter.
// It builds no key for an endpoint that never did, since has runs for each endpoint and
// waiter.
func (e *endpoint) isMissing(now time.Duration, model, adapter string) bool {
	return len(e.missingUntil) > 0 && e.missingUntil[missingKey(model, adapter)] > now
}

func (e *endpoint) has(now time.Duration, model, adapter string) bool {
	adapters, ok := e.models[model]
	if !ok || e.Draining[model] || e.isMissing(now, model, "") {
		return false
	}
	return adapter == "" || (adapters[adapter] && !e.isMissing(now, model, adapter))
}

// Reserve chooses the endpoint with the lowest cost and counts the request
// there.
func (t *Table) Reserve(now time.Duration, q *Query) (*Reservation, UnavailableReason) {
	best, why := t.choose(now, q)
	if best == nil {
		t.noteUnserved(now, q)
		return nil, why
	}
	t.spendWarm(now, best)
	t.spendLimit(now, best, 1)
	best.grants++
	r := t.addReservation(best, Usage{1, q.PromptTokens, q.HeldTokens})
	r.grantedAt = now
	return r, why
}

func (t *Table) addReservation(e *endpoint, usage Usage) *Reservation {
	e.reserved.add(usage)
	t.changed[e.ID] = true
	return &Reservation{EndpointID: e.ID, Address: e.Address, target: e, usage: usage}
}

// Adopt counts a slot that another broker granted before. It returns nil if the
// endpoint is unknown.
func (t *Table) Adopt(id string, usage Usage) *Reservation {
	e := t.endpoints[id]
	if e == nil {
		return nil
	}
	return t.addReservation(e, usage)
}

// Release ends a reservation and records the result at its endpoint. The model
// and adapter are the ones that the endpoint lacks if the result is Absent.
func (t *Table) Release(now time.Duration, reservation *Reservation, r Result, model, adapter string) {
	e := reservation.target
	if len(e.Models) == 0 {
		t.noteSent(now, e.ID, r)
	}
	e.reserved.remove(reservation.usage)
	reservation.usage = Usage{}
	t.changed[e.ID] = true
	switch r {
	case Succeeded:
		e.failures, e.ejectedUntil = 0, 0
		if len(e.Models) == 0 {
			t.observeHold(now, reservation)
		}
	case Failed:
		e.failures++
		if e.failures >= failuresBeforeEject {
			d := min(maxEjectTime, ejectTime<<min(e.failures-failuresBeforeEject, 3))
			e.ejectedUntil = now + d
		}
	case Refused:
		e.fullUntil = now + fullBackoff
	case Absent:
		e.missingUntil[missingKey(model, adapter)] = now + missingTime
	case Unknown:
	}
}

// Observe records an endpoint's own count of its requests.
func (t *Table) Observe(now time.Duration, id string, l Load) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.observe(now, l.Running+l.Waiting)
	t.recordStated(e, l.SlowdownPercent)
	if l.Slots > 0 {
		e.Slots = l.Slots
		t.usualSlots[e.Service] = l.Slots
	}
	if len(e.Models) == 0 {
		t.recordSlowdown(now, e, l.SlowdownPercent)
	}
}

// MarkPrefilled records that the first event of a request has arrived, so the
// prefill of its prompt is done.
func (t *Table) MarkPrefilled(reservation *Reservation) {
	if reservation.usage.PromptTokens == 0 {
		return
	}
	reservation.target.reserved.PromptTokens -= reservation.usage.PromptTokens
	reservation.usage.PromptTokens = 0
	t.changed[reservation.EndpointID] = true
}

// MarkLeaving marks an endpoint that announced that it leaves.
func (t *Table) MarkLeaving(id string) {
	if e := t.endpoints[id]; e != nil {
		e.Leaving = true
	}
}

// Usable reports whether this entry knows no reason not to send to an endpoint.
// An endpoint missing from its list may already be listed at other entries.
func (t *Table) Usable(now time.Duration, id string) bool {
	e := t.endpoints[id]
	return e == nil || !e.outOfUse(now)
}

// outOfUse reports whether an endpoint gets no new requests, since it leaves or its data
// centre is evacuated.
func (e *endpoint) outOfUse(now time.Duration) bool { return e.leaving(now) || e.Evacuated }

// Evacuated reports whether an endpoint gets no requests because its data centre is
// evacuated. Unlike a leaving one it gets requests again once the evacuation ends.
func (t *Table) Evacuated(id string) bool {
	e := t.endpoints[id]
	return e != nil && e.Evacuated
}

// SoftwareVersion returns the software version of an endpoint; empty if the endpoint is
// unknown.
func (t *Table) SoftwareVersion(id string) string {
	if e := t.endpoints[id]; e != nil {
		return e.SoftwareVersion
	}
	return ""
}

// ServiceEvacuated reports whether a service has no endpoint left to use because of an
// evacuation. A request for it would wait in vain.
func (t *Table) ServiceEvacuated(now time.Duration, service string) bool {
	if !t.evacuated[service] {
		return false
	}
	return !slices.ContainsFunc(t.services[service], func(e *endpoint) bool { return !e.outOfUse(now) })
}

// Paused reports whether an endpoint wants no requests from this entry now.
func (t *Table) Paused(now time.Duration, id string) bool { return now < t.paused[id] }

// pauses returns the endpoints that want no requests from this entry.
func (t *Table) pauses(now time.Duration) []*peerv1.PausedEndpoint {
	var out []*peerv1.PausedEndpoint
	for id, until := range t.paused {
		if now >= until {
			delete(t.paused, id)
			continue
		}
		out = append(out, &peerv1.PausedEndpoint{Endpoint: id, RemainingMs: uint32((until - now).Milliseconds())})
	}
	return out
}

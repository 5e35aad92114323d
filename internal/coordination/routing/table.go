// Package routing chooses the endpoint of each request. For every endpoint it
// tracks load, health, resident models and adapters, cached prefixes, and whether
// it is leaving.
//
// It is deterministic and not safe for concurrent use. Times are durations
// since the start of the process.
package routing

import (
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
)

const (
	// failuresToEject is the number of consecutive failures that eject an
	// endpoint.
	failuresToEject = 3
	// minProbeBackoff and maxProbeBackoff bound the exponential backoff between
	// probes.
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
	// defaultSlots is used until the configuration or a report states the slots.
	defaultSlots = 8
	// defaultServiceTime is the initial estimate of the time of a request.
	defaultServiceTime = 500 * time.Millisecond
	// reportHalfLife is the age at which the load that a report attributes to other
	// entries is weighted by one half. Reports lag by some seconds, and an old one
	// says little about the present queue.
	reportHalfLife = 2 * time.Second
	// maxReportAge is the age up to which a report is taken as the present state.
	maxReportAge = 4 * time.Second
	// failurePenalty is added to the expected wait for each consecutive failure.
	failurePenalty = 20 * time.Millisecond
	// windowDecrease multiplies the window when an endpoint queues or refuses
	// requests.
	windowDecrease = 0.7
	// remotePenalty is added to the score of an endpoint in another data centre:
	// about one round trip.
	remotePenalty = 2 * time.Millisecond
	// adapterLoadTime is a typical time to load an adapter that is not resident.
	adapterLoadTime = 10 * time.Millisecond
)

// Spec describes an endpoint for Configure: its configuration, and the groups that
// it serves now.
type Spec struct {
	Name    string
	Address string
	// Groups are the groups whose requests the endpoint serves now: its ready
	// models, or its service pool.
	Groups []string
	Slots  int
	Remote bool // in another data centre than this entry
	Engine bool // an engine, on which models can be loaded
	// Evacuated endpoints get no new requests, since their data centre is evacuated.
	Evacuated bool
}

// LeavingSource is a set of sources that announce that an endpoint is leaving.
type LeavingSource uint8

// Sources.
const (
	FromPlatform LeavingSource = 1 << iota
	FromEndpoint
	// FromEvacuation is set by Configure while the endpoint's data centre is evacuated.
	FromEvacuation
)

// State is the health of an endpoint as this entry sees it.
type State int

// States.
const (
	Live State = iota
	Suspect
	Ejected
	Leaving
	Evacuated
)

// String returns the name of the state in the administration API.
func (s State) String() string {
	return [...]string{"live", "suspect", "ejected", "leaving", "evacuated"}[s]
}

type endpoint struct {
	spec        Spec
	leaving     LeavingSource
	inFlight    int
	window      float64
	windowFull  bool // the window has been full since the last report
	serviceTime time.Duration

	failures  int
	ejected   bool
	ejectedAt time.Duration
	probeAt   time.Duration
	backoff   time.Duration
	probing   bool

	reported      bool
	reportedAt    time.Duration
	otherRequests int // requests of other entries in the last report
	waiting       int

	adapters map[string]bool // resident
	loading  map[string]int  // requests that wait for the load of an adapter
	prefixes prefixCache

	exclusive bool   // runs an exclusive request
	heldFor   uint64 // request with an exclusive hold on the endpoint, or 0
	heldUntil time.Duration
}

// Table holds the state of all endpoints that this entry routes to.
type Table struct {
	rand         func(n int) int
	endpoints    map[string]*endpoint
	groups       map[string][]*endpoint
	liveEntries  int
	adapterLimit int
	adapterLoads int
	ejected      int
	anyEvacuated bool
	policy       Policy
	turn         uint64 // picks so far by RoundRobin and FewestInFlight

	// ignoreState lets Pick use endpoints that are leaving or ejected. Tests set it
	// to prove that they detect that.
	ignoreState bool
}

// New returns an empty Table. It draws candidates with rand(n), which returns a
// random number in [0, n).
func New(rand func(n int) int) *Table {
	return &Table{rand: rand, endpoints: make(map[string]*endpoint), groups: make(map[string][]*endpoint), liveEntries: 1}
}

// Configure replaces the endpoints. An endpoint that keeps its name and address
// keeps its state. adapterLoads is the fleet's limit on adapter loads in flight,
// of which each live entry gets an equal share; zero means no limit.
func (t *Table) Configure(specs []Spec, liveEntries, adapterLoads int) {
	t.liveEntries = max(1, liveEntries)
	t.adapterLimit = 0
	if adapterLoads > 0 {
		t.adapterLimit = max(1, adapterLoads/t.liveEntries)
	}
	next := make(map[string]*endpoint, len(specs))
	groups := make(map[string][]*endpoint)
	t.anyEvacuated = false
	for _, spec := range specs {
		t.anyEvacuated = t.anyEvacuated || spec.Evacuated
		e := t.endpoints[spec.Name]
		if e == nil || e.spec.Address != spec.Address {
			e = t.newEndpoint(spec)
		}
		if spec.Slots == 0 {
			spec.Slots = e.spec.Slots // from a report
		}
		e.spec = spec
		e.setLeaving(FromEvacuation, spec.Evacuated)
		e.window = min(max(1, e.window), float64(e.slots()))
		next[spec.Name] = e
		for _, g := range spec.Groups {
			groups[g] = append(groups[g], e)
		}
	}
	t.endpoints, t.groups = next, groups
	t.countEjected()
}

func (t *Table) newEndpoint(spec Spec) *endpoint {
	e := &endpoint{spec: spec, serviceTime: defaultServiceTime, adapters: make(map[string]bool), loading: make(map[string]int)}
	e.window = max(1, float64(e.slots())/float64(t.liveEntries))
	return e
}

func (e *endpoint) slots() int {
	if e.spec.Slots > 0 {
		return e.spec.Slots
	}
	return defaultSlots
}

func (t *Table) countEjected() {
	t.ejected = 0
	for _, e := range t.endpoints {
		if e.ejected {
			t.ejected++
		}
	}
}

// SetLeaving records whether a source announces that the endpoint is leaving.
func (t *Table) SetLeaving(name string, source LeavingSource, leaving bool) {
	if e := t.endpoints[name]; e != nil {
		e.setLeaving(source, leaving)
	}
}

func (e *endpoint) setLeaving(source LeavingSource, leaving bool) {
	if leaving {
		e.leaving |= source
	} else {
		e.leaving &^= source
	}
}

// Report records an endpoint's load report and adjusts its window. The window
// grows by one slot if it was the limit and no request was queued, and shrinks if
// requests were queued. A report never restores an ejected endpoint.
func (t *Table) Report(now time.Duration, name string, l *engine.Load) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if e.spec.Slots == 0 && l.Slots > 0 {
		e.spec.Slots = l.Slots
		e.window = max(1, float64(l.Slots)/float64(t.liveEntries))
	}
	switch {
	case l.Waiting > 0:
		e.window = max(1, e.window*windowDecrease)
	case e.windowFull:
		e.window = min(float64(e.slots()), e.window+1)
	}
	e.windowFull = false
	e.reported, e.reportedAt = true, now
	e.waiting = l.Waiting
	e.otherRequests = max(0, l.Running+l.Waiting-e.inFlight)
	clear(e.adapters)
	for _, a := range l.Adapters {
		e.adapters[a] = true
	}
	t.SetLeaving(name, FromEndpoint, l.Leaving)
}

// OthersRunning reports whether requests of other entries may run on the endpoint
// now. Without a recent report this is unknown and taken as true.
func (t *Table) OthersRunning(now time.Duration, name string) bool {
	e := t.endpoints[name]
	return e == nil || !e.reported || now-e.reportedAt > maxReportAge || e.otherRequests > 0
}

// CacheEvents applies the cache events of an engine in order.
func (t *Table) CacheEvents(name string, events []engine.CacheEvent) {
	if e := t.endpoints[name]; e != nil {
		e.prefixes.apply(events)
	}
}

// CacheSeq returns the sequence number of the last cache event of the endpoint.
func (t *Table) CacheSeq(name string) uint64 {
	if e := t.endpoints[name]; e != nil {
		return e.prefixes.seq
	}
	return 0
}

// Groups returns the groups that the endpoint serves now. Callers must not modify
// the result.
func (t *Table) Groups(name string) []string {
	if e := t.endpoints[name]; e != nil {
		return e.spec.Groups
	}
	return nil
}

// HasAlternative reports whether the group has an endpoint that is neither
// excluded nor leaving, so that a retry is possible.
func (t *Table) HasAlternative(group string, exclude []string) bool {
	for _, e := range t.groups[group] {
		if e.leaving == 0 && !slices.Contains(exclude, e.spec.Name) {
			return true
		}
	}
	return false
}

// Status is the state of an endpoint as this entry sees it.
type Status struct {
	Name     string
	State    State
	InFlight int
	Window   int
}

// Status returns the status of all endpoints, sorted by name.
func (t *Table) Status() []Status {
	out := make([]Status, 0, len(t.endpoints))
	for name, e := range t.endpoints {
		out = append(out, Status{Name: name, State: e.state(), InFlight: e.inFlight, Window: int(e.window)})
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (e *endpoint) state() State {
	switch {
	case e.leaving == FromEvacuation:
		return Evacuated
	case e.leaving != 0:
		return Leaving
	case e.ejected:
		return Ejected
	case e.failures > 0:
		return Suspect
	default:
		return Live
	}
}

// expectedWait estimates how long a request waits at the endpoint, with a penalty
// for consecutive failures. The requests of this entry count in full. The weight of
// those of other entries decreases with the age of the report.
func (e *endpoint) expectedWait(now time.Duration) time.Duration {
	load := float64(e.inFlight)
	if e.reported && e.otherRequests > 0 {
		load += float64(e.otherRequests) * math.Exp2(-float64(now-e.reportedAt)/float64(reportHalfLife))
	}
	wait := time.Duration(load / float64(e.slots()) * float64(e.serviceTime))
	return wait + time.Duration(e.failures)*failurePenalty
}

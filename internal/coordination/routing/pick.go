package routing

import (
	"slices"
	"time"
)

// Query describes a request that needs an endpoint.
type Query struct {
	// ID identifies the request, also in the exclusive hold on an endpoint.
	ID uint64
	// Group is the model or the service pool that the request needs.
	Group   string
	Adapter string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Exclude names the endpoints on which this request has failed already.
	Exclude []string
	// Exclusive asks for an endpoint that runs no other requests of this entry.
	Exclusive bool
	// IdleEndpoint, with Exclusive, asks for an endpoint that runs no requests of
	// any entry.
	IdleEndpoint bool
	// MayProbe allows this request to probe an ejected endpoint.
	MayProbe bool
	// Limit returns the number of in-flight requests below which this request may
	// be added to a window; nil allows the whole window.
	Limit func(window int) int
	// HoldUntil is the end of the exclusive hold on an endpoint that is still busy
	// when an exclusive request needs it.
	HoldUntil time.Duration
}

// Reservation is a slot of an endpoint that is counted for one request until Done
// releases it.
type Reservation struct {
	Endpoint     string
	Address      string
	startedAt    time.Duration
	probe        bool
	exclusive    bool
	adapter      string
	countsAsLoad bool // the request waits for its adapter to be loaded
	target       *endpoint
}

// Outcome is what the end of an attempt tells about its endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	// Neutral means nothing is known: the caller left, or this entry stopped the
	// request.
	Neutral Outcome = iota
	Success
	Failure
	// Refused means that the endpoint responded that it does not accept the request.
	Refused
)

const (
	// smallGroup is the size of a group up to which Pick examines all endpoints.
	// In a larger one it first draws candidates at random.
	smallGroup = 16
	// maxDraws bounds the random draws for two usable candidates.
	maxDraws = 8
)

// HasGroup reports whether any endpoint, usable or not, serves the group.
func (t *Table) HasGroup(group string) bool { return len(t.groups[group]) > 0 }

// Pick chooses an endpoint and reserves a slot of it. It takes the candidate with
// the lowest score, which is mainly the expected wait. The candidates are two
// random endpoints and, in a small group, the one that has the longest prefix or
// the adapter cached. It returns nil if no endpoint can take the request now.
func (t *Table) Pick(now time.Duration, q Query) *Reservation {
	group := t.groups[q.Group]
	skip := t.ejectedToSkip(group)
	usable := func(e *endpoint) bool { return t.usable(now, e, &q, skip) }
	if q.MayProbe && t.ejected > 0 {
		for _, e := range group {
			if e.probeDue(now) && usable(e) {
				return t.reserve(now, e, &q)
			}
		}
	}
	if q.Exclusive && q.IdleEndpoint {
		return t.pickIdle(now, group, &q, usable)
	}
	if q.Exclusive {
		return t.pickExclusive(now, group, &q, usable)
	}
	if t.policy != LowestScore {
		return t.pickBaseline(now, group, &q, usable)
	}
	a, b := t.draw(group, usable)
	if a == nil {
		return nil
	}
	for _, other := range []*endpoint{b, t.bestCached(group, &q, usable)} {
		if other != nil && t.score(now, other, &q) < t.score(now, a, &q) {
			a = other
		}
	}
	return t.reserve(now, a, &q)
}

// bestCached returns the usable endpoint of a small group that saves the most time
// by its cached prefixes and resident adapters, or nil. Two random candidates would
// seldom include it.
func (t *Table) bestCached(group []*endpoint, q *Query, usable func(e *endpoint) bool) (best *endpoint) {
	if len(group) > smallGroup || len(q.Prefixes) == 0 && q.Adapter == "" {
		return nil
	}
	most := time.Duration(0)
	for _, e := range group {
		saved := e.prefixes.timeSaved(q.Prefixes)
		if e.adapters[q.Adapter] {
			saved += adapterLoadTime
		}
		if saved > most && usable(e) {
			best, most = e, saved
		}
	}
	return best
}

// draw returns up to two different usable endpoints at random.
func (t *Table) draw(group []*endpoint, usable func(e *endpoint) bool) (a, b *endpoint) {
	if len(group) > smallGroup {
		for range maxDraws {
			e := group[t.rand(len(group))]
			if e == a || !usable(e) {
				continue
			}
			if a != nil {
				return a, e
			}
			a = e
		}
	}
	// Few of the draws were usable, or the group is small: sample two of all
	// endpoints (reservoir sampling).
	a, b = nil, nil
	seen := 0
	for _, e := range group {
		if !usable(e) {
			continue
		}
		seen++
		switch {
		case seen == 1:
			a = e
		case seen == 2:
			b = e
		default:
			switch t.rand(seen) {
			case 0:
				a = e
			case 1:
				b = e
			}
		}
	}
	if b != nil && t.rand(2) == 1 {
		a, b = b, a
	}
	return a, b
}

// pickExclusive takes an endpoint without requests of this entry. If there is none,
// it puts an exclusive hold on the one with the fewest: the endpoint takes no other
// requests until it is free for this one. At most half of a group is held.
func (t *Table) pickExclusive(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Reservation {
	var best *endpoint
	held := 0
	for _, e := range group {
		if e.heldFor != 0 && e.heldUntil >= now {
			held++
			if e.heldFor == q.ID && e.leaving == 0 && !e.ejected {
				best = e
				break
			}
		}
		if e.leaving == 0 && !e.exclusive && !e.ejected && !slices.Contains(q.Exclude, e.spec.Name) &&
			(e.heldFor == 0 || e.heldUntil < now) && (best == nil || e.inFlight < best.inFlight) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	if best.inFlight == 0 && usable(best) {
		return t.reserve(now, best, q)
	}
	if best.heldFor != q.ID && 2*held < len(group) {
		best.heldFor, best.heldUntil = q.ID, q.HoldUntil
	}
	return nil
}

// pickIdle takes an endpoint that runs no requests of any entry according to its
// last report. If it never reported, only the requests of this entry are known. It
// puts an exclusive hold on none, because that would keep out the requests of this
// entry but not those of others.
func (t *Table) pickIdle(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Reservation {
	for _, e := range group {
		busy := e.reported && (now-e.reportedAt > maxReportAge || e.otherRequests > 0 || e.waiting > 0)
		if e.inFlight == 0 && !busy && usable(e) {
			return t.reserve(now, e, q)
		}
	}
	return nil
}

// ReleaseHolds ends the exclusive holds of a request that no longer waits.
func (t *Table) ReleaseHolds(group string, id uint64) {
	for _, e := range t.groups[group] {
		if e.heldFor == id {
			e.heldFor = 0
		}
	}
}

// ejectedToSkip returns the ejected endpoints of a group that Pick may use only for
// a probe. They are at most half of the group's endpoints that are not leaving. The
// other ejected ones, those with the earliest probe time, are used as if they were
// live.
func (t *Table) ejectedToSkip(group []*endpoint) map[*endpoint]bool {
	if t.ejected == 0 {
		return nil
	}
	var ejected []*endpoint
	staying := 0
	for _, e := range group {
		if e.leaving != 0 {
			continue
		}
		staying++
		if e.ejected {
			ejected = append(ejected, e)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *endpoint) int { return int(b.probeAt - a.probeAt) })
	skip := make(map[*endpoint]bool)
	for _, e := range ejected[:min(len(ejected), staying/2)] {
		skip[e] = true
	}
	return skip
}

// probeDue reports whether the next request may probe an ejected endpoint.
func (e *endpoint) probeDue(now time.Duration) bool {
	return e.ejected && !e.probing && now >= e.probeAt
}

// usable reports whether the endpoint can take the request now. It also records
// that a full window was the limit.
func (t *Table) usable(now time.Duration, e *endpoint, q *Query, skip map[*endpoint]bool) bool {
	if slices.Contains(q.Exclude, e.spec.Name) || e.exclusive {
		return false
	}
	if q.Exclusive && e.inFlight > 0 {
		return false
	}
	if !t.ignoreState {
		if e.leaving != 0 {
			return false
		}
		if skip[e] && (!q.MayProbe || !e.probeDue(now)) {
			return false
		}
	}
	if e.heldFor != 0 && e.heldFor != q.ID && e.heldUntil >= now {
		return false
	}
	limit := int(e.window)
	if q.Limit != nil {
		limit = q.Limit(limit)
	}
	if e.inFlight >= limit {
		e.windowFull = true
		return false
	}
	return !t.needsLoad(e, q.Adapter) || t.adapterLimit == 0 || t.adapterLoads < t.adapterLimit
}

// needsLoad reports whether a request makes the endpoint load its adapter.
func (t *Table) needsLoad(e *endpoint, adapter string) bool {
	return adapter != "" && !e.adapters[adapter] && e.loading[adapter] == 0
}

// score returns the estimated cost in time of sending the request to the endpoint.
func (t *Table) score(now time.Duration, e *endpoint, q *Query) time.Duration {
	score := e.expectedWait(now)
	if e.spec.Remote {
		score += remotePenalty
	}
	if t.needsLoad(e, q.Adapter) {
		score += adapterLoadTime
	}
	return score - e.prefixes.timeSaved(q.Prefixes)
}

// reserve counts the request at the endpoint and returns its reservation.
func (t *Table) reserve(now time.Duration, e *endpoint, q *Query) *Reservation {
	r := &Reservation{Endpoint: e.spec.Name, Address: e.spec.Address, startedAt: now, exclusive: q.Exclusive, adapter: q.Adapter, target: e}
	e.inFlight++
	if e.probeDue(now) {
		e.probing, r.probe = true, true
	}
	if q.Exclusive {
		e.exclusive = true
	}
	if e.heldFor == q.ID {
		e.heldFor = 0
	}
	if q.Adapter != "" && !e.adapters[q.Adapter] {
		r.countsAsLoad = true
		if e.loading[q.Adapter] == 0 {
			t.adapterLoads++
		}
		e.loading[q.Adapter]++
	}
	e.prefixes.addSent(q.Prefixes)
	return r
}

// FirstByte records that the response began, so the adapter is loaded. It reports
// whether that ended an adapter load.
func (t *Table) FirstByte(r *Reservation) bool { return t.endLoad(r, true) }

// endLoad ends the adapter load that the request counts for, if any. It reports
// whether no other request waits for the same load.
func (t *Table) endLoad(r *Reservation, success bool) (ended bool) {
	if !r.countsAsLoad {
		return false
	}
	r.countsAsLoad = false
	e := r.target
	if success {
		e.adapters[r.adapter] = true
	}
	e.loading[r.adapter]--
	if e.loading[r.adapter] > 0 {
		return false
	}
	delete(e.loading, r.adapter)
	t.adapterLoads--
	return true
}

// Done releases the slot of a request and records its outcome. An attempt that
// began before the ejection of the endpoint neither restores the endpoint nor
// prolongs the ejection.
func (t *Table) Done(now time.Duration, r *Reservation, o Outcome) {
	e := r.target
	e.inFlight--
	t.endLoad(r, o == Success)
	if r.exclusive {
		e.exclusive = false
	}
	if r.probe {
		e.probing = false
	}
	if e.ejected && r.startedAt < e.ejectedAt {
		return
	}
	switch o {
	case Success:
		e.serviceTime += (now - r.startedAt - e.serviceTime) / 8
		e.growWindow(now)
		t.markHealthy(e)
	case Refused:
		e.window = max(1, e.window*windowDecrease)
		t.recordFailure(now, e)
	case Failure:
		t.recordFailure(now, e)
	case Neutral:
	}
}

// growWindow adds one slot to the window per window of successes, if the window was
// the limit and a fresh report shows no queue. Growing on reports alone is too slow
// to follow a burst, because they arrive every few seconds.
func (e *endpoint) growWindow(now time.Duration) {
	if e.windowFull && e.reported && e.waiting == 0 && now-e.reportedAt < maxReportAge {
		e.window = min(float64(e.slots()), e.window+1/e.window)
	}
}

// markHealthy resets the failures and ends an ejection.
func (t *Table) markHealthy(e *endpoint) {
	e.failures = 0
	if e.ejected {
		e.ejected = false
		t.countEjected()
	}
}

// recordFailure counts a failure. It ejects the endpoint after failuresToEject in a
// row, or doubles the probe backoff if the endpoint is ejected already.
func (t *Table) recordFailure(now time.Duration, e *endpoint) {
	e.failures++
	if e.ejected {
		e.backoff = min(2*e.backoff, maxProbeBackoff)
		e.probeAt = now + e.backoff
		return
	}
	if e.failures < failuresToEject {
		return
	}
	e.ejected, e.ejectedAt = true, now
	e.backoff = minProbeBackoff
	e.probeAt = now + e.backoff
	t.countEjected()
}

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
	Endpoint string
	Address  string
	at       time.Duration
	probe    bool
	alone    bool
	adapter  string
	loads    bool // the request counts as an adapter load in flight
	target   *endpoint
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
	// draws is the number of random draws for two candidates.
	draws = 8
)

// HasGroup reports whether any endpoint, usable or not, serves the group.
func (t *Table) HasGroup(group string) bool { return len(t.groups[group]) > 0 }

// Pick chooses an endpoint and reserves a slot of it. It takes the candidate with
// the lowest score, which is mainly the expected wait. The candidates are two
// random endpoints and, in a small group, the one that has the longest prefix or
// the adapter cached. It returns nil if no endpoint can take the request now.
func (t *Table) Pick(now time.Duration, q Query) *Reservation {
	group := t.groups[q.Group]
	skip := t.skipped(group)
	usable := func(e *endpoint) bool { return t.usable(now, e, &q, skip) }
	if q.MayProbe && t.ejected > 0 {
		for _, e := range group {
			if e.probeDue(now) && usable(e) {
				return t.begin(now, e, &q)
			}
		}
	}
	if q.Exclusive && q.IdleEndpoint {
		return t.pickIdle(now, group, &q, usable)
	}
	if q.Exclusive {
		return t.pickAlone(now, group, &q, usable)
	}
	if t.choice != LowestScore {
		return t.pickSimply(now, group, &q, usable)
	}
	a, b := t.draw(group, usable)
	if a == nil {
		return nil
	}
	for _, other := range []*endpoint{b, t.holder(group, &q, usable)} {
		if other != nil && t.score(now, other, &q) < t.score(now, a, &q) {
			a = other
		}
	}
	return t.begin(now, a, &q)
}

// holder returns the usable endpoint of a small group that saves the most time by
// its cached prefixes and resident adapters, or nil. Two random candidates would
// seldom include it.
func (t *Table) holder(group []*endpoint, q *Query, usable func(e *endpoint) bool) (best *endpoint) {
	if len(group) > smallGroup || len(q.Prefixes) == 0 && q.Adapter == "" {
		return nil
	}
	most := time.Duration(0)
	for _, e := range group {
		saved := e.prefixes.gain(q.Prefixes)
		if e.adapters[q.Adapter] {
			saved += adapterCost
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
		for range draws {
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

// pickAlone takes an endpoint without requests of this entry. If there is none, it
// puts an exclusive hold on the one with the fewest: the endpoint takes no other
// requests until it is free for this one. At most half of a group is held.
func (t *Table) pickAlone(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Reservation {
	var best *endpoint
	reserved := 0
	for _, e := range group {
		if e.reservedFor != 0 && e.reservedUntil >= now {
			reserved++
			if e.reservedFor == q.ID && e.leaving == 0 && !e.ejected {
				best = e
				break
			}
		}
		if e.leaving == 0 && !e.exclusive && !e.ejected && !slices.Contains(q.Exclude, e.spec.Name) &&
			(e.reservedFor == 0 || e.reservedUntil < now) && (best == nil || e.inFlight < best.inFlight) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	if best.inFlight == 0 && usable(best) {
		return t.begin(now, best, q)
	}
	if best.reservedFor != q.ID && 2*reserved < len(group) {
		best.reservedFor, best.reservedUntil = q.ID, q.HoldUntil
	}
	return nil
}

// pickIdle takes an endpoint that runs no requests of any entry according to its
// last report. If it never reported, only the requests of this entry are known. It
// puts a hold on none, because that would keep out the requests of this entry but
// not those of others.
func (t *Table) pickIdle(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Reservation {
	for _, e := range group {
		busy := e.reported && (now-e.reportedAt > freshReport || e.others > 0 || e.waiting > 0)
		if e.inFlight == 0 && !busy && usable(e) {
			return t.begin(now, e, q)
		}
	}
	return nil
}

// ReleaseHolds ends the exclusive holds of a request that no longer waits.
func (t *Table) ReleaseHolds(group string, id uint64) {
	for _, e := range t.groups[group] {
		if e.reservedFor == id {
			e.reservedFor = 0
		}
	}
}

// skipped returns the ejected endpoints of a group that Pick must avoid: at most
// half of those that are not leaving. The remaining ejected ones, whose probes are
// due first, are used as if they were live.
func (t *Table) skipped(group []*endpoint) map[*endpoint]bool {
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
	if !t.careless {
		if e.leaving != 0 {
			return false
		}
		if skip[e] && (!q.MayProbe || !e.probeDue(now)) {
			return false
		}
	}
	if e.reservedFor != 0 && e.reservedFor != q.ID && e.reservedUntil >= now {
		return false
	}
	limit := int(e.window)
	if q.Limit != nil {
		limit = q.Limit(limit)
	}
	if e.inFlight >= limit {
		e.limited = true
		return false
	}
	return !t.loads(e, q.Adapter) || t.adapterLimit == 0 || t.adapterLoads < t.adapterLimit
}

// loads reports whether a request makes the endpoint load its adapter.
func (t *Table) loads(e *endpoint, adapter string) bool {
	return adapter != "" && !e.adapters[adapter] && e.loading[adapter] == 0
}

// score returns the estimated cost in time of sending the request to the endpoint.
func (t *Table) score(now time.Duration, e *endpoint, q *Query) time.Duration {
	score := e.expectedWait(now)
	if e.spec.Remote {
		score += remoteCost
	}
	if t.loads(e, q.Adapter) {
		score += adapterCost
	}
	return score - e.prefixes.gain(q.Prefixes)
}

// begin reserves a slot of the endpoint for the request.
func (t *Table) begin(now time.Duration, e *endpoint, q *Query) *Reservation {
	k := &Reservation{Endpoint: e.spec.Name, Address: e.spec.Address, at: now, alone: q.Exclusive, adapter: q.Adapter, target: e}
	e.inFlight++
	if e.probeDue(now) {
		e.probing, k.probe = true, true
	}
	if q.Exclusive {
		e.exclusive = true
	}
	if e.reservedFor == q.ID {
		e.reservedFor = 0
	}
	if q.Adapter != "" && !e.adapters[q.Adapter] {
		k.loads = true
		if e.loading[q.Adapter] == 0 {
			t.adapterLoads++
		}
		e.loading[q.Adapter]++
	}
	e.prefixes.expect(q.Prefixes)
	return k
}

// FirstByte records that the response began, so the adapter is loaded. It reports
// whether that ended an adapter load.
func (t *Table) FirstByte(k *Reservation) bool { return t.loaded(k, true) }

// loaded ends the adapter load that the request counts for, if any. It reports
// whether no other request waits for the same load.
func (t *Table) loaded(k *Reservation, success bool) (ended bool) {
	if !k.loads {
		return false
	}
	k.loads = false
	e := k.target
	if success {
		e.adapters[k.adapter] = true
	}
	e.loading[k.adapter]--
	if e.loading[k.adapter] > 0 {
		return false
	}
	delete(e.loading, k.adapter)
	t.adapterLoads--
	return true
}

// Done releases the slot of a request and records its outcome. An attempt that
// began before the ejection of the endpoint neither restores the endpoint nor
// prolongs the ejection.
func (t *Table) Done(now time.Duration, k *Reservation, o Outcome) {
	e := k.target
	e.inFlight--
	t.loaded(k, o == Success)
	if k.alone {
		e.exclusive = false
	}
	if k.probe {
		e.probing = false
	}
	if e.ejected && k.at < e.ejectedAt {
		return
	}
	switch o {
	case Success:
		e.service += (now - k.at - e.service) / 8
		e.grow(now)
		t.restore(e)
	case Refused:
		e.window = max(1, e.window*decrease)
		t.fail(now, e)
	case Failure:
		t.fail(now, e)
	case Neutral:
	}
}

// grow adds one slot to the window per window of successes, if the window was the
// limit and a fresh report shows no queue. Growing on reports only would not follow
// a burst, because they arrive every few seconds.
func (e *endpoint) grow(now time.Duration) {
	if e.limited && e.reported && e.waiting == 0 && now-e.reportedAt < freshReport {
		e.window = min(float64(e.slots()), e.window+1/e.window)
	}
}

// restore resets the failures and ends an ejection.
func (t *Table) restore(e *endpoint) {
	e.failures = 0
	if e.ejected {
		e.ejected = false
		t.countEjected()
	}
}

// fail counts a failure. It ejects the endpoint after failuresToEject in a row,
// or doubles the probe backoff if it is ejected already.
func (t *Table) fail(now time.Duration, e *endpoint) {
	e.failures++
	if e.ejected {
		e.backoff = min(2*e.backoff, lastProbe)
		e.probeAt = now + e.backoff
		return
	}
	if e.failures < failuresToEject {
		return
	}
	e.ejected, e.ejectedAt = true, now
	e.backoff = firstProbe
	e.probeAt = now + e.backoff
	t.countEjected()
}

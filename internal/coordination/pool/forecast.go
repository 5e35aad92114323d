package pool

import (
	"math"
	"time"
)

// Parameters of the expected wait.
const (
	// minHolds is how many slots must have been released before a wait is expected,
	// and maxHolds how many the mean hold time covers.
	minHolds = 8
	maxHolds = 32
	// maxHoldAge and maxHoldAgeRatio, times the mean, bound the time without a release
	// after which hold times no longer count: requests may take another time by then.
	maxHoldAge      = 30 * time.Second
	maxHoldAgeRatio = 4
	// waitMargin is the part of an expected wait that is relied on. Slots become
	// free irregularly, and a request that would get its slot in time must not be
	// refused.
	waitMargin = 0.75
	// overloadArrivalMargin replaces waitMargin under overload for a request that has
	// just arrived: the slot goes to another request, and no waiting was in vain.
	overloadArrivalMargin = 1.0
	// retrySpread is the random part of the retry-after time of a request refused
	// by its expected wait, relative to that wait.
	retrySpread = 0.5
	// maxMaskBits is how many endpoints of a model an endpointMask can hold.
	maxMaskBits = 64
)

// Callers that are told to return after more than returnTimeRatio of their remaining
// time give up. A retry-after time that is too long for them is replaced by a random one
// between minReturnRatio and maxReturnRatio of that limit, unless the limit is below
// minReturnLimit: the caller would return at once and be refused again.
const (
	returnTimeRatio = 1.0 / 3
	minReturnRatio  = 0.6
	maxReturnRatio  = 0.95
	minReturnLimit  = 300 * time.Millisecond
)

// RetryWithin returns the retry-after time for a caller that has an amount of time
// left. random is a random number in [0, 1).
func RetryWithin(after, left time.Duration, random float64) time.Duration {
	limit := returnTimeRatio * float64(max(0, left))
	if float64(after) <= maxReturnRatio*limit || limit < float64(minReturnLimit) {
		return after
	}
	return time.Duration(limit * (minReturnRatio + (maxReturnRatio-minReturnRatio)*random))
}

// holdTimes observes how long the requests of a model hold their slots.
type holdTimes struct {
	seconds    float64
	releases   int
	observedAt time.Duration
	// inUse counts the held slots by endpoint.
	inUse map[string]int
}

func (h *holdTimes) acquire(endpoint string) { h.inUse[endpoint]++ }

func (h *holdTimes) release(endpoint string) {
	if h.inUse[endpoint]--; h.inUse[endpoint] <= 0 {
		delete(h.inUse, endpoint)
	}
}

// known reports whether the mean hold time can be relied on.
func (h *holdTimes) known(now time.Duration) bool {
	return h.releases >= minHolds && h.seconds > 0 && !h.outdated(now)
}

func (h *holdTimes) outdated(now time.Duration) bool {
	return (now - h.observedAt).Seconds() > max(maxHoldAge.Seconds(), maxHoldAgeRatio*h.seconds)
}

func (h *holdTimes) mean() time.Duration { return time.Duration(h.seconds * float64(time.Second)) }

// observe adds the hold time of a request that succeeded.
func (h *holdTimes) observe(now, d time.Duration) {
	if h.outdated(now) {
		h.releases = 0
	}
	h.observedAt = now
	h.releases = min(maxHolds, h.releases+1)
	h.seconds += (d.Seconds() - h.seconds) / float64(h.releases)
}

// forecast says how soon waiting requests get slots. Without an estimate its rate
// is zero.
type forecast struct {
	// rate is the number of slots that become free per second, free that of slots
	// that are free already.
	rate float64
	free int
	// hold is the mean time for which a request holds its slot.
	hold time.Duration
}

// wait returns the expected wait behind other requests, as a lower bound.
func (f forecast) wait(ahead int) time.Duration {
	return time.Duration(float64(max(0, ahead-f.free)) / f.rate * float64(time.Second))
}

// inUseSoon reports whether an endpoint counts in a forecast: it gets requests now or
// within ejectTime. A few failures eject an endpoint for that long, and requests that
// can wait longer must not be refused because of it.
func (e *endpoint) inUseSoon(now time.Duration) bool {
	return !e.outOfUse(now) && now+ejectTime >= e.ejectedUntil
}

// forecast returns the forecast for the requests of a model.
func (b *Broker) forecast(key modelKey) forecast {
	h := b.holds[key]
	if h == nil || !h.known(b.now) {
		return forecast{}
	}
	slots, free := 0, 0
	for _, e := range b.table.byModel[key] {
		if !e.inUseSoon(b.now) || !e.has(b.now, key.model, "") {
			continue
		}
		slots += b.shareOfSlots(key, e, h.inUse[e.ID])
		if b.now >= e.ejectedUntil {
			free += max(0, max(1, e.Slots)-b.table.totalUsage(b.now, e).Requests)
		}
	}
	return forecast{rate: float64(slots) / h.seconds, free: free, hold: h.mean()}
}

// shareOfSlots returns how many slots of an engine the requests of a model can
// have. While requests for other models wait there too, brokers yield until they
// hold equally many: a model that holds fewer gets each slot that becomes free. How many
// models of other brokers wait is not known, so that they count as one.
func (b *Broker) shareOfSlots(key modelKey, e *endpoint, inUse int) int {
	slots, sharers := max(1, e.Slots), 1
	if b.table.loads.Waiting(b.now, e.ID) {
		sharers++
	}
	for _, m := range e.Models {
		if other := (modelKey{e.Service, m.Model}); other != key && b.waiting[other] {
			sharers++
		}
	}
	share := (slots + sharers - 1) / sharers
	if inUse < share {
		return slots
	}
	return inUse
}

// endpointMask returns the set of endpoints that have the model, adapter and software
// version of a query, as bits by position in the list of endpoints of the model.
func (t *Table) endpointMask(now time.Duration, q *Query) uint64 {
	var mask uint64
	for i, e := range t.candidates(q) {
		if i < maxMaskBits && e.hasVersion(q.SoftwareVersion) && (q.Model == "" || e.has(now, q.Model, q.Adapter)) {
			mask |= 1 << i
		}
	}
	return mask
}

// serviceForecast returns the forecast for the requests of a plain service at this
// entry, which has been full for an amount of time. Where other entries have requests
// too, this one is expected to get at most twice as many slots as it holds, once the
// service has been full for the mean hold time: the requests of a short burst at other
// entries have ended by then, and its slots would have become free.
func (t *Table) serviceForecast(now time.Duration, q *Query, full time.Duration) forecast {
	h := t.serviceHolds[q.Service]
	if h == nil || !h.known(now) {
		return forecast{}
	}
	slots, free := 0, 0
	for _, e := range t.services[q.Service] {
		if !e.inUseSoon(now) {
			continue
		}
		limit := int(math.Ceil(float64(max(1, e.Slots)) * (1 + q.Overcommit)))
		load := e.load(now)
		if now >= e.ejectedUntil {
			free += max(0, limit-load)
		}
		if load > e.reserved.Requests && full.Seconds() >= h.seconds {
			limit = min(limit, 2*e.reserved.Requests+1)
		}
		slots += limit
	}
	return forecast{rate: float64(slots) / h.seconds, free: free, hold: h.mean()}
}

// noteFull records which services are full, and forgets those that have not been for
// longer than overloadPause.
func (q *Queue) noteFull(now time.Duration, queries []*Query) {
	for service, c := range q.full {
		if now-c.last > overloadPause {
			delete(q.full, service)
		}
	}
	for _, query := range queries {
		c, known := q.full[query.Service]
		if !known {
			c.since = now
		}
		if q.full == nil {
			q.full = map[string]contention{}
		}
		q.full[query.Service] = contention{since: c.since, last: now}
	}
}

// observeHold adds the hold time of a request of a plain service that succeeded.
func (t *Table) observeHold(now time.Duration, r *Reservation) {
	service := r.target.Service
	h := t.serviceHolds[service]
	if h == nil {
		h = &holdTimes{}
		t.serviceHolds[service] = h
	}
	h.observe(now, now-r.grantedAt)
}

// maskCount is the number of requests that have the same set of endpoints.
type maskCount struct {
	mask     uint64
	requests int
}

// aheadCounts counts the requests in front of a place in a queue.
type aheadCounts struct {
	now   time.Duration
	table *Table
	// position is the position in counts of the requests with the same needs. last is
	// that of lastNeeds.
	position  map[endpointNeeds]int
	counts    []maskCount
	lastNeeds endpointNeeds
	last      int
}

// endpointNeeds is what tells apart the endpoints for the requests of a queue.
type endpointNeeds struct{ adapter, version string }

func newAheadCounts(now time.Duration, t *Table) *aheadCounts {
	return &aheadCounts{now: now, table: t, position: map[endpointNeeds]int{}, last: -1}
}

func (a *aheadCounts) of(q *Query) int {
	needs := endpointNeeds{q.Adapter, q.SoftwareVersion}
	if a.last >= 0 && needs == a.lastNeeds {
		return a.last
	}
	at, known := a.position[needs]
	if !known {
		at = len(a.counts)
		a.counts = append(a.counts, maskCount{mask: a.table.endpointMask(a.now, q)})
		a.position[needs] = at
	}
	a.lastNeeds, a.last = needs, at
	return at
}

// ahead returns how many requests compete with q at all of its endpoints. Those
// that need an adapter or a software version of only some of these do not delay it at
// the others.
func (a *aheadCounts) ahead(q *Query) int {
	mask, n := a.counts[a.of(q)].mask, 0
	for _, c := range a.counts {
		if mask&^c.mask == 0 {
			n += c.requests
		}
	}
	return n
}

func (a *aheadCounts) add(q *Query) { a.counts[a.of(q)].requests++ }

// hopelessWaiter will not get a slot in time. wait is its expected wait.
type hopelessWaiter struct {
	waiter *Waiter
	wait   time.Duration
}

// hopeless returns the waiters of a service whose expected wait is too long: longer
// than they wait or, under overload, than they can wait and still be on time. If only
// is set, no other waiter is considered.
func (q *Queue) hopeless(now time.Duration, t *Table, service string, f forecast, overloaded bool, only *Waiter) []hopelessWaiter {
	if f.rate <= 0 {
		return nil
	}
	var out []hopelessWaiter
	counts := newAheadCounts(now, t)
	for _, late := range []bool{false, true} {
		for _, w := range q.waiters {
			if w.reason != Full || now > w.Target != late || w.Query.Service != service {
				continue
			}
			if only == nil || w == only {
				wait := f.wait(counts.ahead(w.Query))
				if w.tooLong(now, wait, overloaded && !late, only != nil) {
					out = append(out, hopelessWaiter{w, wait})
					continue
				}
			}
			if w == only {
				w.expected, w.forecast = f.wait(counts.ahead(w.Query)), true
				return out
			}
			counts.add(w.Query)
		}
	}
	return out
}

func (w *Waiter) tooLong(now, wait time.Duration, overloaded, arriving bool) bool {
	if len(w.Query.Exclude) > 0 {
		return false // it needs endpoints that the others may not need
	}
	limit, margin := w.Deadline, waitMargin
	if overloaded {
		limit = min(limit, w.Target)
	}
	if overloaded && arriving {
		margin = overloadArrivalMargin
	}
	return now+time.Duration(margin*float64(wait)) > limit
}

// retryAfter returns a random time in which the requests in front are probably
// served. It is at least the mean hold time: a request that is refused shortly before its
// deadline may have few in front, but returns behind those that wait now.
func (t *Table) retryAfter(f forecast, wait time.Duration) time.Duration {
	return time.Duration(float64(max(wait, f.hold)) * (1 + retrySpread*t.rand()))
}

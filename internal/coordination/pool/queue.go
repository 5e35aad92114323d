package pool

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	Query *Query
	// Target is the latest time at which a slot still leads to an answer on time.
	// Deadline is when waiting ends.
	Target, Deadline time.Duration
	// Granted receives the reservation.
	Granted func(*Reservation)
	// Refused is called when RefuseFutile removes the waiter.
	Refused func()
	// RetryAfter is set by RefuseFutile if it knows when a slot will be free.
	RetryAfter time.Duration

	key   requestKey // set by a broker
	order uint64
	start int // tag of the fair order between customers
	// expected is the wait that was expected on arrival, if forecast is set.
	expected time.Duration
	forecast bool
	// reason says why the last dispatch found no slot for the request.
	reason UnavailableReason
}

// UnavailableReason returns why the last dispatch found no slot for the
// request.
func (w *Waiter) UnavailableReason() UnavailableReason { return w.reason }

// Queue holds waiters in order of urgency. Within the same urgency it is fair between
// customers by the work of their requests, and each customer's are in order of their
// targets, or of arrival where these differ little.
type Queue struct {
	waiters   []*Waiter
	lastOrder uint64
	levels    map[levelKey]*fairLevel
	// full holds since when plain services have had no free slot for a waiter.
	full map[string]contention
	// due is the part of a slot that less urgent requests are due, by service.
	due map[string]float64
	// shares counts the slots that less urgent requests got because they were due.
	shares uint64
}

// Add inserts a waiter.
func (q *Queue) Add(w *Waiter) {
	q.lastOrder++
	w.order = q.lastOrder
	q.level(w.Query).tag(w)
	at, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, at, w)
	q.advance(at)
}

func compareWaiters(a, b *Waiter) int {
	if a.Query.Urgency != b.Query.Urgency {
		return a.Query.Urgency - b.Query.Urgency
	}
	if a.start != b.start {
		return a.start - b.start
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

// Remove removes a waiter and reports whether it was still queued.
func (q *Queue) Remove(w *Waiter) bool {
	removed := q.remove(w)
	if removed {
		q.level(w.Query).withdrawn(w)
	}
	return removed
}

func (q *Queue) remove(w *Waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }

// maxFullPerDispatch is the number of waiters for a service that may find every engine
// full, or at its limit, before a dispatch stops trying. Waiters behind the first such
// one may need other adapters or less memory, but most of them need the same engines.
const maxFullPerDispatch = 6

// lessUrgentShare is the part of the slots that less urgent requests get while more
// urgent ones wait, so that they are not starved.
const lessUrgentShare = 1.0 / 32

// anyOnTime reports whether a request that found every endpoint full, or at its
// limit, can still be on time.
func (q *Queue) anyOnTime(now time.Duration) bool {
	return slices.ContainsFunc(q.waiters, func(w *Waiter) bool { return w.reason >= Limited && now <= w.Target })
}

// Dispatch grants slots to waiters in their order: first to those that can
// still be on time, then to the others. Under overload, serving strictly in
// order of arrival would make every answer late.
func (q *Queue) Dispatch(now time.Duration, t *Table) {
	q.grantShares(now, t)
	q.grantEligible(now, t, func(w *Waiter) bool { return now <= w.Target })
	q.grantEligible(now, t, func(w *Waiter) bool { return now > w.Target })
	if len(q.waiters) == 0 {
		clear(q.due)
		clear(q.levels)
	}
}

// RefuseFutile removes the waiters that no endpoint takes before their wait ends, by
// what the endpoints state, because all of them are evacuated, because none has the software
// version, and by the expected wait for a slot at a plain service.
func (q *Queue) RefuseFutile(now time.Duration, t *Table) {
	var refused []*Waiter
	for _, w := range q.waiters {
		if w.futile(now, t) {
			refused = append(refused, w)
		}
	}
	for _, w := range refused {
		q.refuse(w)
	}
	services := q.fullServices()
	q.noteFull(now, services)
	for _, query := range services {
		f := t.serviceForecast(now, query, now-q.full[query.Service].since)
		for _, h := range q.hopeless(now, t, query.Service, f, false, nil) {
			h.waiter.RetryAfter = t.retryAfter(f, h.wait)
			q.refuse(h.waiter)
		}
	}
}

// futile reports whether a request to a plain service waits in vain, by what the
// endpoints state, because all of them are evacuated, or because none has its software
// version.
func (w *Waiter) futile(now time.Duration, t *Table) bool {
	return w.reason == Limited && t.AvailableAt(now, w.Query) > w.Deadline ||
		w.reason == NoEndpoints && t.ServiceEvacuated(now, w.Query.Service) || w.UnservedVersion(now, t)
}

// UnservedVersion reports whether a request is restricted to a software version of which
// no endpoint can be used before the wait of the request ends.
func (w *Waiter) UnservedVersion(now time.Duration, t *Table) bool {
	return w.Query.SoftwareVersion != "" && w.reason == NoEndpoints && !t.servesVersion(now, w.Query, w.Deadline)
}

func (q *Queue) refuse(w *Waiter) {
	q.Remove(w)
	w.Refused()
}

// fullServices returns a query for each service that has no free slot for it.
func (q *Queue) fullServices() []*Query {
	var out []*Query
	for _, w := range q.waiters {
		if w.reason == Full && !slices.ContainsFunc(out, func(o *Query) bool { return o.Service == w.Query.Service }) {
			out = append(out, w.Query)
		}
	}
	return out
}

func (q *Queue) grantEligible(now time.Duration, t *Table, eligible func(*Waiter) bool) {
	var granted []*Waiter
	var reservations []*Reservation
	var full fullCounts
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if !eligible(w) {
			kept = append(kept, w)
			continue
		}
		if reason, exhausted := full.exhausted(w.Query); exhausted {
			w.reason = reason
			kept = append(kept, w)
			continue
		}
		reservation, why := t.Reserve(now, w.Query)
		w.reason = why
		if reservation == nil {
			kept = append(kept, w)
			if why >= Limited {
				full.add(w.Query, why)
			}
			continue
		}
		granted, reservations = append(granted, w), append(reservations, reservation)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	for i, w := range granted {
		q.level(w.Query).served(w)
		q.noteShare(now, w.Query)
		w.Granted(reservations[i])
	}
}

// fullCounts counts, by service and software version, the waiters that a dispatch found
// no slot for.
type fullCounts []fullCount

type fullCount struct {
	service, version string
	waiters          int
	reason           UnavailableReason // of the last one
}

func (c *fullCounts) add(q *Query, reason UnavailableReason) {
	for i := range *c {
		if f := &(*c)[i]; f.service == q.Service && f.version == q.SoftwareVersion {
			f.waiters++
			f.reason = reason
			return
		}
	}
	*c = append(*c, fullCount{q.Service, q.SoftwareVersion, 1, reason})
}

// exhausted reports whether no more waiters with the service and the software version of
// a query are tried, and why.
func (c fullCounts) exhausted(q *Query) (UnavailableReason, bool) {
	for _, f := range c {
		if f.service == q.Service && f.version == q.SoftwareVersion {
			return f.reason, f.waiters >= maxFullPerDispatch
		}
	}
	return None, false
}

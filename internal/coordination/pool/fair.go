package pool

import (
	"cmp"
	"slices"
	"time"
)

// targetResolution is the difference of targets up to which requests of one customer
// stay in their order of arrival.
const targetResolution = 100 * time.Millisecond

// levelKey identifies the requests that are ordered fairly among themselves. The tags of
// a service advance at its own pace, so the services of one queue have separate levels.
type levelKey struct {
	service string
	urgency int
}

// flowKey identifies a flow of fair queueing: the requests of a customer to a service.
type flowKey struct{ service, customer string }

// fairLevel orders the waiters of one service and urgency by start-time fair queueing:
// each gets a start tag, which is where the work of its customer's earlier requests
// ends, and the lowest tag is served first.
type fairLevel struct {
	// virtual is the highest start tag that has been served.
	virtual int
	// finish holds the end of the last tagged request of each flow.
	finish map[flowKey]int
}

func flowOf(w *Waiter) flowKey { return flowKey{w.Query.Service, w.Query.Customer} }

func workOf(w *Waiter) int { return max(1, w.Query.Work) }

func (q *Queue) level(query *Query) *fairLevel {
	key := levelKey{query.Service, query.Urgency}
	l := q.levels[key]
	if l == nil {
		l = &fairLevel{finish: map[flowKey]int{}}
		if q.levels == nil {
			q.levels = map[levelKey]*fairLevel{}
		}
		q.levels[key] = l
	}
	return l
}

// tag gives a new waiter its start tag.
func (l *fairLevel) tag(w *Waiter) {
	flow := flowOf(w)
	w.start = max(l.virtual, l.finish[flow])
	l.finish[flow] = w.start + workOf(w)
}

// served records that a waiter got a slot.
func (l *fairLevel) served(w *Waiter) { l.virtual = max(l.virtual, w.start) }

// withdrawn takes the work of a waiter that got no slot off its customer.
func (l *fairLevel) withdrawn(w *Waiter) { l.finish[flowOf(w)] -= workOf(w) }

// advance moves a new waiter in front of those of its customer whose targets are
// later. They exchange their start tags, so that no other customer is affected.
func (q *Queue) advance(at int) {
	for before := at - 1; before >= 0; before-- {
		w, other := q.waiters[at], q.waiters[before]
		if other.Query.Urgency != w.Query.Urgency {
			return
		}
		if flowOf(other) != flowOf(w) {
			continue
		}
		if other.Target <= w.Target+targetResolution {
			return
		}
		q.waiters[at], q.waiters[before] = other, w
		w.start, other.start = other.start, w.start
		w.order, other.order = other.order, w.order
		at = before
	}
}

// lessUrgent returns the waiter for a service that can be on time and has the earliest
// target among those that are less urgent than the first one, or nil.
func (q *Queue) lessUrgent(now time.Duration, service string) *Waiter {
	var first, found *Waiter
	for _, w := range q.waiters {
		switch {
		case now > w.Target || w.Query.Service != service:
		case first == nil:
			first = w
		case w.Query.Urgency > first.Query.Urgency && (found == nil || w.Target < found.Target):
			found = w
		}
	}
	return found
}

// grantShares grants the slots that less urgent requests are due, if any.
func (q *Queue) grantShares(now time.Duration, t *Table) {
	var services []string
	for service, due := range q.due {
		if due >= 1 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	for _, service := range services {
		q.grantShare(now, t, service)
	}
}

// grantShare grants the slot of a service that less urgent requests are due. They are
// due a small part of the slots that more urgent ones got while they waited.
func (q *Queue) grantShare(now time.Duration, t *Table, service string) {
	w := q.lessUrgent(now, service)
	if w == nil {
		return
	}
	reservation, why := t.Reserve(now, w.Query)
	w.reason = why
	if reservation == nil {
		return
	}
	q.due[service]--
	q.shares++
	q.remove(w)
	q.level(w.Query).served(w)
	w.Granted(reservation)
}

// takeShares returns the number of slots that grantShare granted since the last call.
func (q *Queue) takeShares() uint64 {
	n := q.shares
	q.shares = 0
	return n
}

// noteShare adds to what less urgent requests of a service are due, if any of them
// waits while a slot is granted to a more urgent one.
func (q *Queue) noteShare(now time.Duration, granted *Query) {
	for _, w := range q.waiters {
		if w.Query.Urgency > granted.Urgency && w.Query.Service == granted.Service && now <= w.Target {
			if q.due == nil {
				q.due = map[string]float64{}
			}
			q.due[granted.Service] = min(1, q.due[granted.Service]+lessUrgentShare)
			return
		}
	}
}

// mostUrgent returns the urgency of the first waiter that can be on time, and whether
// there is one.
func (q *Queue) mostUrgent(now time.Duration) (urgency int, ok bool) {
	for _, w := range q.waiters {
		if now <= w.Target {
			return w.Query.Urgency, true
		}
	}
	return 0, false
}

// dispatchOrder returns the models of an engine that requests wait for, in the order in
// which they get its free slots: those with more urgent requests on time first, then
// those that hold fewer slots there. In a fixed order, the first busy model would
// leave none to the others.
func (b *Broker) dispatchOrder(e *endpoint) []modelKey {
	type rank struct {
		key           modelKey
		lateness      int // 0 if a request can be on time, otherwise 1
		urgency, held int
	}
	ranks := make([]rank, 0, len(e.Models))
	for _, m := range e.Models {
		key := modelKey{e.Service, m.Model}
		if b.queues[key] == nil {
			continue
		}
		r := rank{key: key, held: b.holdsOf(key).inUse[e.ID]}
		urgency, onTime := b.queues[key].mostUrgent(b.now)
		r.urgency = urgency
		if !onTime {
			r.lateness = 1
		}
		ranks = append(ranks, r)
	}
	slices.SortStableFunc(ranks, func(x, y rank) int {
		return cmp.Or(cmp.Compare(x.lateness, y.lateness), cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.held, y.held))
	})
	out := make([]modelKey, len(ranks))
	for i, r := range ranks {
		out[i] = r.key
	}
	return out
}

package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Candidate is an endpoint of the service of an explained request.
type Candidate struct {
	Endpoint, Address, DataCentre string
	// Obstacle says why the endpoint cannot take the request; empty if it can.
	Obstacle string
	// AvailableIn is the time after which an endpoint takes the request, by what it
	// stated; zero if unknown.
	AvailableIn time.Duration
	// Terms are the terms of the cost. Random is the upper end of the random term.
	Terms CostTerms
	// Cost is the cost without the random term.
	Cost float64
}

// Explanation says what would happen to a request that arrived now.
type Explanation struct {
	// Broker is the entry that decides, and Self the one that explains. Where they
	// differ, the state of the broker may be another one.
	Broker, Self string
	// Candidates has the endpoints that can take the request, cheapest first, and
	// then the others.
	Candidates []Candidate
	// Reason says why no endpoint can take the request; None if one can.
	Reason UnavailableReason
	// Ahead is the number of waiting requests that are served first.
	Ahead int
	// Refusal is the code of the immediate refusal, or zero. The retry-after time lies
	// between RetryMin and RetryMax.
	Refusal            resultcode.Code
	RetryMin, RetryMax time.Duration
}

// Explain explains the decision on a request that this entry would receive now. It
// changes no state. services is the queue of the requests for plain services.
func (e *Entry) Explain(now time.Duration, q *Query, target, deadline time.Duration, services *Queue) Explanation {
	query := *q
	if q.Model != "" {
		query.Preference, query.DataCentre, query.Paused = preferenceOf(e.self.Address), e.client.dataCentre, e.Table.paused
		for id, until := range e.client.avoidUntil {
			if now < until {
				query.Avoid = append(query.Avoid, id)
			}
		}
	}
	view := e.Table.view(now, &query)
	out := Explanation{Broker: e.self.Address, Self: e.self.Address, Candidates: view.explainCandidates(now, &query)}
	w := &Waiter{Query: &query, Target: target, Deadline: deadline}
	_, w.reason = view.choose(now, &query)
	out.Reason = w.reason
	if q.Model == "" {
		queue := services.with(w)
		out.Ahead = queue.ahead(w)
		out.explainPlain(now, view, queue, w)
		return out
	}
	key := modelKey{q.Service, q.Model}
	out.Broker = e.Owners.BrokerOf(now, key)
	broker := *e.broker
	broker.table, broker.now = view, now
	queue := broker.queues[key].with(w)
	out.Ahead = queue.ahead(w)
	broker.explain(key, queue, w, &out)
	return out
}

// explain sets the refusal of a request that has just been queued.
func (b *Broker) explain(key modelKey, queue *Queue, w *Waiter, out *Explanation) {
	if w.reason == None {
		return
	}
	overloaded := b.overloaded(key)
	if w.reason == Full {
		f := b.forecast(key)
		for _, h := range queue.hopeless(b.now, b.table, key.service, f, overloaded, w) {
			out.refuse(b.table, func() (resultcode.Code, time.Duration) {
				return resultcode.DeadlineTooClose, b.hopelessRetryAfter(f, h, overloaded)
			})
			return
		}
	}
	if _, futile := b.futility(key, w); futile {
		out.refuse(b.table, func() (resultcode.Code, time.Duration) {
			f, _ := b.futility(key, w)
			return f.code, f.after
		})
	}
}

// explainPlain sets the refusal of a request for a plain service.
func (x *Explanation) explainPlain(now time.Duration, view *Table, queue *Queue, w *Waiter) {
	switch {
	case w.reason == NoEndpoints && w.futile(now, view):
		x.Refusal = resultcode.NoEndpoint
	case w.futile(now, view):
		x.Refusal = resultcode.EndpointLimited
		if left := view.AvailableAt(now, w.Query) - now; left < MaxPause {
			x.RetryMin, x.RetryMax = left, left
		}
	case w.reason == Full:
		queue.noteFull(now, queue.fullServices())
		f := view.serviceForecast(now, w.Query, now-queue.full[w.Query.Service].since)
		for _, h := range queue.hopeless(now, view, w.Query.Service, f, false, nil) {
			if h.waiter == w {
				x.refuse(view, func() (resultcode.Code, time.Duration) {
					return resultcode.DeadlineTooClose, view.retryAfter(f, h.wait)
				})
			}
		}
	}
}

// refuse sets the refusal that decide returns. The range of its retry-after time is that
// for the least and the largest random number.
func (x *Explanation) refuse(view *Table, decide func() (resultcode.Code, time.Duration)) {
	view.rand = func() float64 { return 0 }
	x.Refusal, x.RetryMin = decide()
	view.rand = func() float64 { return 1 }
	_, x.RetryMax = decide()
}

// view returns a copy of the table with the endpoints of the service of a query. A
// decision on it changes nothing in t.
func (t *Table) view(now time.Duration, q *Query) *Table {
	v := *t
	v.rand = func() float64 { return 0 }
	copies := make(map[*endpoint]*endpoint, len(t.services[q.Service]))
	list := make([]*endpoint, 0, len(t.services[q.Service]))
	ids := make([]string, 0, cap(list))
	for _, e := range t.services[q.Service] {
		c := *e
		c.permits = slices.Clone(e.permits)
		copies[e] = &c
		list, ids = append(list, &c), append(ids, c.ID)
	}
	key := modelKey{q.Service, q.Model}
	withModel := make([]*endpoint, 0, len(t.byModel[key]))
	for _, e := range t.byModel[key] {
		withModel = append(withModel, copies[e])
	}
	v.services = map[string][]*endpoint{q.Service: list}
	v.byModel = map[modelKey][]*endpoint{key: withModel}
	v.loads = t.loads.peek(now, ids)
	return &v
}

// peek returns a copy of the loads at some endpoints, without brokers that expire.
func (l *Loads) peek(now time.Duration, endpoints []string) *Loads {
	out := NewLoads()
	out.lastExpiry = now
	due := now-l.lastExpiry >= expireInterval
	for _, id := range endpoints {
		total, waiting := l.total[id], l.waiting[id]
		for _, p := range l.peers {
			if !due || now-p.updatedAt <= peerTTL {
				continue
			}
			total.remove(p.usage[id])
			if p.waiting[id] {
				waiting--
			}
		}
		out.total[id], out.waiting[id] = total, waiting
	}
	return out
}

func (t *Table) explainCandidates(now time.Duration, q *Query) []Candidate {
	out := make([]Candidate, 0, len(t.services[q.Service]))
	for _, e := range t.services[q.Service] {
		c := Candidate{Endpoint: e.ID, Address: e.Address, DataCentre: e.DataCentre, Obstacle: t.obstacle(now, e, q), Terms: t.costTerms(now, e, q, 0)}
		c.Cost, c.Terms.Random = c.Terms.total(), t.costTerms(now, e, q, 1).Random
		if !t.excluded(now, e, q) && t.unavailableReason(now, e, q) == Limited {
			c.AvailableIn = t.takesAt(now, e, q) - now
		}
		if c.AvailableIn > MaxPause {
			c.AvailableIn = 0
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Obstacle)), min(1, len(b.Obstacle))), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// obstacle returns why an endpoint cannot take a request, or an empty string.
func (t *Table) obstacle(now time.Duration, e *endpoint, q *Query) string {
	if t.excluded(now, e, q) {
		switch {
		case e.leaving(now):
			return "leaving"
		case e.Evacuated:
			return "evacuated"
		case slices.Contains(q.Avoid, e.ID):
			return "unreachable"
		case !e.hasVersion(q.SoftwareVersion):
			return "other software version"
		default:
			return "ejected"
		}
	}
	switch t.unavailableReason(now, e, q) {
	case None:
		return ""
	case NoModel:
		return "no model"
	case NoAdapter:
		return "no adapter"
	case Limited:
		return t.limitObstacle(now, e, q)
	case NoEndpoints, Full:
	}
	return "full"
}

// limitObstacle tells apart what makes an endpoint Limited.
func (t *Table) limitObstacle(now time.Duration, e *endpoint, q *Query) string {
	switch {
	case now < q.Paused[e.ID] || (q.Model == "" && t.Paused(now, e.ID)):
		return "paused"
	case e.warming(now) && t.warmTakesAt(now, e) > now:
		return "warming up"
	default:
		return "limited"
	}
}

// with returns a copy of the queue with another waiter. q may be nil.
func (q *Queue) with(w *Waiter) *Queue {
	out := &Queue{levels: map[levelKey]*fairLevel{}}
	if q != nil {
		out.lastOrder = q.lastOrder
		out.full = maps.Clone(q.full)
		for key, l := range q.levels {
			out.levels[key] = &fairLevel{virtual: l.virtual, finish: maps.Clone(l.finish)}
		}
		for _, other := range q.waiters {
			c := *other
			out.waiters = append(out.waiters, &c)
		}
	}
	out.Add(w)
	return out
}

// ahead returns the number of waiters in front of w for the same service.
func (q *Queue) ahead(w *Waiter) int {
	n := 0
	for _, other := range q.waiters[:max(0, slices.Index(q.waiters, w))] {
		if other.Query.Service == w.Query.Service {
			n++
		}
	}
	return n
}

// RetryRange returns the least and the largest retry-after time by RetryWithin.
func RetryRange(least, largest, left time.Duration) (low, high time.Duration) {
	low = min(RetryWithin(least, left, 0), RetryWithin(largest, left, 0))
	high = max(RetryWithin(least, left, math.Nextafter(1, 0)), RetryWithin(largest, left, math.Nextafter(1, 0)))
	return low, high
}

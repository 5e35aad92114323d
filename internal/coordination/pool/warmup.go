package pool

import (
	"math"
	"time"
)

// Parameters of endpoints that warm up. Such an endpoint crashes if it gets more than
// 1.5 x rate + 5 requests within a second from all entries together.
const (
	// The rate of a plain endpoint that warms up is shared by warmSharers entries, and
	// by warmSharersPerRate further ones for each request per second. Each may send one
	// request at once, so that n of them send at most n + rate requests within a second.
	// That leaves two requests for entries whose lists of entries differ.
	warmSharers        = 3
	warmSharersPerRate = 0.5
	// warmWindow is the time in which the requests to a warming endpoint are bounded.
	warmWindow = time.Second
	// advisedWarmUpSlack is by how much the end of a warm-up that another entry states
	// has to be later than the known one to count. Without it, the delays of messages
	// would postpone the end again and again.
	advisedWarmUpSlack = 500 * time.Millisecond
	// warmUpEndedTime is how long the statements of other entries about an endpoint are
	// ignored after the list said that its warm-up has ended.
	warmUpEndedTime = 5 * time.Second
)

// SetWarmUps sets the source of the rate and the time of the warm-up of each service;
// both are zero for a service without one.
func (e *Entry) SetWarmUps(of func(service string) (rate float64, duration time.Duration)) {
	e.Table.warmUpOf = of
	for _, target := range e.Table.endpoints {
		target.WarmUpRate, target.WarmUpTime = of(target.Service)
	}
}

// warming reports whether an endpoint warms up, by the list, by its own answers or by
// its failures.
func (e *endpoint) warming(now time.Duration) bool {
	return e.WarmUpRate > 0 && (e.WarmingUp || now < e.warmUntil)
}

// Warming returns the number of endpoints that warm up.
func (t *Table) Warming(now time.Duration) int {
	n := 0
	for _, e := range t.endpoints {
		if e.warming(now) {
			n++
		}
	}
	return n
}

// startWarmUp records that an endpoint warms up for a time. It reports whether the
// endpoint was not known to warm up before.
func (e *endpoint) startWarmUp(now, d time.Duration) (changed bool) {
	changed = d > 0 && !e.warming(now)
	e.warmUntil = max(e.warmUntil, now+d)
	return changed && e.WarmUpRate > 0
}

// noteStatedWarmUp records how much longer an endpoint warms up by its answer that has
// just arrived. It reports whether the endpoint was not known to warm up before.
func (t *Table) noteStatedWarmUp(now time.Duration, id string, left time.Duration) (changed bool) {
	e := t.endpoints[id]
	return e != nil && left > 0 && e.startWarmUp(now, left)
}

// noteListed ends the warm-up of an endpoint that a new list no longer shows as warming
// up.
func (e *endpoint) noteListed(now time.Duration, in *Endpoint) {
	if e.WarmingUp && !in.WarmingUp {
		e.warmUntil, e.adviceIgnoredUntil = 0, now+warmUpEndedTime
	}
}

// noteSent records the result of a request that this entry sent. An endpoint that
// answers after consecutive failures may have started again. It reports whether the
// endpoint now counts as warming up and did not before.
func (t *Table) noteSent(now time.Duration, id string, r Result) (changed bool) {
	e := t.endpoints[id]
	if e == nil || e.WarmUpTime == 0 {
		return false
	}
	switch r {
	case Failed:
		e.sentFailures++
	case Succeeded:
		changed = e.sentFailures >= failuresBeforeEject && e.startWarmUp(now, e.WarmUpTime)
		e.sentFailures = 0
	case Unknown, Refused, Absent:
	}
	return changed
}

// applyWarmUpAdvice records how much longer another entry treats an endpoint as
// warming up.
func (e *endpoint) applyWarmUpAdvice(now, left time.Duration) {
	left = min(left, e.WarmUpTime)
	if now >= e.adviceIgnoredUntil && now+left > e.warmUntil+advisedWarmUpSlack {
		e.startWarmUp(now, left)
	}
}

// tellBrokers tells the brokers of an endpoint's models what is known about it.
func (e *Entry) tellBrokers(now time.Duration, target *endpoint) {
	for _, broker := range e.broker.sharingBrokers(target) {
		m := e.out.messageTo(broker)
		m.Advice = append(m.Advice, target.adviceMessage(now, target.ID))
	}
}

// warmShare returns the requests per second that this entry may send to a plain
// endpoint that warms up, or zero.
func (t *Table) warmShare(e *endpoint, rate float64) float64 {
	if t.owners == nil {
		return rate
	}
	entries := len(t.owners.entries)
	sharers := min(entries, warmSharers+int(min(rate*warmSharersPerRate, float64(entries))))
	if t.owners.rank(e.ID) >= sharers {
		return 0
	}
	return rate / float64(sharers)
}

// plainTakesAt returns the earliest time at which this entry may send a request to a
// plain endpoint that warms up.
func (t *Table) plainTakesAt(now time.Duration, e *endpoint) time.Duration {
	rate := t.refillWarm(now, e)
	switch {
	case rate == 0:
		return never
	case e.warmBudget.level >= 1:
		return e.afterUnboundedGrants(now)
	default:
		return max(e.afterUnboundedGrants(now), now+time.Duration(math.Ceil((1-e.warmBudget.level)/rate*float64(time.Second))))
	}
}

// refillWarm refills the budget of a plain endpoint that warms up, which begins empty,
// and returns the entry's share of the rate. The budget holds one request at most.
func (t *Table) refillWarm(now time.Duration, e *endpoint) float64 {
	if e.warmBudget.refilledAt == 0 {
		e.warmBudget = limitBudget{refilledAt: now}
	}
	rate := t.warmShare(e, e.warmRate())
	e.warmBudget.add(now, rate, 1)
	return rate
}

// add adds what accumulated since the last call, up to maxLevel.
func (b *limitBudget) add(now time.Duration, rate, maxLevel float64) {
	b.level = min(maxLevel, b.level+rate*max(0, now-b.refilledAt).Seconds())
	b.refilledAt = max(now, b.refilledAt)
}

// warmRate returns the rate of a warming endpoint: the lower one of its service's and
// of the limit that it states.
func (e *endpoint) warmRate() float64 {
	if e.advice.Limited {
		return min(e.WarmUpRate, max(e.advice.RateLimit, minLimitRate))
	}
	return e.WarmUpRate
}

// afterUnboundedGrants returns the earliest time at which a request may be sent to an
// endpoint that was not known to warm up until lately: the requests that it got without
// a bound count for a while.
func (e *endpoint) afterUnboundedGrants(now time.Duration) time.Duration {
	if e.lastUnboundedGrant == 0 {
		return now
	}
	return max(now, e.lastUnboundedGrant+warmWindow)
}

// warmTakesAt returns the earliest time at which a warming endpoint takes a request.
func (t *Table) warmTakesAt(now time.Duration, e *endpoint) time.Duration {
	if len(e.Models) == 0 {
		return t.plainTakesAt(now, e)
	}
	return max(e.afterUnboundedGrants(now), e.permitTakesAt(now))
}

// spendWarm counts a request to an endpoint against its warm-up.
func (t *Table) spendWarm(now time.Duration, e *endpoint) {
	switch {
	case e.WarmUpRate == 0:
	case !e.warming(now):
		e.lastUnboundedGrant = now
	case len(e.Models) == 0:
		t.refillWarm(now, e)
		e.warmBudget.level--
	case len(e.permits) > 0:
		e.permits = e.permits[1:]
	}
}

// warmingForMs returns how much longer this entry tells others that an endpoint warms
// up.
func (e *endpoint) warmingForMs(now time.Duration) uint32 {
	if e.WarmUpRate == 0 {
		return 0
	}
	return uint32(max(0, e.warmUntil-now).Milliseconds())
}

// adviceAgeMs returns the age of the newest answer that is known. If none is, the
// message must not replace what the receiver knows of limits.
func (e *endpoint) adviceAgeMs(now time.Duration) uint32 {
	if e.advisedAt == 0 {
		return math.MaxUint32
	}
	return uint32(min((now - e.advisedAt).Milliseconds(), math.MaxUint32))
}

package pool

import (
	"math"
	"time"
)

// Parameters of the limits that endpoints state. A limit holds for all entries
// together: over a few seconds an endpoint accepts half as much again and a few
// requests more.
//
// The slots of an engine are granted by the brokers of its models. Each of them
// keeps the whole limit and deducts what the others grant. At a plain service each
// entry grants slots by itself, so the limit is divided between some entries and
// the others send nothing. A budget for each entry would not do: with hundreds of
// entries, one request from each exceeds the limit.
const (
	// minLimitRate is used in place of a lower limit, in requests per second. An
	// entry learns that a limit has ended from an answer only.
	minLimitRate = 0.25
	// minSharers, and sharersPerRate for each request per second, is how many
	// entries share the limit of a plain endpoint. Each may send one request at
	// once. With fewer, the limit is not used up if each entry has few requests.
	minSharers     = 3
	sharersPerRate = 2
	// limitBurst is the time for which an unused limit accumulates.
	limitBurst = 500 * time.Millisecond
	// maxLimitDebt is the time by which grants of other brokers may exceed a limit
	// before they are forgotten.
	maxLimitDebt = 4 * time.Second
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// limitBudget counts the requests that an entry may still grant at an endpoint that
// states a limit.
type limitBudget struct {
	level      float64
	refilledAt time.Duration
}

// refill adds what accumulated since the last call.
func (b *limitBudget) refill(now time.Duration, rate float64) {
	b.level = min(max(1, rate*limitBurst.Seconds()), b.level+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// spend removes n requests.
func (b *limitBudget) spend(n, rate float64) {
	b.level = max(b.level-n, -rate*maxLimitDebt.Seconds())
}

// limitShare returns the requests per second that this entry may grant at an
// endpoint that states a limit, or zero.
func (t *Table) limitShare(e *endpoint) float64 {
	rate := max(e.advice.RateLimit, minLimitRate)
	if len(e.Models) > 0 || t.owners == nil {
		return rate
	}
	entries := len(t.owners.entries)
	sharers := min(entries, minSharers+int(min(rate*sharersPerRate, float64(entries))))
	if t.owners.rank(e.ID) >= sharers {
		return 0
	}
	return rate / float64(sharers)
}

// takesAt returns the earliest time from now on at which an endpoint takes the
// request, by what it stated.
func (t *Table) takesAt(now time.Duration, e *endpoint, q *Query) time.Duration {
	at := max(now, q.Paused[e.ID])
	if q.Model == "" {
		at = max(at, t.paused[e.ID])
	}
	if e.warming(now) {
		at = max(at, t.warmTakesAt(now, e))
	}
	if !e.advice.Limited {
		return at
	}
	rate := t.limitShare(e)
	e.budget.refill(now, rate)
	switch {
	case e.budget.level >= 1:
		return at
	case rate == 0:
		return never
	default:
		return max(at, now+time.Duration((1-e.budget.level)/rate*float64(time.Second)))
	}
}

// spendLimit counts n granted requests against the limit of an endpoint.
func (t *Table) spendLimit(now time.Duration, e *endpoint, n float64) {
	if !e.advice.Limited {
		return
	}
	rate := t.limitShare(e)
	e.budget.refill(now, rate)
	e.budget.spend(n, rate)
}

// AvailableAt returns the earliest time at which an endpoint takes a request that
// found all of them Limited.
func (t *Table) AvailableAt(now time.Duration, q *Query) time.Duration {
	earliest := never
	for _, e := range t.candidates(q) {
		if !t.excluded(now, e, q) && t.unavailableReason(now, e, q) == Limited {
			earliest = min(earliest, t.takesAt(now, e, q))
		}
	}
	return earliest
}

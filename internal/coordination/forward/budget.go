package forward

import "time"

// budgetSlots is the number of parts of the window.
const budgetSlots = 10

// RetryBudget bounds further attempts for each service: at every entry to a part of
// its own requests plus its part of the fixed slack, so that the sum over
// all entries keeps the fleet's bound without any message.
type RetryBudget struct {
	window  time.Duration
	ratio   float64
	slack   float64
	entries int
	counts  map[string]*budgetCount
}

type budgetCount struct {
	slot              int64
	requests, retries [budgetSlots]int
}

// budgetMargin keeps part of the bound for restarts of entries, which
// forget what they spent.
const budgetMargin = 0.6

// NewRetryBudget returns a budget of ratio x requests + slack over all entries.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, entries: 1, counts: map[string]*budgetCount{}}
}

// SetEntries says over how many entries the slack is divided.
func (b *RetryBudget) SetEntries(n int) { b.entries = max(1, n) }

func (b *RetryBudget) count(now time.Duration, service string) *budgetCount {
	c := b.counts[service]
	if c == nil {
		c = &budgetCount{}
		b.counts[service] = c
	}
	slot := int64(now / (b.window / budgetSlots))
	for n := min(slot-c.slot, budgetSlots); n > 0; n-- {
		c.slot++
		c.requests[c.slot%budgetSlots], c.retries[c.slot%budgetSlots] = 0, 0
	}
	if slot > c.slot {
		*c = budgetCount{slot: slot}
	}
	return c
}

// CountRequest counts a new request for the service.
func (b *RetryBudget) CountRequest(now time.Duration, service string) {
	c := b.count(now, service)
	c.requests[c.slot%budgetSlots]++
}

// Spend takes one further attempt, if there is one left.
func (b *RetryBudget) Spend(now time.Duration, service string) bool {
	c := b.count(now, service)
	requests, retries := 0, 0
	for i := range budgetSlots {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := budgetMargin * (b.ratio*float64(requests) + b.slack/float64(b.entries))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.slot%budgetSlots]++
	return true
}

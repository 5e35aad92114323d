package forward

import "time"

// budgetIntervals is the number of intervals into which the window is divided.
const budgetIntervals = 10

// RetryBudget bounds the retries of each service. Each entry may retry a fraction
// of its own requests plus its share of the fixed slack. So the sum over all
// entries stays within the bound of the fleet without any messages.
type RetryBudget struct {
	window  time.Duration
	ratio   float64
	slack   float64
	entries int
	counts  map[string]*budgetCount
}

type budgetCount struct {
	interval          int64 // number of the current interval
	requests, retries [budgetIntervals]int
}

// budgetMargin is the fraction of the bound that entries use. The rest is reserved
// for restarted entries, which lose their count of retries.
const budgetMargin = 0.6

// NewRetryBudget returns a budget of ratio * requests + slack retries within the
// window, over all entries.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, entries: 1, counts: map[string]*budgetCount{}}
}

// SetEntries sets the number of entries among which the slack is divided.
func (b *RetryBudget) SetEntries(n int) { b.entries = max(1, n) }

// count returns the counts of a service, with the intervals that have left the
// window reset.
func (b *RetryBudget) count(now time.Duration, service string) *budgetCount {
	c := b.counts[service]
	if c == nil {
		c = &budgetCount{}
		b.counts[service] = c
	}
	interval := int64(now / (b.window / budgetIntervals))
	for n := min(interval-c.interval, budgetIntervals); n > 0; n-- {
		c.interval++
		c.requests[c.interval%budgetIntervals], c.retries[c.interval%budgetIntervals] = 0, 0
	}
	if interval > c.interval {
		*c = budgetCount{interval: interval}
	}
	return c
}

// CountRequest counts a new request for the service.
func (b *RetryBudget) CountRequest(now time.Duration, service string) {
	c := b.count(now, service)
	c.requests[c.interval%budgetIntervals]++
}

// Spend reports whether a retry is within the budget, and counts it if so.
func (b *RetryBudget) Spend(now time.Duration, service string) bool {
	c := b.count(now, service)
	requests, retries := 0, 0
	for i := range budgetIntervals {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := budgetMargin * (b.ratio*float64(requests) + b.slack/float64(b.entries))
	if float64(retries+1) > allowed {
		return false
	}
	c.retries[c.interval%budgetIntervals]++
	return true
}

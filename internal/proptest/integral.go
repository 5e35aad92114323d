package proptest

import "pgregory.net/rapid"

// RateLimitOracle checks a rate limit: the tokens spent in any window must not
// exceed the integral of the rate over the window plus the largest burst. Times
// are in milliseconds.
type RateLimitOracle struct {
	burst   uint64
	changes []timedValue // rate from a time on
	spent   []timedValue // tokens at a time
}

// timedValue is a value (a rate or a number of tokens) at a time in milliseconds.
type timedValue struct{ at, value uint64 }

// Limit sets the rate in tokens per second and the burst from a time on.
func (i *RateLimitOracle) Limit(at, rate, burst uint64) {
	i.burst = max(i.burst, burst)
	i.changes = append(i.changes, timedValue{at, rate})
}

// Spend records tokens that were used.
func (i *RateLimitOracle) Spend(at, tokens uint64) {
	i.spent = append(i.spent, timedValue{at, tokens})
}

// accrued returns the rate summed over a window, in thousandths of a token.
func (i *RateLimitOracle) accrued(from, to uint64) uint64 {
	var sum uint64
	for n, c := range i.changes {
		end := to
		if n+1 < len(i.changes) {
			end = min(to, i.changes[n+1].at)
		}
		if start := max(from, c.at); start < end {
			sum += (end - start) * c.value
		}
	}
	return sum
}

// Verify fails if any window exceeds its bound.
func (i *RateLimitOracle) Verify(t *rapid.T) {
	const milli = 1000
	for n := range i.spent {
		var sum uint64
		from := i.spent[n].at
		for _, s := range i.spent[n:] {
			sum += s.value * milli
			if bound := i.accrued(from, s.at) + i.burst*milli; sum > bound {
				t.Fatalf("%d thousandths of a token from %d ms to %d ms, allowed are %d", sum, from, s.at, bound)
			}
		}
	}
}

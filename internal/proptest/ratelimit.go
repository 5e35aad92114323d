package proptest

import "pgregory.net/rapid"

// RateLimitOracle checks a rate limit: the tokens spent in any window must not
// exceed the integral of the rate over the window plus the largest burst. Times
// are in milliseconds.
type RateLimitOracle struct {
	burst       uint64
	rateChanges []timedValue // rates and the times from which they apply
	spent       []timedValue // tokens and the times at which they were spent
}

type timedValue struct{ at, value uint64 }

// Limit sets the rate in tokens per second and the burst that apply from a time on.
func (o *RateLimitOracle) Limit(at, rate, burst uint64) {
	o.burst = max(o.burst, burst)
	o.rateChanges = append(o.rateChanges, timedValue{at, rate})
}

// Spend records tokens that were spent at a time.
func (o *RateLimitOracle) Spend(at, tokens uint64) {
	o.spent = append(o.spent, timedValue{at, tokens})
}

// accrued returns the integral of the rate over a window, in thousandths of a
// token.
func (o *RateLimitOracle) accrued(from, to uint64) uint64 {
	var sum uint64
	for n, c := range o.rateChanges {
		end := to
		if n+1 < len(o.rateChanges) {
			end = min(to, o.rateChanges[n+1].at)
		}
		if start := max(from, c.at); start < end {
			sum += (end - start) * c.value
		}
	}
	return sum
}

// Verify fails the test if the tokens spent in any window exceed its bound.
func (o *RateLimitOracle) Verify(t *rapid.T) {
	const milli = 1000
	for n := range o.spent {
		var sum uint64
		from := o.spent[n].at
		for _, s := range o.spent[n:] {
			sum += s.value * milli
			if bound := o.accrued(from, s.at) + o.burst*milli; sum > bound {
				t.Fatalf("spent %d thousandths of a token from %d ms to %d ms, the limit is %d", sum, from, s.at, bound)
			}
		}
	}
}

// Package proptest runs properties of tests with fixed seeds, and shows that
// they fail for broken variants. Only tests import it.
package proptest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Check checks a property with a number of runs from a fixed seed, and from
// more seeds for as many seconds as RADISHLOOM_FUZZ_SECONDS says.
// RADISHLOOM_SEED replaces the fixed seed, to repeat a run that failed.
func Check(t *testing.T, runs int, seed uint64, prop func(*rapid.T)) {
	t.Helper()
	if given, err := strconv.ParseUint(os.Getenv("RADISHLOOM_SEED"), 10, 64); err == nil {
		seed = given
	}
	configure(t, runs, seed)
	rapid.Check(t, prop)
	seconds, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		seed = rand.Uint64N(1 << 62)
		t.Logf("seed %d", seed)
		configure(t, runs, seed)
		rapid.Check(t, prop)
	}
}

// configure sets rapid's flags. Failing runs are not shrunk: the time that is
// allowed for it would make the output differ from run to run.
func configure(t *testing.T, runs int, seed uint64) {
	t.Helper()
	for name, value := range map[string]string{
		"rapid.seed":       strconv.FormatUint(seed, 10),
		"rapid.checks":     strconv.Itoa(runs),
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "0s",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// recorder stands in for the test of a broken variant, which has to fail.
type recorder struct {
	*testing.T
	failed bool
	text   string
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	r.text += fmt.Sprintf(format, args...)
}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Failed() bool        { return r.failed }
func (r *recorder) FailNow()            { panic(r) }

// MustFail fails if the property of a broken variant holds for all runs.
func MustFail(t *testing.T, runs int, seed uint64, prop func(*rapid.T)) {
	t.Helper()
	configure(t, runs, seed)
	r := &recorder{T: t}
	func() {
		defer func() {
			if got := recover(); got != nil && got != any(r) {
				panic(got)
			}
		}()
		rapid.Check(r, prop)
	}()
	if !r.failed {
		t.Fatal("the broken variant passes")
	}
	t.Logf("seed %d: %s", seed, r.text)
}

// Choose draws a number below n. Unlike rapid.IntRange, which prefers small
// numbers, it is close to uniform.
func Choose(t *rapid.T, n int) int {
	return int(rapid.Uint64().Draw(t, "choice") % uint64(n))
}

// Integral is the oracle of a rate limit: what is spent in any window is at
// most the rate summed over the window plus the largest burst. Times are in
// milliseconds.
type Integral struct {
	burst   uint64
	changes []moment // rate from a time on
	spent   []moment // tokens at a time
}

type moment struct{ at, value uint64 }

// Limit sets the rate in tokens per second and the burst from a time on.
func (i *Integral) Limit(at, rate, burst uint64) {
	i.burst = max(i.burst, burst)
	i.changes = append(i.changes, moment{at, rate})
}

// Spend records tokens that were used.
func (i *Integral) Spend(at, tokens uint64) {
	i.spent = append(i.spent, moment{at, tokens})
}

// allowance returns the rate summed over a window, in thousandths of a token.
func (i *Integral) allowance(from, to uint64) uint64 {
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
func (i *Integral) Verify(t *rapid.T) {
	const milli = 1000
	for n := range i.spent {
		var sum uint64
		from := i.spent[n].at
		for _, s := range i.spent[n:] {
			sum += s.value * milli
			if bound := i.allowance(from, s.at) + i.burst*milli; sum > bound {
				t.Fatalf("%d thousandths of a token from %d ms to %d ms, allowed are %d", sum, from, s.at, bound)
			}
		}
	}
}

// Package proptest runs rapid properties with fixed seeds, so that a test gives
// the same verdict each time, and shows that they fail for broken variants.
// Only tests import it.
//
// RADISHLOOM_FUZZ_SECONDS=n adds n seconds of fresh seeds to each property,
// starting with RADISHLOOM_FUZZ_SEED if that is set. RADISHLOOM_SEED replaces the
// fixed seeds, to repeat a run that failed. Every failure names its seed.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	envSeconds = "RADISHLOOM_FUZZ_SECONDS"
	envFirst   = "RADISHLOOM_FUZZ_SEED"
	envOnly    = "RADISHLOOM_SEED"
	// defaultSteps is rapid's default mean number of actions in one case.
	defaultSteps = 30
)

// Option changes how cases are made. A change of options changes the cases of
// every seed.
type Option func(flags map[string]string)

// Steps sets the mean number of actions in one case.
func Steps(n int) Option {
	return func(flags map[string]string) { flags["steps"] = strconv.Itoa(n) }
}

// Check checks a property with a number of cases from a fixed seed, and from
// fresh seeds if the environment asks for them.
func Check(t *testing.T, runs int, seed uint64, prop func(*rapid.T), options ...Option) {
	t.Helper()
	if only, ok := number(envOnly); ok {
		seed = only
	}
	configure(t, runs, seed, options)
	rapid.Check(t, prop)
	RunFreshSeeds(t, func(seed uint64) string {
		configure(t, runs, seed, options)
		rapid.Check(t, prop)
		return ""
	})
}

// MustFail fails if the property of a broken variant holds for all cases.
func MustFail(t *testing.T, runs int, seed uint64, prop func(*rapid.T), options ...Option) {
	t.Helper()
	failure := try(t, runs, seed, prop, options)
	if failure == "" {
		t.Fatal("the property holds for all cases of the broken variant")
	}
	t.Logf("seed %d: %.300s", seed, failure)
}

// CheckSeeds checks a property with one case for each of the seeds 1 to n, and
// with fresh seeds if the environment asks for them.
func CheckSeeds(t *testing.T, n uint64, prop func(*rapid.T), options ...Option) {
	t.Helper()
	first, last := uint64(1), n
	if only, ok := number(envOnly); ok {
		first, last = only, only
	}
	for seed := first; seed <= last; seed++ {
		if failure := try(t, 1, seed, prop, options); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	RunFreshSeeds(t, func(seed uint64) string { return try(t, 1, seed, prop, options) })
}

// ExpectFailure requires that a property with a broken rule fails for a seed
// with a message that contains want.
func ExpectFailure(t *testing.T, seed uint64, want string, prop func(*rapid.T), options ...Option) {
	t.Helper()
	failure := try(t, 1, seed, prop, options)
	if failure == "" || !strings.Contains(failure, want) {
		t.Fatalf("seed %d with a broken rule: want a failure that contains %q, got %q", seed, want, failure)
	}
	t.Logf("seed %d: %.200s", seed, failure)
}

// FirstFailure returns the lowest of the seeds 1 to n with which a property
// fails, and the failure message. Use it to find a seed for ExpectFailure.
func FirstFailure(t *testing.T, n uint64, prop func(*rapid.T), options ...Option) (uint64, string) {
	t.Helper()
	for seed := uint64(1); seed <= n; seed++ {
		if failure := try(t, 1, seed, prop, options); failure != "" {
			return seed, failure
		}
	}
	return 0, ""
}

// RunFreshSeeds calls run with consecutive fresh seeds for the time that
// envSeconds sets, and fails the test at the first failure that run returns.
func RunFreshSeeds(t *testing.T, run func(seed uint64) (failure string)) {
	t.Helper()
	seconds, _ := number(envSeconds)
	if seconds == 0 {
		return
	}
	first, ok := number(envFirst)
	if !ok {
		first = uint64(time.Now().UnixMicro())
	}
	seed := first
	t.Logf("fresh seeds from %d on", first)
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); seed++ {
		if failure := run(seed); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("seeds %d to %d passed", first, seed-1)
}

func number(name string) (uint64, bool) {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	return n, err == nil
}

// configure sets rapid's flags, which apply to the whole process. Failing cases
// are not shrunk: shrinking has a time limit, so the output would differ from run
// to run.
func configure(t *testing.T, runs int, seed uint64, options []Option) {
	t.Helper()
	flags := map[string]string{
		"seed":       strconv.FormatUint(seed, 10),
		"checks":     strconv.Itoa(runs),
		"steps":      strconv.Itoa(defaultSteps),
		"nofailfile": "true",
		"shrinktime": "0s",
	}
	for _, o := range options {
		o(flags)
	}
	for name, value := range flags {
		if err := flag.Set("rapid."+name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// try runs a property and returns its first failure, or nothing.
func try(t *testing.T, runs int, seed uint64, prop func(*rapid.T), options []Option) string {
	t.Helper()
	configure(t, runs, seed, options)
	r := &recorder{T: t}
	func() {
		defer func() {
			if got := recover(); got != nil && got != any(r) {
				panic(got)
			}
		}()
		rapid.Check(r, prop)
	}()
	return r.failure
}

// recorder takes the failure of a rapid check instead of the test.
type recorder struct {
	*testing.T
	failure string
	failed  bool
}

func (r *recorder) Errorf(format string, args ...any) {
	if !r.failed {
		r.failure = fmt.Sprintf(format, args...)
	}
	r.failed = true
}
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Failed() bool        { return r.failed }
func (r *recorder) FailNow()            { panic(r) }

// IntN draws a number in [0, n). Unlike rapid.IntRange, which prefers small
// numbers, it is close to uniform.
func IntN(t *rapid.T, n int) int {
	return int(rapid.Uint64().Draw(t, "choice") % uint64(n))
}

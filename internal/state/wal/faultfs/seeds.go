package faultfs

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

// recorder collects the first failure of a rapid check.
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
func (r *recorder) FailNow()            { r.failed = true }
func (r *recorder) Failed() bool        { return r.failed }
func (r *recorder) Log(...any)          {}
func (r *recorder) Logf(string, ...any) {}

// runSeed runs a property once, with the case that rapid makes of a seed, and
// returns what failed, or nothing.
func runSeed(t *testing.T, seed uint64, prop func(*rapid.T)) string {
	t.Helper()
	for name, value := range map[string]string{"seed": strconv.FormatUint(seed, 10), "checks": "1", "nofailfile": "true", "shrinktime": "0s"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			t.Fatal(err)
		}
	}
	r := &recorder{T: t}
	rapid.Check(r, prop)
	return r.failure
}

// CheckSeeds runs a property with the seeds 1 to n, so that each run of the
// tests gives the same verdict. With RADISHLOOM_FUZZ_SECONDS it continues for
// that time with seeds that differ in each run. With RADISHLOOM_FUZZ_SEED it
// runs that seed only.
func CheckSeeds(t *testing.T, n uint64, prop func(*rapid.T)) {
	t.Helper()
	if only, err := strconv.ParseUint(os.Getenv("RADISHLOOM_FUZZ_SEED"), 10, 64); err == nil {
		checkRange(t, only, prop, func(seed uint64) bool { return seed == only })
		return
	}
	checkRange(t, 1, prop, func(seed uint64) bool { return seed <= n })
	if seconds, err := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS")); err == nil {
		start := time.Now()
		end := start.Add(time.Duration(seconds) * time.Second)
		checkRange(t, uint64(start.UnixMicro()), prop, func(uint64) bool { return time.Now().Before(end) })
	}
}

func checkRange(t *testing.T, first uint64, prop func(*rapid.T), more func(seed uint64) bool) {
	t.Helper()
	seed := first
	for ; more(seed); seed++ {
		if failure := runSeed(t, seed, prop); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("seeds %d to %d passed", first, seed-1)
}

// ExpectFailure requires that a property with a broken rule fails for a seed
// with a message that contains want.
func ExpectFailure(t *testing.T, seed uint64, want string, prop func(*rapid.T)) {
	t.Helper()
	failure := runSeed(t, seed, prop)
	if !strings.Contains(failure, want) {
		t.Fatalf("seed %d does not notice the broken rule; want %q, got %q", seed, want, failure)
	}
	t.Logf("seed %d: %.200s", seed, failure)
}

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
// tests gives the same verdict. If RADISHLOOM_FUZZ_SECONDS is set it continues
// with later seeds for that time.
func CheckSeeds(t *testing.T, n uint64, prop func(*rapid.T)) {
	t.Helper()
	extra, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	end := time.Now().Add(time.Duration(extra) * time.Second)
	seed := uint64(1)
	for ; seed <= n || time.Now().Before(end); seed++ {
		if failure := runSeed(t, seed, prop); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("seeds 1 to %d passed", seed-1)
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

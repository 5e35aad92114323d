package wal_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recorder collects the failures of a rapid check.
type recorder struct {
	*testing.T
	first  string
	failed bool
}

func (r *recorder) Errorf(format string, args ...any) {
	if !r.failed {
		r.first = fmt.Sprintf(format, args...)
	}
	r.failed = true
}
func (r *recorder) FailNow()            { r.failed = true }
func (r *recorder) Failed() bool        { return r.failed }
func (r *recorder) Log(...any)          {}
func (r *recorder) Logf(string, ...any) {}

// runSeed runs a property once with the case that rapid makes of a seed, and
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
	return r.first
}

// checkSeeds runs the seeds 1 to n, and more for RADISHLOOM_FUZZ_SECONDS.
func checkSeeds(t *testing.T, n uint64, prop func(*rapid.T)) {
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

// expectFailure requires that a seed fails; it is for broken variants.
func expectFailure(t *testing.T, seed uint64, prop func(*rapid.T)) {
	t.Helper()
	failure := runSeed(t, seed, prop)
	if failure == "" {
		t.Fatalf("seed %d does not notice the broken rule", seed)
	}
	t.Logf("seed %d: %.300s", seed, failure)
}

// Package fuzztest runs stateful rapid properties with fixed seeds, so that a
// test gives the same verdict each time, and with more seeds on request.
//
// Every failure names its seed. RADISHLOOM_FUZZ_SECONDS=N adds seeds for N
// seconds to each property, starting at RADISHLOOM_FUZZ_SEED (default 1000).
package fuzztest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	envSeconds = "RADISHLOOM_FUZZ_SECONDS"
	envSeed    = "RADISHLOOM_FUZZ_SEED"
	// firstExtraSeed is above every fixed seed.
	firstExtraSeed = 1000
	// steps is the mean number of actions in one case.
	steps = "200"
)

// rapid reads its seed from process-wide flags.
var flags sync.Mutex

// Check runs prop with the seeds 1 to n, and with more if the environment asks
// for them.
func Check(t *testing.T, n uint64, prop func(*rapid.T)) {
	t.Helper()
	for seed := uint64(1); seed <= n; seed++ {
		if failure := run(t, seed, prop); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	more(t, prop)
}

func more(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	seconds := number(envSeconds, 0)
	if seconds == 0 {
		return
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	first := number(envSeed, firstExtraSeed)
	seed := first
	for ; time.Now().Before(end); seed++ {
		if failure := run(t, seed, prop); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
	t.Logf("%s: seeds %d to %d passed", t.Name(), first, seed-1)
}

// MustFail runs prop with one seed and fails the test unless prop fails with a
// message that contains want. It shows that a property notices a broken rule.
func MustFail(t *testing.T, seed uint64, want string, prop func(*rapid.T)) {
	t.Helper()
	failure := run(t, seed, prop)
	if failure == "" {
		t.Fatalf("seed %d: the broken variant passed", seed)
	}
	if !strings.Contains(failure, want) {
		t.Fatalf("seed %d: the broken variant failed with %q, want %q", seed, failure, want)
	}
	t.Logf("seed %d: the broken variant fails as it should: %s", seed, failure)
}

// FirstFailure returns the lowest of the seeds 1 to n with which prop fails,
// and what it said. It is for finding the seed of a MustFail.
func FirstFailure(t *testing.T, n uint64, prop func(*rapid.T)) (uint64, string) {
	t.Helper()
	for seed := uint64(1); seed <= n; seed++ {
		if failure := run(t, seed, prop); failure != "" {
			return seed, failure
		}
	}
	return 0, ""
}

func number(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// run runs one case and returns its first failure.
func run(t *testing.T, seed uint64, prop func(*rapid.T)) string {
	t.Helper()
	flags.Lock()
	defer flags.Unlock()
	settings := map[string]string{
		"seed": strconv.FormatUint(seed, 10), "checks": "1", "nofailfile": "true", "shrinktime": "0s", "steps": steps,
	}
	for name, value := range settings {
		if err := flag.Set("rapid."+name, value); err != nil {
			t.Fatal(err)
		}
	}
	r := &recorder{T: t}
	rapid.Check(r, prop)
	return r.first
}

// recorder takes the failure of a rapid check instead of the test.
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

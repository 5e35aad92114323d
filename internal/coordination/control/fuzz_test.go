package control

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

// fuzz checks a property from a fixed seed, and from more seeds for as many
// seconds as RADISHLOOM_FUZZ_SECONDS says.
func fuzz(t *testing.T, seed uint64, prop func(*rapid.T)) {
	t.Helper()
	setSeed(t, seed)
	rapid.Check(t, prop)
	seconds, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		seed = rand.Uint64N(1 << 62)
		t.Logf("seed %d", seed)
		setSeed(t, seed)
		rapid.Check(t, prop)
	}
}

func setSeed(t *testing.T, seed uint64) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": strconv.FormatUint(seed, 10), "rapid.nofailfile": "true", "rapid.shrinktime": "2s", "rapid.checks": "120"} {
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

// mustFail fails if the property holds for a broken variant.
func mustFail(t *testing.T, seed uint64, prop func(*rapid.T)) {
	t.Helper()
	setSeed(t, seed)
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

// choose draws a number below n. Unlike rapid.IntRange, which prefers small
// numbers, it is close to uniform.
func choose(t *rapid.T, n int) int {
	return int(rapid.Uint64().Draw(t, "choice") % uint64(n))
}

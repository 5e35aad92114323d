package quarantine

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "0s")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// check runs a property with the fixed seed, and with further seeds for as
// long as RADISHLOOM_FUZZ_SECONDS says.
func check(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, property)
	seconds, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	defer flag.Set("rapid.seed", flag.Lookup("rapid.seed").Value.String())
	for seed := 100000; time.Now().Before(end); seed += 100000 {
		t.Logf("rapid.seed=%d", seed)
		_ = flag.Set("rapid.seed", strconv.Itoa(seed))
		rapid.Check(t, property)
	}
}

// mustFail requires that the property notices a deliberately broken rule.
func mustFail(t *testing.T, property func(*rapid.T)) {
	defer func() { t.Logf("noticed: %.400v", recover()) }()
	rapid.Check(verdict{t}, property)
	t.Fatal("the broken variant was not noticed")
}

// verdict turns the failure of a property into a panic.
type verdict struct{ testing.TB }

func (verdict) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

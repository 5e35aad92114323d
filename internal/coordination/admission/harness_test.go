package admission

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// check runs a property with -rapid.seed, which is 1 unless given, and with
// further seeds for as long as RADISHLOOM_FUZZ_SECONDS says.
func check(t testing.TB, property func(*rapid.T)) {
	seconds, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	first := flag.Lookup("rapid.seed").Value.String()
	defer flag.Set("rapid.seed", first)
	seed, _ := strconv.Atoi(first)
	for end := time.Now().Add(time.Duration(seconds) * time.Second); ; seed += 100000 {
		t.Logf("rapid.seed=%d", max(1, seed))
		for name, value := range map[string]string{"seed": strconv.Itoa(max(1, seed)), "nofailfile": "true", "shrinktime": "0s"} {
			_ = flag.Set("rapid."+name, value)
		}
		rapid.Check(t, property)
		if !time.Now().Before(end) {
			return
		}
	}
}

// mustFail requires that the property notices a deliberately broken rule.
func mustFail(t *testing.T, property func(*rapid.T)) {
	defer func() { t.Logf("noticed: %.400v", recover()) }()
	check(verdict{t}, property)
	t.Fatal("the broken variant was not noticed")
}

// verdict turns the failure of a property into a panic.
type verdict struct{ testing.TB }

func (verdict) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

package quota

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.nofailfile", "true")
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// check runs a property with the fixed seed, and with further seeds for as
// long as RADISHLOOM_FUZZ_SECONDS says.
func check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, property)
	seconds, _ := strconv.Atoi(os.Getenv("RADISHLOOM_FUZZ_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	defer setFlag("rapid.seed", flag.Lookup("rapid.seed").Value.String())
	for seed := 1000; time.Now().Before(end) && !t.Failed(); seed += 1000 {
		t.Logf("rapid.seed=%d", seed)
		setFlag("rapid.seed", strconv.Itoa(seed))
		rapid.Check(t, property)
	}
}

// mustFail requires that the property notices a deliberately broken rule.
func mustFail(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	defer setFlag("rapid.shrinktime", flag.Lookup("rapid.shrinktime").Value.String())
	setFlag("rapid.shrinktime", "0s")
	r := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Fatal("the broken variant was not noticed")
	}
	t.Logf("noticed: %s", r.text)
}

// recorder takes the failure of a property in place of the test.
type recorder struct {
	testing.TB
	failed bool
	text   string
}

func (r *recorder) Errorf(_ string, args ...any) {
	r.failed = true
	for _, a := range args {
		if err, ok := a.(error); ok && r.text == "" {
			r.text = err.Error()
		}
	}
}
func (r *recorder) Error(...any)                 { r.failed = true }
func (r *recorder) Fatal(...any)                 { r.FailNow() }
func (r *recorder) Fatalf(f string, args ...any) { r.Errorf(f, args...); r.FailNow() }
func (r *recorder) Fail()                        { r.failed = true }
func (r *recorder) Failed() bool                 { return r.failed }
func (r *recorder) Log(...any)                   {}
func (r *recorder) Logf(string, ...any)          {}
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

type running struct {
	id      uint64
	body    string
	crashes bool
}

// crashProperty runs requests, some of which crash their endpoint, and counts
// the crashes as state/fleet does. Harmless requests must never be refused.
func crashProperty(blameAll bool) func(*rapid.T) {
	return func(t *rapid.T) {
		tracker := New()
		tracker.blameAll = blameAll
		counted := map[string]*statev1.Suspect{}
		runningOn := map[string][]running{}
		alone := map[string]int{}                // crashes by a request that ran alone
		lastSilent := map[string]time.Duration{} // time of the last request that ended silently: it may belong to a crash soon after
		now := time.Duration(0)
		id := uint64(0)
		apply := func(c Crash) {
			r := c.Report(fmt.Sprint(now), false)
			for _, f := range r.Fingerprints {
				s := counted[string(f)]
				if s == nil {
					s = &statev1.Suspect{Fingerprint: f}
					counted[string(f)] = s
				}
				if len(r.Fingerprints) == 1 {
					s.Alone++
				} else {
					s.InCompany++
				}
			}
			var list []*statev1.Suspect
			for _, s := range counted {
				list = append(list, s)
			}
			tracker.SetSuspects(list)
		}
		pickEndpoint := func(alone bool) string {
			for _, e := range []string{"e1", "e2", "e3", "e4"} {
				if rs := runningOn[e]; len(rs) == 0 || !alone && len(rs) < 3 && tracker.Judge(FingerprintOf("a", "r", []byte(rs[0].body))) != Exclusive {
					return e
				}
			}
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id++
				crashes := rapid.IntRange(0, 2).Draw(t, "crashes") == 0
				body := fmt.Sprintf("%v%d", crashes, rapid.IntRange(0, 2).Draw(t, "body"))
				f := FingerprintOf("a", "r", []byte(body))
				verdict := tracker.Judge(f)
				if verdict == Refused && !crashes {
					t.Fatalf("harmless request %s was refused", body)
				}
				if crashes && alone[body] >= 2 && verdict != Refused {
					t.Fatalf("request %s crashed %d endpoints on which it ran alone, but is not refused", body, alone[body])
				}
				e := pickEndpoint(verdict == Exclusive)
				if verdict == Refused || e == "" {
					return
				}
				tracker.Begin(e, id, f)
				runningOn[e] = append(runningOn[e], running{id, body, crashes})
			},
			"end": func(t *rapid.T) {
				now += time.Second
				e := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
				rs := runningOn[e]
				for i, r := range rs {
					if !r.crashes {
						continue
					}
					if last, any := lastSilent[e]; len(rs) == 1 && (!any || now-last > lossWindow) {
						alone[r.body]++
					}
					for j := range rs { // r and all others lose their connections in any order
						if c, crashed := tracker.Lost(now, e, rs[(i+j)%len(rs)].id); crashed {
							apply(c)
						}
					}
					delete(runningOn, e)
					return
				}
				if len(rs) == 0 {
					return
				}
				if rapid.Bool().Draw(t, "silent") {
					if _, crashed := tracker.Ended(now, e, rs[0].id); crashed {
						t.Fatal("a crash was detected without a lost connection")
					}
					lastSilent[e] = now
				} else {
					tracker.Succeeded(e, rs[0].id)
				}
				runningOn[e] = rs[1:]
			},
		})
	}
}

// Guards against refusing harmless requests, and against admitting a request that
// crashed two endpoints on which it ran alone.
func TestCrashes(t *testing.T) {
	proptest.Check(t, 100, 1, crashProperty(false))
	t.Run("blameAll", func(t *testing.T) { proptest.MustFail(t, 100, 1, crashProperty(true)) })
}

// Guards against taking a single broken connection for a crash, and against
// counting a crash as caused by one request alone when others may have caused it.
func TestNoCrash(t *testing.T) {
	tr := New()
	a, b := Fingerprint{1}, Fingerprint{2}
	tr.Begin("e", 1, a)
	tr.Begin("e", 2, b)
	if _, crashed := tr.Lost(0, "e", 1); crashed {
		t.Fatal("a crash was detected while another request was still running")
	}
	tr.MarkAlive("e")
	if _, crashed := tr.Ended(1, "e", 2); crashed {
		t.Fatal("a crash was detected although the endpoint was alive after the loss")
	}
	tr.Begin("e", 3, a)
	tr.Begin("e", 4, b)
	tr.Ended(time.Minute, "e", 4)
	c, crashed := tr.Lost(time.Minute, "e", 3)
	if !crashed || len(c.Report("x", false).Fingerprints) != 2 {
		t.Fatal("a request that ran beside another counts as alone on its endpoint")
	}
	tr.SetSuspects([]*statev1.Suspect{{Fingerprint: a[:], InCompany: 1}})
	if tr.Judge(a) != Exclusive || tr.NeedsIdleEndpoint(a) {
		t.Fatal("after one crash beside others, a request must be exclusive but not wait for an idle endpoint")
	}
	tr.SetSuspects([]*statev1.Suspect{{Fingerprint: a[:], InCompany: 5}})
	if tr.Judge(a) != Exclusive || !tr.NeedsIdleEndpoint(a) {
		t.Fatal("after several crashes beside others, a request must be exclusive on an idle endpoint")
	}
	tr.Begin("e", 5, a)
	tr.Succeeded("e", 5)
	if tr.Judge(a) != Allowed || tr.NeedsIdleEndpoint(a) {
		t.Fatal("a success did not clear the request of suspicion")
	}
}

// Guards against requests that share the beginning of their prompt, crash one endpoint
// after the other, and are never equal.
func TestRequestsWithACommonPromptAreQuarantined(t *testing.T) {
	tr := New()
	body := func(n int) []byte {
		return fmt.Appendf(nil, `{"messages":[{"role":"system","content":"deadly"},{"role":"user","content":"question %d"}]}`, n)
	}
	var suspects []*statev1.Suspect
	for n := range 6 {
		f := FingerprintOf("customer", "route", body(n))
		endpoint := fmt.Sprint("e", n)
		tr.Begin(endpoint, uint64(n), f)
		if _, crashed := tr.Lost(time.Duration(n)*time.Second, endpoint, uint64(n)); !crashed {
			t.Fatalf("the crash of %s was not detected", endpoint)
		}
		suspects = append(suspects, &statev1.Suspect{Fingerprint: f[:], Alone: 1})
		tr.SetSuspects(suspects)
	}
	if tr.Judge(FingerprintOf("customer", "route", body(6))) == Allowed {
		t.Fatal("six endpoints crashed under requests with the same system message, and the next such request runs without restriction")
	}
}

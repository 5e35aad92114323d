package quarantine

import (
	"fmt"
	"maps"
	"slices"
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
				if rs := runningOn[e]; len(rs) == 0 || !alone && len(rs) < 3 && tracker.Judge(RequestIdentity("a", "r", []byte(rs[0].body))) != Exclusive {
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
				f := RequestIdentity("a", "r", []byte(body))
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
	a, b := Identity{Request: Fingerprint{1}}, Identity{Request: Fingerprint{2}}
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
	tr.SetSuspects([]*statev1.Suspect{{Fingerprint: a.Request[:], InCompany: 1}})
	if tr.Judge(a) != Exclusive || tr.NeedsIdleEndpoint(a) {
		t.Fatal("after one crash beside others, a request must be exclusive but not wait for an idle endpoint")
	}
	tr.SetSuspects([]*statev1.Suspect{{Fingerprint: a.Request[:], InCompany: 5}})
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
	identity := func(system string, n int) Identity {
		return PromptIdentity("customer", "route", fmt.Appendf(nil, `{"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, system, n))
	}
	counted := map[Fingerprint]*statev1.Suspect{}
	count := func(f []byte) {
		s := counted[Fingerprint(f)]
		if s == nil {
			s = &statev1.Suspect{Fingerprint: f}
			counted[Fingerprint(f)] = s
		}
		s.Alone++
	}
	crash := func(n int) {
		t.Helper()
		endpoint := fmt.Sprint("e", n)
		tr.Begin(endpoint, uint64(n), identity("crashing", n))
		c, crashed := tr.Lost(time.Duration(n)*time.Second, endpoint, uint64(n))
		if !crashed {
			t.Fatalf("the crash of %s was not detected", endpoint)
		}
		report := c.Report("x", false)
		for _, f := range slices.Concat(report.GetFingerprints(), report.GetBeginnings()) {
			count(f)
		}
		tr.SetSuspects(slices.Collect(maps.Values(counted)))
	}
	crash(0)
	if tr.Judge(identity("crashing", 1)) != Allowed {
		t.Fatal("after one crash, other requests with the same system message are restricted")
	}
	crash(1)
	if tr.Judge(identity("crashing", 2)) != Refused {
		t.Fatal("two endpoints crashed under requests with the same system message, and the next such request is not refused")
	}
	if tr.Judge(identity("harmless", 2)) != Allowed {
		t.Fatal("a request with another system message is restricted")
	}
}

// Guards against refusing the harmless requests that share the beginning of their
// prompt with one that crashes endpoints: the completion of one of them clears it at
// this entry, and is to be reported to the others.
func TestCompletedRequestsClearTheBeginningOfTheirPrompt(t *testing.T) {
	tr := New()
	harmless := PromptIdentity("customer", "route", []byte(`{"messages":[{"content":"common"},{"content":"a"}]}`))
	crashing := PromptIdentity("customer", "route", []byte(`{"messages":[{"content":"common"},{"content":"b"}]}`))
	tr.Begin("e", 1, harmless)
	tr.SetSuspects([]*statev1.Suspect{{Fingerprint: crashing.Request[:], Alone: 2}, {Fingerprint: crashing.Beginnings[0][:], InCompany: 2}})
	if tr.Judge(harmless) != Exclusive || !tr.NeedsIdleEndpoint(harmless) || !tr.Suspected(harmless) {
		t.Fatal("after two crashes beside others, a request with the common beginning does not wait for an idle endpoint")
	}
	cleared := tr.Succeeded("e", 1)
	if len(cleared.GetFingerprints()) != 1 || Fingerprint(cleared.GetFingerprints()[0]) != crashing.Beginnings[0] {
		t.Fatalf("cleared %v, want the common beginning", cleared)
	}
	if tr.Judge(harmless) != Allowed || tr.Judge(crashing) != Refused {
		t.Fatalf("harmless %v, crashing %v", tr.Judge(harmless), tr.Judge(crashing))
	}
	tr.Begin("e", 2, harmless)
	if again := tr.Succeeded("e", 2); again != nil {
		t.Fatalf("a beginning that is cleared already is reported again: %v", again)
	}
}

// Guards against identities that confuse beginnings with requests, and against blame
// for the last message, which is different in each request.
func TestBeginningsLeaveOutTheLastMessage(t *testing.T) {
	of := func(customer, body string) Identity { return PromptIdentity(customer, "route", []byte(body)) }
	three := of("a", `{"messages":[{"content":"x"},{"content":"y"},{"content":"z"}]}`)
	two := of("a", `{"messages":[{"content":"x"},{"content":"y"}]}`)
	if len(three.Beginnings) != 2 || len(two.Beginnings) != 1 || three.Beginnings[0] != two.Beginnings[0] {
		t.Fatalf("beginnings %x and %x", three.Beginnings, two.Beginnings)
	}
	if other := of("b", `{"messages":[{"content":"x"},{"content":"y"}]}`); other.Beginnings[0] == two.Beginnings[0] {
		t.Fatal("two customers share a beginning")
	}
	for _, body := range []string{"", "{", `{"messages":"x"}`, `{"messages":[{"content":"x"}]}`} {
		if q := of("a", body); len(q.Beginnings) != 0 {
			t.Fatalf("body %q has beginnings %x", body, q.Beginnings)
		}
	}
}

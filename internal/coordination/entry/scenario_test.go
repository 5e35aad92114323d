package entry

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// runScenario runs a scenario in a synctest bubble, that is on a fake clock. No rule
// of the server is broken.
func runScenario(t *testing.T, c *statev1.Config, f func(t *testing.T, w *fixture)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		w := newFixture(1, c, faults{})
		time.Sleep(time.Second)
		f(t, w)
		w.stop()
		synctest.Wait()
		for _, v := range w.violations {
			t.Error(v)
		}
	})
}

func want(t *testing.T, what string, got, wanted any) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}

// Guards against a wrong result code for a refusal at admission, and against a wrong
// charge: generated tokens are charged and the rest of the hold is released.
func TestAdmission(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		ctx := context.Background()
		code := func(r *Request) resultcode.Code { _, c := w.serve(ctx, r); return c }
		r := w.request("1", "chat", "a", "x")
		r.Stream, r.PromptTokens, r.MaxTokens = true, 10, 20
		want(t, "stream", code(r), resultcode.OK)
		want(t, "charged", w.replica.charged["a"], uint64(20))
		want(t, "level", w.replica.level["a"], uint64(980))
		r.ID, r.MaxTokens = "1b", 2000
		want(t, "too large", code(r), resultcode.LargerThanBurst)
		r = w.request("2", "chat", "a", "x")
		r.Model = "other"
		want(t, "model", code(r), resultcode.ModelUnknown)
		r.Key = ""
		want(t, "no key", code(r), resultcode.KeyMissing)
		r.Key = "rl_a_wrong"
		want(t, "wrong key", code(r), resultcode.KeyUnknown)
		want(t, "no route", code(&Request{Route: &statev1.Route{Name: "gone"}}), resultcode.NoRoute)
		w.server.Drain(true)
		want(t, "draining", code(w.request("3", "open", "", "x")), resultcode.Draining)
		want(t, "ready", w.server.Ready(), false)
		w.server.Drain(false)
		w.replica.setFresh(false)
		time.Sleep(time.Millisecond)
		want(t, "expired lease", code(w.request("4", "read", "a", "x")), resultcode.NoFreshState)
		want(t, "open route", code(w.request("5", "open", "", "x")), resultcode.OK)
		time.Sleep(2 * time.Second)
		want(t, "demand", withLock(w.replica, func() uint32 { return w.replica.requestsSeen }), uint32(1))
	})
}

// Guards against requests that are taken while the process stops, passed on and cut off
// at its end. Deadlines are 30 s and 5 s.
func TestStopRefusesRequestsThatMayBeCut(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		code := func(id, route, key string) resultcode.Code {
			r := w.request(id, route, "a", id)
			r.IdempotencyKey = key
			_, c := w.serve(context.Background(), r)
			return c
		}
		const untilClosed, grace = 2 * time.Second, 20 * time.Second
		w.server.BeginStop(untilClosed, grace)
		want(t, "idempotent, listener open", code("1", "read", ""), resultcode.OK)
		want(t, "with a key, listener open", code("2", "pay", "k2"), resultcode.OK)
		want(t, "may not be repeated, listener open", code("3", "pay", ""), resultcode.Draining)
		time.Sleep(untilClosed)
		want(t, "idempotent, listener closed", code("4", "read", ""), resultcode.Draining)
		want(t, "with a key, listener closed", code("5", "pay", "k5"), resultcode.Draining)
		want(t, "deadline before the end", code("6", "urgent", ""), resultcode.OK)
		want(t, "runs of refused requests", w.runsByBody["a:3"]+w.runsByBody["a:4"]+w.runsByBody["a:5"], 0)
	})
}

// Guards against requests that are served out of order when they wait for tokens, or
// refused before their deadline although the customer's rate could serve them.
func TestTokensWait(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.replica.level["a"] = 0
		began := time.Now()
		var order []string
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				r := w.request(fmt.Sprint(i), "chat", "a", fmt.Sprint(i))
				r.MaxTokens = 100
				_, code := w.serve(context.Background(), r)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(i, code))
			})
		}
		time.Sleep(5 * time.Second)
		w.replica.grant("a", 100)
		time.Sleep(5 * time.Second)
		w.replica.grant("a", 5) // 100 with what the first request did not use
		all.Wait()
		want(t, "order", fmt.Sprint(order), fmt.Sprint([]string{"0 ok", "1 ok", "2 rate_exceeded"}))
		want(t, "waited", time.Since(began).Round(time.Second), 30*time.Second)
	})
}

// Guards against a repeated request that runs again instead of getting the stored
// response, plain or streamed, against an idempotency key that is accepted with a
// different body, and against a call that stops when its caller disconnects.
func TestClaims(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.runTime = time.Second
		for _, name := range []string{"pay", "once"} {
			r := w.request(name, name, "a", name)
			r.IdempotencyKey, r.Stream = "k", name == "once"
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, code := w.serve(ctx, r)
			cancel()
			want(t, "disconnected", code, resultcode.CallerGone)
			_, code = w.serve(context.Background(), r)
			want(t, "running", code, resultcode.ClaimRunning)
			want(t, "open while draining", w.server.Drain(true), 1)
			time.Sleep(2 * time.Second)
			want(t, "open at the end", w.server.Drain(false), 0)
			r.ID = name + "again"
			_, code = w.serve(context.Background(), r)
			want(t, "replayed", code, resultcode.OK)
			want(t, "runs", w.runsByBody[string(r.Body)], 1)
			r.Body = []byte("a:other")
			_, code = w.serve(context.Background(), r)
			want(t, "other body", code, resultcode.ClaimBodyDiffers)
		}
	})
}

// Guards against a send with a claim that is older than the claim window. The second
// request waits 12 s for an endpoint and must claim again before it is sent.
func TestClaimWindow(t *testing.T) {
	c := testConfig()
	c.Endpoints = c.Endpoints[:3]
	c.Endpoints[2].Slots = 1
	c.Profiles[0].SilenceMs = 60000
	runScenario(t, c, func(t *testing.T, w *fixture) {
		w.runTime = 12 * time.Second
		var proposals atomic.Int32
		w.replica.proposalFault = func() string { proposals.Add(1); return "" }
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				r := w.request(fmt.Sprint(i), "pay", "a", fmt.Sprint("pay", i))
				r.IdempotencyKey = fmt.Sprint(i)
				_, code := w.serve(context.Background(), r)
				want(t, "code", code, resultcode.OK)
			})
		}
		both.Wait()
		want(t, "proposals", proposals.Load(), int32(6)) // begin and finish twice, and once more to claim again
	})
}

// Guards against a stream that continues after its key was withdrawn. A plain call
// runs to completion.
func TestWithdrawnKey(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.runTime = time.Second
		w.streamFaults = []string{"silent"} // resumed again and again
		time.AfterFunc(500*time.Millisecond, func() { w.replica.setKey("a", false) })
		var both sync.WaitGroup
		for name, wanted := range map[string]resultcode.Code{"chat": resultcode.KeyWithdrawnMidStream, "read": resultcode.OK} {
			both.Go(func() {
				r := w.request(name, name, "a", name)
				r.Stream = name == "chat"
				_, code := w.serve(context.Background(), r)
				want(t, name, code, wanted)
			})
		}
		both.Wait()
	})
}

// Guards against a request that crashes endpoints again and again: after two crashes
// in which it ran alone it is refused and not sent again. Also guards against
// requests to a leaving endpoint.
func TestQuarantineAndLeaving(t *testing.T) {
	t.Run("crash", func(t *testing.T) { quarantineAndLeaving(t, "crash") })
	t.Run("restarts at once", func(t *testing.T) { quarantineAndLeaving(t, "reset") })
}

func quarantineAndLeaving(t *testing.T, fault string) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.fakePorts.faults = []string{fault}
		r := w.request("1", "read", "a", "x")
		_, code := w.serve(context.Background(), r)
		want(t, "crash", code, resultcode.EndpointLost)
		want(t, "runs", w.runsByBody[string(r.Body)], 2)
		time.Sleep(5 * time.Second)
		suspects := w.replica.Suspects() // with a placeholder for other requests that may have run there
		reports := 0
		for _, s := range suspects {
			if bytes.Equal(s.Fingerprint, suspects[0].Fingerprint) {
				reports++
			}
		}
		want(t, "reports", reports, 2)
		alone := &statev1.Suspect{Fingerprint: suspects[0].Fingerprint, Alone: 2}
		withLock(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{alone}; return true })
		time.Sleep(time.Second)
		r.ID = "2"
		_, code = w.serve(context.Background(), r)
		want(t, "quarantined", code, resultcode.RequestCrashes)
		w.mu.Lock()
		w.fakePorts.faults = nil
		w.mu.Unlock()
		w.mu.Lock()
		w.leaving = map[string]bool{"127.0.0.1:3": true, "127.0.0.1": false}
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i := range 20 {
			_, code = w.serve(context.Background(), w.request(fmt.Sprint("l", i), "read", "b", fmt.Sprint(i)))
			want(t, "served", code, resultcode.OK)
		}
		for _, st := range w.server.Endpoints() {
			want(t, st.Name+" leaving", st.State.String() == "leaving", st.Name == "s1")
		}
	})
}

// Guards against a request that crashes endpoints but is never refused, because
// several crashes of an endpoint that restarts quickly count as one.
func TestIsolatedCrashes(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.fakePorts.faults = []string{"crash"}
		r := w.request("1", "read", "a", "x")
		w.serve(context.Background(), r)
		time.Sleep(5 * time.Second)
		weak := &statev1.Suspect{Fingerprint: w.replica.Suspects()[0].Fingerprint, InCompany: 2}
		withLock(w.replica, func() bool { w.replica.crashes = nil; return true })
		for i := range 2 {
			withLock(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{weak}; return true })
			time.Sleep(time.Second)
			r.ID = fmt.Sprint("again", i)
			w.serve(context.Background(), r)
			time.Sleep(5 * time.Second)
		}
		crashes := withLock(w.replica, func() []string { return slices.Clone(w.replica.crashes) })
		want(t, "runs", len(crashes), w.runsByBody[string(r.Body)]-2)
		slices.Sort(crashes)
		want(t, "different crashes", len(slices.Compact(crashes)), w.runsByBody[string(r.Body)]-2)
	})
}

// Guards against requests with one system message that crash endpoints and are never
// equal: the next one must be refused. Also guards against blame for a system message
// with which a request completes.
func TestQuarantineOfACommonPrompt(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		request := func(id, system string) *Request {
			r := w.request(id, "chat", "a", id)
			r.Body = fmt.Appendf(nil, `{"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, system, id)
			return r
		}
		beginning := func(system string) []byte {
			c, err := w.server.resolve(request("probe", system))
			if err != nil {
				t.Fatal(err)
			}
			return c.suspect.Beginnings[0][:]
		}
		w.replica.setSuspects(&statev1.Suspect{Fingerprint: beginning("crashing"), Alone: 2}, &statev1.Suspect{Fingerprint: beginning("harmless"), InCompany: 2})
		time.Sleep(time.Second)
		_, code := w.serve(context.Background(), request("1", "crashing"))
		want(t, "crashing", code, resultcode.RequestCrashes)
		_, code = w.serve(context.Background(), request("2", "harmless"))
		want(t, "harmless", code, resultcode.OK)
		time.Sleep(time.Second)
		cleared := withLock(w.replica, func() [][]byte { return w.replica.cleared })
		want(t, "cleared", fmt.Sprintf("%x", cleared), fmt.Sprintf("%x", [][]byte{beginning("harmless")}))
	})
}

// Guards against a request that is sent although identical requests crashed
// endpoints while it waited, so that it would be refused now.
func TestQuarantineWhileWaiting(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.runTime = time.Second
		r := w.request("p", "read", "a", "x")
		c, err := w.server.resolve(r)
		if err != nil {
			t.Fatal(err)
		}
		want(t, "verdict", w.server.checkQuarantine(c), nil)
		setSuspect := func(alone, withOthers uint32) {
			s := &statev1.Suspect{Fingerprint: c.suspect.Request[:], Alone: alone, InCompany: withOthers}
			withLock(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{s}; return true })
			time.Sleep(200 * time.Millisecond)
		}
		setSuspect(0, 2)
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() { w.serve(context.Background(), w.request(fmt.Sprint(i), "read", "b", fmt.Sprint(i))) })
		}
		time.Sleep(time.Millisecond)
		all.Go(func() {
			_, code := w.serve(context.Background(), r)
			want(t, "code", code, resultcode.RequestCrashes)
		})
		setSuspect(2, 0)
		all.Wait()
		want(t, "runs", w.runsByBody[string(r.Body)], 0)
	})
}

// Guards against urgent requests that wait behind a backlog of others, although a
// share of the slots is reserved for them.
func TestReservedShare(t *testing.T) {
	runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
		w.runTime = time.Second
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() { w.serve(context.Background(), w.request(fmt.Sprint(i), "chat", "a", fmt.Sprint(i))) })
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		_, code := w.serve(context.Background(), w.request("u", "urgent", "b", "u"))
		want(t, "code", code, resultcode.OK)
		want(t, "took", time.Since(began), time.Second)
		all.Wait()
	})
}

// fairShareProperty lets customer a send five times its share of 2 requests/s while
// customer b sends exactly its share, and checks that b is served without long waits.
func fairShareProperty(tt *testing.T, broken faults) func(*rapid.T) {
	return func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		served, slowest := 0, time.Duration(0)
		virtualtime.Test(tt, func(*testing.T) {
			c := testConfig()
			c.Profiles = c.Profiles[:1] // nothing is reserved
			w := newFixture(seed|1, c, broken)
			w.replica.grant("a", 10000)
			w.runTime = time.Second // 2 engines with 2 slots: 4 requests/s
			var mu sync.Mutex
			var all sync.WaitGroup
			send := func(customer string, n int, gap time.Duration) {
				for i := range n {
					time.Sleep(gap)
					all.Go(func() {
						began := time.Now()
						r := w.request(fmt.Sprint(customer, i), "chat", customer, fmt.Sprint(i))
						r.MaxTokens = 5
						_, code := w.serve(context.Background(), r)
						mu.Lock()
						defer mu.Unlock()
						if customer == "b" && code == resultcode.OK {
							served++
							slowest = max(slowest, time.Since(began))
						}
					})
				}
			}
			all.Go(func() { send("a", 600, 100*time.Millisecond) })
			all.Go(func() { send("b", 120, 500*time.Millisecond) })
			all.Wait()
			w.finish()
		})
		if served < 120 || slowest > 3*time.Second {
			t.Fatalf("%d of 120 requests of customer b were served, the slowest in %v", served, slowest)
		}
		tt.Logf("seed %d: %d of 120 requests of customer b were served, the slowest in %v", seed, served, slowest)
	}
}

// Guards against a customer that stays within its share but is starved by another one
// that sends five times its own.
func TestCustomerFairShare(t *testing.T) {
	proptest.Check(t, 5, 1, fairShareProperty(t, faults{}))
	t.Run("ignoreCustomer", func(t *testing.T) { proptest.MustFail(t, 5, 1, fairShareProperty(t, faults{ignoreCustomer: true})) })
}

// Guards against an entry that polls too many endpoints of a large fleet, and against
// endpoints that no entry polls.
func TestPolledEndpoints(t *testing.T) {
	index := config.NewIndex(size{470, 890, 1}.config())
	polled := map[string]bool{}
	for i := range 420 {
		s := &Server{config: Config{VM: fmt.Sprint("vm", i)}}
		endpoints := s.polledEndpoints(index)
		want(t, "endpoints polled by one entry", len(endpoints), maxPolled)
		for _, e := range endpoints {
			polled[e.Name] = true
		}
	}
	want(t, "endpoints polled by all entries", len(polled), 890)
}

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
)

// bubble runs a scenario without faults against a fake clock.
func bubble(t *testing.T, c *statev1.Config, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, c, faults{})
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

// Guards the code of each refusal at admission, and that tokens are charged as
// they are generated and the rest returns.
func TestAdmission(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
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
		want(t, "lapsed", code(w.request("4", "read", "a", "x")), resultcode.NoFreshState)
		want(t, "open route", code(w.request("5", "open", "", "x")), resultcode.OK)
		time.Sleep(2 * time.Second)
		want(t, "demand", with(w.replica, func() uint32 { return w.replica.demanded }), uint32(1))
	})
}

// Guards waiting for tokens: a request inside the rate waits in order, and is
// refused only when its deadline ends.
func TestTokensWait(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
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

// Guards replays: a repeat gets the first answer, plain or streamed, another
// body is refused, and a caller that leaves does not stop the call.
func TestClaims(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.took = time.Second
		for _, name := range []string{"pay", "once"} {
			r := w.request(name, name, "a", name)
			r.IdempotencyKey, r.Stream = "k", name == "once"
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, code := w.serve(ctx, r)
			cancel()
			want(t, "left", code, resultcode.CallerGone)
			_, code = w.serve(context.Background(), r)
			want(t, "running", code, resultcode.ClaimRunning)
			want(t, "open while draining", w.server.Drain(true), 1)
			time.Sleep(2 * time.Second)
			want(t, "open at the end", w.server.Drain(false), 0)
			r.ID = name + "again"
			_, code = w.serve(context.Background(), r)
			want(t, "replayed", code, resultcode.OK)
			want(t, "runs", w.runs[string(r.Body)], 1)
			r.Body = []byte("a:other")
			_, code = w.serve(context.Background(), r)
			want(t, "other body", code, resultcode.ClaimBodyDiffers)
		}
	})
}

// Guards that a claim older than the send window is not used: the request
// waits 12 s for an endpoint and must claim again before it is sent.
func TestClaimWindow(t *testing.T) {
	c := testConfig()
	c.Endpoints = c.Endpoints[:3]
	c.Endpoints[2].Slots = 1
	c.Profiles[0].SilenceMs = 60000
	bubble(t, c, func(t *testing.T, w *world) {
		w.took = 12 * time.Second
		var proposals atomic.Int32
		w.replica.loss = func() string { proposals.Add(1); return "" }
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

// Guards that a stream ends when its key is withdrawn, and that a plain call
// runs to its end.
func TestWithdrawn(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.took = time.Second
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

// Guards against a request that crashes endpoints: it is refused after two
// crashes alone, and no endpoint sees it again. A leaving endpoint gets
// nothing.
func TestPoisonAndLeaving(t *testing.T) {
	t.Run("crash", func(t *testing.T) { poisonAndLeaving(t, "crash") })
	t.Run("restarts at once", func(t *testing.T) { poisonAndLeaving(t, "reset") })
}

func poisonAndLeaving(t *testing.T, fault string) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.fakePorts.faults = []string{fault}
		r := w.request("1", "read", "a", "x")
		_, code := w.serve(context.Background(), r)
		want(t, "crash", code, resultcode.EndpointLost)
		want(t, "runs", w.runs[string(r.Body)], 2)
		time.Sleep(5 * time.Second)
		suspects := w.replica.Suspects() // with a stand-in for what else may have run there
		named := 0
		for _, s := range suspects {
			if bytes.Equal(s.Fingerprint, suspects[0].Fingerprint) {
				named++
			}
		}
		want(t, "reports", named, 2)
		alone := &statev1.Suspect{Fingerprint: suspects[0].Fingerprint, Alone: 2}
		with(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{alone}; return true })
		time.Sleep(time.Second)
		r.ID = "2"
		_, code = w.serve(context.Background(), r)
		want(t, "poison", code, resultcode.RequestCrashes)
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

// Guards against a poison request that is never refused because an endpoint that
// restarts soon counts as crashed once.
func TestIsolatedCrashes(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.fakePorts.faults = []string{"crash"}
		r := w.request("1", "read", "a", "x")
		w.serve(context.Background(), r)
		time.Sleep(5 * time.Second)
		weak := &statev1.Suspect{Fingerprint: w.replica.Suspects()[0].Fingerprint, InCompany: 2}
		with(w.replica, func() bool { w.replica.crashes = nil; return true })
		for i := range 2 {
			with(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{weak}; return true })
			time.Sleep(time.Second)
			r.ID = fmt.Sprint("again", i)
			w.serve(context.Background(), r)
			time.Sleep(5 * time.Second)
		}
		crashes := with(w.replica, func() []string { return slices.Clone(w.replica.crashes) })
		want(t, "runs", len(crashes), w.runs[string(r.Body)]-2)
		slices.Sort(crashes)
		want(t, "different crashes", len(slices.Compact(crashes)), w.runs[string(r.Body)]-2)
	})
}

// Guards against a poison request that waits while others like it crash
// endpoints, and runs although it would be refused by now.
func TestWaitingPoison(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.took = time.Second
		r := w.request("p", "read", "a", "x")
		c, err := w.server.resolve(r)
		if err != nil {
			t.Fatal(err)
		}
		want(t, "verdict", w.server.judge(c), nil)
		suspect := func(alone, company uint32) {
			s := &statev1.Suspect{Fingerprint: c.fingerprint[:], Alone: alone, InCompany: company}
			with(w.replica, func() bool { w.replica.suspects = []*statev1.Suspect{s}; return true })
			time.Sleep(200 * time.Millisecond)
		}
		suspect(0, 2)
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() { w.serve(context.Background(), w.request(fmt.Sprint(i), "read", "b", fmt.Sprint(i))) })
		}
		time.Sleep(time.Millisecond)
		all.Go(func() {
			_, code := w.serve(context.Background(), r)
			want(t, "code", code, resultcode.RequestCrashes)
		})
		suspect(2, 0)
		all.Wait()
		want(t, "runs", w.runs[string(r.Body)], 0)
	})
}

// Guards urgent requests against a backlog of others: their reserved share of
// the slots is free, so that they start at once.
func TestReservedShare(t *testing.T) {
	bubble(t, testConfig(), func(t *testing.T, w *world) {
		w.took = time.Second
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

// shareProperty has customer a send five times its share of 2 requests/s, and
// returns how b fares with its own share.
func shareProperty(tt *testing.T, broken faults) func(*rapid.T) {
	return func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		served, worst := 0, time.Duration(0)
		synctest.Test(tt, func(*testing.T) {
			c := testConfig()
			c.Profiles = c.Profiles[:1] // nothing is reserved
			w := newWorld(seed|1, c, broken)
			w.replica.grant("a", 10000)
			w.took = time.Second // 2 engines with 2 slots: 4 requests/s
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
							worst = max(worst, time.Since(began))
						}
					})
				}
			}
			all.Go(func() { send("a", 600, 100*time.Millisecond) })
			all.Go(func() { send("b", 120, 500*time.Millisecond) })
			all.Wait()
			w.finish()
		})
		if served < 120 || worst > 3*time.Second {
			t.Fatalf("of 120 requests of b %d were served, the slowest in %v", served, worst)
		}
		tt.Logf("seed %d: of 120 requests of b %d were served, the slowest in %v", seed, served, worst)
	}
}

// Guards the service of a customer that stays within its share while another
// one sends five times its own.
func TestWorstShare(t *testing.T) {
	proptest.Check(t, 5, 1, shareProperty(t, faults{}))
	t.Run("ignoreCustomer", func(t *testing.T) { proptest.MustFail(t, 5, 1, shareProperty(t, faults{ignoreCustomer: true})) })
}

// Guards the polling of a large fleet: each entry asks few endpoints, and all
// entries together leave none out.
func TestPolledSubset(t *testing.T) {
	index := config.NewIndex(size{470, 890, 1}.config())
	asked := map[string]bool{}
	for i := range 420 {
		s := &Server{config: Config{VM: fmt.Sprint("vm", i)}}
		endpoints := s.polled(index)
		want(t, "endpoints of one entry", len(endpoints), maxPolled)
		for _, e := range endpoints {
			asked[e.Name] = true
		}
	}
	want(t, "endpoints of all entries", len(asked), 890)
}

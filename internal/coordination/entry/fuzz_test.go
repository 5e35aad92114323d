package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// fixture is a Server with its fakes. It is used inside a synctest bubble.
type fixture struct {
	*fakePorts
	server *Server
	stop   context.CancelFunc
}

func newFixture(seed uint64, c *statev1.Config, broken faults) *fixture {
	replica := newFakeReplica(c)
	ports := newFakePorts(replica, seed)
	s, err := New(Config{
		VM: "vm", Engine: ports, Service: fakeService{ports}, Platform: ports, Replica: replica, Seed: seed,
		MaxQueue: []int{3, 300}[seed%2], // with the short queue, waiting requests are evicted
	})
	if err != nil {
		panic(err)
	}
	s.faults = broken
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	return &fixture{fakePorts: ports, server: s, stop: stop}
}

// request returns a request that carries the key in every place where a route may
// accept it, as if the protocol layer had not removed it.
func (w *fixture) request(id, route, customer, body string) *Request {
	r := &Request{ID: id, Route: w.server.Index().Route(route), Body: []byte(customer + ":" + body), Path: "/x", Method: "POST", Header: http.Header{}}
	if customer != "" {
		secret := secretOf(customer)
		r.Key = secret
		r.RawQuery = "q=1&key=" + secret
		r.Header = http.Header{"Authorization": {"Bearer " + secret}, "X-Key": {secret}, "Cookie": {"c=1; key=" + secret}}
	}
	return r
}

// serve sends a request and checks the invariants of its response.
func (w *fixture) serve(ctx context.Context, r *Request) (*recorder, resultcode.Code) {
	out := &recorder{}
	code := resultcode.Of(w.server.Serve(ctx, r, out))
	body := string(r.Body)
	switch {
	case code == resultcode.OK && !out.complete(body, r.Stream):
		w.violation("%s got the wrong or incomplete response %q %q", body, out.body.String(), out.events)
	case !out.isPrefix(body, r.Stream):
		w.violation("%s got %q %q, which is not the beginning of its response", body, out.body.String(), out.events)
	case code == resultcode.Internal:
		w.violation("%s ended with an internal error", body)
	}
	w.mu.Lock()
	runs := w.runsByRequest[r.ID]
	w.mu.Unlock()
	if code != resultcode.OK && code.Info().Run == resultcode.NotRun && (runs > 0 || out.status != 0) {
		w.violation("%s ran %d times, but its result code says that it did not run (%v)", body, runs, code)
	}
	if runs > 1 && !r.Route.Idempotent {
		w.violation("non-idempotent %s was sent %d times", body, runs)
	}
	return out, code
}

// runCaller sends a few requests. Some repeat another one with the same idempotency
// key, and some are cancelled by their caller.
func (w *fixture) runCaller(number int, rng *rand.Rand) {
	customer := []string{"a", "b"}[rng.IntN(2)]
	for i := range 4 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		name := []string{"chat", "urgent", "once", "open", "read", "pay", "pay"}[rng.IntN(7)]
		who := customer
		if name == "open" {
			who = ""
		}
		r := w.request(fmt.Sprintf("r%d-%d", number, i), name, who, fmt.Sprintf("%d-%d", number, i))
		if r.Route.Kind == statev1.RouteKind_ROUTE_KIND_MODEL {
			r.Stream = rng.IntN(2) == 0
			r.PromptTokens, r.MaxTokens = 10, 50
			r.Model = []string{"", "m", "lora1", "lora2"}[rng.IntN(4)]
		}
		if !r.Route.Idempotent && rng.IntN(4) > 0 {
			// The key is shared with the callers whose number is equal modulo 3.
			r.IdempotencyKey = fmt.Sprintf("k%d-%d-%v", number%3, i, r.Stream)
			r.Body = fmt.Appendf(nil, "%s:%s%s", who, name, r.IdempotencyKey)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if rng.IntN(4) == 0 {
			time.AfterFunc(time.Duration(rng.IntN(300))*time.Millisecond, cancel)
		}
		w.serve(ctx, r)
		cancel()
	}
}

// disrupt lets the freshness lease expire, withdraws keys, ends sessions and
// announces leaving endpoints.
func (w *fixture) disrupt(rng *rand.Rand) {
	for range 6 {
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		customer := []string{"a", "b"}[rng.IntN(2)]
		w.replica.grant(customer, 50)
		switch rng.IntN(4) {
		case 0:
			w.replica.setFresh(false)
			time.Sleep(300 * time.Millisecond)
			w.replica.setFresh(true)
		case 1:
			w.replica.setKey(customer, false)
			time.Sleep(300 * time.Millisecond)
			w.replica.setKey(customer, true)
		case 2:
			w.replica.endSession()
		case 3:
			w.mu.Lock()
			w.leaving = map[string]bool{"127.0.0.1:1": rng.IntN(2) == 0}
			w.mu.Unlock()
		}
	}
}

// serveProperty runs callers against fakes that inject faults, and fails on any
// violation of an invariant.
func serveProperty(tt *testing.T, broken faults) func(*rapid.T) {
	return func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		tokens := rapid.SampledFrom([]uint64{100, 1000}).Draw(t, "tokens")
		faultFree := rapid.IntRange(1, 12).Draw(t, "fault-free")
		faults := append(make([]string, faultFree), "refuse", "unreachable", "crash", "mismatch", "hang", "late", "cut", "long", "long")
		proposalFaults := append(make([]string, faultFree), "lost", "late", "unanswered", "leaderless")
		var violations []string
		virtualtime.Test(tt, func(*testing.T) {
			w := newFixture(seed, testConfig(), broken)
			w.fakePorts.faults = faults
			for _, customer := range []string{"a", "b"} {
				w.replica.level[customer], w.replica.granted[customer] = tokens, tokens
			}
			w.runTime = 60 * time.Millisecond // long enough for callers to disconnect meanwhile
			w.streamFaults = append(make([]string, 4*faultFree), "silent", "cut", "end", "gap")
			w.replica.proposalFault = func() string { return w.draw(proposalFaults) }
			var callers sync.WaitGroup
			for i := range 12 {
				callers.Go(func() { w.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			callers.Go(func() { w.disrupt(rand.New(rand.NewPCG(seed, 99))) })
			callers.Wait()
			time.Sleep(time.Minute) // lets calls without a caller end and claims be committed
			w.finish()
			violations = w.violations
		})
		if len(violations) > 0 {
			t.Fatalf("%s", strings.Join(violations, "; "))
		}
	}
}

// finish stops the server and checks that no request, slot, token or claim is left
// behind.
func (w *fixture) finish() {
	w.stop()
	synctest.Wait()
	for body, n := range w.runsByBody {
		_, text, _ := strings.Cut(body, ":")
		if (strings.HasPrefix(text, "pay") || strings.HasPrefix(text, "once")) && n > 1 {
			w.violation("%s ran %d times with its idempotency key", body, n)
		}
	}
	if open := w.server.Drain(true); open != 0 {
		w.violation("%d requests are still counted as open", open)
	}
	for _, st := range w.server.Endpoints() {
		if st.InFlight != 0 {
			w.violation("%d requests are still counted at %s", st.InFlight, st.Name)
		}
	}
	for customer, level := range w.replica.level {
		if charged, granted := w.replica.charged[customer], w.replica.granted[customer]; level+charged != granted {
			w.violation("%d of %d tokens of customer %s are left, but %d were charged", level, granted, customer, charged)
		}
	}
	for _, c := range w.replica.claims.Save().Claims {
		if c.State == statev1.ClaimState_CLAIM_STATE_RUNNING {
			w.violation("claim %v was never finished", c.Key)
		}
	}
}

// Guards the promises P3, P4, P7, P8 and P9 under random faults: a successful
// response is complete and belongs to the request, a "not run" code is true,
// non-idempotent requests run at most once, keys are not forwarded, nothing is sent
// without a valid key and freshness lease, and no request, token or claim leaks.
func TestServeFuzz(t *testing.T) {
	proptest.Check(t, 100, 1, serveProperty(t, faults{}))
	for name, broken := range map[string]faults{
		"sendUnconfirmed": {sendUnconfirmed: true},
		"skipRecheck":     {skipRecheck: true},
		"forgetUncertain": {forgetUncertain: true},
		"blindResume":     {blindResume: true},
		"keepKeys":        {keepKeys: true},
		"cancelClaimed":   {cancelClaimed: true},
	} {
		t.Run(name, func(t *testing.T) { proptest.MustFail(t, 100, 1, serveProperty(t, broken)) })
	}
}

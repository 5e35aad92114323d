package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/retry"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// serveLost serves a request of a route whose first attempt runs for a second and is then
// lost. Within that second it calls change. It returns the result code of the request.
func serveLost(t *testing.T, route string, broken faults, change func(w *fixture, cancel func())) (code resultcode.Code) {
	c := testConfig()
	for i := range c.Endpoints {
		c.Endpoints[i].DataCentre = fmt.Sprint("dc", i%2)
	}
	virtualtime.Test(t, func(t *testing.T) {
		w := newFixture(2, c, broken) // with a short queue
		time.Sleep(time.Second)
		w.runTime = time.Second
		w.setFaults("reset")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		time.AfterFunc(500*time.Millisecond, func() { change(w, cancel) })
		r := w.request("1", route, "a", "1")
		r.PromptTokens, r.MaxTokens = 1, 1
		code = resultcode.Of(w.server.Serve(ctx, r, &recorder{}))
		w.mu.Lock()
		if w.runsByRequest["1"] != 1 {
			t.Errorf("the request ran %d times", w.runsByRequest["1"])
		}
		w.mu.Unlock()
		time.Sleep(time.Minute) // other requests end
		w.stop()
		synctest.Wait()
	})
	return code
}

// Guards against a request that may have run at its first endpoint and then ends with a
// code that says it has not run, in each way that it can end. With the defect
// forgetUncertain, a later refusal is not replaced, which shows that it is one.
func TestPossibleRunOutlivesEveryEnd(t *testing.T) {
	fillQueue := func(w *fixture) {
		w.setFaults()
		for i := range 250 {
			time.AfterFunc(time.Duration(i)*4*time.Millisecond, func() {
				for _, route := range []string{"chat", "read"} {
					r := w.request(fmt.Sprint("other", i), route, "a", fmt.Sprint("other", i))
					r.PromptTokens, r.MaxTokens = 1, 1
					_ = w.server.Serve(context.Background(), r, &recorder{})
				}
			})
		}
	}
	for name, test := range map[string]struct {
		change func(w *fixture, cancel func())
		// notRun is set if the last refusal alone says that the request has not run.
		notRun bool
	}{
		"refused by the next": {func(w *fixture, _ func()) { w.setFaults("refuse") }, true},
		"next unreachable":    {func(w *fixture, _ func()) { w.setFaults("unreachable") }, true},
		"key withdrawn":       {func(w *fixture, _ func()) { w.replica.setKey("a", false) }, true},
		"no fresh state":      {func(w *fixture, _ func()) { w.replica.setFresh(false) }, true},
		"evacuated":           {func(w *fixture, _ func()) { w.replica.evacuate("dc0", "dc1") }, false},
		"full queue":          {func(w *fixture, _ func()) { fillQueue(w) }, true},
		"retry budget spent": {func(w *fixture, _ func()) {
			w.setFaults("refuse")
			w.server.retries.mu.Lock()
			defer w.server.retries.mu.Unlock()
			for _, pool := range []string{modelGroup("m"), "service:web"} {
				key := retry.BudgetKey{Customer: "a", Pool: pool}
				for range 9 { // one of ten is left
					w.server.retries.decider.Decide(w.server.now(), key, retry.Attempt{Code: resultcode.EndpointUnreachable, Deadline: time.Hour})
				}
			}
		}, true},
		"stop":        {func(w *fixture, _ func()) { w.setFaults("refuse"); w.server.Drain(true); w.server.BeginStop(0, 0) }, true},
		"caller gone": {func(_ *fixture, cancel func()) { cancel() }, false},
	} {
		for _, route := range []string{"chat", "read"} {
			t.Run(name+" "+route, func(t *testing.T) {
				if code := serveLost(t, route, faults{}, test.change); code.Info().Run == resultcode.NotRun || code == resultcode.OK {
					t.Errorf("the request ended with %s", code)
				}
				if code := serveLost(t, route, faults{forgetUncertain: true}, test.change); (code.Info().Run == resultcode.NotRun) != test.notRun {
					t.Errorf("with the defect, the request ended with %s", code)
				}
			})
		}
	}
}

// Guards against a claim that counts as not run, so that a repeat runs again, although an
// attempt may have run: the first one, or the one after a refusal.
func TestPossibleRunOfAClaimOutlivesItsRequest(t *testing.T) {
	for name, firstFault := range map[string]string{"lost": "reset", "refused, then lost": "refuse", "unreachable, then lost": "unreachable"} {
		for _, route := range []string{"pay", "once"} {
			t.Run(name+" "+route, func(t *testing.T) {
				runScenario(t, testConfig(), func(t *testing.T, w *fixture) {
					w.setFaults(firstFault)
					time.AfterFunc(5*time.Millisecond, func() { w.setFaults("reset") }) // within the backoff
					r := w.request("1", route, "a", route)
					r.IdempotencyKey = "k"
					_, code := w.serve(context.Background(), r)
					want(t, "first", code, resultcode.EndpointLost)
					w.setFaults()
					r.ID = "2"
					_, code = w.serve(context.Background(), r)
					want(t, "repeat", code, resultcode.ClaimMayHaveRun)
					want(t, "runs", w.runsByBody[string(r.Body)], 1)
				})
			})
		}
	}
}

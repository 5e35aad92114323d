package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// answers returns n replies that are complete.
func answers(n int) []reply {
	var out []reply
	for range n {
		out = append(out, reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\n", length: -1})
	}
	return out
}

// Guards against requests to an endpoint that said in an answer that it leaves, while
// the platform's list still has it.
func TestEndpointThatLeavesGetsNoFurtherRequests(t *testing.T) {
	for _, path := range []string{"/often/x", "/stream/x"} {
		leaving := sealed()
		leaving.Set("Leaves", "1")
		w := newFixture(t, append([]reply{{status: 200, header: leaving, body: "id: 1\ndata: a\n\n", length: -1}}, answers(12)...)...)
		for range 12 {
			if status, _, _, err := w.do(path, map[string]string{"Model": "m"}); err != nil || status != 200 {
				t.Fatalf("%s: status %d, error %v", path, status, err)
			}
			// The platform does not know yet that the endpoint leaves.
			w.server.SetEndpoints(testEndpoints())
		}
		sends := w.endpoints.sends()
		for i, sent := range sends[1:] {
			if sent.Address == sends[0].Address {
				t.Fatalf("%s: request %d was sent to the endpoint that leaves", path, i+2)
			}
		}
	}
}

// Guards against an endpoint that is never used again because it left, although it
// has started again under the same identifier.
func TestEndpointThatReturnsGetsRequestsAgain(t *testing.T) {
	table := pool.NewTable()
	table.Update([]pool.Endpoint{{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Slots: 4}}})
	table.RecordAdvice(time.Second, "p1", pool.Advice{Leaving: true})
	q := &pool.Query{Service: "plain"}
	if r, _ := table.Reserve(2*time.Second, q); r != nil {
		t.Fatal("the endpoint that leaves got a request")
	}
	if r, why := table.Reserve(time.Second+pool.LeavingTime, q); r == nil {
		t.Fatalf("the endpoint got no request after %v: waited for %s", pool.LeavingTime, why)
	}
}

// Guards against requests to an endpoint that refused one and named a time for which
// it wants none.
func TestPausedEndpointGetsNoRequestsUntilItsPauseEnds(t *testing.T) {
	const pause = 400 * time.Millisecond
	for _, path := range []string{"/often/x", "/stream/x"} {
		refused := http.Header{"Not-Run": {"1"}, "Pause": {pause.String()}}
		w := newFixture(t, append([]reply{{status: 503, header: refused, length: 0}}, answers(200)...)...)
		until := time.Now().Add(pause)
		for time.Now().Before(until.Add(-50 * time.Millisecond)) {
			if status, _, _, err := w.do(path, map[string]string{"Model": "m"}); err != nil || status != 200 {
				t.Fatalf("%s: status %d, error %v", path, status, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		sends := w.endpoints.sends()
		paused := sends[0].Address
		for _, sent := range sends[1:] {
			if sent.Address == paused {
				t.Fatalf("%s: a request was sent to the paused endpoint", path)
			}
		}
		time.Sleep(2 * (pause - 50*time.Millisecond))
		used := false
		for range 40 {
			_, _, _, _ = w.do(path, map[string]string{"Model": "m"})
			all := w.endpoints.sends()
			used = used || all[len(all)-1].Address == paused
		}
		if !used {
			t.Fatalf("%s: the endpoint got no request after its pause", path)
		}
	}
}

// Guards against a request that waits in front of endpoints that want none for longer
// than it can wait.
func TestRequestIsRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	refused := http.Header{"Not-Run": {"1"}, "Pause": {"20s"}}
	for _, path := range []string{"/often/x", "/stream/x"} {
		w := newFixture(t, reply{status: 503, header: refused, length: 0}, reply{status: 503, header: refused, length: 0})
		_, _, _, _ = w.do(path, map[string]string{"Model": "m"})
		started := time.Now()
		status, h, _, err := w.do(path, map[string]string{"Model": "m"})
		if err != nil || status != http.StatusServiceUnavailable || h.Get(resultcode.Header) != "4012" {
			t.Fatalf("%s: status %d, code %s, error %v", path, status, h.Get(resultcode.Header), err)
		}
		if took := time.Since(started); took > 300*time.Millisecond {
			t.Fatalf("%s: refused after %v", path, took)
		}
		if n := len(w.endpoints.sends()); n != 2 {
			t.Fatalf("%s: %d sends, want 2", path, n)
		}
	}
}

package forward

import (
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// answers returns n replies that are complete.
func answers(n int) []reply {
	var out []reply
	for range n {
		out = append(out, reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\n", length: -1})
	}
	return out
}

// relist sends the entry the list of endpoints that it has, as the platform does
// before it knows that an endpoint leaves.
func (w *fixture) relist() {
	models := []directory.Resident{{Model: "m"}}
	w.server.SetEndpoints([]pool.Endpoint{
		{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Slots: 4}},
		{Endpoint: directory.Endpoint{ID: "p2", Service: "plain", Address: "p2:1", Slots: 4}},
		{Endpoint: directory.Endpoint{ID: "e1", Service: "models", Address: "e1:1", Slots: 4, Models: models}},
		{Endpoint: directory.Endpoint{ID: "e2", Service: "models", Address: "e2:1", Slots: 4, Models: models}},
	})
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
			w.relist()
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

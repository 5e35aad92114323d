package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// evacuated returns the test's endpoints of which those with the prefixes are evacuated.
func evacuated(prefixes ...string) []pool.Endpoint {
	list := testEndpoints()
	for i := range list {
		for _, p := range prefixes {
			list[i].Evacuated = list[i].Evacuated || strings.HasPrefix(list[i].ID, p)
		}
	}
	return list
}

// hookedEndpoints calls before with each request, ahead of the reply.
type hookedEndpoints struct {
	*fakeEndpoints
	before func(r *exchange.Request)
}

func (h hookedEndpoints) Do(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
	h.before(r)
	return h.fakeEndpoints.Do(ctx, r)
}

func other(endpoint string) string {
	return endpoint[:1] + string('1'+'2'-endpoint[1])
}

// Guards against a retry, or the rest of a stream, that goes to an endpoint whose
// evacuation became known during the first attempt.
func TestRetriesAvoidEvacuatedEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		first reply
	}{
		"resumed stream": {"/resumed/x", reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\n", truncated: true, length: -1}},
		"not run":        {"/once/x", reply{status: 503, header: http.Header{"Not-Run": {"1"}, "Id": {"id-1"}}}},
		"lost":           {"/often/x", reply{err: errMayHaveRun}},
	} {
		w := newFixture(t, test.first, reply{status: 200, header: sealed(), body: "id: 2\ndata: b\n\n", length: -1})
		w.server.cfg.Client = hookedEndpoints{w.endpoints, func(r *exchange.Request) {
			w.server.SetEndpoints(evacuated(other(r.Header.Get("Endpoint"))))
		}}
		status, _, body, err := w.do(test.path, map[string]string{"Model": "m"})
		if err == nil && status == http.StatusOK || len(w.endpoints.sends()) != 1 {
			t.Errorf("%s: status %d, body %q, %d sends", name, status, body, len(w.endpoints.sends()))
		}
	}
}

// Guards against requests that wait for their deadline although every endpoint of their
// service is evacuated, against a refusal that does not say "not run", and against
// endpoints that are not used at once when the evacuation ends.
func TestEvacuatedServiceRefusesAtOnceAndReturns(t *testing.T) {
	for _, path := range []string{"/once/x", "/often/x", "/stream/x"} {
		w := newFixture(t, reply{status: 200, header: sealed(), body: "id: 1\n\n", length: 7})
		w.server.SetEndpoints(evacuated("p", "e"))
		started := w.server.now()
		status, h, _, err := w.do(path, map[string]string{"Model": "m", "Wait": "1h"})
		if err != nil || status != http.StatusServiceUnavailable || h.Get(resultcode.Header) != fmt.Sprint(int(resultcode.NoEndpoint)) || h.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, header %v, error %v after %v", path, status, h, err, w.server.now()-started)
		}
		w.server.SetEndpoints(evacuated())
		if status, _, _, err := w.do(path, map[string]string{"Model": "m"}); err != nil || status != http.StatusOK {
			t.Errorf("%s: status %d, error %v after the evacuation", path, status, err)
		}
	}
}

// Guards against slots at evacuated endpoints from a broker that has an older list, and
// against a report to that broker that the endpoint leaves, which would outlast the
// evacuation.
func TestSlotOfOlderBrokerAtEvacuatedEndpointIsReturned(t *testing.T) {
	w := newFixture(t, reply{status: 200, header: sealed(), body: "id: 1\n\n", length: 7})
	w.server.SetEndpoints(evacuated("e1"))
	var mu sync.Mutex
	asked, reports := 0, []*peerv1.PlaceReport{}
	w.server.cfg.Send = func(to string, m *peerv1.PlaceMessage) {
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, m.GetReports()...)
		for _, r := range m.GetRequests() {
			asked++
			endpoint := "e1"
			if len(r.GetExclude()) > 0 {
				endpoint = "e2"
			}
			answer := &peerv1.PlaceAnswer{Id: r.GetId(), Endpoint: endpoint, Address: endpoint + ":1"}
			go w.server.Receive(&peerv1.PlaceMessage{Sender: to, Incarnation: 1, Answers: []*peerv1.PlaceAnswer{answer}})
		}
	}
	for i := 0; asked == 0; i++ { // until one of these addresses is the broker of the model
		w.server.SetEntries([]string{fmt.Sprint("other", i)})
		w.endpoints.replies = []reply{{status: 200, header: sealed(), body: "id: 1\n\n", length: 7}}
		if status, _, body, err := w.do("/stream/x", map[string]string{"Model": "m"}); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, body %q, error %v", status, body, err)
		}
	}
	for _, r := range w.endpoints.sends() {
		if r.Address != "e2:1" {
			t.Fatalf("a request went to the evacuated endpoint at %s", r.Address)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range reports {
		if r.GetLeaving() {
			t.Fatalf("the broker was told that an evacuated endpoint leaves: %v", r)
		}
	}
}

// Guards against a process that was frozen and sends by its old list of endpoints before
// it has heard from a control VM again, and against one that waits for good without any.
func TestFrozenEntryWaitsForItsList(t *testing.T) {
	for name, confirms := range map[string]bool{"control VM answers": true, "no control VM answers": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := newServer(t, &fakeEndpoints{replies: []reply{{status: 200, header: sealed(), body: "ok", length: 2}}})
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				time.Sleep(2 * frozenTime)
				s.mu.listState.tick(s.now() - frozenTime)
				polledAt := s.now()
				s.listUnconfirmed() // notices the end of the freeze
				go s.Run(ctx)
				if !confirms {
					time.Sleep(confirmTimeout - 500*time.Millisecond) // the request's deadline is 1 s
				}
				done := make(chan int, 1)
				go func() {
					r := httptest.NewRequest(http.MethodPost, "/often/x", strings.NewReader("body"))
					r.Host = "h"
					r.Header = http.Header{"Id": {"id-1"}, "Key": {"k"}, "Wait": {"30s"}}
					w := httptest.NewRecorder()
					s.ServeHTTP(w, r)
					done <- w.Code
				}()
				time.Sleep(100 * time.Millisecond)
				s.confirmList(polledAt-time.Millisecond, minHold) // the answer to a call before the freeze ended
				synctest.Wait()
				if len(done) != 0 {
					t.Fatal("the request was sent by a list from before the freeze")
				}
				if confirms {
					s.SetEndpoints(evacuated("p"))
					s.confirmList(s.now(), minHold)
				}
				time.Sleep(450 * time.Millisecond)
				synctest.Wait()
				want := map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[confirms]
				if len(done) != 1 {
					t.Fatal("the request still waits")
				}
				if got := <-done; got != want {
					t.Fatalf("status %d, want %d", got, want)
				}
			})
		})
	}
}

// Guards against requests that wait on a slow VM whose periodic work is late although
// control VMs answer, and against an entry that waits again and again without them.
func TestSlowOrDisconnectedEntryDoesNotWaitForItsList(t *testing.T) {
	now := time.Minute
	slow := listState{}
	slow.tick(now)
	slow.confirm(now+frozenTime, now+frozenTime, maxHold)
	slow.observe(now + frozenTime + time.Second)
	if slow.unconfirmed {
		t.Error("a slow entry waits although a control VM answered a moment ago")
	}
	slow.observe(now + 2*frozenTime)
	if !slow.unconfirmed {
		t.Error("a freeze after the last answer was not noticed")
	}
	lost := listState{}
	lost.tick(now)
	for range 3 {
		now += frozenTime
		lost.tick(now)
	}
	if !lost.unconfirmed {
		t.Error("the freeze was not noticed")
	}
	for now += time.Second; now < 2*time.Minute; now += time.Second {
		lost.tick(now)
	}
	lost.observe(now + frozenTime)
	if lost.unconfirmed {
		t.Error("an entry without control VMs waits again")
	}
	lost.confirm(now+frozenTime, now+frozenTime, maxHold)
	lost.tick(now + frozenTime)
	lost.observe(now + 2*frozenTime)
	if !lost.unconfirmed {
		t.Error("a freeze after contact was made again was not noticed")
	}
}

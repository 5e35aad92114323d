package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// A draining entry must refuse the requests that wait for a slot. Otherwise they
// would be aborted when the process ends.
func TestDrainingRefusesWaitingRequests(t *testing.T) {
	w := newFixture(t)
	w.server.SetEndpoints(nil)
	done := make(chan int, 1)
	go func() {
		status, _, _, _ := w.do("/stream/x", map[string]string{"Model": "m"})
		done <- status
	}()
	for {
		waiting := 0
		w.server.step(func(_ time.Duration, e *pool.Entry) { e.ForEachWaiting(func(*pool.Query) { waiting++ }) })
		if waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	w.server.Drain(time.Minute)
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	if w.server.Ready() {
		t.Fatal("a draining entry is ready")
	}
}

// Guards against requests that are taken while the process stops, passed on and cut off
// at its end: only those whose deadline is before that end are taken.
func TestDrainingRefusesRequestsThatMayBeCut(t *testing.T) {
	ok := reply{status: 200, header: sealed(), body: "ok", length: 2}
	for _, test := range []struct {
		path, wait string
		grace      time.Duration
		want       int
	}{
		{"/once/x", "", 2 * time.Second, http.StatusOK},
		{"/often/x", "", 2 * time.Second, http.StatusOK},
		{"/once/x", "", 500 * time.Millisecond, http.StatusServiceUnavailable},
		{"/often/x", "", 500 * time.Millisecond, http.StatusServiceUnavailable},
		{"/once/x", "300ms", 500 * time.Millisecond, http.StatusOK},
		{"/stream/x", "", 2 * time.Second, http.StatusServiceUnavailable},
	} {
		w := newFixture(t, ok)
		w.server.Drain(test.grace)
		status, h, _, err := w.do(test.path, map[string]string{"Model": modelOf(test.path), "Wait": test.wait})
		if err != nil || status != test.want {
			t.Errorf("%s with %v left and a wait of %q: status %d, error %v, want %d", test.path, test.grace, test.wait, status, err, test.want)
		}
		if sent := len(w.endpoints.sends()); sent > 0 && status != http.StatusOK {
			t.Errorf("%s: refused after %d sends", test.path, sent)
		}
		if status == http.StatusServiceUnavailable && h.Get("Retry-After") != "0.02" {
			t.Errorf("%s: Retry-After %q", test.path, h.Get("Retry-After"))
		}
	}
}

// modelOf returns the model of a request for the path.
func modelOf(path string) string {
	if path == "/stream/x" || path == "/resumed/x" {
		return "m"
	}
	return ""
}

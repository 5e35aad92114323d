package forward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
)

const (
	firstEvent = "id: 1\ndata: a\n\n"
	nextEvent  = "id: 2\ndata: b\n\n"
)

// brokenStream is a stream that breaks off after its first event, restOfStream is what
// another endpoint makes of the rest.
func brokenStream() reply {
	return reply{status: 200, header: sealed(), body: firstEvent, truncated: true, length: -1}
}

func restOfStream() reply { return reply{status: 200, header: sealed(), body: nextEvent, length: -1} }

// versionedEndpoints returns the endpoints e1, e2 and so on of the service with models,
// which have these software versions.
func versionedEndpoints(versions ...string) []pool.Endpoint {
	out := make([]pool.Endpoint, len(versions))
	for i, v := range versions {
		id := fmt.Sprintf("e%d", i+1)
		out[i].Endpoint = directory.Endpoint{
			ID: id, Service: "models", Address: id + ":1", Slots: 4, Models: []directory.Resident{{Model: "m"}}, SoftwareVersion: v,
		}
	}
	return out
}

// changingClient calls change with each request that it sends.
type changingClient struct {
	exchange.Client
	change func()
}

func (c changingClient) Do(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
	c.change()
	return c.Client.Do(ctx, r)
}

// versionsSentTo returns the software versions of the endpoints that got the requests.
func (w *fixture) versionsSentTo(list []pool.Endpoint) []string {
	var out []string
	for _, r := range w.endpoints.sends() {
		at := slices.IndexFunc(list, func(e pool.Endpoint) bool { return e.ID == r.Header.Get("Endpoint") })
		out = append(out, list[at].SoftwareVersion)
	}
	return out
}

// Guards against a stream that breaks off and that the entry itself continues at an
// endpoint of another software version.
func TestBrokenStreamIsNotContinuedAtAnotherVersion(t *testing.T) {
	for range 10 {
		w := newFixture(t, brokenStream(), restOfStream())
		w.server.SetEndpoints(versionedEndpoints("v1", "v2"))
		_, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"})
		if err == nil || body != firstEvent || len(w.endpoints.sends()) != 1 {
			t.Fatalf("body %q, error %v after %d sends, want the first event and a broken answer after 1", body, err, len(w.endpoints.sends()))
		}
	}
}

// Guards against a stream whose version came back, or lies between others, that goes on
// at a version which is only similar.
func TestStreamsOfSeveralVersionsStayAtTheirs(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v1.1", "v1"}, {"v1", "v2", "v3", "v1", "v2", "v3"}} {
		for range 10 {
			w := newFixture(t, brokenStream(), restOfStream())
			list := versionedEndpoints(versions...)
			w.server.SetEndpoints(list)
			_, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"})
			sent := w.versionsSentTo(list)
			left := 0
			for _, v := range versions {
				if v == sent[0] {
					left++
				}
			}
			if resumed := err == nil && body == firstEvent+nextEvent; resumed != (left > 1) || (resumed && sent[0] != sent[1]) {
				t.Fatalf("versions %v: sent to %v, body %q, error %v", versions, sent, body, err)
			}
		}
	}
}

// Guards against a stream that fails although no event of it has reached its caller.
func TestStreamWithoutAnEventMayBeginAtAnyVersion(t *testing.T) {
	for name, first := range map[string]reply{
		"no answer":            {err: errMayHaveRun},
		"head only":            {status: 200, header: sealed(), truncated: true, length: -1},
		"within the 1st event": {status: 200, header: sealed(), body: "id: 1\ndata", truncated: true, length: -1},
	} {
		w := newFixture(t, first, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		w.server.SetEndpoints(versionedEndpoints("v1", "v2"))
		if _, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"}); err != nil || body != firstEvent {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
	}
}

// Guards against a stream that its caller takes up at an entry which does not know the
// software version that began it, for example after a restart, and which continues it at
// any version.
func TestTakenUpStreamIsNotContinuedAtUnknownVersion(t *testing.T) {
	w := newFixture(t, restOfStream())
	w.server.SetEndpoints(versionedEndpoints("v1", "v2"))
	started := time.Now()
	status, h, body, err := w.do("/resumed/x", map[string]string{"Model": "m", "Resume": "1", "Resumes": "id-0"})
	if err != nil || status != 503 || h.Get("Radishloom-Result") != "4013" || len(w.endpoints.sends()) != 0 {
		t.Fatalf("status %d, result %s, body %q, error %v after %d sends, want 503 and 4013 without a send", status, h.Get("Radishloom-Result"), body, err, len(w.endpoints.sends()))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	if h.Get("Retry-After") != "0.02" {
		t.Errorf("Retry-After %q, want that of a stream that can begin at once", h.Get("Retry-After"))
	}
}

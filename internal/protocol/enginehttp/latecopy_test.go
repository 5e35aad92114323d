package enginehttp

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// repeatingEngine returns a client of a rawserver.Repeating that answers with EchoPath.
func repeatingEngine(t *testing.T, echo bool) (*Engine, engine.Target) {
	address := rawserver.Repeating(t, func(r *http.Request) string { return rawserver.EchoPath(r, echo) })
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	return New(client), engine.Target{Name: "e1", Address: address}
}

// Guards against a late copy of a report, or of the answer to a cancellation, that a caller
// gets as the answer to its request, and against copies of other answers that are taken
// for a report.
func TestLateCopyIsNotTakenForAnotherAnswer(t *testing.T) {
	calls := map[string]func(*Engine, engine.Target) error{
		"load": func(e *Engine, to engine.Target) error { _, err := e.Load(context.Background(), to); return err },
		"cache events": func(e *Engine, to engine.Target) error {
			_, err := e.CacheEvents(context.Background(), to, 0)
			return err
		},
		"cancel": func(e *Engine, to engine.Target) error { return e.Cancel(context.Background(), to, "r0") },
		"order":  func(e *Engine, to engine.Target) error { return e.Order(context.Background(), to, engine.Order{ID: 7}) },
		"request": func(e *Engine, to engine.Target) error {
			req := request("r1", 1, false)
			a, err := e.Do(context.Background(), to, req)
			if err == nil && string(a.Body) != `{"path":"/v1/chat/completions","running":5}` {
				err = fmt.Errorf("the request was answered with %s", a.Body)
			}
			return err
		},
	}
	for first := range calls {
		for second := range calls {
			if second == "order" {
				continue // has a connection of its own
			}
			if first == "request" && second == "request" {
				continue // has the same identifier in this test
			}
			t.Run(first+", "+second, func(t *testing.T) {
				e, to := repeatingEngine(t, true)
				if err := calls[first](e, to); err != nil {
					t.Fatal(err)
				}
				wantCode(t, calls[second](e, to), resultcode.AnswerMismatch)
			})
		}
	}
}

// Guards against a late copy of an answer that names no request: the next caller on the
// connection got it.
func TestLateCopyOfAnUnnamedAnswerReachesNoOtherRequest(t *testing.T) {
	e, to := repeatingEngine(t, false)
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		req := request(path, 1, false)
		req.Path = path
		a, err := e.Do(t.Context(), to, req)
		if err != nil || !strings.Contains(string(a.Body), path+`"`) {
			t.Fatalf("%s: response %+v, error %v", path, a, err)
		}
	}
}

// Guards against a late copy of a refusal that is believed when the refused request is sent
// again: it would be reported as not run although it ran.
func TestLateCopyOfRefusalIsNotBelievedForSameRequest(t *testing.T) {
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	e, to := New(client), engine.Target{Name: "e1", Address: rawserver.Repeating(t, rawserver.RefuseFirst())}
	_, err := e.Do(t.Context(), to, request("r1", 1, false))
	wantCode(t, err, resultcode.EndpointRefused)
	if _, err := e.Do(t.Context(), to, request("r1", 1, false)); err != nil {
		t.Fatalf("a request that ran ended with %v", err)
	}
}

package servicehttp

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// repeatingService returns a client of a rawserver.Repeating that answers with EchoPath.
func repeatingService(t *testing.T, echo bool) (*Service, engine.Target) {
	address := rawserver.Repeating(t, func(r *http.Request) string { return rawserver.EchoPath(r, echo) })
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	return New(client), engine.Target{Name: "s1", Address: address}
}

// Guards against a late copy of a load report that a caller gets as the answer to its
// request, and against a copy of another answer that is taken for a load report.
func TestLateCopyIsNotTakenForAnotherAnswer(t *testing.T) {
	load := func(s *Service, to engine.Target) error { _, err := s.Load(context.Background(), to); return err }
	do := func(s *Service, to engine.Target) error { _, _, err := call(s, to, request("r1")); return err }
	for name, calls := range map[string][2]func(*Service, engine.Target) error{
		"load, request": {load, do}, "load, load": {load, load}, "request, load": {do, load},
	} {
		t.Run(name, func(t *testing.T) {
			s, to := repeatingService(t, true)
			if err := calls[0](s, to); err != nil {
				t.Fatal(err)
			}
			if err := calls[1](s, to); resultcode.Of(err) != resultcode.AnswerMismatch {
				t.Fatalf("error %v, want %s", err, resultcode.AnswerMismatch)
			}
		})
	}
}

// Guards against a late copy of an answer that names no request: the next caller on the
// connection got it.
func TestLateCopyOfAnUnnamedAnswerReachesNoOtherRequest(t *testing.T) {
	s, to := repeatingService(t, false)
	for _, path := range []string{"/a", "/b"} {
		req := request(path)
		req.Path = path
		_, body, err := call(s, to, req)
		if err != nil || !strings.Contains(string(body), `"`+path+`"`) {
			t.Fatalf("%s: body %q, error %v", path, body, err)
		}
	}
}

// Guards against a late copy of a refusal that is believed when the refused request is sent
// again: it would be reported as not run although it ran.
func TestLateCopyOfRefusalIsNotBelievedForSameRequest(t *testing.T) {
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	s, to := New(client), engine.Target{Name: "s1", Address: rawserver.Repeating(t, rawserver.RefuseFirst())}
	if _, _, err := call(s, to, request("r1")); resultcode.Of(err) != resultcode.EndpointRefused {
		t.Fatalf("error %v, want %s", err, resultcode.EndpointRefused)
	}
	if _, _, err := call(s, to, request("r1")); err != nil {
		t.Fatalf("a request that ran ended with %v", err)
	}
}

// Guards against the reuse of such a connection before the body of the answer is closed.
func TestConnectionOfAnUnnamedAnswerIsNeverIdle(t *testing.T) {
	s, to := repeatingService(t, false)
	for _, path := range []string{"/a", "/b"} {
		req := request(path)
		req.Path = path
		a, err := s.Do(t.Context(), to, req)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close() // never fails
		if body, err := io.ReadAll(a.Body); err != nil || !strings.Contains(string(body), `"`+path+`"`) {
			t.Fatalf("%s: body %q, error %v", path, body, err)
		}
	}
}

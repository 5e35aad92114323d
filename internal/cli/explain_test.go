package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against a printed explanation without the refusal or the obstacle, and against
// a refusal of the entry that looks like an answer.
func TestExplainRequest(t *testing.T) {
	status, body := http.StatusOK, `{"entry":"a","broker":"b","own_view":true,"outcome":"refused","code":4004,"code_name":"deadline_too_close",
		"retry_after_min_ms":100,"retry_after_max_ms":150,"total":2,"candidates":[{"endpoint":"e1","cost":0.5,"affinity":0.25,"obstacle":"limited","available_in_ms":20}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != "/explain?deadline_ms=1500&model=m&service=s" {
			t.Errorf("asked for %s", r.URL.RequestURI())
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body)) // a lost answer fails the test below
	}))
	defer server.Close()
	args := []string{"explain", "request", "--entry", server.Listener.Addr().String(), "--service", "s", "--model", "m", "--deadline", "1.5s"}
	exit, stdout, stderr := runTool(args...)
	for _, want := range []string{"the broker b decides", "refused: 4004 deadline_too_close, Retry-After 100 to 150 ms", "-0.250", "limited, for 20 ms", "1 of 2 endpoints"} {
		if exit != ExitOK || !strings.Contains(stdout, want) {
			t.Errorf("exit %d, %q, %q; want %q", exit, stdout, stderr, want)
		}
	}
	status, body = http.StatusBadRequest, "no model \"m\""
	if exit, _, stderr := runTool(args...); exit != ExitRefused || !strings.Contains(stderr, "no model") {
		t.Errorf("bad request: exit %d, %q", exit, stderr)
	}
}

// Guards against an explanation that is printed although the bytes that arrived are no
// response.
func TestExplainRequestRefusesAMalformedResponse(t *testing.T) {
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK":                   ExitOK,
		"HTTP/1.1 000 ":                     ExitUnavailable,
		"HTTP/1.1 200 OK\r\nX Other: 1":     ExitUnavailable,
		"HTTP/1.1 200 OK\r\nX-\x01Other: 1": ExitUnavailable,
	} {
		address := rawserver.Always(t, head+"\r\nConnection: close\r\n\r\n{\"entry\":\"a\",\"total\":2}")
		if exit, stdout, stderr := runTool("explain", "request", "--entry", address, "--service", "s"); exit != want {
			t.Errorf("%q: exit %d, want %d: %q, %q", head, exit, want, stdout, stderr)
		}
	}
}

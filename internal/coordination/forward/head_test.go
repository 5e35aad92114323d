package forward

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against an answer whose head breaks off and that reaches the caller as a
// success with an empty or short body: at each byte of the head, on new and on kept
// connections, with each framing of the body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n", len(body)), "close": "", "no body": "Content-Length: 0\r\n",
	} {
		whole := rawserver.CutHead{Head: "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id-1\r\n" + framing + "\r\n", Body: body}
		if name == "no body" {
			whole.Body = ""
		}
		for _, path := range []string{"/once/x", "/often/x", "/stream/x", "/resumed/x"} {
			for _, kept := range []bool{false, true} {
				if kept && name == "close" {
					continue // a connection that ends an answer is not kept
				}
				t.Run(fmt.Sprintf("%s %s kept %v", path, name, kept), func(t *testing.T) {
					t.Parallel()
					for length := range len(whole.Head) {
						e := whole
						e.Length, e.Reset = length, length%2 == 1
						expectNoSuccess(t, path, e, kept)
					}
				})
			}
		}
	}
}

// expectNoSuccess sends a request whose answer breaks off. If kept is set, a request with
// a whole answer goes before it on the same connection.
func expectNoSuccess(t *testing.T, path string, e rawserver.CutHead, kept bool) {
	t.Helper()
	if kept {
		e.Whole = 1
	}
	w := newFixture(t)
	w.connectEndpoints(e.Start(t))
	header := map[string]string{"Model": "m"}
	if kept {
		if status, _, body, err := w.do(path, header); status != http.StatusOK || err != nil || body != e.Body {
			t.Fatalf("first request: status %d, body %q, error %v", status, body, err)
		}
	}
	status, _, body, err := w.do(path, header)
	if err == nil && status < http.StatusMultipleChoices {
		t.Errorf("head cut after %d of %d bytes: status %d, body %q", e.Length, len(e.Head), status, body)
	}
	if runsOnce := path == "/once/x" || path == "/stream/x"; runsOnce && claimsNotRun(status) {
		t.Errorf("head cut after %d of %d bytes: status %d means that the request has not run", e.Length, len(e.Head), status)
	}
}

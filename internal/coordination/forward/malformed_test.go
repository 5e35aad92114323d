package forward

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against belief in any part of an answer that is no HTTP response: the request may
// have run, whatever the answer states. One that may run more than once goes to another
// endpoint; one that may not is answered at once.
func TestMalformedAnswersAreNotBelieved(t *testing.T) {
	for name, head := range map[string]string{
		"refusal":              "HTTP/1.1 503 Busy\r\nId: id-1\r\nNot-Run: 1\r\nX Other: 1",
		"misdirected":          "HTTP/1.1 421 Gone\r\nId: id-1\r\nNot-Run: 1\r\nX-Other : 1",
		"client error":         "HTTP/1.1 400 Bad\r\nId: id-1\r\nX\x01: 1",
		"success":              "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\n X-Other: 1",
		"answer of another":    "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nX Other: 1",
		"status 000":           "HTTP/1.1 000 \r\nId: id-1\r\nSeal: s",
		"status 000, not run":  "HTTP/1.1 000 \r\nId: id-1\r\nNot-Run: 1",
		"informational answer": "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s",
	} {
		t.Run(name, func(t *testing.T) {
			for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/often/x": http.StatusOK} {
				w := newFixture(t)
				sent := w.connectMalformedFirst(head)
				status, h, body, err := w.do(path, nil)
				if err != nil || status != want || (want == http.StatusOK && body != "sound") {
					t.Errorf("%s: status %d, body %q, error %v, want status %d", path, status, body, err, want)
				}
				if want == http.StatusBadGateway && (h.Get(resultcode.Header) != "4003" || sent.Load() != 1) {
					t.Errorf("%s: code %s after %d requests, want 4003 after one", path, h.Get(resultcode.Header), sent.Load())
				}
			}
		})
	}
}

// Guards against a refusal whose text repeats what an endpoint sent.
func TestRefusalRepeatsNoPartOfAMalformedAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-\x01Other: secret",
		"HTTP/1.1 200 OK\r\nX-Other: \x01secret",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: secret",
		"HTTP/1.1 secret",
		"secret",
	} {
		w := newFixture(t)
		w.connectMalformedFirst(head)
		status, _, body, err := w.do("/once/x", nil)
		if err != nil || status != http.StatusBadGateway || strings.Contains(body, "secret") {
			t.Errorf("%q: status %d, body %q, error %v", head, status, body, err)
		}
	}
}

// connectMalformedFirst starts two endpoints that answer their first request together with
// a head, and a body of 6 bytes, and the others as they should. It returns the number of
// requests that they get.
func (w *fixture) connectMalformedFirst(head string) *atomic.Int64 {
	sent := &atomic.Int64{}
	address := rawserver.Repeating(w.t, func(*http.Request) string {
		if sent.Add(1) == 1 {
			return head + "\r\nContent-Length: 6\r\n\r\nbroken"
		}
		return "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nsound"
	})
	w.connectEndpoints(address)
	w.server.SetEndpoints([]pool.Endpoint{
		{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: address, Slots: 4}},
		{Endpoint: directory.Endpoint{ID: "p2", Service: "plain", Address: address, Slots: 4}},
	})
	return sent
}

package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against a response whose end proves nothing and that is taken to be whole, and against
// the loss of framed responses.
func TestCloseDelimitedResponsesAreRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct {
		name, method, response, body string
		sound                        bool
	}{
		{"no length", http.MethodPost, ok + "\r\npart", "", false},
		{"no length, no byte", http.MethodPost, ok + "\r\n", "", false},
		{"version 1.0", http.MethodPost, "HTTP/1.0 200 OK\r\n\r\npart", "", false},
		{"error without length", http.MethodPost, "HTTP/1.1 503 Busy\r\n\r\npart", "", false},
		{"length", http.MethodPost, ok + "Content-Length: 5\r\n\r\nwhole", "whole", true},
		{"chunks", http.MethodPost, ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole", true},
		{"empty body", http.MethodPost, ok + "Content-Length: 0\r\n\r\n", "", true},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", "", true},
		{"head", http.MethodHead, ok + "\r\n", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := rawserver.Listen(t, func(c *net.TCPConn) { answerEarly(c, tt.response, false) })
			body, err := roundTrip(t, tt.method, address)
			if tt.sound && (err != nil || body != tt.body) {
				t.Errorf("%q, %v", body, err)
			}
			if !tt.sound && !errors.Is(err, ErrCloseDelimited) {
				t.Errorf("%q was accepted, error %v", body, err)
			}
		})
	}
}

// Guards against the beginning of a body that counts as whole since the connection was reset
// while the request was being sent.
func TestPartOfAnEarlyResponseIsNotWhole(t *testing.T) {
	const tries = 30
	address := rawserver.Listen(t, func(c *net.TCPConn) { answerEarly(c, "HTTP/1.1 200 OK\r\n\r\npart", true) })
	whole := 0
	for range tries {
		if _, err := roundTrip(t, http.MethodPost, address); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("the part counted as whole in %d of %d tries", whole, tries)
	}
}

// answerEarly answers a request before it has read its body, and then resets the connection
// or reads the body.
func answerEarly(c *net.TCPConn, response string, reset bool) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, response)
	if reset {
		_ = c.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the write fails if this does
}

// roundTrip sends a request that is more than the buffers of a connection hold, unless its
// method has no body, and returns the body of the response.
func roundTrip(t *testing.T, method, address string) (string, error) {
	t.Helper()
	const uploadBytes = 24 << 20
	transport := Transport{Next: &http.Transport{}, RequireFraming: true}
	defer transport.CloseIdleConnections()
	var upload io.Reader
	if method == http.MethodPost {
		upload = bytes.NewReader(make([]byte, uploadBytes))
	}
	r, err := http.NewRequest(method, "http://"+address+"/", upload)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close() // it has been read
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

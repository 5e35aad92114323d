package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// uploadBytes is more than the buffers of a connection to an endpoint take without a read.
const uploadBytes = 3 << 20

// earlyEndpoint answers its first request with part of an answer before it reads the body,
// and then resets the connection. It answers the others whole.
type earlyEndpoint struct {
	part string
	// read is how many bytes of the body it reads before the part.
	read int64
	// pause is the time between the part and the reset.
	pause time.Duration
	// whole is the body of the other answers.
	whole    string
	requests atomic.Int64
}

func (e *earlyEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	if e.requests.Add(1) > 1 {
		_, _ = io.Copy(io.Discard, r.Body) // the write fails if this does
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id-1\r\nContent-Length: %d\r\n\r\n%s", len(e.whole), e.whole)
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, e.read)
	_, _ = io.WriteString(c, e.part)
	time.Sleep(e.pause)
	_ = c.SetLinger(0)
}

// upload sends a request with a body of size bytes in an HTTP version, 1.0 or 1.1, and reads
// the answer. The error is that of reading it.
func (w *fixture) upload(version, path string, size int) (resp *http.Response, body string, err error) {
	w.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close() // the exchange is over
	head := fmt.Sprintf("POST %s HTTP/%s\r\nHost: h\r\nId: id-1\r\nKey: k\r\nModel: %s\r\nContent-Length: %d\r\n\r\n", path, version, modelOf(path), size)
	if _, err := io.WriteString(c, head+strings.Repeat("x", size)); err != nil {
		w.t.Fatal(err)
	}
	resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

const earlyHead = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id-1\r\n"

// earlyParts has answers without a length that break off.
var earlyParts = map[string]*earlyEndpoint{
	"part":              {part: earlyHead + "\r\npart"},
	"connection: close": {part: earlyHead + "Connection: close\r\n\r\npart"},
	"whole events":      {part: earlyHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"},
	"no byte":           {part: earlyHead + "\r\n"},
	"reset later":       {part: earlyHead + "\r\npart", pause: 20 * time.Millisecond},
	"some was read":     {part: earlyHead + "\r\npart", read: uploadBytes / 8},
}

// Guards against part of an answer that a caller gets as a whole one: an endpoint answers a
// long upload at once, without a length, and resets the connection within the body while
// the upload is being sent.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, e := range earlyParts {
		for _, path := range []string{"/once/x", "/often/x", "/stream/x", "/resumed/x"} {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(name+" "+path+" "+version, func(t *testing.T) {
					t.Parallel()
					e := earlyEndpoint{part: e.part, read: e.read, pause: e.pause, whole: "id: 1\ndata: whole\n\n"}
					w := newConnectedFixture(t, rawserver.Listen(t, e.serve))
					resp, body, err := w.upload(version, path, uploadBytes)
					if err == nil && resp.StatusCode == http.StatusOK && body != e.whole {
						t.Errorf("%q arrived as a whole answer", body)
					}
				})
			}
		}
	}
}

// headOnly has the beginnings of answers that break off before the first byte of the body.
var headOnly = map[string]string{
	"no length": earlyHead + "\r\n",
	"length":    earlyHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*maxBufferedBody),
	"chunks":    earlyHead + "Transfer-Encoding: chunked\r\n\r\n",
	"events":    earlyHead + "Content-Type: text/event-stream\r\n\r\n",
}

// Guards against a caller who gets no answer, and against a retry that is left out, since an
// answer broke off before the first byte of its body.
func TestAnswerWithoutABodyIsNotPassedOn(t *testing.T) {
	for name, head := range headOnly {
		for path, retried := range map[string]bool{"/once/x": false, "/often/x": true, "/stream/x": false, "/resumed/x": true} {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(name+" "+path+" "+version, func(t *testing.T) {
					e := earlyEndpoint{part: head, read: 1, whole: "id: 1\ndata: whole\n\n"}
					address := rawserver.Listen(t, e.serve)
					w := newConnectedFixture(t, address)
					w.server.SetEndpoints(endpointsAt(address, 2))
					resp, body, err := w.upload(version, path, 1)
					if err != nil {
						t.Fatalf("the caller got no answer: %v", err)
					}
					if retried && (resp.StatusCode != http.StatusOK || body != e.whole) {
						t.Errorf("status %d, %q; want the answer of the other endpoint", resp.StatusCode, body)
					}
					if !retried && (resp.StatusCode != http.StatusBadGateway || resp.Header.Get(resultcode.Header) == "" || resp.Header.Get("Seal") != "") {
						t.Errorf("status %d, %v; want a refusal with a result code", resp.StatusCode, resp.Header)
					}
					if n := e.requests.Load(); !retried && n > 1 {
						t.Errorf("sent %d times", n)
					}
				})
			}
		}
	}
}

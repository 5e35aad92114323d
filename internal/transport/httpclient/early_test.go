package httpclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// largeUpload is more than the buffers of both ends of a connection hold, in bytes.
	largeUpload = 24 << 20
	// earlyTimeout is longer than any exchange of these tests on a busy machine.
	earlyTimeout = 20 * time.Second
)

// earlyServer answers each request before it has read its body.
type earlyServer struct {
	response string
	// read is how many bytes of the body it reads before that.
	read int64
	// pause is the time between the response and the end of the connection.
	pause time.Duration
	// ending ends the connection.
	ending func(c *net.TCPConn, body io.Reader)
}

// reset ends the connection without an orderly close.
func reset(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

// closeUnread closes the connection in order. The bytes that then arrive reset it.
func closeUnread(*net.TCPConn, io.Reader) {}

// closeRead closes the connection in order and reads the rest of the request.
func closeRead(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite() // the read fails if this does
	_, _ = io.Copy(io.Discard, body)
}

// start serves connections until the test ends. It returns the address, and a channel that
// receives when a connection has ended.
func (s earlyServer) start(t testing.TB) (address string, ended <-chan struct{}) {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), s.accept(l)
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// accept serves connections until the listener is closed.
func (s earlyServer) accept(l net.Listener) (ended <-chan struct{}) {
	ends := make(chan struct{}, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go func() {
				s.serve(c.(*net.TCPConn))
				ends <- struct{}{}
			}()
		}
	}()
	return ends
}

func (s earlyServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, s.read)
	_, _ = io.WriteString(c, s.response)
	time.Sleep(s.pause)
	s.ending(c, r.Body)
}

// newUpload returns a request body whose second half is read once the server has ended the
// connection. A write after a reset always fails.
func newUpload(ended <-chan struct{}) io.Reader {
	half := strings.Repeat("x", 1<<10)
	return io.MultiReader(strings.NewReader(half), barrier(ended), strings.NewReader(half))
}

// barrier is an empty reader whose end is reached when a value arrives.
type barrier <-chan struct{}

// Read implements io.Reader.
func (b barrier) Read([]byte) (int, error) {
	<-b
	return 0, io.EOF
}

func uploadRequest(address string) *exchange.Request {
	return &exchange.Request{Address: address, Method: http.MethodPost, Target: "/x", IdleTimeout: earlyTimeout, AllowCloseDelimited: true}
}

// Guards against part of a body without length that counts as complete, since the
// connection was reset while the request was being written: the failed write takes the
// error of the socket, and the next read reports an orderly end.
func TestCloseDelimitedBodyIsIncompleteOnceSendingFailed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	responses := map[string]string{
		"no length":          ok + "\r\npart",
		"connection: close":  ok + "Connection: close\r\n\r\npart",
		"version 1.0":        "HTTP/1.0 200 OK\r\n\r\npart",
		"whole events":       ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"no byte":            ok + "\r\n",
		"after other status": "HTTP/1.1 102 Processing\r\n\r\n" + ok + "\r\npart",
	}
	for name, response := range responses {
		for ending, s := range map[string]earlyServer{
			"reset":                {ending: reset},
			"reset later":          {ending: reset, pause: 20 * time.Millisecond},
			"reset, half was read": {ending: reset, read: 512},
			"closed unread":        {ending: closeUnread, pause: 20 * time.Millisecond},
		} {
			s.response = response
			t.Run(name+", "+ending, func(t *testing.T) {
				t.Parallel()
				s.check(t, func(req *exchange.Request, _ <-chan struct{}) { req.Body = make([]byte, largeUpload) })
				if ending != "closed unread" {
					s.check(t, func(req *exchange.Request, ended <-chan struct{}) { req.BodyReader = newUpload(ended) })
				}
			})
		}
	}
}

// check sends a request with a body that is set by setBody, and checks that no part of the
// response is passed on.
func (s earlyServer) check(t *testing.T, setBody func(req *exchange.Request, ended <-chan struct{})) {
	t.Helper()
	address, ended := s.start(t)
	req := uploadRequest(address)
	setBody(req, ended)
	body, err := fetch(newClient(t, Options{}), req)
	if err == nil || body != "" {
		t.Fatalf("%q was passed on, error %v", body, err)
	}
	wantCode(t, err, resultcode.AnswerIncomplete)
}

// Guards against the loss of an early response that is complete: its body is framed, or the
// server closes its side in order and reads the rest of the request.
func TestCompleteEarlyResponse(t *testing.T) {
	const refusal, empty = "HTTP/1.1 413 Too Large\r\n", "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n"
	for name, s := range map[string]earlyServer{
		"length, reset":          {response: refusal + "Content-Length: 4\r\n\r\nfine", ending: reset, pause: 20 * time.Millisecond},
		"chunks, reset":          {response: refusal + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", ending: reset, pause: 20 * time.Millisecond},
		"length, closed unread":  {response: refusal + "Content-Length: 4\r\n\r\nfine", ending: closeUnread, pause: 20 * time.Millisecond},
		"no body, closed unread": {response: empty, ending: closeUnread, pause: 20 * time.Millisecond},
		"no length, then read":   {response: refusal + "\r\nfine", ending: closeRead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := s.start(t)
			req := uploadRequest(address)
			req.Body = make([]byte, largeUpload)
			body, err := fetch(newClient(t, Options{}), req)
			if err != nil || !strings.HasSuffix(s.response, "\r\n\r\n"+body) && body != "fine" {
				t.Fatalf("%q, %v", body, err)
			}
		})
	}
}

// earlyCut is an early response that ends at a random byte.
type earlyCut struct {
	framing  string
	server   earlyServer
	size     int
	asReader bool
	// sent is the end of the response that is sent, in bytes.
	sent, whole int
}

func drawEarlyCut(r *rand.Rand) *earlyCut {
	const body = "0123456789"
	c := &earlyCut{framing: []string{"length", "chunks", "close"}[r.IntN(3)], size: r.IntN(1 << (10 + r.IntN(13))), asReader: r.IntN(2) == 0}
	response := "HTTP/1.1 200 OK\r\n" + map[string]string{
		"length": "Content-Length: 10\r\n\r\n" + body,
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
		"close":  "\r\n" + body,
	}[c.framing]
	c.whole, c.sent = len(response), len(response)
	if r.IntN(3) > 0 {
		c.sent = r.IntN(len(response) + 1)
	}
	c.server = earlyServer{response: response[:c.sent], ending: reset}
	if c.framing != "close" && r.IntN(2) == 0 {
		c.server.ending = closeUnread
	}
	if r.IntN(3) == 0 {
		c.server.read = r.Int64N(int64(c.size) + 1)
	}
	if r.IntN(3) == 0 {
		c.server.pause = time.Duration(r.IntN(3000)) * time.Microsecond
	}
	return c
}

// run performs the exchange and describes what is wrong with its outcome, if anything.
func (c *earlyCut) run(t testing.TB) string {
	l := listen(t)
	defer l.Close() // the case is over
	ended := c.server.accept(l)
	req := uploadRequest(l.Addr().String())
	if c.asReader {
		req.BodyReader = bytes.NewReader(make([]byte, c.size))
	} else {
		req.Body = make([]byte, c.size)
	}
	client := New(Options{ConnectTimeout: earlyTimeout})
	defer client.Close()
	body, err := fetch(client, req)
	<-ended
	switch complete := c.sent == c.whole && c.framing != "close"; {
	case err == nil && !complete:
		return fmt.Sprintf("incomplete response accepted: %q", body)
	case err == nil && body != "0123456789":
		return fmt.Sprintf("complete response returned as %q", body)
	case err != nil && resultcode.Of(err).Info().Run == resultcode.NotRun:
		return fmt.Sprintf("the code says not run: %v", err)
	}
	return ""
}

// Guards against part of a response that counts as complete, and against a false run state,
// when an endpoint answers while a long request is being sent and ends the connection at any
// byte of the response, with each framing.
func TestFuzzEarlyCutsAtAnyByte(t *testing.T) {
	const cases = 400
	run := func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 54))
		for i := range cases {
			c := drawEarlyCut(r)
			if fault := c.run(t); fault != "" {
				return fmt.Sprintf("seed %d, case %d %+v: %s", seed, i, *c, fault)
			}
		}
		return ""
	}
	if fault := run(5); fault != "" {
		t.Fatal(fault)
	}
	proptest.RunFreshSeeds(t, run)
}

package httpclient

import (
	"bufio"
	"bytes"
	"context"
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

// headBytes is smaller than the head of every request.
const headBytes = 60

// cutCase is one exchange that the endpoint ends at a random byte.
type cutCase struct {
	reuse     bool // the connection has carried an exchange before
	size      int  // bytes of the request body
	readUpTo  int  // bytes of the request that the endpoint reads, or -1 for all
	response  string
	sendUpTo  int // bytes of the response that it sends
	reset     bool
	complete  bool // the response was sent completely
	seenBytes int  // bytes of the request that the endpoint read
}

func drawCut(r *rand.Rand) *cutCase {
	c := &cutCase{reuse: r.IntN(2) == 0, size: r.IntN(3) * r.IntN(100_000), readUpTo: -1, reset: r.IntN(3) == 0}
	c.response = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"
	if r.IntN(2) == 0 {
		c.response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
	}
	c.sendUpTo = r.IntN(len(c.response) + 1)
	switch r.IntN(3) {
	case 0:
		c.readUpTo, c.sendUpTo = r.IntN(headBytes+c.size), 0
	case 1:
		c.sendUpTo = len(c.response)
	}
	return c
}

// serve acts as the endpoint on one connection.
func (c *cutCase) serve(raw net.Conn) {
	defer raw.Close() // the case is over
	br := bufio.NewReader(raw)
	if c.reuse {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	if c.readUpTo >= 0 {
		n, _ := io.CopyN(io.Discard, br, int64(c.readUpTo))
		c.seenBytes = int(n)
	} else if r, err := http.ReadRequest(br); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		c.seenBytes = 1
	}
	_, _ = io.WriteString(raw, c.response[:c.sendUpTo])
	c.complete = c.sendUpTo == len(c.response)
	if c.reset && !c.complete {
		_ = raw.(*net.TCPConn).SetLinger(0)
	}
}

// run performs the exchange and describes what is wrong with its outcome, if
// anything.
func (c *cutCase) run(t *testing.T, defects faults) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if raw, err := l.Accept(); err == nil {
			_ = l.Close() // refuses a second attempt on a new connection
			c.serve(raw)
		}
	}()
	client := New(Options{IdleConnTimeout: time.Minute})
	defer client.Close()
	client.faults = defects
	req := &exchange.Request{Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", IdleTimeout: 10 * time.Second}
	if c.reuse {
		if _, err := client.Do(context.Background(), req); err != nil {
			return fmt.Sprintf("first exchange: %v", err)
		}
	}
	req.Body = bytes.Repeat([]byte("x"), c.size)
	body, err := fetch(client, req)
	<-done
	code := resultcode.Of(err)
	switch {
	case c.complete && (err != nil || body != "0123456789"):
		return fmt.Sprintf("complete response returned as %q, %v", body, err)
	case !c.complete && err == nil:
		return fmt.Sprintf("truncated response accepted as complete: %q", body)
	case code.Info().Run == resultcode.NotRun && c.seenBytes > 0:
		return fmt.Sprintf("%d bytes arrived, but the code says not run: %v", c.seenBytes, err)
	case code == resultcode.Internal:
		return fmt.Sprintf("error without a result code: %v", err)
	}
	return ""
}

// runCuts returns the first fault found with a seed, or "".
func runCuts(t *testing.T, seed uint64, cases int, defects faults) string {
	r := rand.New(rand.NewPCG(seed, 0))
	for i := range cases {
		c := drawCut(r)
		if fault := c.run(t, defects); fault != "" {
			return fmt.Sprintf("seed %d, case %d %+v: %s", seed, i, *c, fault)
		}
	}
	return ""
}

// Guards against a truncated response accepted as complete and against a false
// run state when the endpoint ends an exchange at any byte of the request or of
// the response. The fault claimNotRun must be detected.
func TestFuzzCutsAtAnyByte(t *testing.T) {
	const cases = 400
	if fault := runCuts(t, 5, cases, faults{}); fault != "" {
		t.Fatal(fault)
	}
	if fault := runCuts(t, 5, cases, faults{claimNotRun: true}); !strings.Contains(fault, "says not run") {
		t.Fatalf("fault claimNotRun not detected: %q", fault)
	}
	proptest.RunFreshSeeds(t, func(seed uint64) string { return runCuts(t, seed, cases, faults{}) })
}

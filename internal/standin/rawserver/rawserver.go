// Package rawserver is a server for tests that writes its answers byte by byte, so that they
// can break off anywhere.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

// Listen serves each connection with a function until the test ends and returns the
// address.
func Listen(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// CutHead answers the first requests of each connection whole and the next one with the
// beginning of the same head. It then ends the connection.
type CutHead struct {
	// Whole is the number of requests that are answered whole.
	Whole      int
	Head, Body string
	// Length is the length in bytes of the beginning of the head.
	Length int
	// Reset ends the connection with a reset instead of an orderly close.
	Reset bool
}

// Start serves connections until the test ends and returns the address.
func (e CutHead) Start(t testing.TB) string {
	t.Helper()
	return Listen(t, e.serve)
}

func (e CutHead) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the client ends the connection if it fails
		if n == e.Whole {
			break
		}
		_, _ = io.WriteString(c, e.Head+e.Body)
	}
	_, _ = io.WriteString(c, e.Head[:e.Length])
	if e.Reset {
		_ = c.SetLinger(0)
	}
}

// Repeating answers each request with what answer returns, and writes the last answer of a
// connection once more when the next request has arrived there. It serves until the test
// ends and returns the address.
func Repeating(t testing.TB, answer func(*http.Request) string) string {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		br, last := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // the next read fails if this does
			now := answer(r)
			_, _ = io.WriteString(c, last+now)
			last = now
		}
	})
}

// EchoPath returns a 200 response whose JSON body holds the path of the request. With echo
// it names the request.
func EchoPath(r *http.Request, echo bool) string {
	id, body := "", fmt.Sprintf(`{"path":%q,"running":5}`, r.URL.Path)
	if echo {
		id = exchange.HeaderRequestID + ": " + r.Header.Get(exchange.HeaderRequestID) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// RefuseFirst returns a function for Repeating that answers the first request with "not run"
// and the others with EchoPath.
func RefuseFirst() func(*http.Request) string {
	var seen atomic.Bool
	return func(r *http.Request) string {
		if seen.Swap(true) {
			return EchoPath(r, true)
		}
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			exchange.HeaderRequestID, r.Header.Get(exchange.HeaderRequestID), exchange.HeaderRunState, exchange.RunStateNotRun)
	}
}

// Always answers each request with the same bytes, whatever they are, and then ends the
// connection. It returns the address.
func Always(t testing.TB, answer string) string {
	t.Helper()
	return CutHead{Head: answer, Length: len(answer)}.Start(t)
}

package httpserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// testTimeout bounds waits that end much earlier unless the machine is busy.
const testTimeout = 20 * time.Second

func start(t *testing.T, l Limits, h http.HandlerFunc) *Server {
	t.Helper()
	return startConfig(t, Config{Limits: l, Handler: h})
}

// startConfig starts a server on a free port.
func startConfig(t *testing.T, c Config) *Server {
	t.Helper()
	c.Address = "127.0.0.1:0"
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Start(context.Background()) }()
	t.Cleanup(func() {
		_ = s.Stop(context.Background())
		if err := <-ended; err != nil {
			t.Errorf("Start: %v", err)
		}
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendRaw sends a raw request, with \n for \r\n, and returns everything that the
// server sends until it closes the connection.
func sendRaw(t *testing.T, s *Server, raw string) string {
	t.Helper()
	c := dial(t, s)
	_, _ = io.WriteString(c, strings.ReplaceAll(raw, "\n", "\r\n"))
	all, err := io.ReadAll(c)
	// A server that closes with unread bytes left resets the connection.
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the server did not close: %v after %q", err, all)
	}
	return string(all)
}

func hasCode(response string, c resultcode.Code) bool {
	return strings.HasPrefix(response, fmt.Sprintf("HTTP/1.1 %d ", c.Info().Status)) &&
		strings.Contains(response, fmt.Sprintf("%s: %d\r\n", resultcode.Header, c)) && strings.Contains(response, `"run_state":"not_run"`)
}

// readBody responds with the size of the request body, or with the refusal if
// reading it fails.
func readBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refusal.Write(w, "", err)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

// Guards against callers that use memory or time without bound.
func TestLimits(t *testing.T) {
	s := start(t, Limits{HeaderBytes: 1000, HeaderTimeout: 200 * time.Millisecond, BodyTimeout: 200 * time.Millisecond}, readBody)
	const head = "POST / HTTP/1.1\nHost: x\nConnection: close\n"
	if a := sendRaw(t, s, head+"X: "+strings.Repeat("x", 1500)+"\n\n"); !hasCode(a, resultcode.HeadersTooLarge) {
		t.Errorf("header beyond the limit of 1000 bytes: response %q, want HeadersTooLarge", a)
	}
	if a := sendRaw(t, s, head+"X: "+strings.Repeat("x", 100<<10)+"\n\n"); !strings.HasPrefix(a, "HTTP/1.1 431 ") {
		t.Errorf("header of 100 KiB: response %q, want status 431", a)
	}
	if a := sendRaw(t, s, "POST / HTTP/1.1\nHost:"); a != "" {
		t.Errorf("incomplete header after HeaderTimeout: response %q, want the connection closed without one", a)
	}
	if a := sendRaw(t, s, head+"Content-Length: 10\n\nabc"); !hasCode(a, resultcode.RequestTooSlow) {
		t.Errorf("incomplete body after BodyTimeout: response %q, want RequestTooSlow", a)
	}
	if a := sendRaw(t, s, head+"Content-Length: 3\n\nabc"); !strings.HasSuffix(a, "\r\n\r\n3") {
		t.Errorf("request within the limits: response %q, want body 3", a)
	}
}

// Guards against responses that block forever on a caller that does not read.
func TestSlowReader(t *testing.T) {
	ended := make(chan error, 1)
	s := start(t, Limits{WriteTimeout: 100 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	})
	_, _ = io.WriteString(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-ended:
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Fatalf("ended by %v, want a timeout", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the response is still blocked")
	}
}

// Guards against deadlines that stay in force too long: on a request that is
// processed long after its body was read, and on a stream that lasts longer than
// each timeout and than the default timeout of kratos.
func TestLongWork(t *testing.T) {
	const step = 60 * time.Millisecond
	s := start(t, Limits{BodyTimeout: 4 * step, WriteTimeout: 4 * step, HeaderTimeout: 4 * step}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/quiet" {
			time.Sleep(8 * step)
			_, _ = io.WriteString(w, fmt.Sprint(r.Context().Err()))
			return
		}
		for i := range 20 {
			_, _ = fmt.Fprintf(w, "data: %d\n\n", i)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(step)
		}
		time.Sleep(8 * step) // the end of the body is written after this
	})
	c := dial(t, s)
	br := bufio.NewReader(c)
	for range 2 { // deadlines of the first request must not affect the second
		_, _ = io.WriteString(c, "POST /quiet HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "<nil>" || err != nil {
			t.Fatalf("request processed for longer than each timeout: context error %q, read error %v, want none", body, err)
		}
	}
	_, _ = io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	first, err := bufio.NewReader(io.LimitReader(resp.Body, 9)).ReadString('\n')
	if err != nil || first != "data: 0\n" || time.Since(begin) > 10*step {
		t.Fatalf("first event %q after %s, %v", first, time.Since(begin), err)
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: 19\n\n") {
		t.Fatalf("rest of the stream is %q, %v; want it to end with event 19", rest, err)
	}
}

// Guards against more connections than allowed, against a new caller that is refused
// because of connections that nobody uses, and against closed connections that still
// count.
func TestOpenConnections(t *testing.T) {
	release := map[string]chan bool{"/0": make(chan bool), "/1": make(chan bool)}
	s := start(t, Limits{OpenConnections: 2}, func(w http.ResponseWriter, r *http.Request) {
		if leave := release[r.URL.Path]; leave != nil {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-leave
		}
	})
	first, second := dial(t, s), dial(t, s)
	for i, c := range []net.Conn{first, second} {
		_, _ = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
	}
	if a := sendRaw(t, s, "GET / HTTP/1.1\nHost: x\n\n"); !hasCode(a, resultcode.VMOverloaded) {
		t.Fatalf("third connection, limit 2: response %q, want VMOverloaded", a)
	}
	close(release["/0"])
	waitIdle(t, s, 1)
	close(release["/1"])
	waitIdle(t, s, 2)
	if a := sendRaw(t, s, "GET / HTTP/1.1\nHost: x\nConnection: close\n\n"); !strings.HasPrefix(a, "HTTP/1.1 200") {
		t.Fatalf("third connection, both others idle: response %q, want status 200", a)
	}
	rest, err := io.ReadAll(first)
	if err != nil || !strings.Contains(string(rest), fmt.Sprintf("%s: %d\r\n", resultcode.Header, resultcode.ConnectionClosing)) {
		t.Fatalf("the connection that was idle for longest got %q, %v, want ConnectionClosing", rest, err)
	}
	_ = second.Close()
	for end := time.Now().Add(testTimeout); s.Connections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a closed connection is still counted")
		}
	}
	if a := sendRaw(t, s, "GET / HTTP/1.1\nHost: x\nConnection: close\n\n"); !strings.HasPrefix(a, "HTTP/1.1 200") {
		t.Fatalf("new connection after another was closed: response %q, want status 200", a)
	}
}

// waitIdle waits until n connections have no request.
func waitIdle(t *testing.T, s *Server, n int) {
	t.Helper()
	idle := func() int {
		s.listener.conns.mu.Lock()
		defer s.listener.conns.mu.Unlock()
		return s.listener.conns.waiting.Len()
	}
	for end := time.Now().Add(testTimeout); idle() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are idle, want %d", idle(), n)
		}
	}
}

// Guards against request smuggling, against ambiguous heads that a proxy could
// parse differently, and against paths that the router rewrites.
func TestAmbiguousRequests(t *testing.T) {
	var seen atomic.Int64
	s := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.RequestURI)
	})
	const hidden = "GET /hidden HTTP/1.1\nHost: x\n\n"
	a := sendRaw(t, s, "POST /a HTTP/1.1\nHost: x\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\n\n"+hidden)
	if strings.Contains(a, "hidden") || seen.Load() != 1 {
		t.Errorf("a request with both Content-Length and chunked encoding was parsed as two requests or did not reach the handler: response %q", a)
	}
	for name, raw := range map[string]string{
		"two lengths":         "POST / HTTP/1.1\nHost: x\nContent-Length: 1\nContent-Length: 2\n\nxx",
		"signed length":       "POST / HTTP/1.1\nHost: x\nContent-Length: +1\n\nx",
		"two encodings":       "POST / HTTP/1.1\nHost: x\nTransfer-Encoding: gzip, chunked\n\n0\n\n",
		"unknown encoding":    "POST / HTTP/1.1\nHost: x\nTransfer-Encoding: xchunked\n\n0\n\n",
		"space before colon":  "POST / HTTP/1.1\nHost: x\nContent-Length : 1\n\nx",
		"space in a name":     "GET / HTTP/1.1\nHost: x\nX Other: 1\n\n",
		"tab in a name":       "GET / HTTP/1.1\nHost: x\nX\tOther: 1\n\n",
		"control in a name":   "GET / HTTP/1.1\nHost: x\nX-\x01Other: 1\n\n",
		"no host":             "GET / HTTP/1.1\n\n",
		"two hosts":           "GET / HTTP/1.1\nHost: x\nHost: y\n\n",
		"control in a header": "GET / HTTP/1.1\nHost: x\nX: a\x00b\n\n",
	} {
		if a := sendRaw(t, s, raw); !strings.HasPrefix(a, "HTTP/1.1 400") && !strings.HasPrefix(a, "HTTP/1.1 501") {
			t.Errorf("request with %s: response %q, want status 400 or 501", name, a)
		}
	}
	if seen.Load() != 1 {
		t.Errorf("%d requests reached the handler, want 1", seen.Load())
	}
	if a := sendRaw(t, s, "GET /a//b/../c%2Fd HTTP/1.1\nHost: x\nConnection: close\n\n"); !strings.HasSuffix(a, "/a//b/../c%2Fd") {
		t.Errorf("the handler got a rewritten path: response %q", a)
	}
}

// Guards against a shutdown that aborts a request within the grace period, and
// against one that waits forever.
func TestStop(t *testing.T) {
	entered, leave := make(chan bool, 2), make(chan bool)
	h := func(w http.ResponseWriter, r *http.Request) {
		entered <- true
		select {
		case <-leave:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "whole")
	}
	s := start(t, Limits{}, h)
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if probe, err := net.Dial("tcp", s.Addr().String()); err != nil {
			break
		} else if _ = probe.Close(); time.Now().After(end) {
			t.Fatal("new connections are still accepted")
		}
	}
	close(leave)
	if all, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(all), "whole") || !strings.Contains(string(all), "Connection: close") {
		t.Fatalf("response to the open request during Stop: %q, %v; want it complete, with Connection: close", all, err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	leave = make(chan bool)
	s = start(t, Limits{Grace: 50 * time.Millisecond}, h)
	_, _ = io.WriteString(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	if err := s.Stop(context.Background()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("Stop with a request that outlasts the grace period returned %v, want DeadlineExceeded", err)
	}
}

// Guards against accepted connections without TCP_USER_TIMEOUT, where an
// unreachable caller would hold its stream, and against a server that is stopped
// before it was started and keeps its listener open.
func TestListener(t *testing.T) {
	s, err := New(Config{Address: "127.0.0.1:0", Limits: Limits{WriteTimeout: 7 * time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	dial(t, s)
	c, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*countedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	if e := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); e != nil || err != nil || got != 7000 {
		t.Errorf("TCP_USER_TIMEOUT is %d, want 7000 (%v, %v)", got, e, err)
	}
	_ = c.Close()
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if again, err := net.Listen("tcp", s.Addr().String()); err != nil {
		t.Errorf("the address is still in use: %v", err)
	} else {
		_ = again.Close()
	}
}

// Guards against a TLS listener that negotiates HTTP/2, to which the limits of
// this package do not apply, and against a handler that sees no r.TLS.
func TestTLS(t *testing.T) {
	sample := httptest.NewTLSServer(nil)
	defer sample.Close()
	c := &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return &tls.Config{Certificates: sample.TLS.Certificates}, nil
	}}
	s, err := New(Config{Address: "127.0.0.1:0", TLS: c, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.Proto, r.TLS != nil)
	})})
	if err != nil {
		t.Fatal(err)
	}
	if u, err := s.Endpoint(); err != nil || u.Scheme != "https" {
		t.Errorf("endpoint %v, error %v", u, err)
	}
	go s.Start(context.Background()) // ends with Stop
	defer s.Stop(context.Background())
	client := sample.Client()
	client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	resp, err := client.Get("https://" + s.Addr().String() + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close() // the test is over
	if body, err := io.ReadAll(resp.Body); string(body) != "HTTP/1.1true" || err != nil {
		t.Fatalf("protocol and whether r.TLS is set: %q, %v; want HTTP/1.1true", body, err)
	}
}

// Guards against health checks that reach the handler, and against a server that
// reports ready before it is ready or while it drains.
func TestHealth(t *testing.T) {
	var ready atomic.Bool
	s := start(t, Limits{}, func(http.ResponseWriter, *http.Request) { t.Error("a health check reached the handler") })
	s.config.Ready = ready.Load
	get := func(path string) string {
		return sendRaw(t, s, "GET "+path+" HTTP/1.1\nHost: x\nConnection: close\n\n")[len("HTTP/1.1 "):][:3]
	}
	if get(PathHealthy) != "200" || get(PathReady) != "503" {
		t.Error("before the server is ready: want status 200 from PathHealthy and 503 from PathReady")
	}
	ready.Store(true)
	if get(PathReady) != "200" {
		t.Error("when the server is ready: want status 200 from PathReady")
	}
	s.Drain()
	if get(PathHealthy) != "200" || get(PathReady) != "503" {
		t.Error("while the server drains: want status 200 from PathHealthy and 503 from PathReady")
	}
}

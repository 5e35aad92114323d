package httpserver

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

// ConnBytes is the memory that is reserved for each open connection: net/http's two
// buffers of 4 KiB and the stack of its goroutine.
const ConnBytes = 16 << 10

const (
	// maxRefusals bounds the refused connections that are being sent a response at
	// one time; beyond it refused connections are closed without a response.
	maxRefusals = 64
	// refusedShare lowers maxRefusals to a part of a small limit of connections, as a
	// divisor, but not below minRefusals.
	refusedShare, minRefusals = 8, 8
	// refusalTimeout bounds the time to send the response and to wait for the caller
	// to close the connection.
	refusalTimeout = 500 * time.Millisecond
)

// limitListener bounds the number of open connections. A connection beyond the
// bound is refused immediately, because in the backlog it would wait without getting
// a result code.
type limitListener struct {
	net.Listener
	limit int64
	// writeTimeout bounds the writes of a handshake and is TCP_USER_TIMEOUT of accepted
	// connections.
	writeTimeout time.Duration
	limits       Limits
	budget       *membudget.Budget // nil without a bound
	metrics      Metrics           // may be nil
	conns        connTable
	tls          *tls.Config // nil without TLS
	log          *slog.Logger
	count        atomic.Int64
	refusing     atomic.Int64
	evicted      evictions
	// buffers holds each *restBuffer that no connection uses.
	buffers sync.Pool
	// refusal is sent on a new connection beyond the limit, closing on an idle one that
	// is closed in favour of another.
	refusal, closing []byte
	idle             idleCloser
	// handshakes are those of connections that are refused because the server stops.
	handshakes sync.WaitGroup
}

func newLimitListener(l net.Listener, limits Limits, c Config) *limitListener {
	return &limitListener{
		Listener: l, limit: int64(limits.OpenConnections), writeTimeout: limits.WriteTimeout, tls: serverTLS(c.TLS), log: c.Logger,
		limits: limits, budget: c.Memory, metrics: c.Metrics,
		refusal: closingResponse(resultcode.New(resultcode.VMOverloaded, "this VM has too many open connections")),
		closing: closingResponse(resultcode.New(resultcode.ConnectionClosing, "this VM has too many open connections; the request was not run")),
	}
}

// closingResponse returns a complete response for a connection that is closed after
// it.
func closingResponse(err *resultcode.Error) []byte {
	info := err.Code.Info()
	body := refusal.Body("", err)
	retry := ""
	if info.Retry == resultcode.RetryLater {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %d\r\n%s\r\n%s",
		info.Status, http.StatusText(info.Status), len(body), resultcode.Header, uint32(err.Code), retry, body)
}

func (l *limitListener) open() int { return int(l.count.Load()) }

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if counted := l.admit(c); counted != nil {
			return counted, nil
		}
		l.observe(resultcode.VMOverloaded, closedAtLimit)
		l.refuse(c)
	}
}

// admit counts a connection. It returns nil if there are too many, and none of them is
// idle.
func (l *limitListener) admit(c net.Conn) *countedConn {
	var memory *membudget.Account
	if l.budget != nil {
		memory = l.budget.Open(membudget.Connections, "", nil)
	}
	for l.count.Add(1) > l.limit || (memory != nil && !memory.Grow(ConnBytes)) {
		l.count.Add(-1)
		if !l.makeRoom(sourceOf(c)) {
			return nil
		}
	}
	l.setUserTimeout(c)
	counted := newCountedConn(c, l)
	counted.memory = memory
	l.conns.add(counted)
	return counted
}

// refusals returns how many refused connections may be open at one time; they come on
// top of the limit.
func (l *limitListener) refusals() int64 {
	return min(maxRefusals, max(minRefusals, l.limit/refusedShare))
}

// Close implements net.Listener. Connections that wait to be accepted are refused
// first: the kernel would reset them, although a request may have been sent on them.
func (l *limitListener) Close() error {
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		l.refuseBacklog(tcp)
	}
	return l.Listener.Close()
}

// Bounds of the time to empty the backlog: acceptWait is how long another connection
// is awaited, backlogTimeout bounds all of it. With a wait of 5 ms a busy VM let it
// pass before the first attempt to accept.
const (
	acceptWait     = 60 * time.Millisecond
	backlogTimeout = 300 * time.Millisecond
)

// refuseBacklog refuses the connections that wait to be accepted, if the server stops.
func (l *limitListener) refuseBacklog(tcp *net.TCPListener) {
	for end := time.Now().Add(backlogTimeout); time.Now().Before(end); {
		if err := tcp.SetDeadline(time.Now().Add(acceptWait)); err != nil {
			return // the listener is closed
		}
		c, err := tcp.AcceptTCP()
		if err != nil {
			return
		}
		l.refuseNew(c)
	}
}

// refuseNew refuses a connection that was not accepted before the server stopped. With
// TLS it returns before the handshake; handshakes tells when that is done.
func (l *limitListener) refuseNew(tcp *net.TCPConn) {
	if l.tls == nil {
		l.idle.refuseNew(tcp)
		return
	}
	l.handshakes.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
		defer cancel()
		c := tls.Server(tcp, l.tls)
		if err := c.HandshakeContext(ctx); err != nil {
			l.log.Debug("TLS handshake failed", "remote", tcp.RemoteAddr().String(), "error", err)
			_ = tcp.Close() // no request can have been sent
			return
		}
		l.idle.refuseNew(c)
	})
}

// setUserTimeout makes the kernel close a connection whose caller acknowledges no
// data for writeTimeout. Otherwise an unreachable caller would hold its stream
// until the send buffer is full, because a write deadline takes effect only then.
func (l *limitListener) setUserTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the write deadline ends the connection, only later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.writeTimeout.Milliseconds()))
	})
}

// refuse sends the refusal and closes the connection. With TLS the connection is
// only closed, because a response would need a handshake first.
func (l *limitListener) refuse(c net.Conn) {
	if l.tls != nil || l.refusing.Add(1) > l.refusals() {
		if l.tls == nil {
			l.refusing.Add(-1)
		}
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer c.Close() // the error is of no use here
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := c.Write(l.refusal); err != nil {
			return
		}
		// Closing the connection while request bytes are unread would reset it, and the
		// caller could lose the response.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c)
	}()
}

package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxRefusals bounds the refused connections that are being sent a response at
	// one time; beyond it refused connections are closed without a response.
	maxRefusals = 64
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
	// userTimeout is TCP_USER_TIMEOUT of accepted connections.
	userTimeout time.Duration
	plaintext   bool
	count       atomic.Int64
	refusing    atomic.Int64
	refusal     []byte
	idle        idleCloser
}

func newLimitListener(l net.Listener, limits Limits, plain bool) *limitListener {
	return &limitListener{
		Listener: l, limit: int64(limits.OpenConnections), userTimeout: limits.WriteTimeout, plaintext: plain,
		refusal: closingResponse(resultcode.New(resultcode.VMOverloaded, "this VM has too many open connections")),
	}
}

// closingResponse returns a complete response for a connection that is closed after
// it.
func closingResponse(err *resultcode.Error) []byte {
	info := err.Code.Info()
	body := refusal.Body("", err)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %d\r\nRetry-After: 1\r\n\r\n%s",
		info.Status, http.StatusText(info.Status), len(body), resultcode.Header, uint32(err.Code), body)
}

func (l *limitListener) open() int { return int(l.count.Load()) }

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.count.Add(1) <= l.limit {
			l.setUserTimeout(c)
			return &countedConn{Conn: c, listener: l}, nil
		}
		l.count.Add(-1)
		l.refuse(c)
	}
}

// Close implements net.Listener. Connections that wait to be accepted are refused
// first: the kernel would reset them, although a request may have been sent on them.
func (l *limitListener) Close() error {
	if tcp, ok := l.Listener.(*net.TCPListener); ok && l.plaintext {
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
		l.idle.refuseNew(c)
	}
}

// setUserTimeout makes the kernel close a connection whose caller acknowledges no
// data for userTimeout. Otherwise an unreachable caller would hold its stream
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
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.userTimeout.Milliseconds()))
	})
}

// refuse sends the refusal and closes the connection. With TLS the connection is
// only closed, because a response would need a handshake first.
func (l *limitListener) refuse(c net.Conn) {
	if !l.plaintext || l.refusing.Add(1) > maxRefusals {
		if l.plaintext {
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

// countedConn decrements the count of open connections when it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
	state    connState
}

// Close implements net.Conn. While the server stops, an idle connection is refused
// first and closed by idleCloser.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.count.Add(-1) })
	if c.listener.idle.take(c) {
		return nil
	}
	return c.Conn.Close()
}

// Reset closes the connection with a reset, so that a response that only the close of
// the connection ends does not look complete.
func (c *countedConn) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	c.once.Do(func() { c.listener.count.Add(-1) })
	return c.Conn.Close()
}

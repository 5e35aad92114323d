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
	// maxRefusals bounds the connections that are being told that there are too
	// many; beyond it they are closed without a word.
	maxRefusals = 64
	// refusalTime bounds one such goodbye.
	refusalTime = 500 * time.Millisecond
)

// limitListener bounds the open connections. A connection beyond the bound is
// refused at once: left in the backlog it would wait without a code.
type limitListener struct {
	net.Listener
	limit int64
	// userTimeout is TCP_USER_TIMEOUT of accepted connections.
	userTimeout time.Duration
	plain       bool
	count       atomic.Int64
	refusing    atomic.Int64
	refusal     []byte
}

func newLimitListener(l net.Listener, limits Limits, plain bool) *limitListener {
	return &limitListener{
		Listener: l, limit: int64(limits.OpenConnections), userTimeout: limits.WriteTimeout, plain: plain, refusal: overloaded(),
	}
}

// overloaded is the answer on a connection beyond the bound.
func overloaded() []byte {
	err := resultcode.New(resultcode.VMOverloaded, "this VM has too many open connections")
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

// setUserTimeout makes the kernel close a connection whose caller acknowledges
// nothing for so long. A caller that vanished would else hold its stream until
// the send buffer is full, since only then a write deadline takes effect.
func (l *limitListener) setUserTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option the connection still ends, only later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.userTimeout.Milliseconds()))
	})
}

// refuse tells the caller why and closes the connection. Over TLS that would
// take a handshake, so the connection is only closed.
func (l *limitListener) refuse(c net.Conn) {
	if !l.plain || l.refusing.Add(1) > maxRefusals {
		if l.plain {
			l.refusing.Add(-1)
		}
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer c.Close() // nothing is left to do
		_ = c.SetDeadline(time.Now().Add(refusalTime))
		if _, err := c.Write(l.refusal); err != nil {
			return
		}
		// Closing while the request is unread would reset the connection and
		// could destroy the answer on its way.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c)
	}()
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.count.Add(-1) })
	return c.Conn.Close()
}

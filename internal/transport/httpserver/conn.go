package httpserver

import (
	"container/list"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

// countedConn is an accepted connection. It decrements the count of open connections
// when it is closed.
//
// TLS is part of it, and not wrapped around it as net/http does: net/http closes an idle
// *tls.Conn with an alert, after which no refusal can be sent.
type countedConn struct {
	net.Conn          // the accepted connection, or a *tls.Conn on it
	accepted net.Conn // the accepted connection
	listener *limitListener
	// tlsState is set after the TLS handshake.
	tlsState atomic.Pointer[tls.ConnectionState]
	once     sync.Once
	state    connState
	guard    *headGuard
	// source is the caller's address without the port.
	source string
	memory *membudget.Account // nil without a budget
	// waiting and removed are guarded by the listener's connTable; waiting is set while
	// the connection has no request.
	waiting *list.Element
	removed bool
}

func newCountedConn(c net.Conn, l *limitListener) *countedConn {
	counted := &countedConn{Conn: c, accepted: c, listener: l}
	if l.tls != nil {
		counted.Conn = tls.Server(c, l.tls)
	}
	counted.source = sourceOf(c)
	counted.guard = newHeadGuard(counted, &l.limits, l.budget)
	return counted
}

// forget takes the connection out of the counts, once.
func (c *countedConn) forget() {
	c.once.Do(func() {
		c.listener.count.Add(-1)
		c.listener.conns.remove(c)
		c.guard.release()
		if c.memory != nil {
			c.memory.Release()
		}
	})
}

// SetReadDeadline implements net.Conn.
func (c *countedConn) SetReadDeadline(t time.Time) error { return c.guard.setReadDeadline(t) }

// Write implements net.Conn. After a refusal nothing else is sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.state.answered() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. The first read makes the TLS handshake; the read deadline
// bounds it.
func (c *countedConn) Read(p []byte) (int, error) {
	if secure, ok := c.Conn.(*tls.Conn); ok && c.tlsState.Load() == nil {
		if err := c.handshake(secure); err != nil {
			c.listener.log.Debug("TLS handshake failed", "remote", c.RemoteAddr().String(), "error", err)
			return 0, io.EOF // net/http answers other errors with a response
		}
	}
	return c.guard.Read(p)
}

func (c *countedConn) handshake(secure *tls.Conn) error {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout)); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(c.listener.limits.HeaderTimeout)); err != nil {
		return err
	}
	if err := secure.Handshake(); err != nil {
		c.refusePlaintext(err)
		return err
	}
	state := secure.ConnectionState()
	c.tlsState.Store(&state)
	if err := c.SetReadDeadline(time.Now().Add(c.listener.limits.IdleTimeout)); err != nil {
		return err
	}
	return c.SetWriteDeadline(time.Time{})
}

// refusePlaintext answers a caller that did not begin with a TLS record.
func (c *countedConn) refusePlaintext(handshake error) {
	var record tls.RecordHeaderError
	if errors.As(handshake, &record) && record.Conn != nil {
		// The connection is closed in any case.
		_, _ = record.Conn.Write(closingResponse(resultcode.New(resultcode.BadRequest, "this port speaks TLS only")))
	}
}

// takesRefusal reports whether a refusal can be written: with TLS, after the handshake.
func (c *countedConn) takesRefusal() bool {
	return c.listener.tls == nil || c.tlsState.Load() != nil
}

// CloseWrite ends the output. net/http calls it before it closes a connection with
// unread input, so that the caller does not lose the response.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. While the server stops, an idle connection is refused
// first and closed by idleCloser. One that was refused in favour of another is closed by
// evictions.
func (c *countedConn) Close() error {
	c.forget()
	if c.listener.idle.take(c) {
		return nil
	}
	return c.Conn.Close()
}

// Reset closes the connection with a reset, so that a response that only the close of
// the connection ends does not look complete. No TLS alert is sent.
func (c *countedConn) Reset() error {
	if tcp, ok := c.accepted.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	c.forget()
	return c.accepted.Close()
}

// serverTLS returns the configuration for a server that speaks HTTP/1.1 only.
func serverTLS(c *tls.Config) *tls.Config {
	if c == nil {
		return nil
	}
	c = c.Clone()
	c.NextProtos = []string{"http/1.1"}
	return c
}

// setTLS sets the field that net/http sets only for connections of type *tls.Conn.
func setTLS(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		r.TLS = c.tlsState.Load()
	}
}

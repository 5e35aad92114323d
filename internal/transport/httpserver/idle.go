package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// idleLinger is how long connections that were idle when the server stopped stay half
// open. A request that was on its way then arrives while the connection can still take
// it; closing it with unread bytes would reset it, and the caller could lose the
// refusal.
const idleLinger = 300 * time.Millisecond

// Uses of a connection.
const (
	connIdle int32 = iota
	connServing
	connRefused  // by idleCloser or closeIdle, which closes it
	connRejected // a head over a bound
)

// connState decides who may write a response on a connection: the handler of a request,
// or the code that closes the idle connection and states that no request on it runs. Only
// one of them ever does, so that this statement is true.
type connState struct{ use atomic.Int32 }

// serve claims the connection for a request. It returns false if the connection was
// refused.
func (s *connState) serve() bool {
	return s.use.CompareAndSwap(connIdle, connServing) || s.use.Load() == connServing
}

// idle gives the connection back after the response was sent completely.
func (s *connState) idle() { s.use.CompareAndSwap(connServing, connIdle) }

// refuse claims the connection for a refusal. It returns false during a request, and
// if the connection was refused before.
func (s *connState) refuse() bool { return s.use.CompareAndSwap(connIdle, connRefused) }

// reject is like refuse, for a connection that net/http closes.
func (s *connState) reject() bool { return s.use.CompareAndSwap(connIdle, connRejected) }

// answered reports whether a refusal was sent, after which nothing else is.
func (s *connState) answered() bool { return s.use.Load() >= connRefused }

func (s *connState) refused() bool { return s.use.Load() == connRefused }

// halfCloser is a connection that can end its output and go on with its input.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// idleCloser closes the idle connections of a server that stops. A request may be on
// its way on such a connection. Its caller finds a response that says that it was not
// run; a caller without a request finds the connection closed.
type idleCloser struct {
	response []byte // nil while the server does not stop

	mu      sync.Mutex
	waiting []net.Conn // refused, not closed yet
}

// begin makes take refuse idle connections.
func (i *idleCloser) begin() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.response = closingResponse(resultcode.New(resultcode.ConnectionClosing, "this VM is shutting down; the request was not run"))
}

// take refuses a connection if it is idle and the server stops. It reports whether the
// connection is closed later, by end.
func (i *idleCloser) take(c *countedConn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.response == nil || c.state.refused() {
		return c.state.refused()
	}
	half, ok := c.Conn.(halfCloser)
	if !ok || !c.takesRefusal() || !c.state.refuse() {
		return false
	}
	i.refuseLocked(half)
	return true
}

// refuseNew refuses a connection that was not accepted before the server stopped. Its
// TLS handshake is done.
func (i *idleCloser) refuseNew(c halfCloser) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.response == nil {
		_ = c.Close() // the server was closed without a stop
		return
	}
	i.refuseLocked(c)
}

// refuseLocked sends the refusal. end closes the connection later.
func (i *idleCloser) refuseLocked(c halfCloser) {
	sendClosing(c, i.response)
	i.waiting = append(i.waiting, c)
}

// sendClosing sends a refusal on an idle connection and ends the output.
func sendClosing(c halfCloser, response []byte) {
	// The send buffer of an idle connection is empty, so the write does not block. A
	// caller that has closed the connection needs no response.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(response)
	_ = c.CloseWrite()
}

// end closes the refused connections after idleLinger.
func (i *idleCloser) end(ctx context.Context) {
	i.mu.Lock()
	waiting := i.waiting
	i.waiting = nil
	i.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	linger := time.NewTimer(idleLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	for _, c := range waiting {
		_ = c.Close() // the process stops
	}
}

// connKey is the context key of a request's *countedConn.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// claimConn claims the connection of a request for its response. It returns false if
// the connection was refused: its caller was told that the request does not run.
func claimConn(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*countedConn)
	return !ok || c.state.serve()
}

// trackIdle is the server's hook for changes of a connection's state.
func trackIdle(c net.Conn, state http.ConnState) {
	if counted, ok := c.(*countedConn); ok && state == http.StateIdle {
		counted.state.idle()
		counted.guard.endRequest()
	}
}

package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

const (
	// bodyStep is the smallest reservation for a body whose length is not known, and
	// the first one of a long body.
	bodyStep = 16 << 10
	// bodySlack is the fraction of a body's size that is reserved on top of it, as a
	// divisor; io.ReadAll grows its buffer by a quarter.
	bodySlack = 4
	// deadlineStep is the smallest extension of a deadline; it saves system calls.
	deadlineStep = 100 * time.Millisecond
)

// deadlineBody is a request body whose bytes are reserved in the budget as they arrive,
// and that must arrive in time: at MinBodyRate once BodyGrace has passed, and within
// BodyTimeout.
type deadlineBody struct {
	io.ReadCloser
	limits  *Limits
	header  http.Header
	control *http.ResponseController
	// conn is the connection itself; drop uses it because the guard of the connection
	// may be locked by another account's reservation.
	conn   net.Conn
	memory *membudget.Account // nil without a budget
	length int64              // -1 if not known
	// reserved is the size of the account, received the number of bytes read.
	reserved, received int64
	began, deadline    time.Time
	failed             error
}

func newDeadlineBody(s *Server, w http.ResponseWriter, r *http.Request, control *http.ResponseController) *deadlineBody {
	b := &deadlineBody{ReadCloser: r.Body, limits: &s.limits, header: w.Header(), control: control, length: r.ContentLength, began: time.Now()}
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok && s.config.Memory != nil {
		b.conn = c.Conn
		b.memory = s.config.Memory.Open(membudget.Bodies, c.source, b.drop)
	}
	b.extend()
	return b
}

// drop ends the read of a body whose memory was given to another one.
func (b *deadlineBody) drop() { _ = b.conn.SetReadDeadline(pastDeadline()) }

// release gives the memory back at the end of the request.
func (b *deadlineBody) release() {
	if b.memory != nil {
		b.memory.Release()
	}
}

// ChargeTo counts the memory of the body against a customer instead of the caller's
// address.
func (b *deadlineBody) ChargeTo(customer string) {
	if b.memory != nil {
		b.memory.ChargeTo("customer " + customer)
	}
}

// extend moves the deadline as far as the bytes received so far allow.
func (b *deadlineBody) extend() {
	earned := time.Duration(float64(b.received) / float64(b.limits.MinBodyRate) * float64(time.Second))
	deadline := b.began.Add(min(b.limits.BodyTimeout, max(b.limits.BodyGrace, earned)))
	if deadline.Sub(b.deadline) < deadlineStep {
		return
	}
	b.deadline = deadline
	_ = b.control.SetReadDeadline(deadline)
	if b.memory != nil && b.memory.Dropped() {
		b.drop()
	}
}

// Read implements io.Reader. At the end of the body it removes the deadline, because
// net/http keeps reading in order to detect that the caller closes the connection.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if !b.reserve() {
		return 0, b.fail(overloadedBody())
	}
	switch {
	case err == nil:
		b.extend()
	case errors.Is(err, io.EOF):
		if b.memory != nil && !b.memory.Settle() {
			return 0, b.fail(overloadedBody())
		}
		_ = b.control.SetReadDeadline(time.Time{})
	case b.memory != nil && b.memory.Dropped():
		return 0, b.fail(overloadedBody())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(resultcode.Wrap(resultcode.RequestTooSlow, err, "the request body was not received in time"))
	}
	return n, err
}

// fail makes all further reads fail and the connection close: the rest of the body is
// not read, and its memory is free for others.
func (b *deadlineBody) fail(err *resultcode.Error) error {
	b.failed = err
	b.release()
	b.header.Set("Connection", "close")
	// net/http reads some of the rest before it closes the connection.
	_ = b.control.SetReadDeadline(time.Now().Add(refusalTimeout))
	return err
}

func overloadedBody() *resultcode.Error {
	return resultcode.New(resultcode.VMOverloaded, "this VM has too little memory for the request body")
}

// reserve reserves the memory of what was received. The reservation grows by half, as
// the reader's buffer does, but not beyond an announced length.
func (b *deadlineBody) reserve() bool {
	needed := b.received + b.received/bodySlack
	if b.memory == nil || needed <= b.reserved {
		return true
	}
	size := max(needed, bodyStep, b.reserved+b.reserved/2)
	if b.length >= 0 {
		size = min(size, b.length+b.length/bodySlack)
	}
	if !b.memory.Grow(size - b.reserved) {
		return false
	}
	b.reserved = size
	return true
}

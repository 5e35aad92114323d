package httpserver

import (
	"io"
	"math"
	"net"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/transport/membudget"
)

const (
	// maxRefusedRead bounds the input that is read and dropped after the refusal of a
	// head, so that the caller gets the refusal before the connection is reset.
	maxRefusedRead = 256 << 10
	// drainBufferBytes is the size of the reads that drop input.
	drainBufferBytes = 4 << 10
)

// restBuffer holds the bytes that were read behind the end of a head. It has the size of
// net/http's reads.
type restBuffer [4 << 10]byte

// headGuard bounds the request heads of one connection before net/http reads them.
//
// A read by net/http never gets bytes beyond the end of a head, so the next byte is the
// first of the body or of the next head. net/http decides which it is: it reads no byte
// of a body before it calls the handler, which first calls expectBody with the length.
// The body of a chunked request is followed by nothing, since the connection is closed
// after it.
type headGuard struct {
	conn   *countedConn
	limits *Limits

	mu   sync.Mutex
	scan headScanner
	// head is the memory of the head that is being read, request that of the request in
	// progress. Both are nil without a budget.
	head, request *membudget.Account
	// rest was read from the connection and not passed on yet. It is in buffer unless
	// that is nil or too small.
	rest   []byte
	buffer *restBuffer
	// body is the length of the rest of the current body.
	body int64
	// serving is set from the end of a head to the end of its response.
	serving bool
	// closed is set when the memory was given back; nothing is reserved after that.
	closed bool
	// deadline is that of the head in progress; zero before its first byte.
	deadline time.Time
}

func newHeadGuard(c *countedConn, limits *Limits, memory *membudget.Budget) *headGuard {
	g := &headGuard{conn: c, limits: limits, scan: headScanner{limits: limits}}
	if memory != nil {
		source := sourceOf(c.accepted)
		g.head = memory.Open(membudget.Heads, source, g.drop)
		g.request = memory.Open(membudget.Heads, source, g.drop)
	}
	return g
}

// sourceOf returns the address of the caller without its port.
func sourceOf(c net.Conn) string {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// pastDeadline ends a read at once.
func pastDeadline() time.Time { return time.Unix(1, 0) }

// drop ends the read of a head whose memory was given to another one.
func (g *headGuard) drop() { _ = g.conn.Conn.SetReadDeadline(pastDeadline()) }

// Read passes on bytes of one head or of one body.
func (g *headGuard) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	inBody, p := g.limitRead(p)
	n, err := g.fill(p)
	if n == 0 {
		return 0, g.readError(err)
	}
	if inBody {
		g.mu.Lock()
		g.body -= int64(n)
		g.mu.Unlock()
		return n, nil
	}
	return g.follow(p[:n])
}

// limitRead shortens p to what may be read now: the rest of a body, or one byte during
// a request, with which net/http detects that the caller closes the connection.
func (g *headGuard) limitRead(p []byte) (inBody bool, limited []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.body > 0:
		return true, p[:min(int64(len(p)), g.body)]
	case g.serving:
		return false, p[:1]
	}
	return false, p
}

// fill reads what is left over from the previous read, or from the connection.
func (g *headGuard) fill(p []byte) (int, error) {
	g.mu.Lock()
	if len(g.rest) > 0 {
		n := copy(p, g.rest)
		if g.rest = g.rest[n:]; len(g.rest) == 0 {
			g.freeRestLocked()
		}
		g.mu.Unlock()
		return n, nil
	}
	g.mu.Unlock()
	return g.conn.Conn.Read(p)
}

// keepLocked keeps p for the next read, before what is left over already.
func (g *headGuard) keepLocked(p []byte) {
	if len(g.rest) > 0 || len(p) > len(restBuffer{}) {
		g.rest = append(append(make([]byte, 0, len(p)+len(g.rest)), p...), g.rest...)
		return
	}
	if g.buffer == nil {
		g.buffer, _ = g.conn.listener.buffers.Get().(*restBuffer)
	}
	if g.buffer == nil {
		g.buffer = new(restBuffer)
	}
	g.rest = append(g.buffer[:0], p...)
}

// freeRestLocked lets other connections use the buffer.
func (g *headGuard) freeRestLocked() {
	g.rest = nil
	if g.buffer != nil {
		g.conn.listener.buffers.Put(g.buffer)
		g.buffer = nil
	}
}

// readError returns the error of a read that got nothing.
func (g *headGuard) readError(err error) error {
	g.mu.Lock()
	dropped := g.head != nil && !g.serving && g.head.Dropped()
	g.mu.Unlock()
	if dropped {
		return g.refuse(overloadedHead(), closedMemory)
	}
	return err
}

// follow scans bytes of a head. It returns how many of them net/http gets now; those
// behind the end of the head are kept for the next read.
func (g *headGuard) follow(p []byte) (int, error) {
	g.mu.Lock()
	if g.closed { // the request arrived while its idle connection was being closed
		g.mu.Unlock()
		return 0, net.ErrClosed
	}
	first := !g.scan.started()
	n, done, err := g.scan.scan(p)
	if first && !g.serving {
		g.startClockLocked()
	}
	if err == nil && !g.serving && !g.reserveLocked() {
		err = overloadedHead()
	}
	if err != nil {
		g.mu.Unlock()
		return 0, g.refuse(err, headCloseReason(err.Code))
	}
	if n < len(p) {
		g.keepLocked(p[n:])
	}
	if done && !g.endHeadLocked() {
		err = overloadedHead()
	}
	g.mu.Unlock()
	if err != nil {
		return 0, g.refuse(err, closedMemory)
	}
	return n, nil
}

// startClockLocked starts the time in which the head must be complete.
func (g *headGuard) startClockLocked() {
	g.conn.listener.conns.busy(g.conn)
	g.deadline = time.Now().Add(g.limits.HeaderTimeout)
	_ = g.conn.Conn.SetReadDeadline(g.deadline) // an error shows in the next read
}

// reserveLocked reserves the memory of the head so far.
func (g *headGuard) reserveLocked() bool {
	if g.head == nil {
		return true
	}
	missing := g.scan.cost() - g.head.Size()
	if missing <= 0 {
		return true
	}
	return g.head.Grow((missing + headStep - 1) / headStep * headStep)
}

func overloadedHead() *resultcode.Error {
	return resultcode.New(resultcode.VMOverloaded, "this VM has too little memory for the request's header")
}

// endHeadLocked prepares for the request and for the head after it. It returns false if
// the memory of the head was given to another one.
func (g *headGuard) endHeadLocked() bool {
	if g.head != nil && !g.head.Settle() {
		return false
	}
	g.head, g.request = g.request, g.head
	g.scan = headScanner{limits: g.limits}
	g.serving = true
	g.deadline = time.Time{}
	return true
}

// setReadDeadline sets a deadline of net/http or of a body. It does not extend that of
// a head.
func (g *headGuard) setReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.deadline.IsZero() && (t.IsZero() || t.After(g.deadline)) {
		t = g.deadline
	}
	if g.head != nil && !g.serving && g.head.Dropped() {
		t = pastDeadline()
	}
	return g.conn.Conn.SetReadDeadline(t)
}

// expectBody tells the length of the body that follows the head, or -1 if only the
// end of the connection or chunks delimit it.
func (g *headGuard) expectBody(length int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.body = length; length < 0 {
		g.body = math.MaxInt64
	}
}

// endRequest is called when a response is complete.
func (g *headGuard) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving = false
	if g.request != nil {
		g.request.Release()
	}
	if g.scan.started() { // the first byte of the next head came during the request
		g.startClockLocked()
		return
	}
	g.conn.listener.conns.idle(g.conn)
}

// release gives the memory back when the connection is closed.
func (g *headGuard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.head != nil {
		g.head.Release()
		g.request.Release()
	}
}

// refuse answers a head that is over a bound, and returns the error after which
// net/http closes the connection without a response of its own.
func (g *headGuard) refuse(err *resultcode.Error, reason string) error {
	c := g.conn
	closed := &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	if !c.state.reject() {
		return closed // the connection was refused already
	}
	c.listener.observe(err.Code, reason)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, writeErr := c.Conn.Write(closingResponse(err)); writeErr != nil {
		return closed
	}
	if half, ok := c.Conn.(halfCloser); ok {
		_ = half.CloseWrite()
	}
	// Closing the connection while input is unread would reset it, and the caller could
	// lose the response.
	drain(c.Conn)
	return closed
}

// drain reads and drops a bounded amount of input.
func drain(r io.Reader) {
	buf := make([]byte, drainBufferBytes)
	for left := maxRefusedRead; left > 0; {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

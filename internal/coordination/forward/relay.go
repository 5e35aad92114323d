package forward

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// readSize is the size of one read of an answer.
const readSize = 16 << 10

// maxEventBytes bounds an event of a resumable stream.
const maxEventBytes = 1 << 20

// relay passes an answer on while it arrives. A resumable stream passes whole
// events only, so that it can go on at another endpoint.
type relay struct {
	call    *call
	control *http.ResponseController
	// whole says that only whole events are passed on.
	whole    bool
	unframed bool
	held     []byte
	lastID   string
	// first is the time from the request's arrival to the first bytes, last that
	// of the newest ones, pause the longest time between two.
	first, last, pause time.Duration
}

// newRelay writes the head of the answer.
func newRelay(c *call, resp *exchange.Response) *relay {
	r := &relay{call: c, control: http.NewResponseController(c.w)}
	r.whole = c.route.Resumable && resp.Status == http.StatusOK
	r.unframed = resp.CloseDelimited && !r.whole
	h := c.w.Header()
	copyHeader(h, resp.Header)
	h.Del("Content-Length")
	switch {
	case r.unframed:
		// The caller must see the same end as this entry: the end of the connection.
		h.Set("Transfer-Encoding", "identity")
	case resp.ContentLength >= 0 && !r.whole:
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.w.WriteHeader(resp.Status)
	return r
}

// resumable says whether another endpoint may go on with the stream.
func (r *relay) resumable() bool { return r.whole }

// copy passes the body on. An error says that the answer is not complete.
func (r *relay) copy(resp *exchange.Response) error {
	r.held = r.held[:0]
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := r.write(buf[:n]); werr != nil {
				resp.Body.Discard()
				return resultcode.Wrap(resultcode.CallerGone, werr, "the caller takes no more")
			}
		}
		if errors.Is(err, io.EOF) {
			return r.end(resp)
		}
		if err != nil {
			return err
		}
	}
}

func (r *relay) end(resp *exchange.Response) error {
	if len(r.held) > 0 {
		return resultcode.New(resultcode.AnswerIncomplete, "the stream ended inside an event")
	}
	return resp.Body.Close()
}

func (r *relay) write(p []byte) error {
	if r.whole {
		p = r.takeEvents(p)
	}
	if len(p) == 0 {
		return nil
	}
	r.observe(r.call.server.now() - r.call.arrived)
	if _, err := r.call.w.Write(p); err != nil {
		return err
	}
	return r.control.Flush()
}

// observe notes when bytes were passed on.
func (r *relay) observe(at time.Duration) {
	if r.first == 0 {
		r.first = at
	} else {
		r.pause = max(r.pause, at-r.last)
	}
	r.last = at
}

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// takeEvents returns the whole events and keeps the rest for the next read.
func (r *relay) takeEvents(p []byte) []byte {
	r.held = append(r.held, p...)
	at := bytes.LastIndex(r.held, eventEnd)
	if at < 0 {
		if len(r.held) > maxEventBytes {
			at = len(r.held) - len(eventEnd)
		} else {
			return nil
		}
	}
	out := bytes.Clone(r.held[:at+len(eventEnd)])
	r.held = append(r.held[:0], r.held[at+len(eventEnd):]...)
	r.noteEvents(out)
	return out
}

func (r *relay) noteEvents(p []byte) {
	for line := range bytes.Lines(p) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// abort breaks the connection, so that the answer does not look complete.
func (r *relay) abort() {
	if r.unframed {
		if conn, _, err := r.control.Hijack(); err == nil {
			resetConnection(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a connection with a reset: after an orderly end an
// answer without a length would look complete.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // the connection ends in any case
	}
	_ = conn.Close()
}

// endOf checks that nothing follows the announced length.
func endOf(b exchange.Body) error {
	var one [1]byte
	if n, err := b.Read(one[:]); n != 0 || !errors.Is(err, io.EOF) {
		b.Discard()
		return resultcode.New(resultcode.AnswerIncomplete, "the answer does not end at its length")
	}
	return b.Close()
}

// copyHeader copies the fields that are not for one connection only.
func copyHeader(to, from http.Header) {
	exchange.RemoveHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}

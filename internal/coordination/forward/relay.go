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
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// readSize is the buffer size for reads of a response body.
const readSize = 16 << 10

// maxEventBytes bounds one event of a resumable stream, which is held until it is
// complete. An endpoint that sends more is in trouble, and another one resumes the
// stream.
const maxEventBytes = 256 << 10

// maxHeldBytes bounds the incomplete events of all streams together, in bytes. An endpoint
// may stall within an event until the deadline of the request.
const maxHeldBytes = 32 << 20

// relay passes a response on as it arrives. For a resumable stream it passes on
// complete events only, so that another endpoint can resume the stream.
type relay struct {
	call    *call
	control *http.ResponseController
	// unsent is the first response until its head is written, together with the first byte
	// of the body. A response that breaks off before is not passed on.
	unsent *exchange.Response
	// wholeEvents is set if only complete events are passed on; pending holds the
	// beginning of the next one.
	wholeEvents bool
	// closeDelimited is set if only the close of the caller's connection ends the body.
	closeDelimited bool
	// events is set if the first response declared a stream of events.
	events bool
	// stream is set if the first response is a stream of events; eventCount counts
	// those that were passed on.
	stream     bool
	eventCount int
	pending    []byte
	// confirmed is set once an event of the current response has been passed on.
	confirmed bool
	// held is the part of pending that is counted in the server's total.
	held   int64
	lastID string
	// tail holds the last bytes of the current response that were passed on.
	tail []byte
	// first and last are the times from the arrival of the request to the first and
	// to the latest write; pause is the longest time between two writes.
	first, last, pause time.Duration
}

// newRelay returns a relay for the first response.
func newRelay(c *call, resp *exchange.Response) *relay {
	r := &relay{call: c, control: http.NewResponseController(c.w), unsent: resp}
	r.wholeEvents = c.route.Resumable && c.isStream(resp)
	r.closeDelimited = !r.hasLength(resp) && !c.takesChunks
	r.events = hasEvents(resp.Header)
	r.stream = c.isStream(resp)
	return r
}

// hasLength reports whether the length of the first response is passed on. A resumed stream
// may have another one.
func (r *relay) hasLength(resp *exchange.Response) bool {
	return resp.ContentLength >= 0 && !r.wholeEvents
}

// begun reports whether the head has been written.
func (r *relay) begun() bool { return r.unsent == nil }

// writeHead writes the head of the response, unless that is done.
func (r *relay) writeHead() {
	if r.begun() {
		return
	}
	resp := r.unsent
	r.unsent = nil
	h := r.call.w.Header()
	copyHeader(h, resp.Header)
	h.Del("Content-Length")
	// Without either, net/http sends chunks: if this process ends within the body, the
	// kernel closes the connection in order, and only the missing last chunk shows it.
	switch {
	case r.hasLength(resp):
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	case r.closeDelimited:
		h.Set("Transfer-Encoding", "identity")
	}
	r.call.w.WriteHeader(resp.Status)
}

// resumable reports whether another endpoint may resume the stream.
func (r *relay) resumable() bool { return r.wholeEvents }

// copy passes the body on. It returns an error if the response is not complete.
func (r *relay) copy(resp *exchange.Response) error {
	r.pending, r.tail, r.confirmed = r.pending[:0], r.tail[:0], false
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := r.write(buf[:n]); werr != nil {
				resp.Body.Discard()
				return werr
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

// end passes on what was held back of a body that is complete, and closes it.
func (r *relay) end(resp *exchange.Response) error {
	if r.call.isStream(resp) && r.endsWithinEvent(resp) {
		return resultcode.New(resultcode.AnswerIncomplete, "the stream ended within an event")
	}
	if err := r.pass(r.pending); err != nil {
		resp.Body.Discard()
		return err
	}
	r.writeHead()
	return resp.Body.Close()
}

// endsWithinEvent reports whether the body ended before its last event was complete.
// The orderly close of a connection may be that of an endpoint that broke off, so a
// stream without other framing has at least one event. A body that has its announced
// length is complete.
func (r *relay) endsWithinEvent(resp *exchange.Response) bool {
	switch {
	case resp.ContentLength >= 0:
		return false
	case len(r.pending) > 0:
		return true
	case len(r.tail) == 0:
		return resp.CloseDelimited
	case resp.CloseDelimited, hasEvents(resp.Header):
		return lastEventEnd(r.tail) != len(r.tail)
	}
	return false
}

// isStream reports whether a response is a stream of events. A response with other
// content is passed on as on a plain route.
func (c *call) isStream(resp *exchange.Response) bool {
	return c.route.Kind == catalog.Streaming && resp.Status == http.StatusOK && !hasOtherContent(resp.Header)
}

// continues reports whether a response can be the next part of the stream.
func (r *relay) continues(resp *exchange.Response) bool {
	return r.call.isStream(resp) && (!r.events || hasEvents(resp.Header))
}

// keepTail keeps the last bytes of p, as many as tell whether an event ends there.
func (r *relay) keepTail(p []byte) {
	r.tail = append(r.tail, p[max(0, len(p)-maxEventEnd):]...)
	r.tail = r.tail[max(0, len(r.tail)-maxEventEnd):]
}

func (r *relay) write(p []byte) error {
	if r.wholeEvents {
		if total := r.countHeld(len(r.pending) + len(p)); total > maxHeldBytes {
			return resultcode.New(resultcode.AnswerIncomplete, "incomplete events of all streams exceed %d bytes", maxHeldBytes)
		}
		p = r.takeEvents(p)
		r.countHeld(len(r.pending))
		if len(r.pending) > maxEventBytes {
			return resultcode.New(resultcode.AnswerIncomplete, "an event of the stream exceeds %d bytes", maxEventBytes)
		}
	}
	return r.pass(p)
}

// pass writes p to the caller.
func (r *relay) pass(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if r.wholeEvents && !r.confirmed {
		if err := r.call.confirmVersion(); err != nil {
			return err
		}
		r.confirmed = true
	}
	if r.wholeEvents {
		r.recordLastID(p)
	}
	if r.stream {
		r.eventCount += countEvents(r.tail, p)
	}
	r.keepTail(p)
	r.observe(r.call.server.now() - r.call.arrived)
	r.writeHead()
	_, err := r.call.w.Write(p)
	if err == nil {
		err = r.control.Flush()
	}
	if err != nil {
		return resultcode.Wrap(resultcode.CallerGone, err, "writing to the caller failed")
	}
	return nil
}

// observe records the time of a write to the caller.
func (r *relay) observe(at time.Duration) {
	if r.first == 0 {
		r.first = at
		r.call.recordBegun()
	} else {
		r.pause = max(r.pause, at-r.last)
	}
	r.last = at
}

// takeEvents returns the complete events and keeps the rest for the next read.
func (r *relay) takeEvents(p []byte) []byte {
	r.pending = append(r.pending, p...)
	end := lastEventEnd(r.pending)
	out := bytes.Clone(r.pending[:end])
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return out
}

// countHeld counts n bytes for the stream's incomplete event and returns the count of all
// streams.
func (r *relay) countHeld(n int) int64 {
	change := int64(n) - r.held
	r.held += change
	return r.call.server.heldBytes.Add(change)
}

// release frees the memory for the incomplete event.
func (r *relay) release() {
	r.pending = nil
	r.countHeld(0)
}

// recordLastID records the identifier of the last event in p.
func (r *relay) recordLastID(p []byte) {
	for line := range bytes.Lines(p) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// abort breaks the connection to the caller, so that the response does not look
// complete.
func (r *relay) abort() {
	if r.closeDelimited {
		if conn, _, err := r.control.Hijack(); err == nil {
			resetConnection(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a connection with a reset. After an orderly close, a
// close-delimited response would look complete.
func resetConnection(conn net.Conn) {
	if c, ok := conn.(interface{ Reset() error }); ok {
		_ = c.Reset() // the connection is closed in any case
		return
	}
	_ = conn.Close()
}

// expectEOF checks that the body ends at its announced length, and closes it.
func expectEOF(b exchange.Body) error {
	var one [1]byte
	if n, err := b.Read(one[:]); n != 0 || !errors.Is(err, io.EOF) {
		b.Discard()
		return resultcode.New(resultcode.AnswerIncomplete, "the response body does not end at its announced length")
	}
	return b.Close()
}

// copyHeader copies all fields but the hop-by-hop ones. A response without a Date
// field is passed on without one.
func copyHeader(to, from http.Header) {
	exchange.RemoveHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
}

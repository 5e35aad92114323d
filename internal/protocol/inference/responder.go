package inference

import (
	"bytes"
	"errors"
	"net/http"
	"strings"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
)

var errNotStarted = errors.New("an answer was written before its start")

// responder writes one answer to the caller.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *entry.Request
	id      string
	faults  faults

	started bool
	// events says that the answer is a stream of our own events.
	events bool
	// marked says that the end marker was already written as an event.
	marked bool
	// chunked answers are flushed with each write: nobody knows when the next
	// part follows.
	chunked bool
	buf     bytes.Buffer
}

var _ entry.ResponseWriter = (*responder)(nil)

func newResponder(w http.ResponseWriter, req *entry.Request, id string, f faults) *responder {
	return &responder{w: w, control: http.NewResponseController(w), req: req, id: id, faults: f}
}

// Start implements entry.ResponseWriter.
func (o *responder) Start(status int, header http.Header) error {
	if o.started {
		return resultcode.New(resultcode.Internal, "the answer was started twice")
	}
	o.started = true
	h := o.w.Header()
	copyHeader(h, header)
	h.Set(exchange.HeaderRequestID, o.id)
	o.events = o.req.Stream && status == http.StatusOK && isEventType(h)
	if o.events {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		// Keeps proxies in front from collecting events.
		h.Set("X-Accel-Buffering", "no")
		h.Del("Content-Length")
	}
	o.chunked = h.Get("Content-Length") == ""
	o.w.WriteHeader(status)
	return nil
}

func isEventType(h http.Header) bool {
	t := h.Get("Content-Type")
	return t == "" || strings.HasPrefix(strings.ToLower(t), "text/event-stream")
}

// copyHeader copies what a caller may see of an endpoint's header.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	exchange.RemoveHopByHop(to)
	for _, name := range []string{exchange.HeaderRequestID, exchange.HeaderRunState, resultcode.Header} {
		to.Del(name)
	}
}

// Event implements entry.ResponseWriter.
func (o *responder) Event(data []byte) error {
	if !o.started {
		return resultcode.Wrap(resultcode.Internal, errNotStarted, "event")
	}
	o.marked = bytes.Equal(data, []byte("[DONE]"))
	return o.event("", data)
}

// event frames one event and flushes it. Data with line ends takes one data
// field for each line.
func (o *responder) event(kind string, data []byte) error {
	o.buf.Reset()
	if kind != "" {
		o.buf.WriteString("event: " + kind + "\n")
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		o.buf.WriteString("data: ")
		o.buf.Write(bytes.TrimSuffix(line, []byte("\r")))
		o.buf.WriteByte('\n')
	}
	o.buf.WriteByte('\n')
	return o.put(o.buf.Bytes(), true)
}

// Write implements entry.ResponseWriter.
func (o *responder) Write(p []byte) error {
	if !o.started {
		return resultcode.Wrap(resultcode.Internal, errNotStarted, "write")
	}
	return o.put(p, o.chunked)
}

func (o *responder) put(p []byte, flush bool) error {
	if _, err := o.w.Write(p); err != nil {
		return gone(err)
	}
	if !flush {
		return nil
	}
	if err := o.control.Flush(); err != nil {
		return gone(err)
	}
	return nil
}

func gone(err error) error {
	return resultcode.Wrap(resultcode.CallerGone, err, "the caller does not take the answer")
}

// end finishes an answer that was started. A stream that failed ends with an
// error event and without the end marker; a plain body that failed aborts the
// connection, which is the only way to show that it is cut.
func (o *responder) end(err error) {
	switch {
	case err == nil && o.events && !o.marked:
		_ = o.event("", []byte("[DONE]"))
	case err == nil:
	case o.events:
		_ = o.event("error", refusal.Body(o.id, err))
		if o.faults.doneAfterError {
			_ = o.event("", []byte("[DONE]"))
		}
	case !o.faults.endCutBody:
		// The caller sees how far the answer came.
		_ = o.control.Flush()
		panic(http.ErrAbortHandler)
	}
}

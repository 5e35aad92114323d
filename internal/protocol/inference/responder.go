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

var errNotStarted = errors.New("response written before Start")

// responder writes one response to the caller.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *entry.Request
	id      string
	faults  faults

	started bool
	// eventStream is true if the response is a stream of server-sent events that
	// the responder frames itself.
	eventStream bool
	// doneSent is true if the last event was the end marker [DONE].
	doneSent bool
	// chunked is true for a response without Content-Length. It is flushed after
	// each write, because the next write can come much later.
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
		return resultcode.New(resultcode.Internal, "response started twice")
	}
	o.started = true
	h := o.w.Header()
	copyHeader(h, header)
	h.Set(exchange.HeaderRequestID, o.id)
	o.eventStream = o.req.Stream && status == http.StatusOK && isEventStream(h)
	if o.eventStream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		// Stops reverse proxies from buffering events.
		h.Set("X-Accel-Buffering", "no")
		h.Del("Content-Length")
	}
	o.chunked = h.Get("Content-Length") == ""
	o.w.WriteHeader(status)
	return nil
}

func isEventStream(h http.Header) bool {
	t := h.Get("Content-Type")
	return t == "" || strings.HasPrefix(strings.ToLower(t), "text/event-stream")
}

// copyHeader copies an endpoint's response header without the hop-by-hop fields
// and the entry's own fields.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	exchange.RemoveHopByHop(dst)
	for _, name := range []string{exchange.HeaderRequestID, exchange.HeaderRunState, exchange.HeaderIncarnation, resultcode.Header} {
		dst.Del(name)
	}
}

// Event implements entry.ResponseWriter.
func (o *responder) Event(data []byte) error {
	if !o.started {
		return resultcode.Wrap(resultcode.Internal, errNotStarted, "event")
	}
	o.doneSent = bytes.Equal(data, []byte("[DONE]"))
	return o.writeEvent("", data)
}

// writeEvent writes and flushes one event. Each line of data becomes a data
// field of its own, as the event-stream format requires.
func (o *responder) writeEvent(kind string, data []byte) error {
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
	return o.send(o.buf.Bytes(), true)
}

// Write implements entry.ResponseWriter.
func (o *responder) Write(p []byte) error {
	if !o.started {
		return resultcode.Wrap(resultcode.Internal, errNotStarted, "write")
	}
	return o.send(p, o.chunked)
}

func (o *responder) send(p []byte, flush bool) error {
	if _, err := o.w.Write(p); err != nil {
		return callerGone(err)
	}
	if !flush {
		return nil
	}
	if err := o.control.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) error {
	return resultcode.Wrap(resultcode.CallerGone, err, "writing the response to the caller failed")
}

// finish ends a response that was started. A failed stream ends with an error
// event and without the end marker. For a failed plain body the connection is
// aborted, the only way to tell the caller that the body is truncated.
func (o *responder) finish(err error) {
	switch {
	case err == nil && o.eventStream && !o.doneSent:
		_ = o.writeEvent("", []byte("[DONE]"))
	case err == nil:
	case o.eventStream:
		_ = o.writeEvent("error", refusal.Body(o.id, err))
		if o.faults.doneAfterError {
			_ = o.writeEvent("", []byte("[DONE]"))
		}
	case !o.faults.endTruncatedBody:
		// Sends what was written before the failure.
		_ = o.control.Flush()
		panic(http.ErrAbortHandler)
	}
}

package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

// streamRun sends the events of a run, starting with event from (0-based).
func (e *Engine) streamRun(w http.ResponseWriter, r *http.Request, run *run, from int, f Faults) {
	if f.Late > 0 {
		time.Sleep(f.Late)
	}
	setRequestIDHeader(w, run.id, f)
	e.setIncarnation(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, control: http.NewResponseController(w), chat: run.chat, model: run.model, id: run.id}
	if f.Repeat && from > 0 {
		out.event(from-1, run.text(from-1))
	}
	for n := from; ; n++ {
		if injectFault(w, r, f, n) {
			return
		}
		generated, finished := run.wait(r.Context(), n)
		if r.Context().Err() != nil {
			return // the run continues, so that the stream can be resumed
		}
		if generated <= n && finished {
			break
		}
		if !out.event(n, run.text(n)) {
			return
		}
	}
	if run.wasCancelled() {
		panic(http.ErrAbortHandler)
	}
	out.text("data: [DONE]\n\n")
}

// injectFault injects the fault that is set for the position before event n and
// reports whether the stream ends there.
func injectFault(w http.ResponseWriter, r *http.Request, f Faults, n int) bool {
	switch n + 1 {
	case f.SilentAt:
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return true
	case f.CutAt:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.EndAt:
		return true
	case f.ErrorAt:
		_, _ = w.Write([]byte("event: error\ndata: {\"error\":{\"message\":\"fault\",\"type\":\"engine_fault\"}}\n\n"))
		return true
	}
	return false
}

// eventWriter writes the server-sent events of a stream.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	chat    bool
	model   string
	id      string
	buf     []byte
}

// event sends one token, which must need no JSON escaping, and reports whether
// the write succeeded.
func (o *eventWriter) event(n int, token string) bool {
	b := append(o.buf[:0], "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\ndata: {\"id\":"...)
	b = strconv.AppendQuote(b, o.id)
	b = append(b, ",\"model\":"...)
	b = strconv.AppendQuote(b, o.model)
	if o.chat {
		b = append(b, ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""...)
		b = append(b, token...)
		b = append(b, "\"}}]}\n\n"...)
	} else {
		b = append(b, ",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\""...)
		b = append(b, token...)
		b = append(b, "\"}]}\n\n"...)
	}
	o.buf = b
	return o.text(string(b))
}

func (o *eventWriter) text(s string) bool {
	if _, err := o.w.Write([]byte(s)); err != nil {
		return false
	}
	return o.control.Flush() == nil
}

// serveResume continues a stream on a new connection.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.recordRequest(r, nil)
	id := r.PathValue("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", false)
		return
	}
	f := e.takeFaults(nil)
	if f.Repeat {
		f = Faults{Repeat: true}
	}
	e.mu.Lock()
	run := e.runs[id]
	e.mu.Unlock()
	if run == nil && f.ResumeUnknown {
		run = newRun(id)
		run.stream, run.finished, run.generated = true, true, from+defaultTokens
		run.text = TextOf([]byte("another incarnation"))
	}
	if run == nil || !run.stream || f.NoResume || run.wasCancelled() {
		w.Header().Set(exchange.HeaderRequestID, id)
		writeError(w, http.StatusNotFound, "request_unknown", false)
		return
	}
	e.streamRun(w, r, run, from, f)
}

// serveCancel cancels a run.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.recordRequest(r, nil)
	id := r.PathValue("id")
	e.mu.Lock()
	run := e.runs[id]
	if run != nil {
		e.counters.cancelled[id]++
	}
	e.wake.Signal()
	e.mu.Unlock()
	if run == nil {
		writeError(w, http.StatusNotFound, "request_unknown", false)
		return
	}
	run.stop()
	w.WriteHeader(http.StatusNoContent)
}

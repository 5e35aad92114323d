package httpserver

import (
	"io"
	"net/http"
	"time"

	"github.com/radishloom/radishloom/internal/transport/membudget"
)

// maxWriteBytes bounds the data that is written under one write deadline.
const maxWriteBytes = 32 << 10

// serve applies the limits and calls the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !claimConn(r) {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
	expectBody(r)
	setTLS(r)
	control := http.NewResponseController(w)
	s.extendWriteDeadline(control)
	// net/http writes the end of the response after the handler has returned.
	defer s.extendWriteDeadline(control)
	if s.closeAfterResponse(r) {
		w.Header().Set("Connection", "close")
	}
	if r.Body != nil && r.Body != http.NoBody {
		body := newDeadlineBody(s, w, r, control)
		defer body.release()
		r.Body = body
	}
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		serveOptions(w, r)
		return
	}
	if !s.config.DisableHealthChecks && s.health(w, r) {
		return
	}
	out := &deadlineWriter{ResponseWriter: w, control: control, server: s, source: sourceOfRequest(r)}
	defer out.release()
	s.config.Handler.ServeHTTP(out, r)
}

func (s *Server) extendWriteDeadline(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
}

// closeAfterResponse reports whether the connection is closed after the response:
// while draining, and after a request whose length a proxy in front could have
// interpreted differently. net/http lets Transfer-Encoding override
// Content-Length without reporting that both were present. Therefore the
// connection is closed after every chunked request, so that bytes that follow it
// are never parsed as another request (request smuggling).
func (s *Server) closeAfterResponse(r *http.Request) bool {
	return s.draining.Load() || len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1)
}

// sourceOfRequest returns the address of the caller without its port.
func sourceOfRequest(r *http.Request) string {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		return c.source
	}
	return ""
}

// expectBody tells the connection's guard how many bytes of body follow the head.
func expectBody(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*countedConn)
	if !ok || r.Body == nil || r.Body == http.NoBody {
		return
	}
	c.guard.expectBody(r.ContentLength)
}

// maxOptionsBody bounds in bytes what is read of the body of an OPTIONS * request.
const maxOptionsBody = 4 << 10

// serveOptions answers an OPTIONS * request as net/http does.
func serveOptions(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "0")
	if r.ContentLength != 0 {
		// A longer body closes the connection.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOptionsBody))
	}
}

// health answers health checks and reports whether the request was one.
func (s *Server) health(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case PathHealthy:
		writeText(w, http.StatusOK, "ok\n")
	case PathReady:
		if s.draining.Load() || (s.config.Ready != nil && !s.config.Ready()) {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
		} else {
			writeText(w, http.StatusOK, "ready\n")
		}
	default:
		return false
	}
	return true
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// deadlineWriter sets a new write deadline for each piece that it writes.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	server  *Server
	source  string
	memory  *membudget.Account // opened by Hold
}

// Hold reserves the memory of an answer that is buffered, in place of what was reserved
// before, until the request ends. It returns false if there is too little.
func (w *deadlineWriter) Hold(n int64) bool {
	if w.server.config.Memory == nil {
		return true
	}
	if w.memory == nil {
		w.memory = w.server.config.Memory.Open(membudget.Answers, w.source, nil)
	}
	w.memory.Release()
	return w.memory.Grow(n)
}

func (w *deadlineWriter) release() {
	if w.memory != nil {
		w.memory.Release()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	total := 0
	for {
		w.server.extendWriteDeadline(w.control)
		n, err := w.ResponseWriter.Write(p[:min(len(p), maxWriteBytes)])
		total += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return total, err
		}
	}
}

// FlushError flushes under a new write deadline. http.ResponseController calls it.
func (w *deadlineWriter) FlushError() error {
	w.server.extendWriteDeadline(w.control)
	return w.control.Flush()
}

// Flush implements http.Flusher.
func (w *deadlineWriter) Flush() { _ = w.FlushError() }

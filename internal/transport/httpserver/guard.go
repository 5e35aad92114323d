package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// maxWriteBytes bounds the data that is written under one write deadline.
const maxWriteBytes = 32 << 10

// serve applies the limits and calls the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if !claimConn(r) {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
	setTLS(r)
	control := http.NewResponseController(w)
	s.extendWriteDeadline(control)
	// net/http writes the end of the response after the handler has returned.
	defer s.extendWriteDeadline(control)
	if s.closeAfterResponse(r) {
		w.Header().Set("Connection", "close")
	}
	if headerBytes(r) > s.limits.HeaderBytes {
		w.Header().Set("Connection", "close")
		refusal.Write(w, "", resultcode.New(resultcode.HeadersTooLarge, "the header has more than %d bytes", s.limits.HeaderBytes))
		return
	}
	if !s.config.DisableHealthChecks && s.health(w, r) {
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		_ = control.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
		r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
	}
	s.config.Handler.ServeHTTP(&deadlineWriter{ResponseWriter: w, control: control, server: s}, r)
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

// headerBytes returns the size of the request line and the header in their usual
// form on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n ")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
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

// deadlineBody is a request body that must arrive before a read deadline.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader. At the end of the body it removes the deadline,
// because net/http keeps reading in order to detect that the caller closes the
// connection.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = resultcode.Wrap(resultcode.RequestTooSlow, err, "the request body was not received in time")
	}
	return n, err
}

// deadlineWriter sets a new write deadline for each piece that it writes.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	server  *Server
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

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

// writePiece is the most that is written under one write deadline.
const writePiece = 32 << 10

// serve applies the limits and passes the request on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	s.renewWrite(control)
	// The end of the answer is written after the handler has returned.
	defer s.renewWrite(control)
	if s.closesAfter(r) {
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
		r.Body = &timedBody{ReadCloser: r.Body, control: control}
	}
	s.config.Handler.ServeHTTP(&writer{ResponseWriter: w, control: control, server: s}, r)
}

func (s *Server) renewWrite(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
}

// closesAfter says that no further request is taken from the connection: while
// draining, and after a request whose length a proxy in front could have read
// differently. net/http lets Transfer-Encoding override Content-Length without
// showing that both were there, so no chunked request keeps its connection, and
// bytes behind it are never taken for a request.
func (s *Server) closesAfter(r *http.Request) bool {
	return s.draining.Load() || len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1)
}

// headerBytes is the size of the request line and the header as they are
// usually written.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(" HTTP/1.1\r\nHost: \r\n ")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// health answers the health checks.
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

// timedBody is a request body with a deadline for all of it.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader. At the end of the body the deadline goes, because
// net/http goes on reading to notice when the caller closes the connection.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = resultcode.Wrap(resultcode.RequestTooSlow, err, "the body took too long to arrive")
	}
	return n, err
}

// writer renews the write deadline with each piece.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	server  *Server
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *writer) Write(p []byte) (int, error) {
	total := 0
	for {
		w.server.renewWrite(w.control)
		n, err := w.ResponseWriter.Write(p[:min(len(p), writePiece)])
		total += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return total, err
		}
	}
}

// FlushError is used by http.ResponseController.
func (w *writer) FlushError() error {
	w.server.renewWrite(w.control)
	return w.control.Flush()
}

// Flush implements http.Flusher.
func (w *writer) Flush() { _ = w.FlushError() }

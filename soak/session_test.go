package soak

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/platform/standin"
)

// maxBody is larger than any body of an endpoint that is sound.
const maxBody = 1 << 20

var errBodyTooLarge = errors.New("the body of the response has no end")

// session is a caller's connection. It reads whatever arrives as the response to what it
// has just sent: unlike net/http it knows of no unasked response.
type session struct {
	address string
	// http10 makes the caller one of HTTP/1.0, for which the close of the connection ends a
	// body of unknown length.
	http10 bool
	conn   net.Conn
	reader *bufio.Reader
	// received holds what has arrived for the present exchange, up to maxReceived bytes.
	received received
}

// maxReceived is larger than a head of an entry with a small body.
const maxReceived = 8 << 10

// received keeps the first bytes that are written to it.
type received struct{ bytes.Buffer }

// Write implements io.Writer.
func (r *received) Write(p []byte) (int, error) {
	r.Buffer.Write(p[:min(len(p), maxReceived-r.Len())]) // never fails
	return len(p), nil
}

func (s *session) open() bool { return s.conn != nil }

func (s *session) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the connection is not used again
	}
	s.conn = nil
}

// exchange sends a request, which states the deadline given, and records its response. The
// connection is kept after a complete response that does not end it.
func (s *session) exchange(r *http.Request, o *outcome, deadline time.Duration) {
	defer func() { o.took = time.Since(o.sent) }()
	if s.conn == nil {
		conn, err := net.DialTimeout("tcp", s.address, callerTimeout)
		if err != nil {
			o.err = err
			return
		}
		s.conn, s.reader = conn, bufio.NewReader(io.TeeReader(conn, &s.received))
	}
	s.received.Reset()
	defer func() { o.malformed = findMalformed(s.received.String(), s.version()) }()
	if o.err = s.conn.SetDeadline(time.Now().Add(max(callerTimeout, deadline+callerGrace))); o.err != nil {
		s.close()
		return
	}
	// A response may have arrived although the request could not be sent whole.
	sendErr := s.write(r)
	resp, err := http.ReadResponse(s.reader, r)
	if err != nil {
		o.err = errors.Join(err, sendErr)
		s.close()
		return
	}
	o.status, o.code, o.answerID = resp.StatusCode, resultCode(resp.Header), standin.ResponseID(resp.Header)
	o.retryAfter = retryAfter(resp.Header)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err == nil && len(data) == maxBody {
		err = errBodyTooLarge // the rest of the body is not read
	}
	o.body, o.complete, o.err = string(data), err == nil, err
	if err = errors.Join(err, sendErr); err != nil || resp.Close {
		s.close()
	}
}

// version returns the caller's version of HTTP.
func (s *session) version() string {
	if s.http10 {
		return "HTTP/1.0"
	}
	return "HTTP/1.1"
}

// write sends a request in the caller's version of HTTP.
func (s *session) write(r *http.Request) error {
	if !s.http10 {
		return r.Write(s.conn)
	}
	var request bytes.Buffer
	if err := r.Write(&request); err != nil {
		return err
	}
	_, err := s.conn.Write(bytes.Replace(request.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1))
	return err
}

// retryAfter returns when a caller may come back, or 0 if the response does not say it.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// resultCode returns the result code of a response, or 0.
func resultCode(h http.Header) resultcode.Code {
	code, err := strconv.ParseUint(h.Get(resultcode.Header), 10, 16)
	if err != nil {
		return 0 // the response has none
	}
	return resultcode.Code(code)
}

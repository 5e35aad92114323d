package httpclient

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/httpresponse"
)

// maxJoinedBody is the largest body that is sent in the same write as the head.
const maxJoinedBody = 16 << 10

// bodyEndTimeout bounds the wait for the end of a body whose end-of-stream marker
// was already read, before its connection is reused. The end usually arrives in
// the same packet as the marker or in the next one.
const bodyEndTimeout = 2 * time.Millisecond

var (
	errHeadTooLarge    = errors.New("the response head exceeds the size limit")
	errSkippedTooLarge = errors.New("responses to other requests exceed the size limit")
)

// conn is one connection to an endpoint. It carries one exchange at a time.
type conn struct {
	raw        net.Conn
	br         *bufio.Reader
	pool       *pool
	generation uint64
	maxHead    int
	openedAt   time.Time

	idleTimeout time.Duration
	// stop stops watching the context of the current exchange.
	stop func() bool
	// interrupted is set when that context has ended.
	interrupted atomic.Bool
	// written counts the bytes of the current request that the operating system
	// accepted.
	written int64
	// reused is set once the connection has carried a request that was answered.
	reused bool
	// refused has the requests that were refused on this connection.
	refused refusedRequests
	// skippedRefusal is set if a refusal of another request was skipped, which refused
	// may lack.
	skippedRefusal bool
	// sendFailed is set if the endpoint closed the connection before it read the whole
	// request, and had responded. The failed write has consumed the error of the socket:
	// reads then end in order, even if the connection was reset within the response.
	sendFailed bool
	// headLeft is the number of bytes that the response head may still take, or -1
	// outside a head.
	headLeft int
	// head checks the response head that is being read.
	head httpresponse.HeadChecker

	idleSince time.Time
	// idleLimit is the endpoint's own time-out for idle connections, or zero if
	// unknown.
	idleLimit time.Duration
	// unfinished is the body of the last exchange if it was read only up to its
	// end-of-stream marker.
	unfinished io.Reader
}

func newConn(raw net.Conn, p *pool, generation uint64, maxHead int) *conn {
	cn := &conn{raw: raw, pool: p, generation: generation, maxHead: maxHead, headLeft: -1, openedAt: time.Now()}
	cn.br = bufio.NewReaderSize(cn, 4<<10)
	return cn
}

// begin starts an exchange that is interrupted when ctx ends.
func (cn *conn) begin(ctx context.Context, idleTimeout time.Duration) {
	cn.idleTimeout = idleTimeout
	cn.written = 0
	cn.stop = context.AfterFunc(ctx, cn.interrupt)
}

// interrupt makes a blocked read or write fail.
func (cn *conn) interrupt() {
	cn.interrupted.Store(true)
	_ = cn.raw.SetDeadline(time.Unix(1, 0))
}

// extendDeadline gives the next read or write the full idle timeout. interrupted
// is checked after the deadline is set: if the context ends meanwhile, either
// this function or interrupt sets the past deadline last.
func (cn *conn) extendDeadline() error {
	if err := cn.raw.SetDeadline(time.Now().Add(cn.idleTimeout)); err != nil {
		return err
	}
	if cn.interrupted.Load() {
		return cn.raw.SetDeadline(time.Unix(1, 0))
	}
	return nil
}

// Read implements io.Reader for the buffered reader.
func (cn *conn) Read(p []byte) (int, error) {
	if cn.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if cn.headLeft > 0 && len(p) > cn.headLeft {
		p = p[:cn.headLeft]
	}
	if err := cn.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := cn.raw.Read(p)
	if cn.headLeft > 0 {
		cn.headLeft -= n
		if malformed := cn.head.Check(p[:n]); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// Write implements io.Writer and counts the bytes that the operating system
// accepted. Each piece has the full idle timeout.
func (cn *conn) Write(p []byte) (int, error) {
	const piece = 64 << 10
	total := 0
	for len(p) > 0 {
		if err := cn.extendDeadline(); err != nil {
			return total, err
		}
		n, err := cn.raw.Write(p[:min(len(p), piece)])
		total += n
		cn.written += int64(n)
		if err != nil {
			return total, err
		}
		p = p[n:]
	}
	return total, nil
}

// send writes the whole request.
func (cn *conn) send(req *exchange.Request) error {
	var head bytes.Buffer
	head.Grow(512 + min(len(req.Body), maxJoinedBody))
	if err := writeHead(&head, req, cn.pool.framing); err != nil {
		return err
	}
	if req.BodyReader != nil {
		return cn.sendChunks(&head, req.BodyReader)
	}
	if len(req.Body) <= maxJoinedBody {
		head.Write(req.Body)
		_, err := cn.Write(head.Bytes())
		return err
	}
	if _, err := cn.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := cn.Write(req.Body)
	return err
}

func (cn *conn) sendChunks(head *bytes.Buffer, body io.Reader) error {
	if _, err := cn.Write(head.Bytes()); err != nil {
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(cn, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(cn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return fmt.Errorf("read the request body: %w", err)
		}
	}
}

// writeHead writes the request line and the header. The fields in framing are
// omitted from the request's header and written here where needed.
func writeHead(w *bytes.Buffer, req *exchange.Request, framing map[string]bool) error {
	w.WriteString(req.Method)
	w.WriteByte(' ')
	w.WriteString(req.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(cmp.Or(req.Host, req.Address))
	w.WriteString("\r\n")
	if err := req.Header.WriteSubset(w, framing); err != nil {
		return err
	}
	switch {
	case req.BodyReader != nil:
		w.WriteString("Transfer-Encoding: chunked\r\n")
	case len(req.Body) > 0 || hasBody(req.Method):
		w.WriteString("Content-Length: ")
		w.WriteString(strconv.Itoa(len(req.Body)))
		w.WriteString("\r\n")
	}
	w.WriteString("\r\n")
	return nil
}

// framingFields returns the header fields that this package sets itself and the
// hop-by-hop fields.
func framingFields() map[string]bool {
	return map[string]bool{
		"Connection": true, "Content-Length": true, "Expect": true, "Host": true,
		"Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
		"Transfer-Encoding": true, "Upgrade": true,
	}
}

func hasBody(method string) bool {
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodDelete
}

// maxSkippedBody bounds the bodies of the responses that are skipped before the
// response to a request.
const maxSkippedBody = 256 << 10

// maxSkippedResponses bounds their number: each one costs some kilobytes to parse,
// however short it is.
const maxSkippedResponses = 64

// readHead reads the head of the final response. While an engine works on a
// response that is not streamed, it sends informational (1xx) responses so that
// the idle timeout applies as in a stream. Responses that accept rejects are
// skipped. All heads together are bounded by maxHead, all skipped bodies by
// maxSkippedBody, and skipped responses by maxSkippedResponses, because an endpoint
// in trouble may send them without end.
// It also returns how many were skipped.
func (cn *conn) readHead(method string, accept func(http.Header) bool) (resp *http.Response, skips int, err error) {
	headLeft, skipLeft := cn.maxHead, int64(maxSkippedBody)
	for {
		cn.headLeft = headLeft
		resp, err := cn.readOneHead(method)
		headLeft, cn.headLeft = cn.headLeft, -1
		if err != nil {
			return nil, skips, err
		}
		if accept != nil && resp.StatusCode >= http.StatusOK && !accept(resp.Header) {
			if skips++; skips > maxSkippedResponses {
				return nil, skips, fmt.Errorf("more than %d responses to other requests", maxSkippedResponses)
			}
			skipped, err := skipResponse(resp, skipLeft)
			if err != nil {
				return nil, skips, err
			}
			skipLeft -= skipped
			cn.skippedRefusal = cn.skippedRefusal || resp.StatusCode >= http.StatusBadRequest
			continue
		}
		cn.idleLimit = keepAliveLimit(resp.Header)
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, skips, errors.New("the endpoint switched protocols without an Upgrade request")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, skips, nil
		}
	}
}

// readOneHead reads the next head. The buffered reader may hold its beginning, behind an
// informational response or one that was skipped.
func (cn *conn) readOneHead(method string) (*http.Response, error) {
	cn.head = httpresponse.HeadChecker{}
	buffered, err := cn.br.Peek(cn.br.Buffered())
	if err != nil {
		return nil, err
	}
	if err := cn.head.Check(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(cn.br, &http.Request{Method: method})
	if malformed := cn.head.Err(); malformed != nil {
		return nil, malformed
	}
	return resp, err
}

// skipResponse reads a response to an earlier request to its end, and returns the
// size of its body.
func skipResponse(resp *http.Response, limit int64) (skipped int64, err error) {
	if !httpresponse.HasFraming(resp) {
		return 0, httpresponse.ErrCloseDelimited
	}
	skipped, err = io.CopyN(io.Discard, checkedBody{resp}, limit)
	if errors.Is(err, io.EOF) {
		return skipped, nil
	}
	if err == nil {
		err = errSkippedTooLarge
	}
	return skipped, err
}

// keepAliveLimit returns the timeout parameter of the Keep-Alive field, or zero.
func keepAliveLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// responseWaiting reports whether part of a response has arrived after sending
// failed.
func (cn *conn) responseWaiting() bool {
	if cn.interrupted.Load() {
		return false
	}
	cn.headLeft = -1
	_, err := cn.br.Peek(len("HTTP/"))
	return err == nil
}

// unwatch stops watching the context. It returns false if the context has ended:
// the connection then has a past deadline and cannot be reused.
func (cn *conn) unwatch() bool {
	if cn.stop == nil {
		return true
	}
	ok := cn.stop()
	cn.stop = nil
	return ok && !cn.interrupted.Load()
}

// rest prepares the connection for the pool.
func (cn *conn) markIdle() {
	_ = cn.raw.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
}

// reusable reports whether an idle connection is open, its last response was read
// to the end and no unsolicited byte, such as a late response, has arrived.
func (cn *conn) reusable() bool {
	if cn.unfinished != nil && !cn.readBodyEnd() {
		return false
	}
	return cn.br.Buffered() == 0 && openAndEmpty(cn.raw)
}

// readBodyEnd reports whether the body ends right after its end-of-stream marker.
func (cn *conn) readBodyEnd() bool {
	cn.idleTimeout = bodyEndTimeout
	var one [1]byte
	n, err := cn.unfinished.Read(one[:])
	cn.unfinished = nil
	return n == 0 && errors.Is(err, io.EOF)
}

func (cn *conn) close() { _ = cn.raw.Close() }

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
)

// joinLimit is the largest body that is copied behind the head so that both
// leave in one write.
const joinLimit = 16 << 10

// finishWait bounds the wait for the end of a body whose end marker was seen
// when its connection is about to be reused. The end follows the marker in the
// same or the next packet.
const finishWait = 2 * time.Millisecond

var errHeadTooLarge = errors.New("head of the answer is too large")

// conn is one connection to an endpoint. It carries one exchange at a time.
type conn struct {
	raw        net.Conn
	br         *bufio.Reader
	pool       *pool
	generation uint64
	maxHead    int

	silence time.Duration
	// stop ends the watch on the context of the running exchange.
	stop func() bool
	// interrupted is set when that context ended.
	interrupted atomic.Bool
	// written counts the bytes of the running exchange that the operating system
	// accepted.
	written int64
	// partial says that the endpoint answered before it took the whole request.
	partial bool
	// headLeft is what the head of the answer may still take, or -1 while a body
	// is read.
	headLeft int

	idleSince time.Time
	// idleLimit is how long the endpoint keeps the unused connection, or zero if
	// it does not say.
	idleLimit time.Duration
	// unfinished is the body of the last exchange if only its end marker was
	// read.
	unfinished io.Reader
}

func newConn(raw net.Conn, p *pool, generation uint64, maxHead int) *conn {
	cn := &conn{raw: raw, pool: p, generation: generation, maxHead: maxHead, headLeft: -1}
	cn.br = bufio.NewReaderSize(cn, 4<<10)
	return cn
}

// begin starts an exchange that ends early when ctx does.
func (cn *conn) begin(ctx context.Context, silence time.Duration) {
	cn.silence = silence
	cn.written = 0
	cn.stop = context.AfterFunc(ctx, cn.interrupt)
}

// interrupt wakes a blocked read or write.
func (cn *conn) interrupt() {
	cn.interrupted.Store(true)
	_ = cn.raw.SetDeadline(time.Unix(1, 0))
}

// extend gives the next read or write the full silence bound. If the context
// ends between the store and the load, one of both sides sets a past deadline.
func (cn *conn) extend() error {
	if err := cn.raw.SetDeadline(time.Now().Add(cn.silence)); err != nil {
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
	if err := cn.extend(); err != nil {
		return 0, err
	}
	n, err := cn.raw.Read(p)
	if cn.headLeft > 0 {
		cn.headLeft -= n
	}
	return n, err
}

// Write implements io.Writer and counts what the operating system accepted.
// Each piece has the full silence bound.
func (cn *conn) Write(p []byte) (int, error) {
	const piece = 64 << 10
	total := 0
	for len(p) > 0 {
		if err := cn.extend(); err != nil {
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
	head.Grow(512 + min(len(req.Body), joinLimit))
	if err := writeHead(&head, req, cn.pool.framing); err != nil {
		return err
	}
	if req.BodyReader != nil {
		return cn.sendChunks(&head, req.BodyReader)
	}
	if len(req.Body) <= joinLimit {
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
			return fmt.Errorf("read the body to send: %w", err)
		}
	}
}

// writeHead writes the request line and the header with its own framing fields
// in place of those that the request may hold.
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

// framingFields returns the fields that this package sets itself or that are
// only meant for one connection.
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

// readHead reads the head of the final answer. An engine that works on a whole
// answer sends informational answers meanwhile, so that silence has the same
// meaning as in a stream; only the context bounds their number.
func (cn *conn) readHead(method string, accept func(http.Header) bool) (*http.Response, error) {
	for {
		cn.headLeft = cn.maxHead
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: method})
		cn.headLeft = -1
		if err != nil {
			return nil, err
		}
		if accept != nil && resp.StatusCode >= http.StatusOK && !accept(resp.Header) {
			if err := passOver(resp); err != nil {
				return nil, err
			}
			continue
		}
		cn.idleLimit = keepAliveLimit(resp.Header)
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the endpoint switched protocols unasked")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// passOver reads an answer that belongs to an earlier request to its end.
func passOver(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoEnd
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// keepAliveLimit returns how long a connection may be unused according to the
// Keep-Alive field, or zero.
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

// answerWaiting says whether a part of an answer arrived although sending
// failed.
func (cn *conn) answerWaiting() bool {
	if cn.interrupted.Load() {
		return false
	}
	cn.headLeft = -1
	_, err := cn.br.Peek(len("HTTP/"))
	return err == nil
}

// end ends the watch on the context. It returns false if the context has ended,
// so that the connection has a past deadline and cannot be reused.
func (cn *conn) end() bool {
	if cn.stop == nil {
		return true
	}
	ok := cn.stop()
	cn.stop = nil
	return ok && !cn.interrupted.Load()
}

// rest prepares the connection for the pool.
func (cn *conn) rest() {
	_ = cn.raw.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
}

// usable says whether an idle connection is open, at the end of its last answer
// and without any byte that nobody asked for, such as a late answer.
func (cn *conn) usable() bool {
	if cn.unfinished != nil && !cn.finish() {
		return false
	}
	return cn.br.Buffered() == 0 && openAndEmpty(cn.raw)
}

// finish reads the end of a body whose end marker was read before.
func (cn *conn) finish() bool {
	cn.silence = finishWait
	var one [1]byte
	n, err := cn.unfinished.Read(one[:])
	cn.unfinished = nil
	return n == 0 && errors.Is(err, io.EOF)
}

func (cn *conn) close() { _ = cn.raw.Close() }

func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, r)
	})
}

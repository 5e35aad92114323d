package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

var errNoEnd = errors.New("the answer has neither a length nor chunks")

// body is the body of one answer. It is not safe for concurrent use.
type body struct {
	ctx  context.Context
	conn *conn
	r    io.Reader
	// endless says that only the end of the connection marks the end;
	// allowEndless accepts that.
	endless, allowEndless bool
	// once forbids the reuse of the connection.
	once bool
	// err is what Read returned last; the exchange is over when it is set.
	err error
}

var _ exchange.Body = (*body)(nil)

func newResponse(ctx context.Context, cn *conn, resp *http.Response, allowUnframed bool) *exchange.Response {
	b := &body{ctx: ctx, conn: cn, r: resp.Body, once: resp.Close || cn.partial}
	b.endless = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	b.allowEndless = allowUnframed
	b.once = b.once || b.endless
	out := &exchange.Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, CloseDelimited: b.endless, Body: b}
	if resp.ContentLength == 0 || resp.Body == http.NoBody {
		b.release()
	}
	return out
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.endless && !b.allowEndless:
		b.err = b.conn.fail(b.ctx, errNoEnd, stageBody)
	case errors.Is(err, io.EOF):
		b.release()
	default:
		b.err = b.conn.fail(b.ctx, err, stageBody)
	}
	return n, b.err
}

// release ends the exchange after a whole answer.
func (b *body) release() {
	b.err = io.EOF
	if !b.conn.end() || b.once || b.conn.br.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// Close implements exchange.Body.
func (b *body) Close() error {
	if b.err == nil {
		b.Discard()
	}
	return nil
}

// Finish implements exchange.Body.
func (b *body) Finish() {
	if b.err != nil {
		return
	}
	b.err = io.EOF
	if !b.conn.end() || b.once || b.endless {
		b.conn.close()
		return
	}
	b.conn.unfinished = b.r
	b.conn.pool.put(b.conn)
}

// Discard implements exchange.Body. After a whole answer the connection is
// already in the pool, where a mismatch that is noticed this late makes all
// idle connections suspect.
func (b *body) Discard() {
	if errors.Is(b.err, io.EOF) {
		b.conn.pool.silent()
	}
	if b.err != nil {
		return
	}
	b.err = io.ErrClosedPipe
	b.conn.end()
	b.conn.close()
}

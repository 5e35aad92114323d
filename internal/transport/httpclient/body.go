package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/httpresponse"
)

var errSendFailed = errors.New("the connection failed while the request was sent, and only its close would end the response")

// body is the body of one response. It is not safe for concurrent use.
type body struct {
	ctx  context.Context
	conn *conn
	r    io.Reader
	// closeDelimited is set if only the close of the connection ends the body;
	// allowCloseDelimited accepts such a body.
	closeDelimited, allowCloseDelimited bool
	// noReuse forbids reuse of the connection.
	noReuse bool
	// err ends the exchange; Read returns it from then on.
	err error
}

var _ exchange.Body = (*body)(nil)

func newResponse(ctx context.Context, cn *conn, resp *http.Response, req *exchange.Request) *exchange.Response {
	b := &body{ctx: ctx, conn: cn, r: checkedBody{resp}, noReuse: resp.Close || cn.sendFailed || cn.skippedRefusal || cn.refused.full()}
	b.closeDelimited = !httpresponse.HasFraming(resp)
	b.allowCloseDelimited = req.AllowCloseDelimited
	b.noReuse = b.noReuse || b.closeDelimited || (req.MayReuse != nil && !req.MayReuse(resp.StatusCode, resp.Header))
	out := &exchange.Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, CloseDelimited: b.closeDelimited, Body: b}
	if resp.ContentLength == 0 || resp.Body == http.NoBody {
		b.release()
	}
	return out
}

// checkedBody is the body of a response. It does not end in order if a field behind its last
// chunk has a malformed name: net/http accepts blanks there, as it does in heads.
type checkedBody struct{ *http.Response }

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := httpresponse.CheckNames(b.Trailer); malformed != nil {
		return n, malformed
	}
	return n, err
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.closeDelimited && b.conn.sendFailed {
		b.err = b.conn.fail(b.ctx, errSendFailed, stageBody)
		return 0, b.err
	}
	n, err := b.r.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.closeDelimited && !b.allowCloseDelimited:
		b.err = b.conn.fail(b.ctx, httpresponse.ErrCloseDelimited, stageBody)
	case errors.Is(err, io.EOF):
		b.release()
	default:
		b.err = b.conn.fail(b.ctx, err, stageBody)
	}
	return n, b.err
}

// release ends the exchange after a complete response.
func (b *body) release() {
	b.err = io.EOF
	if !b.conn.unwatch() || b.noReuse || b.conn.br.Buffered() > 0 {
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
	if !b.conn.unwatch() || b.noReuse || b.closeDelimited {
		b.conn.close()
		return
	}
	b.conn.unfinished = b.r
	b.conn.pool.put(b.conn)
}

// Discard implements exchange.Body. After a complete response the connection is
// already back in the pool, so all idle connections to the address are closed.
func (b *body) Discard() {
	if errors.Is(b.err, io.EOF) {
		b.conn.pool.invalidate()
	}
	if b.err != nil {
		return
	}
	b.err = io.ErrClosedPipe
	b.conn.unwatch()
	b.conn.close()
}

package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/httpresponse"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// stage is the part of an exchange in which it failed.
type stage int

const (
	stageSend stage = iota + 1
	stageHead
	stageBody
)

// validate refuses a request that cannot be written as an unambiguous head.
func validate(req *exchange.Request) error {
	if !httpresponse.IsToken(req.Method) || req.Method == http.MethodConnect {
		return resultcode.New(resultcode.BadRequest, "method %q is not allowed", req.Method)
	}
	bad := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }
	if !strings.HasPrefix(req.Target, "/") || strings.ContainsFunc(req.Target, bad) {
		return resultcode.New(resultcode.BadRequest, "the path or query is not properly escaped")
	}
	if strings.ContainsFunc(req.Address, bad) {
		return resultcode.New(resultcode.Internal, "address %q of the endpoint is malformed", req.Address)
	}
	return nil
}

// notSent returns the error of an exchange of which no byte was written.
func notSent(cause error, address string) error {
	return resultcode.Wrap(resultcode.EndpointUnreachable, cause, "nothing was sent to %s", address)
}

// fail ends the exchange, closes its connection and returns the error with its
// result code.
func (cn *conn) fail(ctx context.Context, cause error, at stage) error {
	cn.unwatch()
	cn.close()
	timeout := isTimeout(cause)
	if timeout && ctx.Err() == nil {
		cn.pool.invalidate()
	}
	if cn.written == 0 {
		return notSent(cause, cn.address())
	}
	return cn.classify(ctx, cause, timeout, at)
}

func (cn *conn) classify(ctx context.Context, cause error, timeout bool, at stage) error {
	address := cn.address()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return resultcode.Wrap(resultcode.CallerGone, cause, "the request to %s was cancelled", address)
	case ctx.Err() != nil:
		return resultcode.Wrap(resultcode.EndpointSilent, cause, "the deadline expired before %s completed the response", address)
	case timeout:
		return resultcode.Wrap(resultcode.EndpointSilent, cause, "no data to or from %s within the time limit", address)
	case at == stageBody:
		return resultcode.Wrap(resultcode.AnswerIncomplete, cause, "the response of %s was truncated", address)
	case isMalformed(cause):
		return resultcode.Wrap(resultcode.EndpointLost, cause, "%s sent no valid HTTP response", address)
	default:
		return resultcode.Wrap(resultcode.EndpointLost, cause, "the connection to %s failed", address)
	}
}

func (cn *conn) address() string { return cn.raw.RemoteAddr().String() }

func isMalformed(err error) bool {
	var malformed *httpresponse.MalformedError
	return errors.As(err, &malformed)
}

// isTimeout reports whether err is a time-out: a deadline of this package, or
// ETIMEDOUT, which the kernel returns after failed keep-alive probes and after
// TCP_USER_TIMEOUT.
func isTimeout(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return errors.Is(err, syscall.ETIMEDOUT)
}

// isClosedByPeer reports whether a write failed because the endpoint closed the
// connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// stage is how far an exchange had come when it failed.
type stage int

const (
	stageSend stage = iota + 1
	stageHead
	stageBody
)

// validate refuses what cannot be written as one unambiguous head.
func validate(req *exchange.Request) error {
	if !isToken(req.Method) || req.Method == http.MethodConnect {
		return resultcode.New(resultcode.BadRequest, "method %q cannot be sent", req.Method)
	}
	bad := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }
	if !strings.HasPrefix(req.Target, "/") || strings.ContainsFunc(req.Target, bad) {
		return resultcode.New(resultcode.BadRequest, "path or query is not properly escaped")
	}
	if strings.ContainsFunc(req.Address, bad) {
		return resultcode.New(resultcode.Internal, "address %q of the endpoint is malformed", req.Address)
	}
	return nil
}

// notSent is the error of an exchange of which no byte was written.
func notSent(cause error, address string) error {
	return resultcode.Wrap(resultcode.EndpointUnreachable, cause, "nothing was sent to %s", address)
}

// fail ends the exchange, closes its connection and returns the coded error.
func (cn *conn) fail(ctx context.Context, cause error, at stage) error {
	cn.end()
	cn.close()
	timeout := isTimeout(cause)
	if timeout && ctx.Err() == nil {
		cn.pool.silent()
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
		return resultcode.Wrap(resultcode.EndpointSilent, cause, "the deadline passed while %s was working", address)
	case timeout:
		return resultcode.Wrap(resultcode.EndpointSilent, cause, "%s was silent for too long", address)
	case at == stageBody:
		return resultcode.Wrap(resultcode.AnswerIncomplete, cause, "the answer of %s was cut", address)
	default:
		return resultcode.Wrap(resultcode.EndpointLost, cause, "the connection to %s broke", address)
	}
}

func (cn *conn) address() string { return cn.raw.RemoteAddr().String() }

// isTimeout covers our own deadlines and the kernel's ETIMEDOUT, which is what
// failed keep-alive probes and TCP_USER_TIMEOUT lead to.
func isTimeout(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return true
	}
	return errors.Is(err, syscall.ETIMEDOUT)
}

// isClosed says that the endpoint closed the connection while it was written
// to.
func isClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

package peerrpc

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"

	"github.com/twitchtv/twirp"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// metaCode is the twirp metadata key that carries a result code.
const metaCode = "radishloom_code"

// toTwirp converts an error of the control role to a twirp error that carries
// its result code as metadata.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	code := resultcode.Of(err)
	te := twirp.NewError(twirpCode(code), message(err))
	return te.WithMeta(metaCode, strconv.FormatUint(uint64(code), 10))
}

func message(err error) string {
	var re *resultcode.Error
	if errors.As(err, &re) {
		return re.Message
	}
	return err.Error()
}

func twirpCode(code resultcode.Code) twirp.ErrorCode {
	switch code {
	case resultcode.NoLeader, resultcode.NoFreshState, resultcode.Draining:
		return twirp.Unavailable
	case resultcode.DiskFull:
		return twirp.ResourceExhausted
	case resultcode.ChangeUnconfirmed:
		return twirp.DeadlineExceeded
	case resultcode.BadRequest:
		return twirp.InvalidArgument
	default:
		return twirp.Internal
	}
}

// fromTwirp converts the error of a call to a *resultcode.Error. An error
// without a result code is a network failure: it becomes NoLeader if nothing was
// sent (the connection could not be opened) and lostCode otherwise.
func fromTwirp(err error, lostCode resultcode.Code) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) {
		if n, perr := strconv.ParseUint(te.Meta(metaCode), 10, 32); perr == nil {
			return resultcode.New(resultcode.Code(n), "%s", te.Msg())
		}
	}
	if notSent(err) {
		return resultcode.Wrap(resultcode.NoLeader, err, "control VM cannot be reached")
	}
	return resultcode.Wrap(lostCode, err, "call to control VM failed")
}

// notSent reports whether err means that no part of the call was sent.
func notSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isTimeout reports whether a call timed out. After a time-out every open
// connection to that VM may be dead.
func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

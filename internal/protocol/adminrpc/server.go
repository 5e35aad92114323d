package adminrpc

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Metadata keys of twirp errors.
const (
	// MetaCode is the number of the result code.
	MetaCode = "result_code"
	// MetaRun is the run state: "not_run", "may_have_run" or "ran".
	MetaRun = "run"
)

const (
	// defaultLease is the freshness lease of entries.
	defaultLease = 4 * time.Second
	// maxWait bounds how long a call waits until a change is in force.
	maxWait = time.Minute
	// pollInterval is the interval at which a waiting call counts the VMs that have
	// the change in force.
	pollInterval = 50 * time.Millisecond
	// maxTextBytes bounds comments and notes.
	maxTextBytes = 1000
)

// Options of a Server. Fleet, Operators and Log are required.
type Options struct {
	// VM is the name of the VM that this server runs on.
	VM        string
	Fleet     Fleet
	Operators []Operator
	Log       *slog.Logger
	// Lease is the freshness lease of entries; zero means 4 s.
	Lease time.Duration
	// MaxBodyBytes bounds a request body; zero means 8 MiB.
	MaxBodyBytes int64
	// MaxOpen bounds concurrent calls; zero means 64.
	MaxOpen int
	// Random is the source of key secrets; nil means crypto/rand.
	Random io.Reader
	// Now returns the wall-clock time recorded in the history; nil means time.Now.
	Now func() time.Time
}

// Server implements adminv1.Admin.
type Server struct {
	o Options
}

var _ adminv1.Admin = (*Server)(nil)

// New returns a Server. Use Handler to serve it over HTTP.
func New(o Options) *Server {
	if o.Lease == 0 {
		o.Lease = defaultLease
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 8 << 20
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = 64
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{o: o}
}

// Handler returns an HTTP handler that authenticates the operator, enforces the
// limits and serves the call.
func (s *Server) Handler() http.Handler {
	return s.guard(adminv1.NewAdminServer(s))
}

// change identifies a call that changes the fleet.
type change struct {
	operator string
	call     string
	// id is the request identifier with the operator and the call as a prefix.
	id string
}

// newChange returns the change of a call, or an error if its request identifier is
// not valid.
func (s *Server) newChange(ctx context.Context, call, requestID string) (change, error) {
	operator := operatorOf(ctx)
	if !validRequestID(requestID) {
		return change{}, s.callError(ctx, resultcode.New(resultcode.BadRequest,
			"request_id must have 1 to 128 printable ASCII characters without spaces"))
	}
	return change{operator: operator, call: call, id: operator + "/" + call + "/" + requestID}, nil
}

func validRequestID(id string) bool {
	if id == "" || len(id) > 128 {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// propose completes the command with the data of the change and commits it. An
// error can be returned to the client as it is.
func (s *Server) propose(ctx context.Context, ch change, c *statev1.Command) (*statev1.Result, error) {
	c.RequestId = ch.id
	c.Author = ch.operator
	c.WallTimeMs = s.o.Now().UnixMilli()
	result, err := s.o.Fleet.Propose(ctx, c)
	if err == nil && result == nil {
		err = errors.New("propose returned no result")
	}
	if err != nil {
		return nil, s.unconfirmedError(ctx, ch, err)
	}
	s.o.Log.Info("change decided", "operator", ch.operator, "call", ch.call, "request_id", ch.id,
		"code", result.Code, "config_version", result.ConfigVersion, "index", result.Index)
	return result, nil
}

// unconfirmedError returns the error of a change that was not confirmed. It keeps
// the result code of err; without one, the change may have been made and the code
// is ChangeUnconfirmed.
func (s *Server) unconfirmedError(ctx context.Context, ch change, err error) error {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		coded = resultcode.Wrap(resultcode.ChangeUnconfirmed, err,
			"the change may have been made; retry it with the same request identifier")
	}
	s.o.Log.Warn("change not confirmed", "operator", ch.operator, "call", ch.call, "request_id", ch.id, "error", err)
	return s.callError(ctx, coded)
}

// callError converts an error to the twirp error of a call. Only the code and the
// message of a *resultcode.Error reach the client; any other error is logged and
// returned as resultcode.Internal.
func (s *Server) callError(ctx context.Context, err error) error {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		s.o.Log.Error("administration call failed", "operator", operatorOf(ctx), "error", err)
		coded = resultcode.New(resultcode.Internal, "internal error; see the log of VM %s for the cause", s.o.VM)
	}
	number := strconv.FormatUint(uint64(coded.Code), 10)
	// Setting the header fails outside a twirp call. The error is ignored, since the
	// metadata holds the same code.
	_ = twirp.SetHTTPResponseHeader(ctx, resultcode.Header, number)
	return twirpError(coded)
}

func twirpError(e *resultcode.Error) twirp.Error {
	info := e.Code.Info()
	return twirp.NewError(twirpCode(info), e.Message).
		WithMeta(MetaCode, strconv.FormatUint(uint64(e.Code), 10)).
		WithMeta(MetaRun, info.Run.String())
}

func twirpCode(info resultcode.Info) twirp.ErrorCode {
	switch info.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return twirp.InvalidArgument
	case http.StatusUnauthorized:
		return twirp.Unauthenticated
	case http.StatusNotFound:
		return twirp.NotFound
	case http.StatusConflict:
		return twirp.FailedPrecondition
	case http.StatusTooManyRequests, http.StatusInsufficientStorage:
		return twirp.ResourceExhausted
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return twirp.Unavailable
	default:
		return twirp.Internal
	}
}

// waitInForce waits until all live VMs have the version in force or waitMs has
// elapsed. It returns the number of VMs that have it and of live VMs.
func (s *Server) waitInForce(ctx context.Context, version uint64, waitMs uint32) (inForce, live uint32) {
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+maxWait)
	defer cancel()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		inForce, live = s.countInForce(ctx, version)
		if wait == 0 || (live > 0 && inForce == live) {
			return inForce, live
		}
		select {
		case <-timer.C:
			return inForce, live
		case <-ctx.Done():
			return inForce, live
		case <-time.After(pollInterval):
		}
	}
}

func (s *Server) countInForce(ctx context.Context, version uint64) (inForce, live uint32) {
	entries, err := s.o.Fleet.Entries(ctx)
	if err != nil {
		s.o.Log.Warn("could not count the VMs that have the change in force", "config_version", version, "error", err)
		return 0, 0
	}
	for _, e := range entries {
		if !e.Live {
			continue
		}
		live++
		if e.ConfigVersion >= version {
			inForce++
		}
	}
	return inForce, live
}

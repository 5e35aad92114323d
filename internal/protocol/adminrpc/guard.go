package adminrpc

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Operator may use the administration API with a token.
type Operator struct {
	Name        string
	TokenSHA256 [sha256.Size]byte
}

type operatorKey struct{}

// operatorOf returns the operator that guard found.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// guard refuses calls without a known token, beyond the number of concurrent
// calls, or with too large a body.
func (s *Server) guard(next http.Handler) http.Handler {
	open := make(chan struct{}, s.o.MaxOpen)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r.Header.Get("Authorization"))
		if !ok {
			s.refuse(w, resultcode.New(resultcode.OperatorUnknown, "the operator token is missing or not known"))
			return
		}
		select {
		case open <- struct{}{}:
			defer func() { <-open }()
		default:
			s.refuse(w, resultcode.New(resultcode.VMOverloaded, "too many administration calls are open at VM %s", s.o.VM))
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.o.MaxBodyBytes))
		if err != nil {
			s.refuse(w, bodyError(err, s.o.MaxBodyBytes))
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator))
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func bodyError(err error, limit int64) *resultcode.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return resultcode.New(resultcode.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	return resultcode.Wrap(resultcode.BadRequest, err, "the body could not be read")
}

// authenticate compares the token with that of every operator, so that the time
// says nothing about which one is close.
func (s *Server) authenticate(header string) (operator string, ok bool) {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	hash := sha256.Sum256([]byte(token))
	for i := range s.o.Operators {
		if subtle.ConstantTimeCompare(hash[:], s.o.Operators[i].TokenSHA256[:]) == 1 {
			operator = s.o.Operators[i].Name
			ok = true
		}
	}
	return operator, ok && bearer && token != ""
}

func (s *Server) refuse(w http.ResponseWriter, e *resultcode.Error) {
	w.Header().Set(resultcode.Header, strconv.FormatUint(uint64(e.Code), 10))
	if err := twirp.WriteError(w, twirpError(e)); err != nil {
		s.o.Log.Debug("refusal not written", "error", err)
	}
}

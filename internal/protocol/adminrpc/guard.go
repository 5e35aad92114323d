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

// Operator is a user of the administration API, identified by a token.
type Operator struct {
	Name        string
	TokenSHA256 [sha256.Size]byte
}

type operatorKey struct{}

// operatorOf returns the name of the operator that guard authenticated.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// guard refuses calls without a known operator token, calls over the limit of
// concurrent calls, and calls with a body that is too large.
func (s *Server) guard(next http.Handler) http.Handler {
	openCalls := make(chan struct{}, s.o.MaxOpen)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r.Header.Get("Authorization"))
		if !ok {
			s.refuse(w, resultcode.New(resultcode.OperatorUnknown, "the operator token is missing or unknown"))
			return
		}
		select {
		case openCalls <- struct{}{}:
			defer func() { <-openCalls }()
		default:
			s.refuse(w, resultcode.New(resultcode.VMOverloaded, "too many concurrent administration calls at VM %s", s.o.VM))
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
	var coded *resultcode.Error
	switch {
	case errors.As(err, &tooLarge):
		return resultcode.New(resultcode.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.As(err, &coded):
		return coded // the server refused the body, for example for lack of memory
	}
	return resultcode.Wrap(resultcode.BadRequest, err, "the body could not be read")
}

// authenticate returns the operator with the token in header. It compares the
// token with that of every operator, in constant time, so that the duration does
// not reveal how close a token is to a valid one.
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
		s.o.Log.Debug("could not write refusal", "error", err)
	}
}

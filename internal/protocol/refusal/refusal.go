// Package refusal writes the response to a refused request: the usual JSON error
// body, extended by the result code and the run state.
package refusal

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// HeaderRequestID is the response header with the request identifier.
const HeaderRequestID = "X-Request-Id"

// defaultRetryAfter is sent for codes that allow a later retry if the error has
// no value of its own. Retry-After has a resolution of one second.
const defaultRetryAfter = time.Second

// Document is the JSON error body.
type Document struct {
	Error Detail `json:"error"`
}

// Detail describes one refusal.
type Detail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Param     *string `json:"param"`
	Code      uint32  `json:"code"`
	RunState  string  `json:"run_state"`
	Retry     string  `json:"retry"`
	RequestID string  `json:"request_id,omitempty"`
}

// FromError returns err as a *resultcode.Error. An error without a code becomes
// Internal: err is kept as its cause, and its text is not shown to callers.
func FromError(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return e
	}
	return resultcode.Wrap(resultcode.Internal, err, "internal error")
}

// Body returns the JSON error body for err.
func Body(requestID string, err error) []byte {
	e := FromError(err)
	info := e.Code.Info()
	message := e.Message
	if message == "" {
		message = info.Text
	}
	out, encodeErr := json.Marshal(Document{Error: Detail{
		Message:   message,
		Type:      info.Name,
		Code:      uint32(e.Code),
		RunState:  info.Run.String(),
		Retry:     info.Retry.String(),
		RequestID: requestID,
	}})
	if encodeErr != nil {
		return []byte(`{"error":{"message":"internal error","type":"internal"}}`)
	}
	return out
}

// Write sends the refusal for err as the whole response.
func Write(w http.ResponseWriter, requestID string, err error) {
	e := FromError(err)
	info := e.Code.Info()
	body := Body(requestID, e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(resultcode.Header, strconv.FormatUint(uint64(e.Code), 10))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if s, ok := retryAfter(e, info); ok {
		h.Set("Retry-After", s)
	}
	w.WriteHeader(info.Status)
	// The status is sent, so a write error cannot be reported to the caller.
	_, _ = w.Write(body)
}

// retryAfter returns the value of the Retry-After header in whole seconds.
func retryAfter(e *resultcode.Error, info resultcode.Info) (string, bool) {
	delay := e.RetryAfter
	if delay <= 0 && info.Retry == resultcode.RetryLater {
		delay = defaultRetryAfter
	}
	if delay <= 0 {
		return "", false
	}
	return strconv.FormatInt(int64(math.Ceil(delay.Seconds())), 10), true
}

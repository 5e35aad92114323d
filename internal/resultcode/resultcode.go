// Package resultcode defines the numbered result codes of requests of callers and
// operators that end without a normal response.
//
// A code determines three things that callers rely on: the HTTP status, whether
// the request was executed, and whether a retry can succeed. The run state is a
// guarantee: NotRun is only used where no byte of the request reached an
// endpoint, or where the endpoint itself stated that it did not run the request.
//
// Numbers are grouped by cause (1xxx caller, 2xxx limits, 3xxx claims, 4xxx
// endpoints, 5xxx fleet state, 6xxx operators) and are never reused.
package resultcode

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Header is the HTTP response header that carries the code of a refusal.
const Header = "Radishloom-Result"

// Code is a numbered result. Zero is success.
type Code uint32

// RunState states what is known about the execution of a request.
type RunState int

// Run states.
const (
	// NotRun: no endpoint executed any part of the request.
	NotRun RunState = iota + 1
	// MayHaveRun: the request was sent and its outcome is unknown.
	MayHaveRun
	// Ran: an endpoint executed the request.
	Ran
)

// String returns the name used in error bodies and in the documentation.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Retry states whether and when a caller may send the same request again.
type Retry int

// Retry advice.
const (
	// RetryNever: the same request gets the same refusal.
	RetryNever Retry = iota + 1
	// RetryLater: the same request can succeed after a wait.
	RetryLater
	// RetryNewStream: the same request without the position of the stream that it
	// continues can succeed at once.
	RetryNewStream
	// RetrySameKey: retry only with the same idempotency key.
	RetrySameKey
)

// String returns the name used in the documentation.
func (r Retry) String() string {
	switch r {
	case RetryNever:
		return "never"
	case RetryLater:
		return "later"
	case RetryNewStream:
		return "at once, as a new stream"
	case RetrySameKey:
		return "same idempotency key only"
	default:
		return "unknown"
	}
}

// Codes.
const (
	OK Code = 0

	BadRequest             Code = 1001
	NoRoute                Code = 1002
	KeyMissing             Code = 1003
	KeyUnknown             Code = 1004
	KeyWithdrawn           Code = 1005
	BodyTooLarge           Code = 1006
	HeadersTooLarge        Code = 1007
	RequestTooSlow         Code = 1008
	IdempotencyKeyRequired Code = 1009
	ModelUnknown           Code = 1010
	KeyWithdrawnMidStream  Code = 1011
	CallerGone             Code = 1012
	MethodNotAllowed       Code = 1013

	LargerThanBurst  Code = 2001
	RateExceeded     Code = 2002
	TooManyOpen      Code = 2003
	DeadlineTooClose Code = 2004
	VMOverloaded     Code = 2005
	RetryBudgetSpent Code = 2006

	ClaimRunning      Code = 3001
	ClaimMayHaveRun   Code = 3002
	ClaimBodyDiffers  Code = 3003
	ClaimAnswerTooBig Code = 3004
	ClaimsFull        Code = 3005
	ClaimTooOld       Code = 3006
	ClaimUnavailable  Code = 3007

	NoEndpoint          Code = 4001
	EndpointRefused     Code = 4002
	EndpointLost        Code = 4003
	EndpointSilent      Code = 4004
	AnswerIncomplete    Code = 4005
	AnswerMismatch      Code = 4006
	StreamBroken        Code = 4007
	RequestCrashes      Code = 4008
	ModelLoading        Code = 4009
	EndpointUnreachable Code = 4010
	PromptPartCrashes   Code = 4011
	EndpointLimited     Code = 4012
	StreamNotResumable  Code = 4013

	NoFreshState Code = 5001
	Draining     Code = 5002
	NoLeader     Code = 5003
	DiskFull     Code = 5004
	Internal     Code = 5005
	// ConnectionClosing is sent on an idle connection just before it is closed.
	ConnectionClosing Code = 5006

	OperatorUnknown     Code = 6001
	ConfigInvalid       Code = 6002
	ConfigConflict      Code = 6003
	VersionUnknown      Code = 6004
	ResourceUnknown     Code = 6005
	MembershipBusy      Code = 6006
	MembershipRefused   Code = 6007
	FencingTokenOld     Code = 6008
	MemoryOvercommitted Code = 6009
	ChangeUnconfirmed   Code = 6010
)

// Info describes one code.
type Info struct {
	Code Code
	// Name is the stable identifier in error bodies and metrics.
	Name string
	// Status is the HTTP status of a refusal with this code.
	Status int
	Run    RunState
	Retry  Retry
	// Text explains the code in one sentence.
	Text string
}

// table and byCode are built once and never modified, since every refusal and
// every retry decision looks up its code.
var (
	table  = buildTable()
	byCode = indexByCode(table)
)

func indexByCode(infos []Info) map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}

func buildTable() []Info {
	return []Info{
		{BadRequest, "bad_request", http.StatusBadRequest, NotRun, RetryNever, "The request is malformed; the message names the field."},
		{NoRoute, "no_route", http.StatusNotFound, NotRun, RetryNever, "No route matches the path, header or model of the request."},
		{KeyMissing, "key_missing", http.StatusUnauthorized, NotRun, RetryNever, "The route needs a key and the request has none."},
		{KeyUnknown, "key_unknown", http.StatusUnauthorized, NotRun, RetryNever, "The key is not known, or was withdrawn."},
		{KeyWithdrawn, "key_withdrawn", http.StatusUnauthorized, NotRun, RetryNever, "The key was withdrawn while the request waited."},
		{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, RetryNever, "The body is larger than the route allows."},
		{HeadersTooLarge, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, RetryNever, "The headers are larger than the daemon allows."},
		{RequestTooSlow, "request_too_slow", http.StatusRequestTimeout, NotRun, RetryLater, "The caller took too long to send the request."},
		{IdempotencyKeyRequired, "idempotency_key_required", http.StatusBadRequest, NotRun, RetryNever, "The route needs an Idempotency-Key header."},
		{ModelUnknown, "model_unknown", http.StatusNotFound, NotRun, RetryNever, "The model in the body is not configured."},
		{KeyWithdrawnMidStream, "key_withdrawn_mid_stream", http.StatusUnauthorized, Ran, RetryNever, "The key was withdrawn while the answer was streamed; the stream ends here."},
		{CallerGone, "caller_gone", 499, MayHaveRun, RetryNever, "The caller closed the connection before the answer was complete."},
		{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, RetryNever, "The path does not support the method."},

		{LargerThanBurst, "larger_than_burst", http.StatusTooManyRequests, NotRun, RetryNever, "The prompt and the maximum output together exceed the customer's burst."},
		{RateExceeded, "rate_exceeded", http.StatusTooManyRequests, NotRun, RetryLater, "The customer's rate and burst are used up, and the deadline expires before enough tokens are available again."},
		{TooManyOpen, "too_many_open", http.StatusTooManyRequests, NotRun, RetryLater, "The customer has too many open requests at this VM."},
		{DeadlineTooClose, "deadline_too_close", http.StatusServiceUnavailable, NotRun, RetryLater, "The deadline of the profile can no longer be met, or no slot is expected in time behind the requests that are in front."},
		{VMOverloaded, "vm_overloaded", http.StatusServiceUnavailable, NotRun, RetryLater, "This VM has too many open requests or too little memory for another."},
		{RetryBudgetSpent, "retry_budget_spent", http.StatusServiceUnavailable, NotRun, RetryLater, "The attempt did not run, and the retry budget is used up."},

		{ClaimRunning, "claim_running", http.StatusConflict, MayHaveRun, RetrySameKey, "A request with this idempotency key is running."},
		{ClaimMayHaveRun, "claim_may_have_run", http.StatusConflict, MayHaveRun, RetryNever, "A request with this idempotency key was sent and its answer was lost; it is not run again."},
		{ClaimBodyDiffers, "claim_body_differs", http.StatusUnprocessableEntity, NotRun, RetryNever, "The idempotency key was used with another body."},
		{ClaimAnswerTooBig, "claim_answer_too_big", http.StatusConflict, Ran, RetryNever, "The request ran; its answer was too large to keep."},
		{ClaimsFull, "claims_full", http.StatusServiceUnavailable, NotRun, RetryLater, "The customer or the fleet has reached its limit of claims."},
		{ClaimTooOld, "claim_too_old", http.StatusConflict, NotRun, RetryNever, "The idempotency key is older than the retention of claims, so it may have been used before."},
		{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, NotRun, RetrySameKey, "The claim could not be committed; nothing was sent."},

		{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, NotRun, RetryLater, "No endpoint can take the request."},
		{EndpointRefused, "endpoint_refused", http.StatusServiceUnavailable, NotRun, RetryLater, "The endpoint refused the request and said that it did not run it."},
		{EndpointLost, "endpoint_lost", http.StatusBadGateway, MayHaveRun, RetrySameKey, "The connection to the endpoint broke, or bytes arrived that are no HTTP response, before the answer began."},
		{EndpointSilent, "endpoint_silent", http.StatusGatewayTimeout, MayHaveRun, RetrySameKey, "The endpoint did not answer within the idle time-out or before the deadline."},
		{AnswerIncomplete, "answer_incomplete", http.StatusBadGateway, Ran, RetrySameKey, "The endpoint's answer ended before its length or end marker."},
		{AnswerMismatch, "answer_mismatch", http.StatusBadGateway, MayHaveRun, RetrySameKey, "The endpoint sent the answer to another request."},
		{StreamBroken, "stream_broken", http.StatusBadGateway, Ran, RetryLater, "The stream broke and could not be resumed."},
		{RequestCrashes, "request_crashes_endpoints", http.StatusUnprocessableEntity, Ran, RetryLater, "Endpoints crashed while running this request, or others whose prompt begins like it; it is refused for a limited time."},
		{ModelLoading, "model_loading", http.StatusServiceUnavailable, NotRun, RetryLater, "The model is not loaded yet and was not ready before the deadline."},
		{EndpointUnreachable, "endpoint_unreachable", http.StatusBadGateway, NotRun, RetryLater, "No connection to an endpoint could be made; nothing was sent."},
		{PromptPartCrashes, "prompt_part_crashes_endpoints", http.StatusServiceUnavailable, NotRun, RetryLater, "Endpoints crashed when they began to answer requests with a part of this prompt; requests with it are refused for a limited time."},
		{EndpointLimited, "endpoint_limited", http.StatusServiceUnavailable, NotRun, RetryLater, "Every endpoint that could take the request has reached the limit that it states, or wants no requests for longer than the request can wait."},
		{StreamNotResumable, "stream_not_resumable", http.StatusServiceUnavailable, NotRun, RetryNewStream, "The request continues a stream, and the software version that began it is unknown or no endpoint that may be used has it. A new stream can begin at once."},

		{NoFreshState, "no_fresh_state", http.StatusServiceUnavailable, NotRun, RetryLater, "This VM has not confirmed its configuration with a quorum for some seconds and cannot know which keys are withdrawn."},
		{Draining, "draining", http.StatusServiceUnavailable, NotRun, RetryLater, "This VM is shutting down or draining."},
		{NoLeader, "no_leader", http.StatusServiceUnavailable, NotRun, RetryLater, "No control VM could commit the change in time."},
		{DiskFull, "disk_full", http.StatusInsufficientStorage, NotRun, RetryLater, "The disk of the control VM is full."},
		{Internal, "internal", http.StatusInternalServerError, MayHaveRun, RetryNever, "An internal error in radishloom; the log entry has the request identifier."},
		{ConnectionClosing, "connection_closing", http.StatusRequestTimeout, NotRun, RetryLater, "This VM is shutting down or has too many connections, and closes an idle one. A request that was on its way there has not run."},

		{OperatorUnknown, "operator_unknown", http.StatusUnauthorized, NotRun, RetryNever, "The operator token is missing or not known."},
		{ConfigInvalid, "config_invalid", http.StatusUnprocessableEntity, NotRun, RetryNever, "The configuration is invalid; every fault is listed."},
		{ConfigConflict, "config_conflict", http.StatusConflict, NotRun, RetryNever, "The change is based on a version that is no longer the present one."},
		{VersionUnknown, "version_unknown", http.StatusNotFound, NotRun, RetryNever, "The history does not hold this version."},
		{ResourceUnknown, "resource_unknown", http.StatusNotFound, NotRun, RetryNever, "The named resource does not exist."},
		{MembershipBusy, "membership_busy", http.StatusConflict, NotRun, RetryLater, "Another membership change is not finished."},
		{MembershipRefused, "membership_refused", http.StatusConflict, NotRun, RetryNever, "The membership change would break the quorum or names an unknown member."},
		{FencingTokenOld, "fencing_token_old", http.StatusConflict, NotRun, RetryNever, "The fencing token is stale: another owner sends the orders now."},
		{MemoryOvercommitted, "memory_overcommitted", http.StatusConflict, NotRun, RetryLater, "The order could exceed the endpoint's memory in the worst case."},
		{ChangeUnconfirmed, "change_unconfirmed", http.StatusGatewayTimeout, MayHaveRun, RetrySameKey, "The change was sent and its result was lost; send it again under the same request identifier."},
	}
}

// All returns the descriptions of all codes, in numerical order within each group.
func All() []Info { return slices.Clone(table) }

// Lookup returns the description of a code. The second value is false for a
// number that is not a code.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// Info returns the description of c, or that of Internal if c is not a code.
func (c Code) Info() Info {
	if info, ok := Lookup(c); ok {
		return info
	}
	info, _ := Lookup(Internal)
	return info
}

// String returns the name of c.
func (c Code) String() string {
	if c == OK {
		return "ok"
	}
	return c.Info().Name
}

// Error is a refusal with its code. It is the error type that packages on the
// request path return to each other.
type Error struct {
	Code Code
	// Message describes the cause in this case; it never contains a key or a body.
	Message string
	// RetryAfter is the recommended wait before a retry; zero means no
	// recommendation.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// New returns an Error with a formatted message.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause and a formatted message.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Summary()
	}
	return fmt.Sprintf("%s: %v", e.Summary(), e.Cause)
}

// Summary returns the error without its cause, for callers: a cause may quote what an
// endpoint sent.
func (e *Error) Summary() string {
	return fmt.Sprintf("%d %s: %s", uint32(e.Code), e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the code of err: OK for nil, Internal for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

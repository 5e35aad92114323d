package forward

import (
	"net/http"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// Request is one request of a caller, decoded.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the path with the query as the caller sent it, Path the part
	// before the query.
	Target, Path string
	// Header holds what is passed on; fields for one connection and those that
	// the system sets itself are removed.
	Header http.Header
	Body   []byte
	Key    string
	// Timeout is how long the caller waits from now on, or zero if it does not say.
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the caller's figures, valid if HasTokens.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// ExpectedOutput is the caller's estimate of the output tokens, right at the
	// median and often far off; zero without one.
	ExpectedOutput int
	// Prefix names the parts of the prompt in order.
	Prefix []PromptPart
	// LastEventID is the identifier after which the caller resumes a stream.
	LastEventID string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what one send to an endpoint adds to a request. It names no urgency:
// waiting requests are ordered before they are sent, and an engine that is told
// of urgencies interrupts running streams for more urgent requests and reads
// their prompts a second time.
type Attempt struct {
	EndpointID string
	Customer   string
	// TimeLeft is the time until the caller stops waiting.
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has; empty at the start.
	ResumeAfter string
}

// ResponseHead is what the head of an endpoint's answer says.
type ResponseHead struct {
	// Sealed says that the endpoint vouches for the answer.
	Sealed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected says that another incarnation answered, or one without the model.
	Misdirected bool
	// Leaving says that the endpoint closes connections because it leaves.
	Leaving bool
	// Load is valid if HasLoad.
	Load    pool.Load
	HasLoad bool
}

// Codec translates between HTTP messages and this package's types.
type Codec interface {
	// DecodeRequest reads everything but the body.
	DecodeRequest(r *http.Request) *Request
	// AttemptHeader returns the header of one send.
	AttemptHeader(r *Request, a Attempt) http.Header
	// DecodeResponse reads the head of an answer.
	DecodeResponse(status int, h http.Header) ResponseHead
	// MatchesRequest says whether a head answers the request with the identifier.
	MatchesRequest(h http.Header, id string) bool
	// SetRequestID puts the identifier of the request into the head of a refusal.
	SetRequestID(h http.Header, id string)
}

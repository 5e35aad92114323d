package forward

import (
	"net/http"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// Request is a decoded request of a caller.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the caller sent it. Path is Target
	// without the query.
	Target, Path string
	// Header holds the fields that are passed on to endpoints. Hop-by-hop fields and
	// those that the system sets itself are removed.
	Header http.Header
	Body   []byte
	Key    string
	// Timeout is how long the caller waits for the response, or zero if unknown.
	Timeout time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the token counts stated by the caller. They
	// are valid if HasTokens is set.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// ExpectedOutput is the caller's estimate of the output tokens, or zero. It is
	// right at the median but often far off.
	ExpectedOutput int
	// Prefix lists the parts of the prompt in order.
	Prefix []PromptPart
	// LastEventID is the identifier of the event after which the caller resumes a
	// stream.
	LastEventID string
	// Resumes is the identifier of the attempt that brought the first event of this
	// stream; empty if it is not stated.
	Resumes string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt holds what one send to an endpoint adds to a request. It has no urgency:
// requests are ordered while they wait for a slot, and an engine that knows the
// urgencies preempts running streams for more urgent requests, and then has to
// prefill the preempted prompts again.
type Attempt struct {
	EndpointID string
	Customer   string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// ResumeAfter is the identifier of the last event that the caller has received,
	// or empty.
	ResumeAfter string
}

// ResponseHead is the information in the head of an endpoint's response.
type ResponseHead struct {
	// Identified is set if the response names its request.
	Identified bool
	// Sealed is set if the endpoint vouches for the response with a seal.
	Sealed bool
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if another incarnation of the endpoint responded, or if the
	// endpoint does not have the model.
	Misdirected bool
	// Leaving is set if the endpoint closes the connection because it is leaving.
	Leaving bool
	// Load is valid if HasLoad is set.
	Load    pool.Load
	HasLoad bool
	// Advice is what the endpoint says about further requests.
	Advice pool.Advice
}

// Codec translates between HTTP messages and this package's types.
type Codec interface {
	// DecodeRequest decodes everything but the body.
	DecodeRequest(r *http.Request) *Request
	// AttemptHeader returns the header to send to the endpoint of an attempt.
	AttemptHeader(r *Request, a Attempt) http.Header
	// DecodeResponse decodes the head of a response.
	DecodeResponse(status int, h http.Header) ResponseHead
	// MatchesRequest reports whether a response with this header may belong to the
	// request with the identifier.
	MatchesRequest(h http.Header, id string) bool
	// SetRequestID sets the identifier of the request in the header of a refusal.
	SetRequestID(h http.Header, id string)
}

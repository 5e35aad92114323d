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
	// Wait is how long the caller waits from now on, or zero if it does not say.
	Wait time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the caller's figures, valid if HasTokens.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// ExpectedOutput is the caller's estimate of the output tokens, right at the
	// median and often far off; zero without one.
	ExpectedOutput int
	// Prefix names the parts of the prompt in order.
	Prefix []Part
	// LastEvent is the identifier after which the caller resumes a stream.
	LastEvent string
}

// Part is a part of a prompt that other requests may share.
type Part struct {
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
	// Left is the time until the caller stops waiting.
	Left time.Duration
	// ResumeAfter is the last event that the caller has; empty at the start.
	ResumeAfter string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// Sealed says that the endpoint vouches for the answer.
	Sealed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Wrong says that another incarnation answered, or one without the model.
	Wrong bool
	// Leaving says that the endpoint closes connections because it leaves.
	Leaving bool
	// Load is valid if HasLoad.
	Load    pool.Load
	HasLoad bool
}

// Codec translates between HTTP messages and this package's types.
type Codec interface {
	// Decode reads everything but the body.
	Decode(r *http.Request) *Request
	// Outgoing returns the header of one send.
	Outgoing(r *Request, a Attempt) http.Header
	// Answer reads the head of an answer.
	Answer(status int, h http.Header) Answer
	// Belongs says whether a head answers the request with the identifier.
	Belongs(h http.Header, id string) bool
	// Identify puts the identifier of the request into the head of a refusal.
	Identify(h http.Header, id string)
}

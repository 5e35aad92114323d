// Package exchange defines the port for one HTTP exchange with an endpoint. The
// protocol packages use it; transport/httpclient implements it.
//
// Errors are *resultcode.Error with a reliable run state: a NotRun code means
// that no byte of the request was handed to the operating system.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Header names of the endpoint protocol.
const (
	// HeaderRequestID carries the identifier of one attempt; the endpoint echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderRunState states whether the endpoint ran the request.
	HeaderRunState = "X-Run-State"
	// HeaderIncarnation names the process of an engine that responds.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderPriority carries the priority of a request sent to an engine.
	HeaderPriority = "X-Priority"
	// HeaderIdempotencyKey carries a caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// RunStateNotRun is the value of HeaderRunState with which an endpoint states
// that it executed no part of the request.
const RunStateNotRun = "not_run"

// Request is one HTTP request to an endpoint.
type Request struct {
	// Address is host:port with an IP address.
	Address string
	Method  string
	// Target is the request target: the escaped path and the query.
	Target string
	// Header must not hold framing or hop-by-hop fields; the client omits them.
	Header http.Header
	Body   []byte
	// BodyReader, if set, is sent with chunked encoding instead of Body.
	BodyReader io.Reader
	// IdleTimeout bounds the time without a byte in either direction. Zero means
	// the client's default.
	IdleTimeout time.Duration
	// Host is the value of the Host field; empty means Address.
	Host string
	// ID is the identifier that the endpoint repeats in its responses; empty if there is
	// none. An endpoint may repeat a refusal later, which then cannot be told from the
	// response to the same request sent once more. So a request is never sent over a
	// connection over which a request with its ID was refused.
	ID string
	// MatchResponse, if set, reports whether a response with this header belongs
	// to this request. A response to an earlier request is read to its end and
	// skipped.
	MatchResponse func(http.Header) bool
	// MayReuse, if set, reports whether the connection may be used again after a response
	// with this status and header.
	MayReuse func(status int, h http.Header) bool
	// AllowCloseDelimited accepts a response body that ends with the orderly close
	// of the connection, if the whole request could be sent. Otherwise such a body
	// counts as incomplete.
	AllowCloseDelimited bool
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
}

// NamesRequest is a Request.MayReuse that allows reuse after responses that name their
// request. A late copy of another one would pass for the response to the next request.
func NamesRequest(_ int, h http.Header) bool { return h.Get(HeaderRequestID) != "" }

// Response is the head of a response and its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64
	// Reused is set if the connection carried an earlier request. A response on it
	// that does not name its request may be the answer to an earlier one.
	Reused bool
	// ConnectedAt is when the connection was open; zero if unknown.
	ConnectedAt time.Time
	// Skipped is the number of responses to other requests that came before this one.
	Skipped int
	// CloseDelimited is set if only the close of the connection ends the body.
	CloseDelimited bool
	Body           Body
}

// Body is the body of a response. Read returns io.EOF only after the announced
// length or the last chunk, or, if the request has AllowCloseDelimited and was sent
// whole, after the orderly close of the connection.
type Body interface {
	io.Reader
	// Close releases the exchange. It closes the connection unless the body was
	// read to its end.
	Close() error
	// Finish releases the exchange after an end-of-stream marker inside the body.
	// The connection is reused only if the body ends right after the marker.
	Finish()
	// Discard releases the exchange and closes its connection.
	Discard()
}

// Client performs exchanges. Implementations never send a request twice.
type Client interface {
	Do(ctx context.Context, req *Request) (*Response, error)
}

// Package exchange describes one HTTP exchange with an endpoint. The protocol
// packages speak in its terms; transport/httpclient carries exchanges out.
//
// Errors are *resultcode.Error with a true run state: a NotRun code means that
// no byte of the request was handed to the operating system.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Header names of the endpoint protocol.
const (
	// HeaderRequestID carries the identifier of one attempt in both directions.
	HeaderRequestID = "X-Request-Id"
	// HeaderRunState carries an endpoint's statement on whether it ran a request.
	HeaderRunState = "X-Run-State"
	// HeaderPriority carries the priority of a request to an engine.
	HeaderPriority = "X-Priority"
	// HeaderIdempotencyKey carries a caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// RunStateNotRun is the value of HeaderRunState that says that the endpoint
// executed no part of the request.
const RunStateNotRun = "not_run"

// Request is what is sent to an endpoint.
type Request struct {
	// Address is host:port with an IP address.
	Address string
	Method  string
	// Target is the escaped path with the query, as it is sent.
	Target string
	// Header must not hold framing or hop-by-hop fields; those are left out.
	Header http.Header
	Body   []byte
	// BodyReader, if set, is sent in chunks in place of Body.
	BodyReader io.Reader
	// IdleTimeout bounds the time without a byte in either direction. Zero means
	// the client's default.
	IdleTimeout time.Duration
	// Host is the Host field of the request; empty means Address.
	Host string
	// MatchResponse, if set, says whether a head belongs to this request. An answer to
	// an earlier request is read to its end and passed over.
	MatchResponse func(http.Header) bool
	// AllowCloseDelimited accepts an answer whose end is the orderly end of the
	// connection.
	AllowCloseDelimited bool
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
}

// Response is the head of an answer with its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the announced length of the body, or -1.
	ContentLength int64
	// CloseDelimited says that only the end of the connection ends the body.
	CloseDelimited bool
	Body           Body
}

// Body is the body of an answer. Read returns io.EOF only after the announced
// length or the last chunk. A body whose end is marked by the end of the
// connection alone counts as incomplete.
type Body interface {
	io.Reader
	// Close releases the exchange. Its connection is closed unless the body was
	// read to its end.
	Close() error
	// Finish releases the exchange after an end marker inside the body. The
	// connection is used again only if the end of the body follows the marker.
	Finish()
	// Discard releases the exchange and closes its connection.
	Discard()
}

// Client carries out exchanges. Implementations never send a request twice.
type Client interface {
	Do(ctx context.Context, req *Request) (*Response, error)
}

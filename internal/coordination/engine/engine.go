// Package engine defines the interfaces to the external systems that the entry
// and control roles use: inference engines, with the orders that the control
// role sends to them, plain services, and the platform's list of VMs.
//
// The interfaces are independent of wire protocols. Each engine protocol is a
// separate implementation of Engine, for example internal/protocol/enginehttp.
//
// Every method returns errors of type *resultcode.Error. Callers rely on their
// run state: an implementation returns a code with NotRun only if no byte of the
// request left this VM or if the endpoint reported that it did not run the
// request.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Target identifies the endpoint that a call is sent to.
type Target struct {
	// Name is the name of the endpoint in the configuration.
	Name string
	// Address is host:port, where host is an IP address.
	Address string
}

// Request is one inference request. All API keys have been removed from it.
type Request struct {
	// ID is unique for each attempt. The engine echoes it.
	ID string
	// Path is the inference path, for example /v1/chat/completions.
	Path string
	// Body is the JSON body as the caller sent it.
	Body []byte
	// Priority is higher for more urgent requests.
	Priority int32
	// Stream is true if the caller wants the response as it is generated.
	Stream bool
	// IdleTimeout is the longest time without a byte before the first token
	// and between tokens.
	IdleTimeout time.Duration
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
	// ResumeFrom is the number of events that were already received; the engine
	// continues with the next one. It is zero for a new request.
	ResumeFrom int
	// Incarnation is the Stream.Incarnation of the first part if ResumeFrom is not zero.
	// Another one must not continue the stream.
	Incarnation string
}

// Event is one event of a streamed response.
type Event struct {
	// Seq numbers the events of a response from zero.
	Seq int
	// Data is the payload of one server-sent event, without framing.
	Data []byte
	// Tokens is the number of generated tokens in this event.
	Tokens int
	// Final marks the end of the response; Data is empty. A stream that ends
	// without a final event is incomplete.
	Final bool
}

// Stream is a response that is still being received. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next event. After the final event it returns io.EOF.
	Next(ctx context.Context) (Event, error)
	// Incarnation names the process of the engine that sends the stream, or is empty if
	// the engine states none.
	Incarnation() string
	// Close releases the stream. If the final event was not received, Close
	// cancels the request at the engine and discards the connection.
	Close() error
}

// Response is a complete response that was not streamed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Tokens is the number of prompt and generated tokens, or zero if unknown.
	Tokens int
}

// Load is the load report of an endpoint. It lags behind by some seconds.
type Load struct {
	// Running and Waiting are the numbers of requests that run and wait in the
	// engine.
	Running, Waiting int
	// Slots is the number of requests that the engine runs at the same time.
	Slots int
	// Resident lists the resident models with their versions and memory.
	Resident []ResidentModel
	// Adapters lists the resident adapters.
	Adapters []string
	// Leaving is true if the endpoint wants no new requests.
	Leaving bool
	// FencingToken is the highest fencing token that the engine has seen, or zero
	// if it does not check fencing tokens.
	FencingToken uint64
}

// ResidentModel is one model in the memory of an engine.
type ResidentModel struct {
	Model    string
	Version  string
	MemoryMB uint64
	// Ready is false while the model is loading or unloading.
	Ready bool
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Seq numbers the events of one engine; a gap means that events were lost.
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

// OrderKind is the kind of change that an order makes.
type OrderKind int

// Kinds of orders.
const (
	LoadModel OrderKind = iota + 1
	UnloadModel
	LoadAdapter
	UnloadAdapter
	SetRole
)

// Order is a command to an engine: load or unload a model or an adapter, or
// change the role.
type Order struct {
	// ID is unique. The engine treats orders with the same ID as one order.
	ID uint64
	// FencingToken is the fencing token of the owner of the orders. An engine
	// that checks fencing tokens refuses one that is lower than the highest that
	// it has seen.
	FencingToken uint64
	// Lifetime is the time after issue during which the order may take effect.
	Lifetime time.Duration
	Kind     OrderKind
	Model    string
	Version  string
	Adapter  string
	Role     string
	MemoryMB uint64
}

// Engine is the interface to inference engines. Implementations are safe for
// concurrent use.
type Engine interface {
	// Do runs a request and returns the complete response.
	Do(ctx context.Context, to Target, req Request) (*Response, error)
	// Open runs or resumes a request and streams the response.
	Open(ctx context.Context, to Target, req Request) (Stream, error)
	// Cancel stops the request with the given identifier.
	Cancel(ctx context.Context, to Target, id string) error
	// Load returns the latest load report of the engine.
	Load(ctx context.Context, to Target) (*Load, error)
	// CacheEvents returns the cache events after the given sequence number.
	CacheEvents(ctx context.Context, to Target, after uint64) ([]CacheEvent, error)
	// Order sends an order and returns when the engine has executed or refused
	// it.
	Order(ctx context.Context, to Target, o Order) error
	// ExportKV returns the KV cache of a running request.
	ExportKV(ctx context.Context, to Target, id string) (io.ReadCloser, error)
	// ImportKV sends a KV cache to an engine for the request with the given
	// identifier.
	ImportKV(ctx context.Context, to Target, id string, kv io.Reader) error
}

// ServiceRequest is a request to a plain service. All API keys have been removed
// from it.
type ServiceRequest struct {
	ID       string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// IdleTimeout is the longest time without a byte before and within the
	// response.
	IdleTimeout time.Duration
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
}

// ServiceResponse is the response of a plain service. Body must be closed; its
// Read returns a *resultcode.Error with AnswerIncomplete if the body ends before
// its announced length.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length of the body in bytes, or -1 if unknown.
	Length int64
}

// Service is the interface to plain services.
type Service interface {
	Do(ctx context.Context, to Target, req ServiceRequest) (*ServiceResponse, error)
	// Load returns the latest load report of the service.
	Load(ctx context.Context, to Target) (*Load, error)
}

// VMState is one entry of the platform's list of VMs.
type VMState struct {
	// Address is host:port of an endpoint, or the host of a VM.
	Address string
	Leaving bool
}

// Platform is the interface to the platform's list of live and leaving VMs. The
// list lags behind.
type Platform interface {
	List(ctx context.Context) ([]VMState, error)
}

// Package engine defines the ports to the outside systems behind the entry:
// model engines, plain services, the platform's list of VMs, and the orders
// that the control role sends.
//
// Nothing of a wire protocol passes this border. Another engine protocol is
// another implementation of Engine; internal/protocol/enginehttp is the first.
//
// Errors of every method are *resultcode.Error. Their run state is a promise:
// an implementation returns a NotRun code only if no byte of the request left
// this VM or the endpoint said that it did not run the request.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Target is the endpoint that a call goes to.
type Target struct {
	// Name is the endpoint's name in the configuration.
	Name string
	// Address is host:port with an IP address.
	Address string
}

// Request is one inference request, cleaned of every key.
type Request struct {
	// ID is unique for each attempt; the engine echoes it.
	ID string
	// Path is the inference path, for example /v1/chat/completions.
	Path string
	// Body is the JSON body as the caller sent it.
	Body []byte
	// Priority is higher for more urgent requests.
	Priority int32
	// Stream says that the caller wants the answer as it is generated.
	Stream bool
	// Silence bounds the time without a byte before and between tokens.
	Silence time.Duration
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
	// ResumeFrom is the number of events that were already received; the engine
	// goes on with the next one. Zero for a new request.
	ResumeFrom int
}

// Event is one piece of a streamed answer.
type Event struct {
	// Seq counts the events of an answer from zero.
	Seq int
	// Data is the payload of one server-sent event, without framing.
	Data []byte
	// Tokens is the number of generated tokens in this event.
	Tokens int
	// Final marks the end of the answer; Data is empty. A stream that ends
	// without it is incomplete.
	Final bool
}

// Stream is an answer in progress. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next event. After the final event it returns io.EOF.
	Next(ctx context.Context) (Event, error)
	// Close releases the stream. A stream that is closed before its final event
	// is cancelled at the engine and its connection is discarded.
	Close() error
}

// Answer is a whole answer that was not streamed.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Tokens is the number of prompt and generated tokens; zero if unknown.
	Tokens int
}

// Load is what an engine reports of itself, late by some seconds.
type Load struct {
	// Running and Waiting count requests in the engine.
	Running, Waiting int
	// Slots is how many requests the engine runs at once.
	Slots int
	// Resident lists the models with their versions and memory.
	Resident []Resident
	// Adapters lists the resident adapters.
	Adapters []string
	// Leaving says that the endpoint asks for no new work.
	Leaving bool
	// FencingToken is the highest that the engine has seen; zero if it does not
	// check any.
	FencingToken uint64
}

// Resident is one model in the memory of an engine.
type Resident struct {
	Model    string
	Version  string
	MemoryMB uint64
	// Ready is false while the model is loading or unloading.
	Ready bool
}

// CacheEvent tells that a prompt prefix was cached or evicted.
type CacheEvent struct {
	// Seq counts the events of one engine; a gap means that events were lost.
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

// OrderKind is what an order changes.
type OrderKind int

// Kinds of orders.
const (
	LoadModel OrderKind = iota + 1
	UnloadModel
	LoadAdapter
	UnloadAdapter
	SetRole
)

// Order tells an engine to change what it holds or does.
type Order struct {
	// ID is unique; the engine treats a repeat as the same order.
	ID uint64
	// FencingToken is the owner's; an engine that checks refuses a lower one
	// than it has seen.
	FencingToken uint64
	// Lifetime is how long after it was issued the order may take effect.
	Lifetime time.Duration
	Kind     OrderKind
	Model    string
	Version  string
	Adapter  string
	Role     string
	MemoryMB uint64
}

// Engine is the port to model engines. Implementations are safe for concurrent
// use.
type Engine interface {
	// Do runs a request and returns the whole answer.
	Do(ctx context.Context, to Target, req Request) (*Answer, error)
	// Open runs or resumes a request and streams the answer.
	Open(ctx context.Context, to Target, req Request) (Stream, error)
	// Cancel stops a request by its identifier.
	Cancel(ctx context.Context, to Target, id string) error
	// Load returns the engine's latest report.
	Load(ctx context.Context, to Target) (*Load, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, to Target, after uint64) ([]CacheEvent, error)
	// Order sends an order and returns when the engine has carried it out or
	// refused it.
	Order(ctx context.Context, to Target, o Order) error
	// ExportKV returns the KV cache of a running request.
	ExportKV(ctx context.Context, to Target, id string) (io.ReadCloser, error)
	// ImportKV hands a KV cache to an engine under a request identifier.
	ImportKV(ctx context.Context, to Target, id string, kv io.Reader) error
}

// ServiceRequest is a request to a plain service, cleaned of every key.
type ServiceRequest struct {
	ID       string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// Silence bounds the time without a byte before and within the answer.
	Silence time.Duration
	// FreshConnection forbids the reuse of an open connection.
	FreshConnection bool
}

// ServiceAnswer is the answer of a plain service. Body must be closed; its Read
// returns an *resultcode.Error with AnswerIncomplete when the answer ends
// before its announced length.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length in bytes, or -1.
	Length int64
}

// Service is the port to plain services.
type Service interface {
	Do(ctx context.Context, to Target, req ServiceRequest) (*ServiceAnswer, error)
	// Load returns the service's latest report.
	Load(ctx context.Context, to Target) (*Load, error)
}

// VMState is one line of the platform's list.
type VMState struct {
	// Address is host:port of an endpoint or the host of a VM.
	Address string
	Leaving bool
}

// Platform is the port to the platform's lagging list of live and leaving VMs.
type Platform interface {
	List(ctx context.Context) ([]VMState, error)
}

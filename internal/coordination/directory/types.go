package directory

import (
	"context"
	"time"
)

// Endpoint is one incarnation of an endpoint in the platform's list.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Evacuated endpoints get no new requests and no orders, since their data centre is
	// evacuated. The directory sets it; the platform does not know it.
	Evacuated bool
	Models    []Resident
	// SoftwareVersion is the version of the endpoint's software. Versions have no order.
	SoftwareVersion string
	// WarmUpLeft is how much longer the endpoint warms up by the platform's list.
	WarmUpLeft time.Duration
}

// outOfUse reports whether an endpoint gets no new requests and no orders.
func (e *Endpoint) outOfUse() bool { return e.Leaving || e.Evacuated }

// Resident is a model in an endpoint's memory with its adapters.
type Resident struct {
	Model    string
	Adapters []string
}

// Report is the state that an engine reports. It lags by a few hundred
// milliseconds.
type Report struct {
	Models []Resident
	// Incoming lists the adapters that are being loaded.
	Incoming []Adapter
	// Busy is set while the engine carries out an order for a model.
	Busy bool
	// Leaving is set when the engine takes no new requests.
	Leaving bool
	// Sequence counts the orders that the engine accepted since its start.
	Sequence uint64
	// Started is the start time of the engine in Unix milliseconds. Together with the
	// identifier it names the incarnation.
	Started          int64
	Running, Waiting int
	KVUsed, KVTotal  int
	InMemory, OnDisk []string
}

// Adapter names an adapter of a model.
type Adapter struct{ Model, Name string }

// Operation is what an order asks for.
type Operation int

// Operations of an order.
const (
	Load Operation = iota + 1
	Unload
)

// String returns the name used in logs.
func (o Operation) String() string {
	if o == Unload {
		return "unload"
	}
	return "load"
}

// Order asks an engine to load or unload a model, or an adapter of it.
type Order struct {
	Operation Operation
	Model     string
	Adapter   string
	// ExpectedSequence is the engine's sequence on which the order was decided. The
	// engine refuses the order at any other sequence, for example when the order
	// arrives late.
	ExpectedSequence uint64
	Holder           string
	Fence            uint64
}

// kind returns the name used in metrics.
func (o Order) kind() string {
	if o.Adapter != "" {
		return o.Operation.String() + "_adapter"
	}
	return o.Operation.String() + "_model"
}

// Outcome is an engine's answer to an order.
type Outcome int

// Outcomes of an order. An order that got no answer has an error instead.
const (
	// Accepted: the order is being carried out.
	Accepted Outcome = iota + 1
	// AlreadyDone: the engine is already in the ordered state.
	AlreadyDone
	// Conflict: another order is in progress or the sequence differs.
	Conflict
	// Fenced: the engine has seen a higher fencing token.
	Fenced
	// Rejected: the engine refused the order for another reason.
	Rejected
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := map[Outcome]string{Accepted: "accepted", AlreadyDone: "holds", Conflict: "conflict", Fenced: "fenced", Rejected: "rejected"}
	return names[o]
}

// MaxListEndpoints bounds the endpoints of the platform's list, and of one page. Other
// programs write to the list too, so that it may grow without end.
const MaxListEndpoints = 1 << 15

// Page is a part of the platform's list.
type Page struct {
	Endpoints []Endpoint
	// Next is the token of the next page; empty on the last one.
	Next string
}

// Platform gives access to the platform's list of endpoints and to the engines.
type Platform interface {
	// ListPage returns one page of the list of all endpoints that the platform knows:
	// the first one, or the one that an earlier page named as the next.
	ListPage(ctx context.Context, token string) (Page, error)
	// Report asks one engine for its state.
	Report(ctx context.Context, e Endpoint) (Report, error)
	// Order sends an order. After an error it may still be carried out.
	Order(ctx context.Context, e Endpoint, o Order) (Outcome, error)
}

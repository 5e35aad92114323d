package entry

import (
	"context"
	"net/http"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// Request is one request of a caller, as the protocol layer read it.
type Request struct {
	// ID is unique for each request; attempts derive their identifiers from it.
	ID    string
	Route *statev1.Route
	// Key is the caller's key; empty on open routes.
	Key      string
	Method   string
	Path     string
	RawQuery string
	// Header has every key source of the route removed already.
	// Header and Body must not be changed after Serve returned: a
	// non-idempotent call can go on after its caller left.
	Header http.Header
	Body   []byte
	// Model is the model or adapter that the body names; empty for the route's.
	Model        string
	Stream       bool
	PromptTokens int
	MaxTokens    int
	// IdempotencyKey is the Idempotency-Key header; empty if there is none.
	IdempotencyKey string
}

// ResponseWriter takes one answer. Its methods are called from one goroutine.
type ResponseWriter interface {
	Start(status int, header http.Header) error
	// Event writes and flushes one server-sent event.
	Event(data []byte) error
	// Write writes a part of a plain body.
	Write(p []byte) error
}

// Replica is the entry's copy of the fleet state. Its methods are safe for
// concurrent use, do not block (except Propose) and never call the Server.
type Replica interface {
	// Index is nil before the first Sync.
	Index() *config.Index
	// Fresh says that the freshness lease is valid now.
	Fresh() bool
	// Propose commits one command. An error whose code is ChangeUnconfirmed, or
	// another one that may have run, leaves the outcome unknown.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	Session() *statev1.Session
	Suspects() []*statev1.Suspect
	// Residency is by endpoint, and empty until the control role reports any.
	Residency() map[string]*peerv1.EndpointResidency
	LiveEntries() int
	// Charge turns held tokens into spent ones.
	Charge(customer string, tokens uint64)
	// Hold reserves tokens of the customer's lease; false if there are not
	// enough now.
	Hold(customer string, tokens uint64) bool
	// Release ends a hold of held tokens of which charged were passed to Charge
	// before; the difference returns to the lease.
	Release(customer string, held, charged uint64)
	// Want states the customer's unmet demand: the sum of tokens that waits at
	// this entry now, zero when nothing waits.
	Want(customer string, tokens uint64)
	// TokensArrived is closed and replaced whenever leases grow.
	TokensArrived() <-chan struct{}
	// Demand adds what was seen of one model since the last call.
	Demand(d *peerv1.ModelDemand)
}

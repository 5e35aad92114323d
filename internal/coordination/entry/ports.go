package entry

import (
	"context"
	"net/http"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/config"
)

// Request is one request of a caller, as parsed by the protocol layer.
type Request struct {
	// ID is unique; the identifiers of the request's attempts are derived from it.
	ID    string
	Route *statev1.Route
	// Key is the caller's API key; empty on open routes.
	Key      string
	Method   string
	Path     string
	RawQuery string
	// Header does not contain the headers and cookies that carry the route's key.
	// Header and Body must not be modified even after Serve has returned, because
	// a non-idempotent call can outlive its caller.
	Header http.Header
	Body   []byte
	// Model is the model or adapter named in the body; empty means the model of
	// the route.
	Model        string
	Stream       bool
	PromptTokens int
	MaxTokens    int
	// IdempotencyKey is the value of the Idempotency-Key header, or empty.
	IdempotencyKey string
}

// ResponseWriter receives one response. Its methods are never called
// concurrently.
type ResponseWriter interface {
	// Start writes the status and the header.
	Start(status int, header http.Header) error
	// Event writes and flushes one server-sent event.
	Event(data []byte) error
	// Write writes part of a body that is not an event stream.
	Write(p []byte) error
}

// Replica is this entry's replica of the fleet state. Its methods are safe for
// concurrent use, do not block (except Propose) and never call the Server.
type Replica interface {
	// Index returns the configuration, or nil before the first Sync.
	Index() *config.Index
	// Fresh reports whether the freshness lease is valid now.
	Fresh() bool
	// Propose commits one command. After an error whose code is ChangeUnconfirmed
	// or does not rule out that the command ran, the outcome is unknown.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	Session() *statev1.Session
	Suspects() []*statev1.Suspect
	// Residency returns the resident models by endpoint. It is empty until the
	// control role has reported any.
	Residency() map[string]*peerv1.EndpointResidency
	// Evacuations returns the data centres whose endpoints get no new requests, and the
	// version of that list.
	Evacuations() (version uint64, dataCentres []string)
	LiveEntries() int
	// Charge records that held tokens were used.
	Charge(customer string, tokens uint64)
	// Hold reserves tokens of the customer's lease. It returns false if the lease
	// does not have enough tokens left.
	Hold(customer string, tokens uint64) bool
	// Release ends a hold. held is the size of the hold and charged the part of it
	// that was passed to Charge; the difference goes back to the lease.
	Release(customer string, held, charged uint64)
	// SetWanted sets the customer's unmet demand: the number of tokens that requests at
	// this entry are waiting for.
	SetWanted(customer string, tokens uint64)
	// TokensArrived returns a channel that is closed and replaced whenever a lease
	// grows.
	TokensArrived() <-chan struct{}
	// AddDemand adds the demand observed for one model since the last call.
	AddDemand(d *peerv1.ModelDemand)
}

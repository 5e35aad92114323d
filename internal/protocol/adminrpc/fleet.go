// Package adminrpc serves the administration API (api/admin/v1).
//
// Each change carries a request identifier. The identifier that is proposed is
// prefixed with the operator and the call, so that a repeat through any VM gets
// the first answer and never that of another operator or call.
//
// A change that was decided, also against the operator, is answered in the
// response with its result code. A call that could not be decided ends with a
// twirp error whose metadata has the result code; a client sends it again under
// the same request identifier.
package adminrpc

import (
	"context"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Fleet is what the administration API needs of the daemon. Errors that are
// *resultcode.Error keep their code; any other error of a change counts as
// resultcode.ChangeUnconfirmed.
type Fleet interface {
	// Status describes this daemon. It does not need a quorum.
	Status(ctx context.Context) (*adminv1.StatusResponse, error)
	// Propose commits and applies one command and returns its result.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Read calls f with the state. With confirm, a quorum has confirmed that the
	// state is as new as the call. f must not keep or modify what it sees.
	Read(ctx context.Context, confirm bool, f func(v View)) error
	// Entries returns every VM with a session and the configuration version that
	// it last reported as in force.
	Entries(ctx context.Context) ([]Entry, error)
	// Members returns the membership of the replicated log.
	Members(ctx context.Context) (*peerv1.MembersResponse, error)
	// Join adds a control VM and removes the member that it replaces, if any.
	Join(ctx context.Context, m *statev1.Member, replaces uint64) (*statev1.Membership, error)
	// Leave removes a control VM.
	Leave(ctx context.Context, memberID uint64) (*statev1.Membership, error)
	// Endpoints returns what this daemon knows of the endpoints.
	Endpoints(ctx context.Context) ([]EndpointState, error)
	// Drain starts or ends the refusal of new requests at this VM and returns
	// the number of open requests.
	Drain(ctx context.Context, undo bool) (open int, err error)
}

// View is the replicated state; *fleet.Machine has these methods.
type View interface {
	FleetTime() uint64
	Config() *statev1.Config
	ConfigAt(version uint64) (*statev1.Config, bool)
	History(limit int) []*statev1.VersionInfo
}

// Entry is one VM with its session.
type Entry struct {
	VM          string
	DataCentre  string
	Incarnation string
	Live        bool
	// ConfigVersion is the version that the VM last reported as in force; zero
	// if it has not reported any since the last change of the leader.
	ConfigVersion uint64
}

// EndpointState is what this daemon knows of one endpoint.
type EndpointState struct {
	Name string
	// State is "live", "suspect", "ejected" or "leaving".
	State        string
	InFlight     uint32
	MemoryUsedMB uint64
	Ready        []string
	Loading      []string
}

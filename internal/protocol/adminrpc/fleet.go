// Package adminrpc serves the administration API (api/admin/v1).
//
// Each change carries a request identifier. The server adds the operator and the
// call as a prefix before it proposes the change. A retry through any VM thus
// returns the result of the first attempt, and never that of another operator or
// call.
//
// A change that was decided, whether applied or refused, returns a response with
// its result code. A call that was not decided returns a twirp error with the
// result code in its metadata; the client retries it with the same request
// identifier.
package adminrpc

import (
	"context"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Fleet is the daemon's interface to the administration API. An error that is a
// *resultcode.Error keeps its code; any other error of a change is reported as
// resultcode.ChangeUnconfirmed.
type Fleet interface {
	// Status returns the state of this daemon. It does not need a quorum.
	Status(ctx context.Context) (*adminv1.StatusResponse, error)
	// Propose commits and applies one command and returns its result.
	Propose(ctx context.Context, c *statev1.Command) (*statev1.Result, error)
	// Read calls f with the state. If confirm is set, the read is linearizable: a
	// quorum confirms that the state is not older than the call. f must not retain
	// or modify the state.
	Read(ctx context.Context, confirm bool, f func(v View)) error
	// Entries returns every VM with a session, and for each the configuration
	// version that it last reported as in force.
	Entries(ctx context.Context) ([]Entry, error)
	// Members returns the membership of the replicated log.
	Members(ctx context.Context) (*peerv1.MembersResponse, error)
	// Join adds a control VM and removes the member that it replaces, if any.
	Join(ctx context.Context, m *statev1.Member, replaces uint64) (*statev1.Membership, error)
	// Leave removes a control VM.
	Leave(ctx context.Context, memberID uint64) (*statev1.Membership, error)
	// Endpoints returns the endpoint states as seen by this daemon.
	Endpoints(ctx context.Context) ([]EndpointState, error)
	// Drain makes this VM refuse new requests, or accept them again if undo is set,
	// and returns the number of open requests.
	Drain(ctx context.Context, undo bool) (open int, err error)
}

// View gives read access to the replicated state. *fleet.Machine implements it.
type View interface {
	FleetTime() uint64
	Config() *statev1.Config
	ConfigAt(version uint64) (*statev1.Config, bool)
	History(limit int) []*statev1.VersionInfo
	Evacuations() (version uint64, records []*statev1.EvacuationRecord)
}

// Entry describes a VM with a session.
type Entry struct {
	VM          string
	DataCentre  string
	Incarnation string
	Live        bool
	// ConfigVersion is the version that the VM last reported as in force, or zero
	// if it has not reported one since the last leader change.
	ConfigVersion uint64
}

// EndpointState is the state of one endpoint as seen by this daemon.
type EndpointState struct {
	Name string
	// State is "live", "suspect", "ejected", "leaving" or "evacuated".
	State        string
	InFlight     uint32
	MemoryUsedMB uint64
	Ready        []string
	Loading      []string
}

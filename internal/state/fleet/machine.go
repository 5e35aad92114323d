// Package fleet implements the replicated state machine of the control role. It
// holds the configuration, sessions, token accounts, claims, orders, suspects and
// the results of operators' commands.
//
// Apply is deterministic: it reads no clock and no random numbers, and no result
// depends on the iteration order of a map. Time is fleet time, which the commands
// carry and which never goes backwards.
package fleet

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/account"
	"github.com/radishloom/radishloom/internal/state/claim"
	"github.com/radishloom/radishloom/internal/state/order"
)

// faults disables single rules, so that tests can show that they detect the
// violation.
type faults struct {
	// forgetRequests executes a command again although its request identifier is
	// known.
	forgetRequests bool
	// wallClock lets accounts grow with the proposer's wall clock.
	wallClock bool
	// reapplySyncs applies a sync again that was applied before.
	reapplySyncs bool
	// rollbackRestoresKeys makes a rollback restore the keys of the old version.
	rollbackRestoresKeys bool
	// ignoreBase accepts a change whatever version it is based on.
	ignoreBase bool
	// returnExpiredLeases returns expired leases to the accounts instead of writing
	// them off.
	returnExpiredLeases bool
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	now            uint64 // fleet time in milliseconds
	config         *statev1.Config
	history        history
	requests       requests
	sessions       sessions
	accounts       *account.Table
	claims         *claim.Table
	orders         *order.Ledger
	suspects       suspects
	catalog        *statev1.Catalog
	streamRoutes   *statev1.StreamRoutes      // never modified
	quarantine     *statev1.QuarantineRecord  // never modified
	recentVersions *statev1.PutRecentVersions // never modified
	evacuations    evacuations
	faults         faults
	proposerWallMs uint64 // wall clock of the last sync batch; used only with faults.wallClock
}

// New returns a Machine in the state before the first command.
func New() *Machine {
	return &Machine{
		config:   &statev1.Config{},
		requests: newRequests(),
		sessions: newSessions(),
		accounts: account.NewTable(),
		claims:   claim.NewTable(),
		orders:   order.NewLedger(),
		suspects: newSuspects(),
	}
}

// Apply executes one committed command and returns its result, which the caller
// must not modify.
func (m *Machine) Apply(index uint64, c *statev1.Command) *statev1.Result {
	m.advance(c.GetFleetTimeMs())
	if first := m.requests.find(c.GetRequestId()); first != nil && !m.faults.forgetRequests {
		return first
	}
	r := m.execute(index, c)
	r.Index = index
	r.ConfigVersion = m.config.GetVersion()
	m.requests.add(c.GetRequestId(), r)
	return r
}

func (m *Machine) execute(index uint64, c *statev1.Command) *statev1.Result {
	switch op := c.GetOp().(type) {
	case *statev1.Command_Stamp:
		return &statev1.Result{}
	case *statev1.Command_ConfigChange:
		return m.changeConfig(c, op.ConfigChange)
	case *statev1.Command_Rollback:
		return m.rollback(c, op.Rollback)
	case *statev1.Command_SyncBatch:
		return m.syncBatch(c, op.SyncBatch)
	case *statev1.Command_ClaimBegin:
		return m.claimBegin(c, op.ClaimBegin)
	case *statev1.Command_ClaimFinish:
		return m.claimFinish(op.ClaimFinish)
	case *statev1.Command_TakeOwnership:
		m.orders.TakeOwnership(m.now, index, op.TakeOwnership.GetOwner())
		return &statev1.Result{}
	case *statev1.Command_OrderIssue:
		return m.orderIssue(index, op.OrderIssue)
	case *statev1.Command_OrderResolve:
		return m.orderResolve(op.OrderResolve)
	case *statev1.Command_EndpointObserved:
		return m.endpointObserved(op.EndpointObserved)
	case *statev1.Command_PutCatalog:
		m.putCatalog(op.PutCatalog)
		return &statev1.Result{}
	case *statev1.Command_PutQuarantine:
		m.putQuarantine(op.PutQuarantine)
		return &statev1.Result{}
	case *statev1.Command_PutRecentVersions:
		return m.putRecentVersions(op.PutRecentVersions)
	case *statev1.Command_SetEvacuation:
		return m.evacuations.set(m.now, c.GetAuthor(), op.SetEvacuation)
	case *statev1.Command_SuspectReport:
		m.suspects.report(m.now, op.SuspectReport)
		return &statev1.Result{}
	case *statev1.Command_SuspectsCleared:
		m.suspects.clear(op.SuspectsCleared.GetFingerprints())
		return &statev1.Result{}
	default:
		return refuse(resultcode.BadRequest, "the command holds no operation that this version knows")
	}
}

// advance sets the fleet time and expires leases, sessions, claims and suspects.
func (m *Machine) advance(now uint64) {
	if now <= m.now {
		return
	}
	m.now = now
	m.expireLeases()
	m.endExpiredSessions()
	m.claims.Expire(m.now)
	m.suspects.expire(m.now)
}

func refuse(code resultcode.Code, format string, args ...any) *statev1.Result {
	return &statev1.Result{Code: uint32(code), Message: fmt.Sprintf(format, args...)}
}

// FleetTime returns the fleet time in milliseconds.
func (m *Machine) FleetTime() uint64 { return m.now }

// Config returns the current configuration, which is shared and never modified.
func (m *Machine) Config() *statev1.Config { return m.config }

// Orders returns the order ledger. Callers must not modify it.
func (m *Machine) Orders() *order.Ledger { return m.orders }

// Balance returns the level of a customer's account and its tokens that are
// leased to entries.
func (m *Machine) Balance(customer string) (level, outstanding uint64) {
	return m.accounts.Balance(m.now, customer)
}

// ClaimStats returns the number of claims and the total size of their stored answers
// in bytes.
func (m *Machine) ClaimStats() (claims, storedBytes int) { return m.claims.Stats() }

// SuspectsVersion returns the version of the list of suspects.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspects returns the list of suspects and its version, which grows with each
// change.
func (m *Machine) Suspects() (version uint64, list []*statev1.Suspect) {
	return m.suspects.version, m.suspects.list()
}

// Package fleet is the replicated state machine: configuration, sessions, token
// accounts, claims, orders, suspects and the results of operators' commands.
//
// Apply is deterministic: it reads no clock and no random numbers, and no
// result depends on the iteration order of a map. Time is fleet time, which the
// commands carry and which never runs backwards.
package fleet

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/account"
	"github.com/radishloom/radishloom/internal/state/claim"
	"github.com/radishloom/radishloom/internal/state/order"
)

// faults are deliberately wrong rules. Tests set them to show that they notice
// the difference.
type faults struct {
	// forgetRequests applies a repeated request identifier again.
	forgetRequests bool
	// wallClock lets accounts grow with the proposer's wall clock.
	wallClock bool
	// repeatSyncs applies a sync that was applied before.
	repeatSyncs bool
	// rollbackKeys restores the keys of the old document.
	rollbackKeys bool
	// ignoreBase accepts a change whatever version it is based on.
	ignoreBase bool
	// returnVanished gives the leases of a vanished session back instead of
	// writing them off.
	returnVanished bool
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	now      uint64 // fleet time in milliseconds
	config   *statev1.Config
	history  history
	requests requests
	sessions sessions
	bank     *account.Bank
	claims   *claim.Table
	orders   *order.Ledger
	suspects suspects
	catalog  *statev1.Catalog
	faults   faults
	wall     uint64 // wall clock of the last batch; used only under a fault
}

// New returns the state before the first command.
func New() *Machine {
	return &Machine{
		config:   &statev1.Config{},
		requests: newRequests(),
		sessions: newSessions(),
		bank:     account.NewBank(),
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
		m.orders.Take(m.now, index, op.TakeOwnership.GetOwner())
		return &statev1.Result{}
	case *statev1.Command_OrderIssue:
		return m.orderIssue(index, op.OrderIssue)
	case *statev1.Command_OrderResolve:
		return m.orderResolve(op.OrderResolve)
	case *statev1.Command_EndpointObserved:
		return m.endpointObserved(op.EndpointObserved)
	case *statev1.Command_PutCatalog:
		m.putCatalog(op.PutCatalog.GetCatalog())
		return &statev1.Result{}
	case *statev1.Command_SuspectReport:
		m.suspects.report(m.now, op.SuspectReport)
		return &statev1.Result{}
	default:
		return refuse(resultcode.BadRequest, "the command holds no operation that this version knows")
	}
}

// advance moves the fleet time and ends what is over by then.
func (m *Machine) advance(to uint64) {
	if to <= m.now {
		return
	}
	m.now = to
	m.expireLeases()
	m.endVanished()
	m.claims.Expire(m.now)
	m.suspects.expire(m.now)
}

func refuse(code resultcode.Code, format string, args ...any) *statev1.Result {
	return &statev1.Result{Code: uint32(code), Message: fmt.Sprintf(format, args...)}
}

// FleetTime returns the fleet time in milliseconds.
func (m *Machine) FleetTime() uint64 { return m.now }

// Config returns the present document, which is shared and never modified.
func (m *Machine) Config() *statev1.Config { return m.config }

// Orders returns the order ledger, for reading.
func (m *Machine) Orders() *order.Ledger { return m.orders }

// Balance returns a customer's level and outstanding tokens.
func (m *Machine) Balance(customer string) (level, outstanding uint64) {
	return m.bank.Balance(m.now, customer)
}

// Claims returns the number of claims and the bytes of their stored answers.
func (m *Machine) Claims() (claims, storedBytes int) { return m.claims.Len() }

// SuspectsVersion returns the version of the list of suspects.
func (m *Machine) SuspectsVersion() uint64 { return m.suspects.version }

// Suspects returns the suspected fingerprints and the version of that list,
// which grows with each change.
func (m *Machine) Suspects() (version uint64, list []*statev1.Suspect) {
	return m.suspects.version, m.suspects.list()
}

// putCatalog keeps the catalog with the highest version. The first one of a
// version stays: a repeat or a competing one changes nothing.
func (m *Machine) putCatalog(c *statev1.Catalog) {
	if c.GetVersion() > m.catalog.GetVersion() {
		m.catalog = c
	}
}

// Catalog returns the present catalog, which is shared and never modified, or
// nil before the first one.
func (m *Machine) Catalog() *statev1.Catalog { return m.catalog }

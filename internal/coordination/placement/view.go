package placement

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/order"
)

// View is the complete input of a plan.
type View struct {
	// NowMs is the fleet time.
	NowMs  uint64
	Config *statev1.Config
	Ledger LedgerView
	// Reports holds the latest report of each engine that this owner has polled.
	Reports map[string]Report
	// Leaving holds the endpoints that the platform lists as leaving.
	Leaving map[string]bool
	// Evacuated holds the evacuated data centres. Their engines count like leaving ones,
	// but keep what they hold.
	Evacuated map[string]bool
	Demand    map[string]Demand
	// LostAfterMs is the age of the last report after which an engine counts as
	// lost.
	LostAfterMs uint64
}

// Report is an engine's report and the fleet time at which it was requested.
type Report struct {
	RequestedMs uint64
	Resident    []engine.ResidentModel
	Leaving     bool
}

// Demand is the smoothed demand for a model.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Waiting is the number of requests in the entries' queues.
	Waiting float64
}

// LedgerView is a copy of the parts of the order ledger that the planner needs.
type LedgerView struct {
	Owner, Token, OwnerSinceMs uint64
	Engines                    map[string]EngineLedger
}

// EngineLedger is the state of one engine in the order ledger.
type EngineLedger struct {
	// WorstCaseMB is the memory that may be in use in the worst case.
	WorstCaseMB uint64
	Observed    bool
	RequestedMs uint64
	Resident    []*statev1.ResidentModel
	Orders      []order.Order
	// ReadyAtMs is the fleet time from which this owner may send orders.
	ReadyAtMs uint64
}

// readEvacuated returns the evacuated data centres of a state machine.
func readEvacuated(m *fleet.Machine) map[string]bool {
	out := map[string]bool{}
	_, records := m.Evacuations()
	for _, r := range records {
		if r.GetEvacuated() {
			out[r.GetDataCentre()] = true
		}
	}
	return out
}

// ReadLedger copies the order ledger of a state machine.
func ReadLedger(m *fleet.Machine) LedgerView {
	l := m.Orders()
	v := LedgerView{Engines: make(map[string]EngineLedger)}
	v.Owner, v.Token, v.OwnerSinceMs = l.Owner()
	for _, e := range m.Config().GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		x := EngineLedger{Orders: l.OpenOrders(e.GetName()), ReadyAtMs: l.ReadyAt(e.GetChecksFencing())}
		x.WorstCaseMB, x.Observed = l.WorstCase(e.GetName(), m.PinnedModels(e))
		x.Resident, x.RequestedMs, _ = l.Resident(e.GetName())
		v.Engines[e.GetName()] = x
	}
	return v
}

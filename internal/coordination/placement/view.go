package placement

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/order"
)

// View is everything that a plan depends on.
type View struct {
	// NowMs is the fleet time.
	NowMs  uint64
	Config *statev1.Config
	Ledger LedgerView
	// Reports holds the latest report of each engine that has reported to this
	// owner.
	Reports map[string]Report
	// Leaving names the endpoints that the platform's list says are leaving.
	Leaving map[string]bool
	Demand  map[string]Demand
	// LostAfterMs is the age of the last report from which an engine counts as
	// lost.
	LostAfterMs uint64
}

// Report is an engine's report and the fleet time at which it was asked for.
type Report struct {
	AskedMs  uint64
	Resident []engine.ResidentModel
	Leaving  bool
}

// Demand is the smoothed demand for a model.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Waiting is the number of requests in the entries' queues.
	Waiting float64
}

// LedgerView is a copy of what the planner needs of the order ledger.
type LedgerView struct {
	Owner, Token, TakenMs uint64
	Engines               map[string]EngineLedger
}

// EngineLedger is the ledger's account of one engine.
type EngineLedger struct {
	// WorstMB is the memory that may be in use in the worst case.
	WorstMB  uint64
	Observed bool
	AskedMs  uint64
	Resident []*statev1.ResidentModel
	Orders   []order.Order
	// ReadyAtMs is the fleet time from which orders may be sent.
	ReadyAtMs uint64
}

// ReadLedger copies the ledger of a machine.
func ReadLedger(m *fleet.Machine) LedgerView {
	l := m.Orders()
	v := LedgerView{Engines: make(map[string]EngineLedger)}
	v.Owner, v.Token, v.TakenMs = l.Owner()
	for _, e := range m.Config().GetEndpoints() {
		if e.GetKind() != statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		x := EngineLedger{Orders: l.Open(e.GetName()), ReadyAtMs: l.ReadyAt(e.GetChecksFencing())}
		x.WorstMB, x.Observed = l.Worst(e.GetName(), m.PinnedModels(e))
		x.Resident, x.AskedMs, _ = l.Resident(e.GetName())
		v.Engines[e.GetName()] = x
	}
	return v
}

package order

import (
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

const limitMB = 100

// message is an order in transit to the engine, and then the engine's response.
type message struct {
	id        uint64
	order     *statev1.OrderIssue
	expiresMs uint64 // last real time at which the order takes effect
	outcome   statev1.OrderOutcome
}

type report struct {
	requestedMs uint64
	resident    []*statev1.ResidentModel
}

// simulation is one engine that executes every order it receives. Orders are
// lost, delayed, duplicated and reordered, and the owner changes.
type simulation struct {
	ledger               *Ledger
	nowMs, realMs        uint64
	index                uint64
	checksFencing        bool
	highestToken         uint64 // highest fencing token that the engine received
	loadedMB             map[string]uint64
	inTransit, responses []message
	reports              []report
}

func (sim *simulation) usedMB() uint64 {
	var sum uint64
	for _, mb := range sim.loadedMB {
		sum += mb
	}
	return sum
}

func orderProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		sim := &simulation{ledger: NewLedger(), loadedMB: map[string]uint64{}, checksFencing: rapid.Bool().Draw(t, "checks")}
		sim.ledger.fault = f
		sim.ledger.SetEndpoints(0, map[string]bool{"e": true})
		sim.takeOwnership()
		for range 20 + proptest.IntN(t, 300) {
			sim.step(t)
			if sim.usedMB() > limitMB {
				t.Fatalf("the engine uses %d MB, its limit is %d MB", sim.usedMB(), limitMB)
			}
			if worst, observed := sim.ledger.Worst("e", nil); observed && worst < sim.usedMB() {
				t.Fatalf("the ledger counts %d MB, the engine uses %d MB", worst, sim.usedMB())
			}
		}
	}
}

func (sim *simulation) takeOwnership() {
	sim.index++
	sim.ledger.Take(sim.nowMs, sim.index, 1)
}

func (sim *simulation) step(t *rapid.T) {
	switch proptest.IntN(t, 13) {
	case 0, 1, 2:
		sim.issue(t, statev1.OrderKind_ORDER_KIND_LOAD_MODEL)
	case 3:
		sim.issue(t, statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL)
	case 4, 5, 6:
		sim.deliver(t)
	case 7:
		if i := pickRecent(t, sim.responses); i >= 0 {
			sim.ledger.Resolve(sim.responses[i].id, sim.responses[i].outcome)
		}
	case 8:
		sim.reports = append(sim.reports, sim.report())
	case 9:
		if i := pickRecent(t, sim.reports); i >= 0 {
			_, token, _ := sim.ledger.Owner()
			sim.ledger.Observe(&statev1.EndpointObserved{FencingToken: token, Endpoint: "e", AskedAtMs: sim.reports[i].requestedMs, Resident: sim.reports[i].resident})
		}
	case 10:
		d := []uint64{1, 500, 8_000, 31_000}[proptest.IntN(t, 4)]
		sim.realMs += d
		if proptest.IntN(t, 4) > 0 {
			sim.nowMs += d
		}
	case 11:
		if rapid.Bool().Draw(t, "restarts") {
			clear(sim.loadedMB)
		}
		sim.takeOwnership()
	default:
		saved := sim.ledger.Save()
		f := sim.ledger.fault
		sim.ledger = NewLedger()
		sim.ledger.fault = f
		sim.ledger.Load(saved)
	}
}

func pickRecent[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		return -1
	}
	// Only the last eight: older messages hardly interact with new ones.
	return len(list) - 1 - proptest.IntN(t, min(len(list), 8))
}

func (sim *simulation) report() report {
	r := report{requestedMs: sim.nowMs}
	for _, name := range []string{"a", "b", "c", "d"} {
		if mb := sim.loadedMB[name]; mb != 0 {
			r.resident = append(r.resident, &statev1.ResidentModel{Model: name, Version: "1", MemoryMb: mb})
		}
	}
	return r
}

func (sim *simulation) issue(t *rapid.T, kind statev1.OrderKind) {
	memory := map[string]uint64{"a": 30, "b": 40, "c": 50, "d": 60}
	name := []string{"a", "b", "c", "d"}[proptest.IntN(t, 4)]
	_, token, _ := sim.ledger.Owner()
	o := &statev1.OrderIssue{FencingToken: token, Endpoint: "e", Kind: kind, Model: name, Version: "1", MemoryMb: memory[name], LifetimeMs: 30_000}
	sim.index++
	if sim.ledger.Issue(sim.nowMs, sim.index, o, limitMB, nil) != Issued {
		return
	}
	sim.inTransit = append(sim.inTransit, message{id: sim.index, order: o, expiresMs: sim.realMs + o.GetLifetimeMs()})
}

// deliver delivers one order to the engine. The same order may be delivered again.
func (sim *simulation) deliver(t *rapid.T) {
	i := pickRecent(t, sim.inTransit)
	if i < 0 {
		return
	}
	m := sim.inTransit[i]
	if m.expiresMs < sim.realMs {
		return
	}
	m.outcome = statev1.OrderOutcome_ORDER_OUTCOME_DONE
	switch {
	case sim.checksFencing && m.order.GetFencingToken() < sim.highestToken, proptest.IntN(t, 5) == 0:
		m.outcome = statev1.OrderOutcome_ORDER_OUTCOME_REFUSED
	case m.order.GetKind() == statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		sim.loadedMB[m.order.GetModel()] = m.order.GetMemoryMb()
	default:
		delete(sim.loadedMB, m.order.GetModel())
	}
	sim.highestToken = max(sim.highestToken, m.order.GetFencingToken())
	sim.responses = append(sim.responses, m)
}

// Guards against orders that together exceed an engine's memory.
func TestWorstCaseCoversTheEngine(t *testing.T) { proptest.Check(t, 500, 1, orderProperty(0)) }

// Requires the property to fail when the memory of an order is not counted until
// the engine confirms it.
func TestIgnoringOpenOrdersBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, orderProperty(faultIgnoreOpen))
}

// Requires the property to fail when an order stops counting with the engine's
// first response, although a duplicate may still arrive.
func TestTrustingResponsesBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, orderProperty(faultTrustResponses))
}

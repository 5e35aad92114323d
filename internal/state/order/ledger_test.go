package order

import (
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

const limitMB = 100

// message is an order on its way to the engine.
type message struct {
	id     uint64
	order  *statev1.OrderIssue
	dueMs  uint64 // last real time at which it takes effect
	answer statev1.OrderOutcome
}

type report struct {
	asked    uint64
	resident []*statev1.ResidentModel
}

// world is one engine that executes whatever reaches it, with orders lost,
// late, repeated and out of order, and owners that change.
type world struct {
	ledger          *Ledger
	now, real       uint64
	index           uint64
	checks          bool
	highest         uint64 // highest token that the engine saw
	loaded          map[string]uint64
	flying, answers []message
	reports         []report
}

func (w *world) used() uint64 {
	var sum uint64
	for _, mb := range w.loaded {
		sum += mb
	}
	return sum
}

func orderProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := &world{ledger: NewLedger(), loaded: map[string]uint64{}, checks: rapid.Bool().Draw(t, "checks")}
		w.ledger.fault = f
		w.ledger.SetEndpoints(0, map[string]bool{"e": true})
		w.take()
		for range 20 + proptest.Choose(t, 300) {
			w.step(t)
			if w.used() > limitMB {
				t.Fatalf("the engine uses %d MB of %d", w.used(), limitMB)
			}
			if worst, observed := w.ledger.Worst("e", nil); observed && worst < w.used() {
				t.Fatalf("the ledger counts %d MB, the engine uses %d", worst, w.used())
			}
		}
	}
}

func (w *world) take() {
	w.index++
	w.ledger.Take(w.now, w.index, 1)
}

func (w *world) step(t *rapid.T) {
	switch proptest.Choose(t, 13) {
	case 0, 1, 2:
		w.issue(t, statev1.OrderKind_ORDER_KIND_LOAD_MODEL)
	case 3:
		w.issue(t, statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL)
	case 4, 5, 6:
		w.deliver(t)
	case 7:
		if i := pick(t, w.answers); i >= 0 {
			w.ledger.Resolve(w.answers[i].id, w.answers[i].answer)
		}
	case 8:
		w.reports = append(w.reports, w.report())
	case 9:
		if i := pick(t, w.reports); i >= 0 {
			_, token, _ := w.ledger.Owner()
			w.ledger.Observe(&statev1.EndpointObserved{FencingToken: token, Endpoint: "e", AskedAtMs: w.reports[i].asked, Resident: w.reports[i].resident})
		}
	case 10:
		d := []uint64{1, 500, 8_000, 31_000}[proptest.Choose(t, 4)]
		w.real += d
		if proptest.Choose(t, 4) > 0 {
			w.now += d
		}
	case 11:
		if rapid.Bool().Draw(t, "restarts") {
			clear(w.loaded)
		}
		w.take()
	default:
		saved := w.ledger.Save()
		f := w.ledger.fault
		w.ledger = NewLedger()
		w.ledger.fault = f
		w.ledger.Load(saved)
	}
}

func pick[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		return -1
	}
	// Older messages hardly interact with new ones.
	return len(list) - 1 - proptest.Choose(t, min(len(list), 8))
}

func (w *world) report() report {
	r := report{asked: w.now}
	for _, name := range []string{"a", "b", "c", "d"} {
		if mb := w.loaded[name]; mb != 0 {
			r.resident = append(r.resident, &statev1.ResidentModel{Model: name, Version: "1", MemoryMb: mb})
		}
	}
	return r
}

func (w *world) issue(t *rapid.T, kind statev1.OrderKind) {
	memory := map[string]uint64{"a": 30, "b": 40, "c": 50, "d": 60}
	name := []string{"a", "b", "c", "d"}[proptest.Choose(t, 4)]
	_, token, _ := w.ledger.Owner()
	o := &statev1.OrderIssue{FencingToken: token, Endpoint: "e", Kind: kind, Model: name, Version: "1", MemoryMb: memory[name], LifetimeMs: 30_000}
	w.index++
	if w.ledger.Issue(w.now, w.index, o, limitMB, nil) != Issued {
		return
	}
	w.flying = append(w.flying, message{id: w.index, order: o, dueMs: w.real + o.GetLifetimeMs()})
}

// deliver brings one order to the engine; it may be delivered again later.
func (w *world) deliver(t *rapid.T) {
	i := pick(t, w.flying)
	if i < 0 {
		return
	}
	m := w.flying[i]
	if m.dueMs < w.real {
		return
	}
	m.answer = statev1.OrderOutcome_ORDER_OUTCOME_DONE
	switch {
	case w.checks && m.order.GetFencingToken() < w.highest, proptest.Choose(t, 5) == 0:
		m.answer = statev1.OrderOutcome_ORDER_OUTCOME_REFUSED
	case m.order.GetKind() == statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		w.loaded[m.order.GetModel()] = m.order.GetMemoryMb()
	default:
		delete(w.loaded, m.order.GetModel())
	}
	w.highest = max(w.highest, m.order.GetFencingToken())
	w.answers = append(w.answers, m)
}

// Guards against orders that, taken together, exceed an engine's memory.
func TestWorstCaseCoversTheEngine(t *testing.T) { proptest.Check(t, 500, 1, orderProperty(0)) }

// Shows that the same test notices orders whose memory is not counted until
// they are answered.
func TestForgettingOpenOrdersBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, orderProperty(faultForget))
}

// Shows that the same test notices orders that stop counting with their first
// answer, although a repeated copy may still arrive.
func TestTrustingAnswersBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, orderProperty(faultTrustAnswers))
}

package placement

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// placementProperty runs a fleet through faults and changes, then lets it
// recover and settle.
func placementProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t.Fatalf, choose(t))
		w.planner.faults = f
		w.build(4+w.pick(4), 5+w.pick(6))
		if !w.configure() {
			t.Skip("the configuration does not fit")
		}
		for _, m := range w.models {
			w.setDemand(m.GetName(), float64(w.pick(4)))
		}
		w.takeOver()
		for range 160 + w.pick(80) { // 80 s to 120 s, the first 30 s may be a wait
			w.step()
		}
		w.faulty = true
		for range 40 + w.pick(80) {
			if w.pick(3) == 0 {
				w.disturb()
			}
			for range 1 + w.pick(8) {
				w.step()
			}
		}
		w.recover(t)
	}
}

// disturb causes one fault or change.
func (w *world) disturb() {
	e := w.engines[w.pick(len(w.engines))]
	m := w.pick(len(w.models))
	switch w.pick(9) {
	case 0:
		w.crash(e)
	case 1:
		w.takeOver()
	case 2, 3, 4:
		d := w.demand[w.models[m].GetName()].Requests
		w.setDemand(w.models[m].GetName(), []float64{d * 10, d / 10, 0, 3}[w.pick(4)])
	case 5:
		e.leaving = !e.leaving
	case 6:
		w.change(m, func(c *statev1.Model) { c.Version += "1" })
	case 7:
		w.change(m, func(c *statev1.Model) { c.MinReplicas = uint32(w.pick(3)) })
	case 8:
		w.swapModel(m)
	}
}

func (w *world) change(i int, f func(*statev1.Model)) {
	old := w.models[i]
	w.models[i] = proto.Clone(old).(*statev1.Model)
	f(w.models[i])
	if !w.configure() {
		w.models[i] = old
	}
}

// swapModel replaces a model of the configuration by a new one.
func (w *world) swapModel(i int) {
	old := w.models[i]
	w.models[i] = w.newModel(50 + int(w.index))
	if !w.configure() {
		w.models[i] = old
		return
	}
	w.setDemand(w.models[i].GetName(), 1)
}

// recover checks that every model returns and that nothing moves afterwards.
func (w *world) recover(t *rapid.T) {
	const (
		returnSteps = 240 // 120 s: two rounds of lifetime, lag, drain and load
		settleSteps = 400
		steadySteps = 200
	)
	w.faulty = false
	for _, e := range w.engines {
		e.leaving = false
		e.down = min(e.down, w.now)
	}
	for range returnSteps {
		w.step()
	}
	for _, m := range w.models {
		ready := w.ready(m.GetName())
		if ready == 0 {
			t.Fatalf("%s has no copy %d ms after the last fault", m.GetName(), returnSteps*stepMs)
		}
		if ready < int(m.GetMinReplicas()) && !slices.Contains(w.lastPlan.Blocked, m.GetName()) {
			t.Fatalf("%s has %d copies of %d %d ms after the last fault", m.GetName(), ready, m.GetMinReplicas(), returnSteps*stepMs)
		}
	}
	for range settleSteps {
		w.step()
	}
	orders := w.moves + w.unloads
	for range steadySteps {
		w.step()
	}
	if n := w.moves + w.unloads - orders; n != 0 {
		t.Fatalf("%d orders in a steady state", n)
	}
}

// Guards against overcommitted memory, orders that leave a model without a
// copy, models that do not return, overuse of the weight store, unloads without
// a drain, and moves without a cause.
func TestPlacementUnderFaults(t *testing.T) {
	proptest.CheckSeeds(t, 40, placementProperty(faults{}), proptest.Steps(200))
}

// Shows that the property notices each broken rule.
func TestBrokenPlannersFail(t *testing.T) {
	for _, v := range []struct {
		name string
		seed uint64
		want string
		f    faults
	}{
		{"ignore sole copies", 3, "without a copy", faults{ignoreSole: true}},
		{"ignore the store", 1, "store", faults{ignoreStore: true}},
		{"ignore the worst case", 2, "refused", faults{ignoreWorst: true}},
		{"do not reload", 1, "has no copy", faults{noCopies: true}},
		{"restless", 3, "steady state", faults{restless: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			proptest.ExpectFailure(t, v.seed, v.want, placementProperty(v.f), proptest.Steps(200))
		})
	}
}

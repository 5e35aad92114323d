package placement

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// placementProperty runs a simulated fleet with faults and configuration changes,
// then checks that it recovers and reaches a steady state.
func placementProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newSimWorld(t.Fatalf, drawChoice(t))
		w.planner.faults = f
		w.build(4+w.pick(4), 5+w.pick(6))
		if !w.configure() {
			t.Skip("the configuration does not fit")
		}
		for _, m := range w.models {
			w.setDemand(m.GetName(), float64(w.pick(4)))
		}
		w.takeOver()
		for range 160 + w.pick(80) { // 80 s to 120 s, of which the new owner may wait 30 s
			w.step()
		}
		w.faulty = true
		for range 40 + w.pick(80) {
			if w.pick(3) == 0 {
				w.injectFault()
			}
			for range 1 + w.pick(8) {
				w.step()
			}
		}
		w.checkRecovery(t)
	}
}

// injectFault causes one fault, or one change of demand or configuration.
func (w *simWorld) injectFault() {
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
		w.changeModel(m, func(c *statev1.Model) { c.Version += "1" })
	case 7:
		w.changeModel(m, func(c *statev1.Model) { c.MinReplicas = uint32(w.pick(3)) })
	case 8:
		w.replaceModel(m)
	}
}

func (w *simWorld) changeModel(i int, f func(*statev1.Model)) {
	old := w.models[i]
	w.models[i] = proto.Clone(old).(*statev1.Model)
	f(w.models[i])
	if !w.configure() {
		w.models[i] = old
	}
}

// replaceModel replaces a model of the configuration by a new one.
func (w *simWorld) replaceModel(i int) {
	old := w.models[i]
	w.models[i] = w.newModel(50 + int(w.index))
	if !w.configure() {
		w.models[i] = old
		return
	}
	w.setDemand(w.models[i].GetName(), 1)
}

// checkRecovery checks that every model has replicas again once the faults end,
// and that no orders are issued in the steady state that follows.
func (w *simWorld) checkRecovery(t *rapid.T) {
	const (
		returnSteps = 240 // 120 s: enough for two sequences of order lifetime, report lag, drain and load
		settleSteps = 400
		steadySteps = 200
	)
	w.faulty = false
	for _, e := range w.engines {
		e.leaving = false
		e.downUntil = min(e.downUntil, w.now)
	}
	for range returnSteps {
		w.step()
	}
	for _, m := range w.models {
		ready := w.ready(m.GetName())
		if ready == 0 {
			t.Fatalf("%s has no replica %d ms after the last fault", m.GetName(), returnSteps*stepMs)
		}
		if ready < int(m.GetMinReplicas()) && !slices.Contains(w.lastPlan.Blocked, m.GetName()) {
			t.Fatalf("%s has %d replicas, at least %d wanted, %d ms after the last fault", m.GetName(), ready, m.GetMinReplicas(), returnSteps*stepMs)
		}
	}
	for range settleSteps {
		w.step()
	}
	orders := w.loads + w.unloads
	for range steadySteps {
		w.step()
	}
	if n := w.loads + w.unloads - orders; n != 0 {
		t.Fatalf("%d orders were issued in a steady state", n)
	}
}

// Guards against overcommitted memory, orders that leave a model without a
// replica, models that do not recover, an overloaded weight store, unloads
// without a drain, and orders in a steady state.
func TestPlacementUnderFaults(t *testing.T) {
	proptest.CheckSeeds(t, 40, placementProperty(faults{}), proptest.Steps(200))
}

// Shows that the property detects each deliberate defect of the planner.
func TestBrokenPlannersFail(t *testing.T) {
	for _, v := range []struct {
		name string
		seed uint64
		want string
		f    faults
	}{
		{"ignore last replicas", 3, "without a replica", faults{ignoreLastReplica: true}},
		{"ignore the weight store", 1, "weight store", faults{ignoreWeightStore: true}},
		{"ignore the worst case", 2, "refused", faults{ignoreWorstCase: true}},
		{"never reload", 1, "has no replica", faults{neverReload: true}},
		{"ignore the gain", 3, "steady state", faults{ignoreGain: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			proptest.ExpectFailure(t, v.seed, v.want, placementProperty(v.f), proptest.Steps(200))
		})
	}
}

package placement

import (
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// scenario is a fleet of engines with 100 MB and one copy of each model, placed
// as given: engine, model, memory.
func scenario(t *testing.T, models ...*statev1.Model) *world {
	w := newWorld(t.Fatalf, func(n int) int { return min(1, n-1) })
	w.build(2, 0)
	w.models = models
	for _, e := range w.engines {
		e.cfg.AcceleratorType = "a"
	}
	return w
}

func (w *world) hold(engine int, m *statev1.Model) {
	e := w.engines[engine]
	e.copies[copyKey{e.cfg.GetName(), m.GetName(), m.GetVersion()}] = &simCopy{memory: m.GetMemoryMb()}
}

func (w *world) holds(engine int, model, version string) bool {
	e := w.engines[engine]
	c := e.copies[copyKey{e.cfg.GetName(), model, version}]
	return c != nil && c.readyAt <= w.now
}

func (w *world) run(steps int) {
	if !w.configure() {
		w.fail("the configuration does not fit")
	}
	if w.token == 0 {
		w.takeOver()
	}
	for range steps {
		w.step()
	}
}

// Guards against a model that stays without a copy because only the move of a
// sole copy makes room for it; the world fails if an order leaves that one
// without a copy.
func TestSoleCopyMovesToMakeRoom(t *testing.T) {
	small := &statev1.Model{Name: "small", Version: "1", MemoryMb: 40}
	other := &statev1.Model{Name: "other", Version: "1", MemoryMb: 50}
	large := &statev1.Model{Name: "large", Version: "1", MemoryMb: 80}
	w := scenario(t, small, other, large)
	w.hold(0, small)
	w.hold(1, other)
	w.setDemand("other", 2)
	w.run(200)
	if !w.holds(0, "large", "1") || !w.holds(1, "small", "1") || !w.holds(1, "other", "1") {
		t.Fatal("large was not placed")
	}
}

// Guards against a new version that does not replace the old one, and against
// sole copies that stay on a leaving engine only.
func TestNewVersionAndLeavingEngine(t *testing.T) {
	m := &statev1.Model{Name: "m", Version: "1", MemoryMb: 60}
	w := scenario(t, m)
	w.hold(0, m)
	w.setDemand("m", 2)
	w.engines[0].leaving = true
	w.run(100)
	if !w.holds(1, "m", "1") || !w.holds(0, "m", "1") {
		t.Fatal("the leaving engine's copy was not loaded elsewhere, or was unloaded")
	}
	w.engines[0].leaving = false
	w.models[0] = &statev1.Model{Name: "m", Version: "2", MemoryMb: 60}
	w.run(400)
	if w.ready("m") != 2 || !w.holds(0, "m", "2") || !w.holds(1, "m", "2") {
		t.Fatal("the new version did not replace the old one")
	}
}

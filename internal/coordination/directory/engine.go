package directory

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// engine is what the planner knows of one engine.
type engine struct {
	Endpoint
	report   Report
	reported time.Duration // zero before the first report
	// stale says that a newer report is needed before the next order.
	stale bool
	// staleSince is when the last order made the report useless.
	staleSince time.Duration
	// ordering says that an order is on its way.
	ordering bool
	// loading is the model whose load was accepted. It should be resident at
	// loadingReady; at loadingUntil the load counts as failed.
	loading                    string
	loadingReady, loadingUntil time.Duration
	// closing holds the models that are about to be unloaded, and since when.
	closing map[string]time.Duration
	// replacement is the model that is loaded once closing models are gone.
	replacement string
	since       map[string]time.Duration  // when a load of a model was accepted
	adapters    map[Adapter]time.Duration // last use
}

func (e *engine) holds(model string) bool {
	return slices.ContainsFunc(e.report.Models, func(r Resident) bool { return r.Model == model })
}

func (e *engine) serves(model string) bool {
	_, closing := e.closing[model]
	return e.holds(model) && !closing && !e.Leaving
}

func (e *engine) adaptersOf(model string) []string {
	for _, r := range e.report.Models {
		if r.Model == model {
			return r.Adapters
		}
	}
	return nil
}

// adapterPlaces counts the adapters that are loaded or on their way.
func (e *engine) adapterPlaces() int {
	n := len(e.report.Incoming)
	for _, r := range e.report.Models {
		n += len(r.Adapters)
	}
	return n
}

// local says whether the engine has its own copy of the weights.
func (e *engine) local(model string) bool {
	return slices.Contains(e.report.InMemory, model) || slices.Contains(e.report.OnDisk, model)
}

// planned lists the models that an engine serves, or will when what was begun
// is done.
func (e *engine) planned() []string {
	var out []string
	for _, m := range e.report.Models {
		if e.serves(m.Model) {
			out = append(out, m.Model)
		}
	}
	for _, coming := range []string{e.loading, e.replacement} {
		if coming != "" && !slices.Contains(out, coming) {
			out = append(out, coming)
		}
	}
	return out
}

func findModel(s *catalog.Service, name string) *catalog.Model {
	for i := range s.Engine.Models {
		if s.Engine.Models[i].Name == name {
			return &s.Engine.Models[i]
		}
	}
	return &catalog.Model{Name: name}
}

// loadLimit bounds how long a load counts as running without a report of it.
func loadLimit(m *catalog.Model) time.Duration { return 3*m.LoadTime + time.Second }

// loadTime is how long an engine takes to load a model.
func (e *engine) loadTime(m *catalog.Model) time.Duration {
	switch {
	case slices.Contains(e.report.InMemory, m.Name):
		return m.WarmLoadTime
	case slices.Contains(e.report.OnDisk, m.Name):
		return m.DiskLoadTime
	default:
		return m.LoadTime
	}
}

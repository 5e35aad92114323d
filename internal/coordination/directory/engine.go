package directory

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// engine is the planner's state of one engine.
type engine struct {
	Endpoint
	report     Report
	reportedAt time.Duration // zero before the first report
	// restartedAt is when the first report of another incarnation arrived, or zero.
	restartedAt time.Duration
	// warming is set while the engine warms up. It then counts as a part of a replica.
	warming bool
	// stale is set while a newer report is needed before the next order.
	stale bool
	// reportWanted is set while a request for an adapter waits for the report.
	reportWanted bool
	// lastOrderAt is when the last order was answered or failed. A report that was
	// requested earlier does not show it.
	lastOrderAt time.Duration
	// orderInFlight is set from the sending of an order until its outcome is recorded.
	orderInFlight bool
	// loading is the model whose load was ordered. It should be resident at
	// loadReadyAt; at loadDeadline the load counts as failed.
	loading                   string
	loadReadyAt, loadDeadline time.Duration
	// draining maps each model that is about to be unloaded to the time from which it
	// gets no new requests.
	draining map[string]time.Duration
	// replacement is the model that is loaded once the draining models are unloaded.
	replacement    string
	loadAcceptedAt map[string]time.Duration // when a load of a model was accepted
	adapterLastUse map[Adapter]time.Duration
	slowdown       slowdown
}

func (e *engine) hasModel(model string) bool {
	return slices.ContainsFunc(e.report.Models, func(r Resident) bool { return r.Model == model })
}

func (e *engine) serves(model string) bool {
	_, draining := e.draining[model]
	return e.hasModel(model) && !draining && !e.outOfUse()
}

func (e *engine) adaptersOf(model string) []string {
	for _, r := range e.report.Models {
		if r.Model == model {
			return r.Adapters
		}
	}
	return nil
}

// usedAdapterSlots counts the adapters that are loaded or being loaded.
func (e *engine) usedAdapterSlots() int {
	n := len(e.report.Incoming)
	for _, r := range e.report.Models {
		n += len(r.Adapters)
	}
	return n
}

// hasLocalWeights reports whether the engine has its own copy of the weights.
func (e *engine) hasLocalWeights(model string) bool {
	return slices.Contains(e.report.InMemory, model) || slices.Contains(e.report.OnDisk, model)
}

// plannedModels lists the models that an engine serves, and those that it will
// serve once the load and the replacement in progress are done.
func (e *engine) plannedModels() []string {
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

// loadTimeout bounds how long a load counts as in progress if no report shows it.
func loadTimeout(m *catalog.Model) time.Duration { return 3*m.LoadTime + time.Second }

// loadTime returns how long the engine takes to load a model.
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

package directory

import (
	"math"
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

// modelDemand is the measured demand for a model or adapter.
type modelDemand struct {
	rate    float64 // load a second
	waiting map[string]int
	at      time.Duration
	used    time.Duration
	wanted  time.Duration // when an entry last asked for a load
}

func (p *Planner) demandOf(now time.Duration, name string) *modelDemand {
	d := p.demand[name]
	if d == nil {
		d = &modelDemand{waiting: map[string]int{}, at: now}
		p.demand[name] = d
	}
	d.rate *= math.Exp(-(now - d.at).Seconds() / loadMemory.Seconds())
	d.at = now
	return d
}

func (d *modelDemand) waits() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// local says whether the engine has its own copy of the weights.
func (e *engine) local(model string) bool {
	return slices.Contains(e.report.InMemory, model) || slices.Contains(e.report.OnDisk, model)
}

// planned says whether an engine serves a model, or will when what was begun is
// done.
func (e *engine) planned(model string) bool {
	return e.serves(model) || e.loading == model || e.replacement == model
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

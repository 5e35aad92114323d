package directory

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// PlanAdapter returns the order that brings an adapter closer: its load, or the
// unload of another one in its place. The second result is the engine that has
// it already.
func (p *Planner) PlanAdapter(now time.Duration, s *catalog.Service, model, adapter string) (*Decision, string) {
	r := p.newPlan(now, s)
	var best *engine
	for _, e := range r.engines {
		if !e.serves(model) {
			continue
		}
		if slices.Contains(e.adaptersOf(model), adapter) {
			return nil, e.ID
		}
		usable := !e.ordering && !e.stale && e.reported != 0 && r.now-e.reported < ReportAge && len(e.report.Incoming) < 4
		if usable && (best == nil || r.adapterCost(e) < r.adapterCost(best)) {
			best = e
		}
	}
	if best == nil {
		return nil, ""
	}
	if best.adapterPlaces() >= s.Engine.AdapterSlots {
		victim, ok := r.idleAdapter(best)
		if !ok {
			return nil, ""
		}
		d := r.order(best, Order{Operation: Unload, Model: victim.Model, Adapter: victim.Name})
		return &d, ""
	}
	d := r.order(best, Order{Operation: Load, Model: model, Adapter: adapter})
	return &d, ""
}

// adapterCost prefers engines with free places and little load.
func (r *plan) adapterCost(e *engine) float64 {
	cost := float64(e.report.Running+e.report.Waiting) / float64(max(1, e.Slots))
	cost += float64(e.adapterPlaces()) / float64(max(1, r.service.Engine.AdapterSlots))
	return cost
}

// idleAdapter returns the adapter that was used longest ago.
func (r *plan) idleAdapter(e *engine) (Adapter, bool) {
	var oldest Adapter
	found, at := false, r.now
	for _, m := range e.report.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			last := e.adapters[key]
			if d := r.demand[m.Model+"/"+a]; d != nil {
				last = max(last, d.used)
			}
			if r.now-last >= adapterIdle && (!found || last < at) {
				oldest, found, at = key, true, last
			}
		}
	}
	return oldest, found
}

package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// PlanAdapter returns the order that brings an adapter closer: its load, or the
// unload of another one in its place. The second result is the engine that has
// it already.
func (p *Planner) PlanAdapter(now time.Duration, s *catalog.Service, model, adapter string) (*Decision, string) {
	var best *engine
	for _, e := range p.engines {
		if e.Service != s.Name || !e.serves(model) {
			continue
		}
		if slices.Contains(e.adaptersOf(model), adapter) {
			return nil, e.ID
		}
		if !p.takesAdapter(now, e) || !p.hasAdapterPlace(now, s, e) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.adapterCost(s), best.adapterCost(s)), cmp.Compare(e.ID, best.ID)) < 0 {
			best = e
		}
	}
	if best == nil {
		return nil, ""
	}
	if best.adapterPlaces() >= s.Engine.AdapterSlots {
		victim, _ := p.idleAdapter(now, best)
		d := best.order(Order{Operation: Unload, Model: victim.Model, Adapter: victim.Name})
		return &d, ""
	}
	d := best.order(Order{Operation: Load, Model: model, Adapter: adapter})
	return &d, ""
}

// incomingLimit is how many adapters may be on their way to an engine.
const incomingLimit = 4

// takesAdapter says whether what is known of the engine is enough for an order.
func (p *Planner) takesAdapter(now time.Duration, e *engine) bool {
	return !e.ordering && !e.stale && e.reported != 0 && now-e.reported < p.reportAge && len(e.report.Incoming) < incomingLimit
}

// hasAdapterPlace says whether an engine has a place for an adapter, or one that
// is not used.
func (p *Planner) hasAdapterPlace(now time.Duration, s *catalog.Service, e *engine) bool {
	if e.adapterPlaces() < s.Engine.AdapterSlots {
		return true
	}
	_, idle := p.idleAdapter(now, e)
	return idle
}

// adapterCost prefers engines with free places and little load.
func (e *engine) adapterCost(s *catalog.Service) float64 {
	cost := float64(e.report.Running+e.report.Waiting) / float64(max(1, e.Slots))
	cost += float64(e.adapterPlaces()) / float64(max(1, s.Engine.AdapterSlots))
	return cost
}

// idleAdapter returns the adapter that was used longest ago.
func (p *Planner) idleAdapter(now time.Duration, e *engine) (Adapter, bool) {
	var oldest Adapter
	found, at := false, now
	for _, m := range e.report.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			last := e.adapters[key]
			if d := p.demand[m.Model+"/"+a]; d != nil {
				last = max(last, d.used)
			}
			if now-last >= adapterIdle && (!found || last < at) {
				oldest, found, at = key, true, last
			}
		}
	}
	return oldest, found
}

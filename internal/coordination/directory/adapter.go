package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// PlanAdapter returns the next order on the way to a resident adapter: its load or,
// if no engine has a free adapter slot, the unload of an idle adapter. If an engine
// has the adapter already, it returns the identifier of that engine instead. Only engines
// of the software version count, which is empty for any version.
func (p *Planner) PlanAdapter(now time.Duration, s *catalog.Service, model, adapter, version string) (*Decision, string) {
	var best *engine
	var unreported []*engine
	for _, e := range p.engines {
		if e.Service != s.Name || !e.hasVersion(version) || !e.serves(model) {
			continue
		}
		if slices.Contains(e.adaptersOf(model), adapter) {
			return nil, e.ID
		}
		if e.reportedAt == 0 {
			unreported = append(unreported, e)
		}
		if !p.canOrderAdapter(now, e) || !p.hasAdapterSlot(now, s, e) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.adapterCost(s), best.adapterCost(s)), cmp.Compare(e.ID, best.ID)) < 0 {
			best = e
		}
	}
	if best == nil {
		requestReports(unreported)
		return nil, ""
	}
	if best.usedAdapterSlots() >= s.Engine.AdapterSlots {
		victim, _ := p.idleAdapter(now, best)
		d := best.decide(Order{Operation: Unload, Model: victim.Model, Adapter: victim.Name})
		return &d, ""
	}
	d := best.decide(Order{Operation: Load, Model: model, Adapter: adapter})
	return &d, ""
}

// maxReportsWanted bounds the engines from which one request for an adapter wants a
// report: one of them suffices, but may not answer.
const maxReportsWanted = 3

// requestReports makes the first reports of engines urgent.
func requestReports(unreported []*engine) {
	slices.SortFunc(unreported, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range unreported[:min(maxReportsWanted, len(unreported))] {
		e.reportWanted = true
	}
}

// maxIncomingAdapters is how many adapters an engine may load at the same time.
const maxIncomingAdapters = 4

// canOrderAdapter reports whether an engine can take an order for an adapter now:
// its report is recent, no order is in flight, and it loads fewer adapters than
// maxIncomingAdapters.
func (p *Planner) canOrderAdapter(now time.Duration, e *engine) bool {
	return !e.orderInFlight && !e.stale && e.reportedAt != 0 && now-e.reportedAt < p.maxReportAge && len(e.report.Incoming) < maxIncomingAdapters
}

// hasAdapterSlot reports whether an engine has a free adapter slot or an idle
// adapter that can be evicted.
func (p *Planner) hasAdapterSlot(now time.Duration, s *catalog.Service, e *engine) bool {
	if e.usedAdapterSlots() < s.Engine.AdapterSlots {
		return true
	}
	_, idle := p.idleAdapter(now, e)
	return idle
}

// adapterCost is lower for fast engines with free adapter slots and little load.
func (e *engine) adapterCost(s *catalog.Service) float64 {
	cost := float64(e.report.Running+e.report.Waiting) / float64(max(1, e.Slots)) * e.slowdown.factor()
	cost += slowAdapterCost * max(0, e.slowdown.factor()-1)
	cost += float64(e.usedAdapterSlots()) / float64(max(1, s.Engine.AdapterSlots))
	return cost
}

// idleAdapter returns the least recently used adapter, if it was not used for
// adapterIdleTime.
func (p *Planner) idleAdapter(now time.Duration, e *engine) (Adapter, bool) {
	var oldest Adapter
	found, oldestUse := false, now
	for _, m := range e.report.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			last := e.adapterLastUse[key]
			if d := p.demand[m.Model+"/"+a]; d != nil {
				last = max(last, d.lastUsed)
			}
			if now-last >= adapterIdleTime && (!found || last < oldestUse) {
				oldest, found, oldestUse = key, true, last
			}
		}
	}
	return oldest, found
}

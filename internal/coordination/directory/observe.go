package directory

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// SetEndpoints updates the engines from the platform's list. An engine with a new
// address is a new engine.
func (p *Planner) SetEndpoints(list []Endpoint) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		e := p.engines[in.ID]
		if e == nil || e.Address != in.Address {
			e = &engine{draining: map[string]time.Duration{}, adapterLastUse: map[Adapter]time.Duration{}, loadAcceptedAt: map[string]time.Duration{}, stale: true}
			e.report.Models = in.Models
			p.engines[in.ID] = e
		}
		e.Endpoint = in
		// After an order, its outcome has to be known first: it may have been an unload.
		if in.Evacuated && !e.orderInFlight && !e.stale {
			e.stopReplacement()
		}
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
	p.maxReportAge = maxReportAge(len(p.engines))
}

// stopReplacement gives up the replacement of models, so that the engine keeps what it
// holds.
func (e *engine) stopReplacement() {
	e.draining = map[string]time.Duration{}
	e.replacement = ""
}

// RecordReport records a report that was requested at requestedAt.
func (p *Planner) RecordReport(now, requestedAt time.Duration, id string, r Report) {
	e := p.engines[id]
	if e == nil || e.orderInFlight {
		return
	}
	if e.report.Started != r.Started && e.reportedAt != 0 {
		e.draining = map[string]time.Duration{}
		e.replacement, e.loading = "", ""
		e.slowdown = slowdown{}
		e.restartedAt = now
	}
	if e.reportedAt != 0 && requestedAt < e.lastOrderAt+reportLag {
		// The report may show the state before the last order, so only its load is used.
		if !e.stale {
			e.reportedAt = now
			e.report.Running, e.report.Waiting, e.report.KVUsed = r.Running, r.Waiting, r.KVUsed
		}
		return
	}
	e.report, e.reportedAt, e.stale, e.reportWanted = r, now, false, false
	if e.loading != "" && (e.hasModel(e.loading) || (now > e.loadDeadline && !r.Busy)) {
		e.loading = ""
	}
	for model := range e.draining {
		if !e.hasModel(model) {
			delete(e.draining, model)
		}
	}
	for _, m := range r.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			if _, known := e.adapterLastUse[key]; !known {
				e.adapterLastUse[key] = now
			}
		}
	}
}

// RecordDemand adds what an entry reports for a model or MODEL/ADAPTER: the number
// of requests, their work in prompt tokens, and how many wait now.
func (p *Planner) RecordDemand(now time.Duration, entry, name string, requests, work, waiting int) {
	d := p.demandOf(now, name)
	if work > 0 && p.measuredFrom == 0 {
		p.measuredFrom = now
	}
	d.add(requests, float64(work))
	if requests > 0 {
		d.lastUsed = now
	}
	if waiting > 0 {
		d.waiting[entry] = waiting
	} else {
		delete(d.waiting, entry)
	}
}

// RecordSent records that an order is in flight.
func (p *Planner) RecordSent(d Decision) {
	e := p.engines[d.Engine.ID]
	if e == nil {
		return
	}
	e.orderInFlight = true
	if d.Order.Operation == Load && d.Order.Adapter == "" {
		e.loading = d.Order.Model // so that it counts as a replica
	}
}

// RecordOutcome records the outcome of an order; ok is false if no answer came.
func (p *Planner) RecordOutcome(now time.Duration, d Decision, out Outcome, ok bool, s *catalog.Service) {
	e := p.engines[d.Engine.ID]
	if e == nil {
		return
	}
	e.orderInFlight = false
	o := d.Order
	if !ok || (out != Accepted && out != AlreadyDone) {
		if e.loading == o.Model && o.Adapter == "" {
			e.loading = "" // if it is carried out later, a report shows it
		}
		e.stale, e.lastOrderAt = true, now
		return
	}
	switch {
	case o.Adapter != "":
		p.applyAdapterOrder(now, e, o)
	case o.Operation == Load:
		e.loading = o.Model
		e.loadAcceptedAt[o.Model] = now
		e.loadReadyAt = now + e.loadTime(findModel(s, o.Model))
		e.loadDeadline = now + loadTimeout(findModel(s, o.Model))
		e.stale, e.lastOrderAt = true, now
	default:
		e.stale, e.lastOrderAt = true, now
	}
}

// applyAdapterOrder applies an accepted adapter order to the last report, so that
// the next order need not wait for a new one.
func (p *Planner) applyAdapterOrder(now time.Duration, e *engine, o Order) {
	e.report.Sequence++
	models := slices.Clone(e.report.Models)
	for i, m := range models {
		if m.Model != o.Model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
		if o.Operation == Load {
			adapters = append(adapters, o.Adapter)
		}
		models[i] = Resident{Model: m.Model, Adapters: adapters}
	}
	e.report.Models = models
	key := Adapter{o.Model, o.Adapter}
	if o.Operation == Load {
		e.adapterLastUse[key] = now
	} else {
		delete(e.adapterLastUse, key)
	}
	// Reports that were requested before this order do not show it yet.
	e.stale, e.lastOrderAt = false, now
}

// restartedLately reports whether an engine has restarted within restartListTime.
func (p *Planner) restartedLately(now time.Duration) bool {
	for _, e := range p.engines {
		if e.restartedAt != 0 && now-e.restartedAt < restartListTime {
			return true
		}
	}
	return false
}

// startedAt returns the start time in the last report of an engine, or zero.
func (p *Planner) startedAt(id string) int64 {
	if e := p.engines[id]; e != nil {
		return e.report.Started
	}
	return 0
}

// reportNeed returns how soon an engine has to report again.
func (p *Planner) reportNeed(now time.Duration, id string) reportNeed {
	e := p.engines[id]
	switch {
	case e == nil || e.outOfUse():
		return reportNeed{interval: reportInterval}
	case e.reportWanted:
		return reportNeed{interval: busyReportInterval, urgent: true}
	case e.reportedAt == 0:
		return reportNeed{interval: busyReportInterval}
	case e.stale && now < e.lastOrderAt+reportLag:
		return reportNeed{interval: reportInterval} // the report would show the state before the order
	case e.stale, e.replacement != "", e.loading != "" && now >= e.loadReadyAt:
		return reportNeed{interval: busyReportInterval, urgent: true}
	default:
		return reportNeed{interval: reportInterval}
	}
}

// RequestModel records that an entry needs a model that is not resident on any
// engine of a software version, which is empty for any version.
func (p *Planner) RequestModel(now time.Duration, model, version string) {
	d := p.demandOf(now, model)
	if version == "" {
		d.loadRequestedAt = now
		return
	}
	d.requestVersion(now, version)
}

// ClearWaiting removes the waiting requests of an entry for each model and adapter
// that its report does not name.
func (p *Planner) ClearWaiting(entry string, reported map[string]bool) {
	for name, d := range p.demand {
		if !reported[name] {
			delete(d.waiting, entry)
		}
	}
}

package directory

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// SetEndpoints takes over the engines of the platform's list.
func (p *Planner) SetEndpoints(list []Endpoint) {
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		seen[in.ID] = true
		e := p.engines[in.ID]
		if e == nil || e.Address != in.Address {
			e = &engine{closing: map[string]time.Duration{}, adapters: map[Adapter]time.Duration{}, since: map[string]time.Duration{}, stale: true}
			e.report.Models = in.Models
			p.engines[in.ID] = e
		}
		e.Endpoint = in
	}
	for id := range p.engines {
		if !seen[id] {
			delete(p.engines, id)
		}
	}
	p.reportAge = reportAge(len(p.engines))
}

// Reported takes over a report that was asked for at the time.
func (p *Planner) Reported(now, asked time.Duration, id string, r Report) {
	e := p.engines[id]
	if e == nil || e.ordering {
		return
	}
	if e.report.Started != r.Started && e.reported != 0 {
		e.closing = map[string]time.Duration{}
		e.replacement, e.loading = "", ""
	}
	if e.reported != 0 && asked < e.staleSince+reportLag {
		// Older than the last order: only the load in it is news.
		if !e.stale {
			e.reported = now
			e.report.Running, e.report.Waiting, e.report.KVUsed = r.Running, r.Waiting, r.KVUsed
		}
		return
	}
	e.report, e.reported, e.stale = r, now, false
	if e.loading != "" && (e.holds(e.loading) || (now > e.loadingUntil && !r.Busy)) {
		e.loading = ""
	}
	for model := range e.closing {
		if !e.holds(model) {
			delete(e.closing, model)
		}
	}
	for _, m := range r.Models {
		for _, a := range m.Adapters {
			key := Adapter{m.Model, a}
			if _, known := e.adapters[key]; !known {
				e.adapters[key] = now
			}
		}
	}
}

// Asked adds what an entry reports of a model, or of MODEL/ADAPTER: requests
// with their work in prompt tokens, and how many wait now.
func (p *Planner) Asked(now time.Duration, entry, name string, requests, work, waiting int) {
	d := p.demandOf(now, name)
	if work > 0 && p.measuredFrom == 0 {
		p.measuredFrom = now
	}
	d.add(requests, float64(work))
	if requests > 0 {
		d.used = now
	}
	if waiting > 0 {
		d.waiting[entry] = waiting
	} else {
		delete(d.waiting, entry)
	}
}

// Sent records that an order is on its way.
func (p *Planner) Sent(d Decision) {
	e := p.engines[d.Engine.ID]
	if e == nil {
		return
	}
	e.ordering = true
	if d.Order.Operation == Load && d.Order.Adapter == "" {
		e.loading = d.Order.Model // so that it counts as a copy
	}
}

// Answered records what became of an order; ok is false without an answer.
func (p *Planner) Answered(now time.Duration, d Decision, out Outcome, ok bool, s *catalog.Service) {
	e := p.engines[d.Engine.ID]
	if e == nil {
		return
	}
	e.ordering = false
	o := d.Order
	if !ok || (out != Accepted && out != AlreadyDone) {
		if e.loading == o.Model && o.Adapter == "" {
			e.loading = "" // a load that is carried out late shows in a report
		}
		e.stale, e.staleSince = true, now
		return
	}
	switch {
	case o.Adapter != "":
		p.adapterDone(now, e, o)
	case o.Operation == Load:
		e.loading = o.Model
		e.since[o.Model] = now
		e.loadingReady = now + e.loadTime(findModel(s, o.Model))
		e.loadingUntil = now + loadLimit(findModel(s, o.Model))
		e.stale, e.staleSince = true, now
	default:
		e.stale, e.staleSince = true, now
	}
}

// adapterDone takes over an adapter order without waiting for a report.
func (p *Planner) adapterDone(now time.Duration, e *engine, o Order) {
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
		e.adapters[key] = now
	} else {
		delete(e.adapters, key)
	}
	// Reports that were asked for before this order do not show it yet.
	e.stale, e.staleSince = false, now
}

// ReportInterval is how long after one report of an engine the next is worth
// its price: at once where an order waits for it.
func (p *Planner) ReportInterval(now time.Duration, id string) time.Duration {
	e := p.engines[id]
	switch {
	case e == nil || e.Leaving:
		return reportInterval
	case e.stale && now < e.staleSince+reportLag:
		return reportInterval // it would show the state before the order
	case e.stale, e.replacement != "", e.loading != "" && now >= e.loadingReady:
		return movingReportInterval
	default:
		return reportInterval
	}
}

// WantModel records that an entry needs a model that is resident nowhere.
func (p *Planner) WantModel(now time.Duration, model string) {
	p.demandOf(now, model).wanted = now
}

// Silent forgets the waiting requests of an entry for everything that its
// report does not name.
func (p *Planner) Silent(entry string, reported map[string]bool) {
	for name, d := range p.demand {
		if !reported[name] {
			delete(d.waiting, entry)
		}
	}
}

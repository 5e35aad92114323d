package order

import (
	"cmp"
	"maps"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// WorstCase returns the memory that an engine may be using in the worst case, and
// whether a report of the engine is known.
func (l *Ledger) WorstCase(name string, pinned []*statev1.ResidentModel) (memoryMB uint64, observed bool) {
	e := l.endpoints[name]
	if e == nil {
		return 0, false
	}
	return l.worstCase(e, nil, pinned), e.observed
}

// OpenOrders returns copies of the open orders of an engine, by identifier. An order
// stays open until a report that was requested after its lifetime arrives.
func (l *Ledger) OpenOrders(name string) []Order {
	e := l.endpoints[name]
	if e == nil {
		return nil
	}
	out := make([]Order, len(e.orders))
	for i, o := range e.orders {
		out[i] = *o
	}
	return out
}

// Resident returns the models on an engine according to its last report and the
// responses since then, and the fleet time at which that report was requested.
func (l *Ledger) Resident(name string) (models []*statev1.ResidentModel, requestedMs uint64, observed bool) {
	e := l.endpoints[name]
	if e == nil {
		return nil, 0, false
	}
	return e.saveResident(), e.requestedMs, e.observed
}

func (e *endpoint) saveResident() []*statev1.ResidentModel {
	keys := slices.SortedFunc(maps.Keys(e.resident), compareKeys)
	out := make([]*statev1.ResidentModel, 0, len(keys))
	for _, k := range keys {
		out = append(out, &statev1.ResidentModel{Model: k.model, Version: k.version, MemoryMb: e.resident[k]})
	}
	return out
}

func compareKeys(a, b memoryKey) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version), cmp.Compare(a.adapter, b.adapter))
}

// Save returns the ledger with its endpoints sorted by name.
func (l *Ledger) Save() *statev1.OrderLedger {
	out := &statev1.OrderLedger{Owner: l.owner, FencingToken: l.token, TakenMs: l.takenMs}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		e := l.endpoints[name]
		r := &statev1.EndpointLedger{
			Endpoint: name,
			Observed: e.observed,
			AskedMs:  e.requestedMs,
			FloorMs:  e.minRequestedMs,
			Resident: e.saveResident(),
		}
		for _, o := range e.orders {
			r.Orders = append(r.Orders, &statev1.OpenOrder{Id: o.ID, Issue: o.Issue, IssuedMs: o.IssuedMs, Outcome: o.Outcome})
		}
		out.Endpoints = append(out.Endpoints, r)
	}
	return out
}

// Load replaces the ledger with a saved one.
func (l *Ledger) Load(saved *statev1.OrderLedger) {
	l.owner, l.token, l.takenMs = saved.GetOwner(), saved.GetFencingToken(), saved.GetTakenMs()
	l.endpoints = make(map[string]*endpoint, len(saved.GetEndpoints()))
	l.byID = map[uint64]string{}
	for _, r := range saved.GetEndpoints() {
		e := &endpoint{
			observed:       r.GetObserved(),
			requestedMs:    r.GetAskedMs(),
			minRequestedMs: r.GetFloorMs(),
			resident:       make(map[memoryKey]uint64, len(r.GetResident())),
		}
		for _, m := range r.GetResident() {
			e.resident[memoryKey{m.GetModel(), m.GetVersion(), ""}] += m.GetMemoryMb()
		}
		for _, o := range r.GetOrders() {
			e.orders = append(e.orders, &Order{ID: o.GetId(), Issue: o.GetIssue(), IssuedMs: o.GetIssuedMs(), Outcome: o.GetOutcome()})
			l.byID[o.GetId()] = r.GetEndpoint()
		}
		l.endpoints[r.GetEndpoint()] = e
	}
}

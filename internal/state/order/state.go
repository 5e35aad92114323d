package order

import (
	"cmp"
	"maps"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Worst returns the memory that an engine may be using in the worst case, and
// whether any report of it is known.
func (l *Ledger) Worst(name string, pinned []*statev1.ResidentModel) (memoryMB uint64, observed bool) {
	e := l.endpoints[name]
	if e == nil {
		return 0, false
	}
	return l.worst(e, nil, pinned), e.observed
}

// Open returns copies of the unresolved and recent orders of an engine, by
// identifier.
func (l *Ledger) Open(name string) []Order {
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

// Resident returns what an engine holds according to its last report and to
// the answers since then, and the time at which that report was asked for.
func (l *Ledger) Resident(name string) (models []*statev1.ResidentModel, askedMs uint64, observed bool) {
	e := l.endpoints[name]
	if e == nil {
		return nil, 0, false
	}
	return e.saveResident(), e.asked, e.observed
}

func (e *endpoint) saveResident() []*statev1.ResidentModel {
	keys := slices.SortedFunc(maps.Keys(e.resident), compareKeys)
	out := make([]*statev1.ResidentModel, 0, len(keys))
	for _, k := range keys {
		out = append(out, &statev1.ResidentModel{Model: k.model, Version: k.version, MemoryMb: e.resident[k]})
	}
	return out
}

func compareKeys(a, b copyKey) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version), cmp.Compare(a.adapter, b.adapter))
}

// Save returns the ledger with its endpoints sorted by name.
func (l *Ledger) Save() *statev1.OrderLedger {
	out := &statev1.OrderLedger{Owner: l.owner, FencingToken: l.token, TakenMs: l.taken}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		e := l.endpoints[name]
		r := &statev1.EndpointLedger{
			Endpoint: name,
			Observed: e.observed,
			AskedMs:  e.asked,
			FloorMs:  e.floor,
			Resident: e.saveResident(),
		}
		for _, o := range e.orders {
			r.Orders = append(r.Orders, &statev1.OpenOrder{Id: o.ID, Issue: o.Issue, IssuedMs: o.IssuedMs, Outcome: o.Outcome})
		}
		out.Endpoints = append(out.Endpoints, r)
	}
	return out
}

// Load replaces the ledger by a saved one.
func (l *Ledger) Load(saved *statev1.OrderLedger) {
	l.owner, l.token, l.taken = saved.GetOwner(), saved.GetFencingToken(), saved.GetTakenMs()
	l.endpoints = make(map[string]*endpoint, len(saved.GetEndpoints()))
	l.byID = map[uint64]string{}
	for _, r := range saved.GetEndpoints() {
		e := &endpoint{
			observed: r.GetObserved(),
			asked:    r.GetAskedMs(),
			floor:    r.GetFloorMs(),
			resident: make(map[copyKey]uint64, len(r.GetResident())),
		}
		for _, m := range r.GetResident() {
			e.resident[copyKey{m.GetModel(), m.GetVersion(), ""}] += m.GetMemoryMb()
		}
		for _, o := range r.GetOrders() {
			e.orders = append(e.orders, &Order{ID: o.GetId(), Issue: o.GetIssue(), IssuedMs: o.GetIssuedMs(), Outcome: o.GetOutcome()})
			l.byID[o.GetId()] = r.GetEndpoint()
		}
		l.endpoints[r.GetEndpoint()] = e
	}
}

// Package order keeps the ledger of orders to engines: who may issue them, and
// how much memory each engine may be using in the worst case.
//
// A load that was issued counts until a report shows the engine as it is after
// the order's lifetime, even if the engine confirmed or refused the order: a
// repeated copy may arrive as long as the order lives, and engines are not
// required to recognise copies.
package order

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// DefaultLifetimeMs is the lifetime of an order that states none.
	DefaultLifetimeMs = 30_000
	// MaxLifetimeMs bounds a stated lifetime, which is also the time for which a
	// new owner leaves engines alone that do not check fencing tokens.
	MaxLifetimeMs = 30_000
	// maxOpen bounds the unresolved orders of one endpoint, so that a ledger of
	// an engine that never reports does not grow without limit.
	maxOpen = 256
)

// Refusal says why an order was not issued.
type Refusal int

// Refusals.
const (
	Issued Refusal = iota
	// TokenOld: the fencing token is not the present owner's.
	TokenOld
	// Unobserved: no report of the engine is known, so its memory may be full.
	Unobserved
	// Overcommitted: the worst case would exceed the engine's memory.
	Overcommitted
	// TooManyOpen: the engine has too many unresolved orders.
	TooManyOpen
)

type fault int

const (
	_ fault = iota
	// faultForget does not count the memory of unresolved orders.
	faultForget
	// faultTrustAnswers drops an order as soon as the engine answered it.
	faultTrustAnswers
)

// copyKey identifies what occupies memory on an engine.
type copyKey struct {
	model, version, adapter string
}

// Order is one issued order.
type Order struct {
	ID       uint64
	Issue    *statev1.OrderIssue
	IssuedMs uint64
	Outcome  statev1.OrderOutcome
}

// ExpiresMs is the fleet time from which no copy of the order takes effect.
func (o *Order) ExpiresMs() uint64 { return o.IssuedMs + o.Issue.GetLifetimeMs() }

func (o *Order) key() copyKey {
	return copyKey{o.Issue.GetModel(), o.Issue.GetVersion(), o.Issue.GetAdapter()}
}

func (o *Order) loads() bool {
	k := o.Issue.GetKind()
	return k == statev1.OrderKind_ORDER_KIND_LOAD_MODEL || k == statev1.OrderKind_ORDER_KIND_LOAD_ADAPTER
}

type endpoint struct {
	observed bool
	asked    uint64
	floor    uint64
	resident map[copyKey]uint64
	orders   []*Order
}

// Ledger holds the owner of orders and the state of each engine. It is not safe
// for concurrent use.
type Ledger struct {
	owner     uint64
	token     uint64
	taken     uint64
	endpoints map[string]*endpoint
	byID      map[uint64]string
	fault     fault
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{endpoints: map[string]*endpoint{}, byID: map[uint64]string{}}
}

// Take makes a member the owner; the log index is its fencing token.
func (l *Ledger) Take(now, index, owner uint64) {
	l.owner, l.token, l.taken = owner, index, now
}

// Owner returns the present owner, its fencing token and when it took over.
func (l *Ledger) Owner() (owner, token, takenMs uint64) { return l.owner, l.token, l.taken }

// ReadyAt returns the fleet time from which the owner may send orders to an
// engine. Engines that do not check fencing tokens may still receive orders of
// the owner before, until these have outlived their lifetime.
func (l *Ledger) ReadyAt(checksFencing bool) uint64 {
	if checksFencing {
		return l.taken
	}
	return l.taken + MaxLifetimeMs
}

// SetEndpoints takes over the engines of a new configuration. An engine that
// left keeps its orders until they are over, and counts as unobserved if it
// returns.
func (l *Ledger) SetEndpoints(now uint64, engines map[string]bool) {
	for name := range engines {
		if l.endpoints[name] == nil {
			l.endpoints[name] = &endpoint{floor: now, resident: map[copyKey]uint64{}}
		}
	}
	for name, e := range l.endpoints {
		if engines[name] {
			continue
		}
		e.observed = false
		e.floor = now
		clear(e.resident)
		if !slices.ContainsFunc(e.orders, func(o *Order) bool { return o.ExpiresMs() > now }) {
			l.drop(name, e)
		}
	}
}

func (l *Ledger) drop(name string, e *endpoint) {
	for _, o := range e.orders {
		delete(l.byID, o.ID)
	}
	delete(l.endpoints, name)
}

// Issue records an order if the owner may give it and its memory is certain to
// fit. limit is the engine's memory; pinned models always count.
func (l *Ledger) Issue(now, index uint64, o *statev1.OrderIssue, limit uint64, pinned []*statev1.ResidentModel) Refusal {
	if o.GetFencingToken() != l.token || l.token == 0 {
		return TokenOld
	}
	e := l.endpoints[o.GetEndpoint()]
	if e == nil {
		return Unobserved
	}
	if len(e.orders) >= maxOpen {
		return TooManyOpen
	}
	issued := &Order{ID: index, Issue: withLifetime(o), IssuedMs: now}
	if issued.loads() {
		if !e.observed {
			return Unobserved
		}
		if l.worst(e, issued, pinned) > limit {
			return Overcommitted
		}
	}
	e.orders = append(e.orders, issued)
	l.byID[index] = o.GetEndpoint()
	return Issued
}

func withLifetime(o *statev1.OrderIssue) *statev1.OrderIssue {
	if o.GetLifetimeMs() != 0 && o.GetLifetimeMs() <= MaxLifetimeMs {
		return o
	}
	return &statev1.OrderIssue{
		FencingToken: o.GetFencingToken(),
		Endpoint:     o.GetEndpoint(),
		Kind:         o.GetKind(),
		Model:        o.GetModel(),
		Version:      o.GetVersion(),
		Adapter:      o.GetAdapter(),
		Role:         o.GetRole(),
		MemoryMb:     o.GetMemoryMb(),
		LifetimeMs:   DefaultLifetimeMs,
	}
}

// worst sums the memory that the engine uses if every order that may still
// take effect does so, and no unload that is not confirmed.
func (l *Ledger) worst(e *endpoint, more *Order, pinned []*statev1.ResidentModel) uint64 {
	copies := make(map[copyKey]uint64, len(e.resident)+len(e.orders)+1)
	for k, memory := range e.resident {
		copies[k] = memory
	}
	for _, p := range pinned {
		k := copyKey{p.GetModel(), p.GetVersion(), ""}
		copies[k] = max(copies[k], p.GetMemoryMb())
	}
	for _, o := range e.orders {
		if o.loads() && l.counts(o) {
			copies[o.key()] = max(copies[o.key()], o.Issue.GetMemoryMb())
		}
	}
	if more != nil {
		copies[more.key()] = max(copies[more.key()], more.Issue.GetMemoryMb())
	}
	var sum uint64
	for _, memory := range copies {
		sum += memory
	}
	return sum
}

func (l *Ledger) counts(o *Order) bool {
	switch l.fault {
	case faultForget:
		return o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_DONE
	case faultTrustAnswers:
		return o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
	default:
		return true
	}
}

// Resolve records the engine's answer to an order. It returns false if the
// order is not open. A confirmed unload of a model frees its memory unless an
// open load of the same copy remains. The memory of adapters is part of what the
// engine's next report states for their model.
func (l *Ledger) Resolve(id uint64, outcome statev1.OrderOutcome) bool {
	e := l.endpoints[l.byID[id]]
	if e == nil {
		return false
	}
	i := slices.IndexFunc(e.orders, func(o *Order) bool { return o.ID == id })
	if i < 0 {
		return false
	}
	o := e.orders[i]
	if o.Outcome != statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED {
		return true
	}
	o.Outcome = outcome
	if outcome != statev1.OrderOutcome_ORDER_OUTCOME_DONE {
		return true
	}
	switch o.Issue.GetKind() {
	case statev1.OrderKind_ORDER_KIND_LOAD_MODEL:
		e.resident[o.key()] = max(e.resident[o.key()], o.Issue.GetMemoryMb())
	case statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL:
		delete(e.resident, o.key())
	}
	return true
}

// Observe takes over an engine's report, which lists everything that occupies
// memory when the engine answered, loads and unloads in progress included. It
// closes the orders whose lifetime was over when the report was asked for. A
// report asked for before the last accepted one changes nothing.
func (l *Ledger) Observe(r *statev1.EndpointObserved) Refusal {
	if r.GetFencingToken() != l.token || l.token == 0 {
		return TokenOld
	}
	e := l.endpoints[r.GetEndpoint()]
	if e == nil {
		return Unobserved
	}
	asked := r.GetAskedAtMs()
	if asked < e.floor || (e.observed && asked <= e.asked) {
		return Issued
	}
	e.observed, e.asked = true, asked
	clear(e.resident)
	for _, m := range r.GetResident() {
		e.resident[copyKey{m.GetModel(), m.GetVersion(), ""}] += m.GetMemoryMb()
	}
	e.orders = slices.DeleteFunc(e.orders, func(o *Order) bool {
		over := o.ExpiresMs() <= asked
		if over {
			delete(l.byID, o.ID)
		}
		return over
	})
	return Issued
}

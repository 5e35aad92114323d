// Package order implements the ledger of orders to engines: who may issue them,
// and how much memory each engine may be using in the worst case.
//
// The memory of an issued load counts until a report that was requested after
// the order's lifetime arrives, even if the engine confirmed or refused the order:
// a duplicate may arrive throughout the lifetime, and engines are not required to
// detect duplicates.
package order

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// DefaultLifetimeMs is the lifetime of an order that specifies none, or one
	// beyond MaxLifetimeMs.
	DefaultLifetimeMs = 30_000
	// MaxLifetimeMs bounds the lifetime of an order. It is also how long a new owner
	// waits before it sends orders to engines that do not check fencing tokens.
	MaxLifetimeMs = 30_000
	// maxOpenOrders bounds the open orders of one endpoint, so that the ledger of an
	// engine that never reports does not grow without limit.
	maxOpenOrders = 256
)

// Refusal is the reason why an order was not issued.
type Refusal int

// Refusals.
const (
	Issued Refusal = iota
	// StaleToken means that the fencing token is not the current owner's.
	StaleToken
	// Unobserved means that no report of the engine is known, so its memory may be
	// full.
	Unobserved
	// Overcommitted means that the engine's memory would be exceeded in the worst
	// case.
	Overcommitted
	// TooManyOpen means that the engine has too many open orders.
	TooManyOpen
)

type fault int

const (
	_ fault = iota
	// faultIgnoreOpen counts the memory of an order only once the engine has
	// confirmed it.
	faultIgnoreOpen
	// faultTrustResponses stops counting an order when the engine responds to it.
	faultTrustResponses
)

// memoryKey identifies a model or an adapter that occupies memory on an engine.
type memoryKey struct {
	model, version, adapter string
}

// Order is one issued order.
type Order struct {
	ID       uint64
	Issue    *statev1.OrderIssue
	IssuedMs uint64
	Outcome  statev1.OrderOutcome
}

// ExpiresMs returns the fleet time from which no duplicate of the order can take
// effect.
func (o *Order) ExpiresMs() uint64 { return o.IssuedMs + o.Issue.GetLifetimeMs() }

func (o *Order) key() memoryKey {
	return memoryKey{o.Issue.GetModel(), o.Issue.GetVersion(), o.Issue.GetAdapter()}
}

func (o *Order) loads() bool {
	k := o.Issue.GetKind()
	return k == statev1.OrderKind_ORDER_KIND_LOAD_MODEL || k == statev1.OrderKind_ORDER_KIND_LOAD_ADAPTER
}

type endpoint struct {
	observed       bool
	requestedMs    uint64 // when the last accepted report was requested
	minRequestedMs uint64 // reports requested earlier are ignored
	resident       map[memoryKey]uint64
	orders         []*Order
}

// Ledger holds the owner of the orders and the state of each engine. It is not
// safe for concurrent use.
type Ledger struct {
	owner     uint64
	token     uint64
	takenMs   uint64
	endpoints map[string]*endpoint
	byID      map[uint64]string
	fault     fault
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{endpoints: map[string]*endpoint{}, byID: map[uint64]string{}}
}

// TakeOwnership makes a member the owner of the orders; the log index is its
// fencing token.
func (l *Ledger) TakeOwnership(now, index, owner uint64) {
	l.owner, l.token, l.takenMs = owner, index, now
}

// Owner returns the current owner, its fencing token and the fleet time at which
// it took ownership.
func (l *Ledger) Owner() (owner, token, takenMs uint64) { return l.owner, l.token, l.takenMs }

// ReadyAt returns the fleet time from which the owner may send orders to an
// engine. An engine that does not check fencing tokens may still accept orders of
// the previous owner until their lifetime has ended.
func (l *Ledger) ReadyAt(checksFencing bool) uint64 {
	if checksFencing {
		return l.takenMs
	}
	return l.takenMs + MaxLifetimeMs
}

// SetEndpoints applies the engines of a new configuration. The orders of a removed
// engine are kept until they have expired, and the engine counts as unobserved if
// it is added again.
func (l *Ledger) SetEndpoints(now uint64, engines map[string]bool) {
	for name := range engines {
		if l.endpoints[name] == nil {
			l.endpoints[name] = &endpoint{minRequestedMs: now, resident: map[memoryKey]uint64{}}
		}
	}
	for name, e := range l.endpoints {
		if engines[name] {
			continue
		}
		e.observed = false
		e.minRequestedMs = now
		clear(e.resident)
		if !slices.ContainsFunc(e.orders, func(o *Order) bool { return o.ExpiresMs() > now }) {
			l.removeEndpoint(name, e)
		}
	}
}

func (l *Ledger) removeEndpoint(name string, e *endpoint) {
	for _, o := range e.orders {
		delete(l.byID, o.ID)
	}
	delete(l.endpoints, name)
}

// Issue records an order if its fencing token is current and its memory fits even
// in the worst case. limit is the engine's memory in MB; pinned models always
// count.
func (l *Ledger) Issue(now, index uint64, o *statev1.OrderIssue, limit uint64, pinned []*statev1.ResidentModel) Refusal {
	if o.GetFencingToken() != l.token || l.token == 0 {
		return StaleToken
	}
	e := l.endpoints[o.GetEndpoint()]
	if e == nil {
		return Unobserved
	}
	if len(e.orders) >= maxOpenOrders {
		return TooManyOpen
	}
	issued := &Order{ID: index, Issue: withLifetime(o), IssuedMs: now}
	if issued.loads() {
		if !e.observed {
			return Unobserved
		}
		if l.worstCase(e, issued, pinned) > limit {
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

// worstCase returns the memory that the engine uses if every load that may still
// take effect does so, and no unconfirmed unload does.
func (l *Ledger) worstCase(e *endpoint, extra *Order, pinned []*statev1.ResidentModel) uint64 {
	sizes := make(map[memoryKey]uint64, len(e.resident)+len(e.orders)+1)
	for k, memory := range e.resident {
		sizes[k] = memory
	}
	for _, p := range pinned {
		k := memoryKey{p.GetModel(), p.GetVersion(), ""}
		sizes[k] = max(sizes[k], p.GetMemoryMb())
	}
	for _, o := range e.orders {
		if o.loads() && l.countsMemory(o) {
			sizes[o.key()] = max(sizes[o.key()], o.Issue.GetMemoryMb())
		}
	}
	if extra != nil {
		sizes[extra.key()] = max(sizes[extra.key()], extra.Issue.GetMemoryMb())
	}
	var sum uint64
	for _, memory := range sizes {
		sum += memory
	}
	return sum
}

func (l *Ledger) countsMemory(o *Order) bool {
	switch l.fault {
	case faultIgnoreOpen:
		return o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_DONE
	case faultTrustResponses:
		return o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
	default:
		return true
	}
}

// Resolve records the engine's response to an order. It returns false if the
// order is not open. A confirmed unload of a model frees its memory unless a load
// of the same model and version is open. Adapters are not recorded as resident:
// the engine's next report includes their memory in that of their model.
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

// Observe applies an engine's report, which lists everything that occupied memory
// when the engine responded, including loads and unloads in progress. It closes
// the orders whose lifetime had ended when the report was requested. A report that
// was not requested after the last accepted one is ignored.
func (l *Ledger) Observe(r *statev1.EndpointObserved) Refusal {
	if r.GetFencingToken() != l.token || l.token == 0 {
		return StaleToken
	}
	e := l.endpoints[r.GetEndpoint()]
	if e == nil {
		return Unobserved
	}
	requestedMs := r.GetAskedAtMs()
	if requestedMs < e.minRequestedMs || (e.observed && requestedMs <= e.requestedMs) {
		return Issued
	}
	e.observed, e.requestedMs = true, requestedMs
	clear(e.resident)
	for _, m := range r.GetResident() {
		e.resident[memoryKey{m.GetModel(), m.GetVersion(), ""}] += m.GetMemoryMb()
	}
	e.orders = slices.DeleteFunc(e.orders, func(o *Order) bool {
		expired := o.ExpiresMs() <= requestedMs
		if expired {
			delete(l.byID, o.ID)
		}
		return expired
	})
	return Issued
}

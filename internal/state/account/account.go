// Package account implements the token buckets of customers.
//
// An account has a level, which refills with fleet time at the customer's rate,
// and outstanding tokens, which are leased to sessions and not yet reported as
// charged. Level and outstanding tokens together never exceed the burst, so the
// spending at any moment is bounded by the burst, and the spending in any window
// by rate x window + burst.
package account

import (
	"math/bits"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	milliPerToken = 1000
	// smallLevelTokens is the level below which one grant may take all of it:
	// halving small amounts would only multiply the number of syncs.
	smallLevelTokens = 1000
	// activeWindowMs is how long a session counts as active after its last request
	// for tokens.
	activeWindowMs = 2000
	// removedRetentionMs is how long the account of a removed customer is kept, so
	// that removing and adding a customer does not give it a second burst.
	removedRetentionMs = 24 * 60 * 60 * 1000
)

// Holder is a session that holds leases.
type Holder struct {
	VM          string
	Incarnation string
}

// HolderOf returns the holder of a session.
func HolderOf(s *statev1.Session) Holder {
	return Holder{VM: s.GetVm(), Incarnation: s.GetIncarnation()}
}

// Grant is the result of a LeaseRequest.
type Grant struct {
	Granted uint64
	// Outstanding is the number of tokens leased to the session after the grant.
	Outstanding uint64
}

// LeaseRequest is a session's request for tokens of one customer.
type LeaseRequest struct {
	Holder   Holder
	Customer string
	Want     uint64
}

// fault selects a deliberately wrong rule, with which a test must fail.
type fault int

const (
	_ fault = iota
	// faultRefund bounds the level alone by the burst, like a scheme that refunds
	// reserved tokens into a bucket that has been refilled in the meantime.
	faultRefund
)

// Table holds the accounts of all customers. It is not safe for concurrent use.
type Table struct {
	accounts map[string]*account
	held     map[Holder]map[string]*account
	fault    fault
}

type lease struct {
	tokens      uint64
	requestedMs uint64
}

type account struct {
	rate        uint64 // tokens per second, which is thousandths per millisecond
	burst       uint64 // tokens
	level       uint64 // thousandths of a token
	advancedMs  uint64 // fleet time up to which level is computed
	outstanding uint64 // tokens
	leases      map[Holder]*lease
	removed     bool
	removedMs   uint64
}

// NewTable returns a table without accounts.
func NewTable() *Table {
	return &Table{accounts: map[string]*account{}, held: map[Holder]map[string]*account{}}
}

// SetCustomers applies the customers of a new configuration. A new account
// starts with a full burst; a change of limits never raises a level.
func (t *Table) SetCustomers(now uint64, customers []*statev1.Customer) {
	present := make(map[string]bool, len(customers))
	for _, c := range customers {
		present[c.GetName()] = true
		a := t.accounts[c.GetName()]
		if a == nil {
			a = &account{advancedMs: now, leases: map[Holder]*lease{}, level: c.GetBurstTokens() * milliPerToken}
			t.accounts[c.GetName()] = a
		}
		a.removed = false
		t.setLimits(a, now, c.GetRateTokensPerSecond(), c.GetBurstTokens())
	}
	for name, a := range t.accounts {
		if present[name] {
			continue
		}
		if !a.removed {
			t.setLimits(a, now, 0, 0)
			a.removed, a.removedMs = true, now
		}
		if a.outstanding == 0 && now-a.removedMs > removedRetentionMs {
			t.removeAccount(name, a)
		}
	}
}

func (t *Table) removeAccount(name string, a *account) {
	for h := range a.leases {
		delete(t.held[h], name)
	}
	delete(t.accounts, name)
}

func (t *Table) setLimits(a *account, now, rate, burst uint64) {
	t.advance(a, now)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, t.ceiling(a))
}

// ceiling returns the highest level that the account may have now, in
// thousandths of a token.
func (t *Table) ceiling(a *account) uint64 {
	if t.fault == faultRefund {
		return a.burst * milliPerToken
	}
	if a.outstanding >= a.burst {
		return 0
	}
	return (a.burst - a.outstanding) * milliPerToken
}

func (t *Table) advance(a *account, now uint64) {
	if now <= a.advancedMs {
		return
	}
	elapsed := now - a.advancedMs
	a.advancedMs = now
	ceiling := t.ceiling(a)
	if a.rate == 0 || a.level >= ceiling {
		return
	}
	headroom := ceiling - a.level
	if elapsed > headroom/a.rate {
		a.level = ceiling
		return
	}
	a.level += min(headroom, elapsed*a.rate)
}

// Settle records the tokens that a session charged and returned since its last
// sync, and returns the number still leased to it. Tokens beyond those leased to
// the session are ignored, because they have already been written off.
func (t *Table) Settle(now uint64, h Holder, customer string, charged, returned uint64) (outstanding uint64) {
	a := t.accounts[customer]
	if a == nil {
		return 0
	}
	l := a.leases[h]
	if l == nil {
		return 0
	}
	t.advance(a, now)
	charged = min(charged, l.tokens)
	l.tokens -= charged
	a.outstanding -= charged
	t.returnTokens(a, l, min(returned, l.tokens))
	return l.tokens
}

func (t *Table) returnTokens(a *account, l *lease, tokens uint64) {
	l.tokens -= tokens
	a.outstanding -= tokens
	a.level = min(a.level+tokens*milliPerToken, t.ceiling(a))
}

// Grant leases tokens to sessions and returns one Grant for each request, in the
// same order; a request for no tokens gets a zero Grant. If the requests exceed
// the level, it is shared in proportion to the tokens requested.
func (t *Table) Grant(now uint64, requests []LeaseRequest) []Grant {
	granted := make([]Grant, len(requests))
	byCustomer := map[string][]int{}
	var customers []string
	for i, request := range requests {
		if t.accounts[request.Customer] == nil || request.Want == 0 {
			continue
		}
		if byCustomer[request.Customer] == nil {
			customers = append(customers, request.Customer)
		}
		byCustomer[request.Customer] = append(byCustomer[request.Customer], i)
	}
	for _, customer := range customers {
		t.grantCustomer(now, customer, requests, byCustomer[customer], granted)
	}
	return granted
}

func (t *Table) grantCustomer(now uint64, customer string, requests []LeaseRequest, indexes []int, granted []Grant) {
	a := t.accounts[customer]
	t.advance(a, now)
	var total uint64
	leases := make([]*lease, len(indexes))
	for n, i := range indexes {
		total += min(requests[i].Want, a.burst)
		leases[n] = t.leaseOf(a, customer, requests[i].Holder)
		leases[n].requestedMs = now
	}
	available := a.level / milliPerToken
	limit := available
	if available >= smallLevelTokens && a.severalActiveSessions(now) {
		limit = available / 2
	}
	level := available
	// The first pass grants proportional shares, the second what rounding and the
	// limit left over.
	for pass := range 2 {
		for n, i := range indexes {
			want := min(requests[i].Want, a.burst, limit) - granted[i].Granted
			if pass == 0 && total > level {
				want = min(want, mulDiv(level, min(requests[i].Want, a.burst), total))
			}
			tokens := min(want, available)
			granted[i].Granted += tokens
			available -= tokens
			t.leaseTokens(a, leases[n], tokens)
		}
	}
	for n, i := range indexes {
		granted[i].Outstanding = leases[n].tokens
	}
}

func (t *Table) leaseTokens(a *account, l *lease, tokens uint64) {
	l.tokens += tokens
	a.outstanding += tokens
	a.level -= tokens * milliPerToken
}

// mulDiv returns x * y / z without overflow; y must not exceed z.
func mulDiv(x, y, z uint64) uint64 {
	hi, lo := bits.Mul64(x, y)
	q, _ := bits.Div64(hi, lo, z)
	return q
}

// severalActiveSessions reports whether more than one session is active, that is,
// requested tokens within the last activeWindowMs.
func (a *account) severalActiveSessions(now uint64) bool {
	n := 0
	for _, l := range a.leases {
		if l.requestedMs+activeWindowMs >= now {
			n++
		}
		if n > 1 {
			return true
		}
	}
	return false
}

func (t *Table) leaseOf(a *account, customer string, h Holder) *lease {
	l := a.leases[h]
	if l == nil {
		l = &lease{}
		a.leases[h] = l
		if t.held[h] == nil {
			t.held[h] = map[string]*account{}
		}
		t.held[h][customer] = a
	}
	return l
}

// WriteOff counts all tokens leased to a session as spent.
func (t *Table) WriteOff(now uint64, h Holder) {
	for _, a := range t.held[h] {
		t.advance(a, now)
		a.outstanding -= a.leases[h].tokens
		delete(a.leases, h)
	}
	delete(t.held, h)
}

// Return returns all tokens leased to a session to their accounts.
func (t *Table) Return(now uint64, h Holder) {
	for _, a := range t.held[h] {
		t.advance(a, now)
		l := a.leases[h]
		t.returnTokens(a, l, l.tokens)
		delete(a.leases, h)
	}
	delete(t.held, h)
}

// Balance returns a customer's level and outstanding tokens at a fleet time.
func (t *Table) Balance(now uint64, customer string) (level, outstanding uint64) {
	a := t.accounts[customer]
	if a == nil {
		return 0, 0
	}
	copied := *a
	t.advance(&copied, now)
	return copied.level / milliPerToken, copied.outstanding
}

// Save returns the accounts, sorted by customer, with leases sorted by session.
func (t *Table) Save() []*statev1.AccountRecord {
	records := make([]*statev1.AccountRecord, 0, len(t.accounts))
	for name, a := range t.accounts {
		r := &statev1.AccountRecord{
			Customer:            name,
			RateTokensPerSecond: a.rate,
			BurstTokens:         a.burst,
			LevelMilli:          a.level,
			AdvancedMs:          a.advancedMs,
			Removed:             a.removed,
			RemovedMs:           a.removedMs,
		}
		for h, l := range a.leases {
			r.Leases = append(r.Leases, &statev1.LeaseRecord{
				Session: &statev1.Session{Vm: h.VM, Incarnation: h.Incarnation},
				Tokens:  l.tokens,
				AskedMs: l.requestedMs,
			})
		}
		slices.SortFunc(r.Leases, compareLeases)
		records = append(records, r)
	}
	slices.SortFunc(records, compareAccounts)
	return records
}

// Load replaces the accounts with saved ones.
func (t *Table) Load(records []*statev1.AccountRecord) {
	t.accounts = make(map[string]*account, len(records))
	t.held = map[Holder]map[string]*account{}
	for _, r := range records {
		a := &account{
			rate:       r.GetRateTokensPerSecond(),
			burst:      r.GetBurstTokens(),
			level:      r.GetLevelMilli(),
			advancedMs: r.GetAdvancedMs(),
			leases:     make(map[Holder]*lease, len(r.GetLeases())),
			removed:    r.GetRemoved(),
			removedMs:  r.GetRemovedMs(),
		}
		t.accounts[r.GetCustomer()] = a
		for _, lr := range r.GetLeases() {
			l := t.leaseOf(a, r.GetCustomer(), HolderOf(lr.GetSession()))
			l.tokens, l.requestedMs = lr.GetTokens(), lr.GetAskedMs()
			a.outstanding += l.tokens
		}
	}
}

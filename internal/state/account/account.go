// Package account keeps the token accounts of customers.
//
// An account has a level, which grows with fleet time at the customer's rate,
// and outstanding tokens, which are leased to sessions and not yet reported as
// charged. Level and outstanding together never exceed the burst, so what can
// be spent at any moment is bounded by the burst, and what can be spent in any
// window by rate x window + burst.
package account

import (
	"math/bits"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	milli = 1000
	// smallLevel is the level in tokens below which a grant may take all of it:
	// halving small amounts would only multiply the number of syncs.
	smallLevel = 1000
	// askerWindowMs is how long a session counts as asking after its last want.
	askerWindowMs = 2000
	// forgetMs keeps the account of a removed customer, so that removing and
	// adding it again does not fill a second burst.
	forgetMs = 24 * 60 * 60 * 1000
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

// Grant is the answer to an Ask.
type Grant struct {
	Granted uint64
	// Outstanding is what the session holds after the grant.
	Outstanding uint64
}

// Ask is one session's wish for tokens of one customer.
type Ask struct {
	Holder   Holder
	Customer string
	Want     uint64
}

// fault selects a deliberately wrong rule. Tests set it to show that they
// notice the difference.
type fault int

const (
	_ fault = iota
	// faultRefund caps only the level by the burst, as a scheme does that
	// reserves tokens and refunds them into a full bucket.
	faultRefund
)

// Bank holds the accounts of all customers. It is not safe for concurrent use.
type Bank struct {
	accounts map[string]*account
	held     map[Holder]map[string]*account
	fault    fault
}

type lease struct {
	tokens  uint64
	askedMs uint64
}

type account struct {
	rate        uint64 // tokens per second, which is thousandths per millisecond
	burst       uint64 // tokens
	level       uint64 // thousandths of a token
	advanced    uint64 // fleet time in milliseconds
	outstanding uint64 // tokens
	leases      map[Holder]*lease
	removed     bool
	removedMs   uint64
}

// NewBank returns a bank without accounts.
func NewBank() *Bank {
	return &Bank{accounts: map[string]*account{}, held: map[Holder]map[string]*account{}}
}

// SetCustomers takes over the customers of a new configuration. A new account
// starts with its burst; a change of limits never raises a level.
func (b *Bank) SetCustomers(now uint64, customers []*statev1.Customer) {
	present := make(map[string]bool, len(customers))
	for _, c := range customers {
		present[c.GetName()] = true
		a := b.accounts[c.GetName()]
		if a == nil {
			a = &account{advanced: now, leases: map[Holder]*lease{}, level: c.GetBurstTokens() * milli}
			b.accounts[c.GetName()] = a
		}
		a.removed = false
		b.setLimits(a, now, c.GetRateTokensPerSecond(), c.GetBurstTokens())
	}
	for name, a := range b.accounts {
		if present[name] {
			continue
		}
		if !a.removed {
			b.setLimits(a, now, 0, 0)
			a.removed, a.removedMs = true, now
		}
		if a.outstanding == 0 && now-a.removedMs > forgetMs {
			b.forget(name, a)
		}
	}
}

func (b *Bank) forget(name string, a *account) {
	for h := range a.leases {
		delete(b.held[h], name)
	}
	delete(b.accounts, name)
}

func (b *Bank) setLimits(a *account, now, rate, burst uint64) {
	b.advance(a, now)
	a.rate, a.burst = rate, burst
	a.level = min(a.level, b.ceiling(a))
}

// ceiling is the highest level that the account may have now.
func (b *Bank) ceiling(a *account) uint64 {
	if b.fault == faultRefund {
		return a.burst * milli
	}
	if a.outstanding >= a.burst {
		return 0
	}
	return (a.burst - a.outstanding) * milli
}

func (b *Bank) advance(a *account, now uint64) {
	if now <= a.advanced {
		return
	}
	elapsed := now - a.advanced
	a.advanced = now
	ceiling := b.ceiling(a)
	if a.rate == 0 || a.level >= ceiling {
		return
	}
	room := ceiling - a.level
	if elapsed > room/a.rate {
		a.level = ceiling
		return
	}
	a.level += min(room, elapsed*a.rate)
}

// Settle books what a session charged and returned since its last sync, and
// returns what it still holds. Both are bounded by what the session held: the
// rest was written off before.
func (b *Bank) Settle(now uint64, h Holder, customer string, charged, returned uint64) (outstanding uint64) {
	a := b.accounts[customer]
	if a == nil {
		return 0
	}
	l := a.leases[h]
	if l == nil {
		return 0
	}
	b.advance(a, now)
	charged = min(charged, l.tokens)
	l.tokens -= charged
	a.outstanding -= charged
	b.giveBack(a, l, min(returned, l.tokens))
	return l.tokens
}

func (b *Bank) giveBack(a *account, l *lease, tokens uint64) {
	l.tokens -= tokens
	a.outstanding -= tokens
	a.level = min(a.level+tokens*milli, b.ceiling(a))
}

// Grant leases tokens to the sessions that ask and answers in the order of the
// asks; an ask for nothing gets an empty answer. Sessions that ask for more than there is share it
// in proportion to what they want.
func (b *Bank) Grant(now uint64, asks []Ask) []Grant {
	granted := make([]Grant, len(asks))
	byCustomer := map[string][]int{}
	var order []string
	for i, ask := range asks {
		if b.accounts[ask.Customer] == nil || ask.Want == 0 {
			continue
		}
		if byCustomer[ask.Customer] == nil {
			order = append(order, ask.Customer)
		}
		byCustomer[ask.Customer] = append(byCustomer[ask.Customer], i)
	}
	for _, customer := range order {
		b.grantOne(now, customer, asks, byCustomer[customer], granted)
	}
	return granted
}

func (b *Bank) grantOne(now uint64, customer string, asks []Ask, lines []int, granted []Grant) {
	a := b.accounts[customer]
	b.advance(a, now)
	var total uint64
	leases := make([]*lease, len(lines))
	for n, i := range lines {
		total += min(asks[i].Want, a.burst)
		leases[n] = b.leaseOf(a, customer, asks[i].Holder)
		leases[n].askedMs = now
	}
	left := a.level / milli
	limit := left
	if left >= smallLevel && a.severalAsk(now) {
		limit = left / 2
	}
	level := left
	// The first pass shares in proportion, the second hands out what rounding
	// and the limit left over.
	for pass := range 2 {
		for n, i := range lines {
			want := min(asks[i].Want, a.burst, limit) - granted[i].Granted
			if pass == 0 && total > level {
				want = min(want, portion(level, min(asks[i].Want, a.burst), total))
			}
			give := min(want, left)
			granted[i].Granted += give
			left -= give
			b.lend(a, leases[n], give)
		}
	}
	for n, i := range lines {
		granted[i].Outstanding = leases[n].tokens
	}
}

func (b *Bank) lend(a *account, l *lease, tokens uint64) {
	l.tokens += tokens
	a.outstanding += tokens
	a.level -= tokens * milli
}

// portion returns whole x part / of without overflow; part is at most of.
func portion(whole, part, of uint64) uint64 {
	hi, lo := bits.Mul64(whole, part)
	q, _ := bits.Div64(hi, lo, of)
	return q
}

// severalAsk reports whether more than one session asked lately.
func (a *account) severalAsk(now uint64) bool {
	n := 0
	for _, l := range a.leases {
		if l.askedMs+askerWindowMs >= now {
			n++
		}
		if n > 1 {
			return true
		}
	}
	return false
}

func (b *Bank) leaseOf(a *account, customer string, h Holder) *lease {
	l := a.leases[h]
	if l == nil {
		l = &lease{}
		a.leases[h] = l
		if b.held[h] == nil {
			b.held[h] = map[string]*account{}
		}
		b.held[h][customer] = a
	}
	return l
}

// WriteOff counts everything that a session holds as spent.
func (b *Bank) WriteOff(now uint64, h Holder) {
	for _, a := range b.held[h] {
		b.advance(a, now)
		a.outstanding -= a.leases[h].tokens
		delete(a.leases, h)
	}
	delete(b.held, h)
}

// Return gives back everything that a session holds.
func (b *Bank) Return(now uint64, h Holder) {
	for _, a := range b.held[h] {
		b.advance(a, now)
		l := a.leases[h]
		b.giveBack(a, l, l.tokens)
		delete(a.leases, h)
	}
	delete(b.held, h)
}

// Balance returns a customer's level and outstanding tokens at a fleet time.
func (b *Bank) Balance(now uint64, customer string) (level, outstanding uint64) {
	a := b.accounts[customer]
	if a == nil {
		return 0, 0
	}
	copied := *a
	b.advance(&copied, now)
	return copied.level / milli, copied.outstanding
}

// Save returns the accounts, sorted by customer, with leases sorted by session.
func (b *Bank) Save() []*statev1.AccountRecord {
	records := make([]*statev1.AccountRecord, 0, len(b.accounts))
	for name, a := range b.accounts {
		r := &statev1.AccountRecord{
			Customer:            name,
			RateTokensPerSecond: a.rate,
			BurstTokens:         a.burst,
			LevelMilli:          a.level,
			AdvancedMs:          a.advanced,
			Removed:             a.removed,
			RemovedMs:           a.removedMs,
		}
		for h, l := range a.leases {
			r.Leases = append(r.Leases, &statev1.LeaseRecord{
				Session: &statev1.Session{Vm: h.VM, Incarnation: h.Incarnation},
				Tokens:  l.tokens,
				AskedMs: l.askedMs,
			})
		}
		slices.SortFunc(r.Leases, compareLeases)
		records = append(records, r)
	}
	slices.SortFunc(records, compareAccounts)
	return records
}

// Load replaces the accounts by saved ones.
func (b *Bank) Load(records []*statev1.AccountRecord) {
	b.accounts = make(map[string]*account, len(records))
	b.held = map[Holder]map[string]*account{}
	for _, r := range records {
		a := &account{
			rate:      r.GetRateTokensPerSecond(),
			burst:     r.GetBurstTokens(),
			level:     r.GetLevelMilli(),
			advanced:  r.GetAdvancedMs(),
			leases:    make(map[Holder]*lease, len(r.GetLeases())),
			removed:   r.GetRemoved(),
			removedMs: r.GetRemovedMs(),
		}
		b.accounts[r.GetCustomer()] = a
		for _, lr := range r.GetLeases() {
			l := b.leaseOf(a, r.GetCustomer(), HolderOf(lr.GetSession()))
			l.tokens, l.askedMs = lr.GetTokens(), lr.GetAskedMs()
			a.outstanding += l.tokens
		}
	}
}

// Package membudget bounds the memory that callers make one process hold: request
// heads, bodies, answers and connections.
//
// An account reserves memory before it is used and releases it when its request or
// connection ends. The total is never exceeded: an account that cannot grow is refused
// at once and does not wait.
package membudget

import (
	"sync"
	"time"
)

// Kind says what an account holds memory for.
type Kind int

// Kinds of accounts.
const (
	Heads Kind = iota
	Bodies
	Answers
	Connections
	kinds
)

// String returns the label of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"heads", "bodies", "answers", "connections"}[k]
}

const (
	// smallAccount is the size up to which an account may use the part of the budget
	// that is reserved for small ones.
	smallAccount = 64 << 10
	// smallShare is the reserved part, as a divisor of the total.
	smallShare = 8
	// sourceShare is the part of the memory not held by others that one source may hold,
	// as a divisor.
	sourceShare = 2
	// stallTime is how long an account must not have grown before another may take its
	// place.
	stallTime = time.Second
)

// pool is one of the two parts of a budget.
type pool struct {
	total, used int64
	sources     map[string]int64
}

// fits reports whether source may hold n more bytes. The empty source has no share.
func (p *pool) fits(source string, n int64) bool {
	free := p.total - p.used
	if n > free {
		return false
	}
	held := p.sources[source]
	return source == "" || held+n <= (free+held)/sourceShare
}

func (p *pool) add(source string, n int64) {
	p.used += n
	if p.sources[source] += n; p.sources[source] == 0 {
		delete(p.sources, source)
	}
}

// Budget is the budget of one process. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// main is for all accounts, small only for those of up to smallAccount bytes.
	main, small pool
	byKind      [kinds]int64
	dropped     int64
	// droppable are the accounts that may be dropped when memory is short.
	droppable map[*Account]bool
}

// New returns a budget of total bytes.
func New(total int64) *Budget {
	total = max(0, total)
	return &Budget{
		main:      pool{total: total - total/smallShare, sources: map[string]int64{}},
		small:     pool{total: total / smallShare, sources: map[string]int64{}},
		droppable: map[*Account]bool{},
	}
}

// Total returns the size of the budget.
func (b *Budget) Total() int64 { return b.main.total + b.small.total }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.main.used + b.small.used
}

// UsedBy returns the number of reserved bytes of one kind.
func (b *Budget) UsedBy(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKind[k]
}

// Dropped returns how many accounts were dropped in favour of others.
func (b *Budget) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Account is the memory held for one request or connection.
type Account struct {
	budget *Budget
	kind   Kind
	source string
	// drop ends the use of the memory; nil if the account can't be dropped.
	drop func()

	// The fields below are guarded by the budget.
	main, small int64
	dropped     bool
	grown       time.Time
}

// Open returns an empty account. An account with a drop function may be dropped while
// it does not grow: drop is called without locks held, must not block, and makes the
// owner end its request. Release must be called in any case.
func (b *Budget) Open(k Kind, source string, drop func()) *Account {
	return &Account{budget: b, kind: k, source: source, drop: drop}
}

// Grow reserves n more bytes. It returns false if they are not available or the account
// was dropped; the account then keeps what it has.
func (a *Account) Grow(n int64) bool {
	now := time.Time{}
	if a.drop != nil {
		now = time.Now()
	}
	b := a.budget
	b.mu.Lock()
	ok := b.growLocked(a, n)
	var victims []*Account
	if !ok && !a.dropped {
		if now.IsZero() {
			now = time.Now()
		}
		victims, ok = b.makeRoomLocked(a, n, now)
	}
	if ok {
		a.grown = now
		if a.drop != nil {
			b.droppable[a] = true
		}
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.drop()
	}
	return ok
}

// growLocked takes n bytes from the main part, or from the reserved part if the main one
// has no room and the account is small.
func (b *Budget) growLocked(a *Account, n int64) bool {
	size := a.main + a.small + n
	switch {
	case a.dropped || n < 0 || size < 0:
		return false
	case size > smallAccount:
		// What a small account holds in the reserved part is moved when it grows.
		if !b.main.fits(a.source, n+a.small) {
			return false
		}
		b.main.add(a.source, n+a.small)
		b.small.add(a.source, -a.small)
		a.main, a.small = a.main+n+a.small, 0
	case b.main.fits(a.source, n):
		b.main.add(a.source, n)
		a.main += n
	case b.small.fits(a.source, n):
		b.small.add(a.source, n)
		a.small += n
	default:
		return false
	}
	b.byKind[a.kind] += n
	return true
}

// makeRoomLocked drops stalled accounts until a can grow by n: those of any source if the
// main part lacks room, else, if only the share of its source is used up, those of that
// source.
func (b *Budget) makeRoomLocked(a *Account, n int64, now time.Time) (victims []*Account, ok bool) {
	needed := n
	if a.main+a.small+n > smallAccount {
		needed += a.small // moves to the main part
	}
	if !b.couldFitLocked(a, needed, now) {
		return nil, false
	}
	for !ok {
		v := b.worstLocked(a, b.main.total-b.main.used < needed, now)
		if v == nil {
			break
		}
		b.releaseLocked(v)
		v.dropped = true
		b.dropped++
		victims = append(victims, v)
		ok = b.growLocked(a, n)
	}
	return victims, ok
}

// couldFitLocked reports whether a could grow by n in the main part if every stalled
// account were dropped.
func (b *Budget) couldFitLocked(a *Account, n int64, now time.Time) bool {
	free, held := b.main.total-b.main.used, b.main.sources[a.source]
	for v := range b.droppable {
		if v == a || now.Sub(v.grown) < stallTime {
			continue
		}
		free += v.main
		if v.source == a.source {
			held -= v.main
		}
	}
	return n <= free && (a.source == "" || held+n <= (free+held)/sourceShare)
}

// worstLocked returns the stalled account with the largest product of bytes held and time
// stalled, or nil. It does not return a itself, nor another source's unless anySource is set.
func (b *Budget) worstLocked(a *Account, anySource bool, now time.Time) (worst *Account) {
	most := -1.0
	for v := range b.droppable {
		stalled := now.Sub(v.grown)
		if v == a || stalled < stallTime || (!anySource && v.source != a.source) {
			continue
		}
		if held := float64(v.main+v.small) * stalled.Seconds(); held > most {
			worst, most = v, held
		}
	}
	return worst
}

// Size returns the number of bytes that the account holds.
func (a *Account) Size() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.main + a.small
}

// Dropped reports whether the account was dropped in favour of another.
func (a *Account) Dropped() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.dropped
}

// Settle states that the owner has received all it waits for: the account is no longer
// dropped. It returns false if that has happened already.
func (a *Account) Settle() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.droppable, a)
	return !a.dropped
}

// ChargeTo moves the account to another source, if that one has not used up its share.
func (a *Account) ChargeTo(source string) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	main, small := a.main, a.small
	b.main.add(a.source, -main)
	b.small.add(a.source, -small)
	ok := b.main.fits(source, main) && b.small.fits(source, small)
	if ok {
		a.source = source
	}
	b.main.add(a.source, main)
	b.small.add(a.source, small)
	return ok
}

// Release gives all memory of the account back. The account may be used again.
func (a *Account) Release() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.releaseLocked(a)
}

func (b *Budget) releaseLocked(a *Account) {
	delete(b.droppable, a)
	b.main.add(a.source, -a.main)
	b.small.add(a.source, -a.small)
	b.byKind[a.kind] -= a.main + a.small
	a.main, a.small = 0, 0
}

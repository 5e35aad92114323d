// Package quota keeps the requests that wait for tokens of their customer, and
// accounts for the tokens that a running request holds and has used.
//
// The lease itself (how many tokens this entry may spend) belongs to the
// replica. The package is deterministic and not safe for concurrent use; times
// are durations since the start of the process.
package quota

import (
	"slices"
	"time"
)

// Waiter is a request that waits for tokens.
type Waiter struct {
	ID       uint64
	Customer string
	Priority int32
	Tokens   uint64
	// Fresh is until when a start can still meet the target for the first token,
	// Until is when waiting no longer helps at all.
	Fresh, Until time.Duration
	// Value belongs to the caller.
	Value any

	seq uint64
}

// Limits are the customer's rate and burst in tokens.
type Limits struct {
	RatePerSecond uint64
	Burst         uint64
}

// Book orders the waiters of each customer: higher priority first, then those
// that can still meet their target, then first come, first served. Without the
// second rule a customer beyond its rate has a queue as long as its deadlines,
// and every one of its requests starts too late for its target.
type Book struct {
	seq     uint64
	waiting map[string][]*Waiter // in order
	sums    map[string]uint64

	// overtaking serves any waiter that fits. Tests set it to show that they
	// detect a later request that passes an earlier one.
	overtaking bool
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{waiting: make(map[string][]*Waiter), sums: make(map[string]uint64)}
}

// Fits says whether a request can ever be served.
func Fits(tokens uint64, l Limits) bool { return tokens <= l.Burst }

// Hopeless says that the tokens cannot come in time even if the customer's
// burst is full and all of its rate goes to the waiters of this entry. Only
// then a request is refused without waiting.
func (b *Book) Hopeless(w *Waiter, l Limits, now time.Duration) bool {
	left := max(0, w.Until-now).Seconds()
	ahead := uint64(0)
	for _, o := range b.waiting[w.Customer] {
		if o.before(w, now) {
			ahead += o.Tokens
		}
	}
	return float64(ahead+w.Tokens) > float64(l.Burst)+float64(l.RatePerSecond)*left
}

// before says whether a waiter is served before one that comes now.
func (w *Waiter) before(next *Waiter, now time.Duration) bool {
	if w.Priority != next.Priority {
		return w.Priority > next.Priority
	}
	return w.Fresh >= now || next.Fresh < now
}

// Clear says whether a new request would be first, so that it may try to hold
// tokens without waiting.
func (b *Book) Clear(w *Waiter, now time.Duration) bool {
	if b.overtaking {
		return true
	}
	first := b.first(w.Customer, now)
	return first == nil || !first.before(w, now)
}

// first returns the waiter that is served next, or nil.
func (b *Book) first(customer string, now time.Duration) *Waiter {
	q := b.waiting[customer]
	for _, w := range q {
		if w.Priority < q[0].Priority {
			break
		}
		if w.Fresh >= now {
			return w
		}
	}
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

// Add lets a request wait.
func (b *Book) Add(w *Waiter) {
	b.seq++
	w.seq = b.seq
	q := b.waiting[w.Customer]
	i := len(q)
	for i > 0 && q[i-1].Priority < w.Priority {
		i--
	}
	b.waiting[w.Customer] = slices.Insert(q, i, w)
	b.sums[w.Customer] += w.Tokens
}

// Remove ends a wait; it reports whether the request was waiting.
func (b *Book) Remove(w *Waiter) bool {
	q := b.waiting[w.Customer]
	i := slices.Index(q, w)
	if i < 0 {
		return false
	}
	q = slices.Delete(q, i, i+1)
	b.sums[w.Customer] -= w.Tokens
	if len(q) == 0 {
		delete(b.waiting, w.Customer)
		delete(b.sums, w.Customer)
		return true
	}
	b.waiting[w.Customer] = q
	return true
}

// Want is the sum of tokens that the customer's requests wait for.
func (b *Book) Want(customer string) uint64 { return b.sums[customer] }

// Customers lists the customers with waiting requests, in order of name.
func (b *Book) Customers() []string {
	out := make([]string, 0, len(b.waiting))
	for c := range b.waiting {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// Serve removes and returns the waiters of a customer, in order, for as long
// as hold reserves their tokens.
func (b *Book) Serve(customer string, now time.Duration, hold func(tokens uint64) bool) []*Waiter {
	var served []*Waiter
	for len(b.waiting[customer]) > 0 {
		w := b.first(customer, now)
		if !hold(w.Tokens) {
			break
		}
		b.Remove(w)
		served = append(served, w)
	}
	return served
}

// Expire removes and returns the waiters whose time is over.
func (b *Book) Expire(now time.Duration) []*Waiter {
	var out []*Waiter
	for _, c := range b.Customers() {
		for _, w := range slices.Clone(b.waiting[c]) {
			if w.Until < now {
				b.Remove(w)
				out = append(out, w)
			}
		}
	}
	return out
}

// Hold is what one running request holds and has used.
type Hold struct {
	Tokens  uint64
	Charged uint64
	// Over counts tokens beyond the hold: an engine generated more than the
	// request allowed. They are not charged, because they were never leased.
	Over uint64
}

// Charge returns how many of the tokens are to be charged now.
func (h *Hold) Charge(tokens uint64) uint64 {
	charge := min(tokens, h.Tokens-h.Charged)
	h.Charged += charge
	h.Over += tokens - charge
	return charge
}

// Rest is what a release returns to the lease.
func (h *Hold) Rest() uint64 { return h.Tokens - h.Charged }

// Package quota queues the requests that wait for tokens of their customer, and
// accounts for the tokens that a running request holds and has used.
//
// The lease itself (how many tokens this entry may spend) is kept by package
// replica. This package is deterministic and not safe for concurrent use. Times
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
	// OnTargetUntil is the latest start that can meet the target for the first
	// token, LatestStart is the latest start that can meet the deadline.
	OnTargetUntil, LatestStart time.Duration
	// Value belongs to the caller.
	Value any

	seq uint64
}

// Limits are the customer's rate and burst in tokens.
type Limits struct {
	RatePerSecond uint64
	Burst         uint64
}

// WaitQueue orders the waiters of each customer by priority, then those that can
// still meet their first-token target before the others, then by arrival.
// Without the second rule, the queue of a customer that exceeds its rate grows
// until requests expire at their deadlines, and all of them start too late for
// their targets.
type WaitQueue struct {
	seq           uint64
	waiting       map[string][]*Waiter // by falling priority, then by arrival
	waitingTokens map[string]uint64

	// overtaking serves any request that fits. Tests set it to prove that they
	// detect a later request that is served before an earlier one.
	overtaking bool
}

// NewWaitQueue returns an empty WaitQueue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{waiting: make(map[string][]*Waiter), waitingTokens: make(map[string]uint64)}
}

// FitsBurst reports whether a request is within the customer's burst. A larger one
// can never be served.
func FitsBurst(tokens uint64, l Limits) bool { return tokens <= l.Burst }

// WouldExpire reports whether the tokens could not be granted in time even if the
// customer's burst were full and its whole rate went to the waiters of this entry.
// Only such a request is refused without waiting.
func (b *WaitQueue) WouldExpire(w *Waiter, l Limits, now time.Duration) bool {
	left := max(0, w.LatestStart-now).Seconds()
	ahead := uint64(0)
	for _, o := range b.waiting[w.Customer] {
		if o.before(w, now) {
			ahead += o.Tokens
		}
	}
	return float64(ahead+w.Tokens) > float64(l.Burst)+float64(l.RatePerSecond)*left
}

// before reports whether w is served before next, which arrives now.
func (w *Waiter) before(next *Waiter, now time.Duration) bool {
	if w.Priority != next.Priority {
		return w.Priority > next.Priority
	}
	return w.OnTargetUntil >= now || next.OnTargetUntil < now
}

// WouldBeFirst reports whether a new request would be first in the queue, so that
// it may try to hold tokens without waiting.
func (b *WaitQueue) WouldBeFirst(w *Waiter, now time.Duration) bool {
	if b.overtaking {
		return true
	}
	first := b.first(w.Customer, now)
	return first == nil || !first.before(w, now)
}

// first returns the waiter that is served next, or nil.
func (b *WaitQueue) first(customer string, now time.Duration) *Waiter {
	q := b.waiting[customer]
	for _, w := range q {
		if w.Priority < q[0].Priority {
			break
		}
		if w.OnTargetUntil >= now {
			return w
		}
	}
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

// Add queues a request.
func (b *WaitQueue) Add(w *Waiter) {
	b.seq++
	w.seq = b.seq
	q := b.waiting[w.Customer]
	i := len(q)
	for i > 0 && q[i-1].Priority < w.Priority {
		i--
	}
	b.waiting[w.Customer] = slices.Insert(q, i, w)
	b.waitingTokens[w.Customer] += w.Tokens
}

// Remove takes a request out of the queue and reports whether it was waiting.
func (b *WaitQueue) Remove(w *Waiter) bool {
	q := b.waiting[w.Customer]
	i := slices.Index(q, w)
	if i < 0 {
		return false
	}
	q = slices.Delete(q, i, i+1)
	b.waitingTokens[w.Customer] -= w.Tokens
	if len(q) == 0 {
		delete(b.waiting, w.Customer)
		delete(b.waitingTokens, w.Customer)
		return true
	}
	b.waiting[w.Customer] = q
	return true
}

// WaitingTokens returns the sum of tokens that the customer's requests wait for.
func (b *WaitQueue) WaitingTokens(customer string) uint64 { return b.waitingTokens[customer] }

// Customers returns the customers with waiting requests, sorted by name.
func (b *WaitQueue) Customers() []string {
	out := make([]string, 0, len(b.waiting))
	for c := range b.waiting {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}

// Serve removes and returns the waiters of a customer, in order, for as long
// as hold reserves their tokens.
func (b *WaitQueue) Serve(customer string, now time.Duration, hold func(tokens uint64) bool) []*Waiter {
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

// Expire removes and returns the waiters whose latest start has passed.
func (b *WaitQueue) Expire(now time.Duration) []*Waiter {
	var out []*Waiter
	for _, c := range b.Customers() {
		for _, w := range slices.Clone(b.waiting[c]) {
			if w.LatestStart < now {
				b.Remove(w)
				out = append(out, w)
			}
		}
	}
	return out
}

// Hold counts the tokens that one running request holds and has used.
type Hold struct {
	Tokens  uint64
	Charged uint64
	// Uncharged counts the tokens used beyond the hold: an engine generated more
	// than the request allowed. They are not charged, because they were never
	// leased.
	Uncharged uint64
}

// Charge records used tokens and returns how many of them to charge.
func (h *Hold) Charge(tokens uint64) uint64 {
	charge := min(tokens, h.Tokens-h.Charged)
	h.Charged += charge
	h.Uncharged += tokens - charge
	return charge
}

// Unused returns the tokens that a release gives back to the lease.
func (h *Hold) Unused() uint64 { return h.Tokens - h.Charged }

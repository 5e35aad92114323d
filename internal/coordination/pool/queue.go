package pool

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a place.
type Waiter struct {
	Query *Query
	// Target is until when a place leads to an answer in time; Deadline is when
	// waiting ends.
	Target, Deadline time.Duration
	// Granted receives the place.
	Granted func(*Reservation)

	order uint64
	// absence says what was missing at the last look.
	absence UnavailableReason
}

// UnavailableReason returns why the last dispatch found no slot for the
// request.
func (w *Waiter) UnavailableReason() UnavailableReason { return w.absence }

// Queue holds waiters by urgency and then by age.
type Queue struct {
	list []*Waiter
	next uint64
}

// Add puts a waiter into the queue.
func (q *Queue) Add(w *Waiter) {
	q.next++
	w.order = q.next
	at, _ := slices.BinarySearchFunc(q.list, w, compareWaiters)
	q.list = slices.Insert(q.list, at, w)
}

func compareWaiters(a, b *Waiter) int {
	if a.Query.Urgency != b.Query.Urgency {
		return a.Query.Urgency - b.Query.Urgency
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

// Remove takes a waiter out and reports whether it was still there.
func (q *Queue) Remove(w *Waiter) bool {
	at := slices.Index(q.list, w)
	if at < 0 {
		return false
	}
	q.list = slices.Delete(q.list, at, at+1)
	return true
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.list) }

// triesPerDispatch bounds the waiters that are looked at after the first one that
// finds every engine full: those behind it may need other adapters or less
// memory, but most of them meet the same engines.
const triesPerDispatch = 6

// inTime says whether a request that found no place can still be in time.
func (q *Queue) inTime(now time.Duration) bool {
	return slices.ContainsFunc(q.list, func(w *Waiter) bool { return w.absence == Full && now <= w.Target })
}

// Dispatch gives places to waiters in their order: first to those that can still
// be in time, then to the others. Under more load than there are places the
// order of arrival alone would make every answer late.
func (q *Queue) Dispatch(now time.Duration, t *Table) {
	q.give(now, t, func(w *Waiter) bool { return now <= w.Target })
	q.give(now, t, func(w *Waiter) bool { return now > w.Target })
}

func (q *Queue) give(now time.Duration, t *Table, eligible func(*Waiter) bool) {
	var granted []*Waiter
	var tickets []*Reservation
	full := 0
	kept := q.list[:0]
	for _, w := range q.list {
		if !eligible(w) {
			kept = append(kept, w)
			continue
		}
		if full >= triesPerDispatch {
			w.absence = Full
			kept = append(kept, w)
			continue
		}
		ticket, why := t.Reserve(now, w.Query)
		w.absence = why
		if ticket == nil {
			kept = append(kept, w)
			if why == Full {
				full++
			}
			continue
		}
		granted, tickets = append(granted, w), append(tickets, ticket)
	}
	clear(q.list[len(kept):])
	q.list = kept
	for i, w := range granted {
		w.Granted(tickets[i])
	}
}

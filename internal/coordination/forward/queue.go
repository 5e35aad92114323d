package forward

import (
	"slices"
	"time"
)

// waiter is a request that waits for a place.
type waiter struct {
	query *Query
	// target is until when a place leads to an answer in time; deadline is when
	// waiting ends.
	target, deadline time.Duration
	order            uint64
	// ready receives the ticket; it has room for one.
	ready chan *Ticket
}

// queue holds waiters by urgency and then by age.
type queue struct {
	list []*waiter
	next uint64
}

func (q *queue) add(w *waiter) {
	q.next++
	w.order = q.next
	at, _ := slices.BinarySearchFunc(q.list, w, func(a, b *waiter) int {
		if a.query.Urgency != b.query.Urgency {
			return a.query.Urgency - b.query.Urgency
		}
		if a.order < b.order {
			return -1
		}
		return 1
	})
	q.list = slices.Insert(q.list, at, w)
}

// remove takes a waiter out and reports whether it was still there.
func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.list, w)
	if at < 0 {
		return false
	}
	q.list = slices.Delete(q.list, at, at+1)
	return true
}

// dispatch gives places to waiters in their order: first to those that can
// still be in time, then to the others. Under more load than there are places
// the order of arrival alone would make every answer late.
func (q *queue) dispatch(now time.Duration, t *Table) {
	q.give(now, t, func(w *waiter) bool { return now <= w.target })
	q.give(now, t, func(w *waiter) bool { return now > w.target })
}

func (q *queue) give(now time.Duration, t *Table, eligible func(*waiter) bool) {
	kept := q.list[:0]
	for _, w := range q.list {
		if !eligible(w) {
			kept = append(kept, w)
			continue
		}
		ticket, _ := t.Pick(now, w.query)
		if ticket == nil {
			kept = append(kept, w)
			continue
		}
		w.ready <- ticket
	}
	clear(q.list[len(kept):])
	q.list = kept
}

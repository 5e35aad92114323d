package pool

import "time"

// Decisions counts what a broker decided about requests that waited.
type Decisions struct {
	// RefusedOnArrival and RefusedWaiting count requests refused by their expected
	// wait, RefusedLate those refused since they were late under overload.
	RefusedOnArrival, RefusedWaiting, RefusedLate uint64
	// LessUrgent counts slots that less urgent requests got while more urgent ones
	// waited.
	LessUrgent uint64
	// WaitsShorter, WaitsAsExpected and WaitsLonger compare the waits of requests
	// that got a slot with what was expected on their arrival.
	WaitsShorter, WaitsAsExpected, WaitsLonger uint64
}

// ByKind returns the numbers of decisions by kind.
func (d Decisions) ByKind() map[string]uint64 {
	return map[string]uint64{"refused_on_arrival": d.RefusedOnArrival, "refused_waiting": d.RefusedWaiting, "refused_late": d.RefusedLate, "less_urgent": d.LessUrgent}
}

// Waits returns the numbers of waits by their comparison with what was expected.
func (d Decisions) Waits() map[string]uint64 {
	return map[string]uint64{"shorter": d.WaitsShorter, "as_expected": d.WaitsAsExpected, "longer": d.WaitsLonger}
}

// A wait is as expected if it differs by at most waitTolerance, or by a factor of at
// most waitFactor.
const (
	waitTolerance = 50 * time.Millisecond
	waitFactor    = 2
)

// countWait counts the wait of a request that got a slot.
func (d *Decisions) countWait(expected, actual time.Duration) {
	switch {
	case actual+waitTolerance < expected && actual*waitFactor < expected:
		d.WaitsShorter++
	case actual > expected+waitTolerance && actual > expected*waitFactor:
		d.WaitsLonger++
	default:
		d.WaitsAsExpected++
	}
}

// TakeDecisions returns the decisions of this entry's broker since the last call.
func (e *Entry) TakeDecisions() Decisions {
	d := e.broker.decisions
	e.broker.decisions = Decisions{}
	return d
}

// deadlineRetryAfter returns the retry-after time of a request whose wait has ended, or
// zero if nothing says when a retry may succeed.
func (b *Broker) deadlineRetryAfter(key modelKey, w *Waiter) time.Duration {
	if w.reason >= Limited && b.overloaded(key) {
		return b.overloadRetryAfter()
	}
	return 0
}

func (b *Broker) overloadRetryAfter() time.Duration {
	return retryAfterMin + time.Duration(b.table.rand()*float64(retryAfterSpread))
}

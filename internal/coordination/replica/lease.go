package replica

import "time"

// Instant is one reading of both clocks.
type Instant struct {
	// Mono is monotonic time since process start.
	Mono time.Duration
	// Wall is the wall clock.
	Wall time.Time
}

// since returns the time elapsed from earlier to i: the larger reading of the
// two clocks. The monotonic clock stands still while a VM is suspended, and the
// wall clock can be set back; taking the larger can only end a lease early.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall.Sub(earlier.Wall))
}

// lease is a right that ends some time after a request for it was sent.
// Measuring from the send time makes every delay of the answer shorten it.
type lease struct {
	sentAt Instant
	length time.Duration
}

// valid reports whether the lease holds at now. The zero lease never does.
func (l lease) valid(now Instant) bool {
	return l.length > 0 && now.since(l.sentAt) < l.length
}

// renew takes over a newer lease; an answer to an older request is ignored.
func (l *lease) renew(sentAt Instant, length time.Duration) {
	if l.length > 0 && sentAt.Mono < l.sentAt.Mono {
		return
	}
	l.sentAt = sentAt
	l.length = length
}

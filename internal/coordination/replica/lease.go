package replica

import "time"

// Instant is a simultaneous reading of the monotonic clock and the wall clock.
type Instant struct {
	// Mono is the monotonic time since the process started.
	Mono time.Duration
	Wall time.Time
}

// since returns the time elapsed from earlier to i, by the clock that advanced
// more. The monotonic clock stops while a VM is suspended, and the wall clock
// can be set back. Taking the larger value can end a lease early but never late.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall.Sub(earlier.Wall))
}

// lease is a time-limited right. It expires a fixed time after the request that
// renewed it was sent, so that a delayed response shortens the lease.
type lease struct {
	sentAt Instant
	length time.Duration
}

// valid reports whether the lease is unexpired at now. The zero lease is never
// valid.
func (l lease) valid(now Instant) bool {
	return l.length > 0 && now.since(l.sentAt) < l.length
}

// renew extends the lease. A response to a request older than the last renewal
// is ignored.
func (l *lease) renew(sentAt Instant, length time.Duration) {
	if l.length > 0 && sentAt.Mono < l.sentAt.Mono {
		return
	}
	l.sentAt = sentAt
	l.length = length
}

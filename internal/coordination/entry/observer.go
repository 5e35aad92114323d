package entry

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Class is what measurements of requests are grouped by. Profile and Customer
// are empty if the request was refused before they were known.
type Class struct {
	Route, Profile, Customer string
}

// Observer receives measurements. Its methods are called on the path of
// requests, also from several goroutines at once, and must return quickly.
type Observer interface {
	// Refused counts a request that ended with a code.
	Refused(c Class, code resultcode.Code)
	// Served counts a request that was answered in full. Attained says that it
	// met the targets of its profile; tokens are those charged.
	Served(c Class, attained bool, took time.Duration, tokens uint64)
	// Retried counts a retry and the failure that caused it.
	Retried(c Class, reason resultcode.Code)
	// RetryDenied counts a retry that only the budget prevented.
	RetryDenied(c Class, reason resultcode.Code)
	// Resumed counts a stream that continued on a new connection, or could not.
	Resumed(c Class, ok bool)
	// TokensWaited is the time a request waited for tokens of its customer.
	TokensWaited(c Class, wait time.Duration)
	// Queued is the time a request waited for an endpoint.
	Queued(c Class, wait time.Duration)
	// FirstToken is the time from arrival to the first event of a stream.
	FirstToken(c Class, took time.Duration)
	// TokenGap is the time between two events of a stream.
	TokenGap(c Class, gap time.Duration)
	// Replayed counts a stored answer.
	Replayed(c Class)
	// ClaimUnfinished counts a claim whose end had to be left to the background.
	ClaimUnfinished(c Class)
	// Crashed counts a crash of an endpoint with the number of suspects.
	Crashed(endpoint string, suspects int)
}

// NopObserver ignores all measurements.
type NopObserver struct{}

var _ Observer = NopObserver{}

// Refused implements Observer.
func (NopObserver) Refused(Class, resultcode.Code) {}

// Served implements Observer.
func (NopObserver) Served(Class, bool, time.Duration, uint64) {}

// Retried implements Observer.
func (NopObserver) Retried(Class, resultcode.Code) {}

// RetryDenied implements Observer.
func (NopObserver) RetryDenied(Class, resultcode.Code) {}

// Resumed implements Observer.
func (NopObserver) Resumed(Class, bool) {}

// TokensWaited implements Observer.
func (NopObserver) TokensWaited(Class, time.Duration) {}

// Queued implements Observer.
func (NopObserver) Queued(Class, time.Duration) {}

// FirstToken implements Observer.
func (NopObserver) FirstToken(Class, time.Duration) {}

// TokenGap implements Observer.
func (NopObserver) TokenGap(Class, time.Duration) {}

// Replayed implements Observer.
func (NopObserver) Replayed(Class) {}

// ClaimUnfinished implements Observer.
func (NopObserver) ClaimUnfinished(Class) {}

// Crashed implements Observer.
func (NopObserver) Crashed(string, int) {}

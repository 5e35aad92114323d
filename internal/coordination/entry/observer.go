package entry

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Observer receives measurements. Its methods are called on the path of
// requests, also from several goroutines at once, and must return quickly.
type Observer interface {
	// Refused counts a request that ended with a code.
	Refused(route, customer string, code resultcode.Code)
	// Served counts a request that was answered in full. Tokens are those
	// charged.
	Served(route, customer string, took time.Duration, tokens uint64)
	// Retried counts a retry and the failure that caused it.
	Retried(route string, reason resultcode.Code)
	// RetryDenied counts a retry that only the budget prevented.
	RetryDenied(route string, reason resultcode.Code)
	// Resumed counts a stream that continued on a new connection, or could not.
	Resumed(route string, ok bool)
	// TokensWaited is the time a request waited for tokens of its customer.
	TokensWaited(customer string, wait time.Duration)
	// Queued is the time a request waited for an endpoint.
	Queued(route string, wait time.Duration)
	// FirstToken is the time from arrival to the first event of a stream.
	FirstToken(route string, took time.Duration)
	// TokenGap is the time between two events of a stream.
	TokenGap(route string, gap time.Duration)
	// Replayed counts a stored answer.
	Replayed(route string)
	// ClaimUnfinished counts a claim whose end had to be left to the background.
	ClaimUnfinished(route string)
	// Crashed counts a crash of an endpoint with the number of suspects.
	Crashed(endpoint string, suspects int)
}

// NopObserver ignores all measurements.
type NopObserver struct{}

var _ Observer = NopObserver{}

// Refused implements Observer.
func (NopObserver) Refused(string, string, resultcode.Code) {}

// Served implements Observer.
func (NopObserver) Served(string, string, time.Duration, uint64) {}

// Retried implements Observer.
func (NopObserver) Retried(string, resultcode.Code) {}

// RetryDenied implements Observer.
func (NopObserver) RetryDenied(string, resultcode.Code) {}

// Resumed implements Observer.
func (NopObserver) Resumed(string, bool) {}

// TokensWaited implements Observer.
func (NopObserver) TokensWaited(string, time.Duration) {}

// Queued implements Observer.
func (NopObserver) Queued(string, time.Duration) {}

// FirstToken implements Observer.
func (NopObserver) FirstToken(string, time.Duration) {}

// TokenGap implements Observer.
func (NopObserver) TokenGap(string, time.Duration) {}

// Replayed implements Observer.
func (NopObserver) Replayed(string) {}

// ClaimUnfinished implements Observer.
func (NopObserver) ClaimUnfinished(string) {}

// Crashed implements Observer.
func (NopObserver) Crashed(string, int) {}

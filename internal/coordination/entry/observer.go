package entry

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Class holds the dimensions by which measurements of requests are grouped.
// Profile and Customer are empty if the request was refused before they were
// known.
type Class struct {
	Route, Profile, Customer string
}

// Observer receives measurements. Its methods are called concurrently while
// requests are served, and must return quickly.
type Observer interface {
	// Refused counts a request that was refused or failed, by its result code.
	Refused(c Class, code resultcode.Code)
	// Served counts a request with a complete response. attained reports whether it
	// met the targets of its profile; tokens is the number of tokens charged.
	Served(c Class, attained bool, took time.Duration, tokens uint64)
	// Retried counts a retry and the failure that caused it.
	Retried(c Class, reason resultcode.Code)
	// RetryDenied counts a retry that was prevented only by the retry budget.
	RetryDenied(c Class, reason resultcode.Code)
	// Resumed counts an attempt to resume a stream on a new connection.
	Resumed(c Class, ok bool)
	// TokensWaited records how long a request waited for tokens of its customer.
	TokensWaited(c Class, wait time.Duration)
	// Queued records how long a request waited for an endpoint.
	Queued(c Class, wait time.Duration)
	// FirstToken records the time from arrival to the first event of a stream.
	FirstToken(c Class, took time.Duration)
	// TokenGap records the time between two events of a stream.
	TokenGap(c Class, gap time.Duration)
	// Replayed counts a request that was answered with a stored response.
	Replayed(c Class)
	// ClaimUnfinished counts a claim whose outcome has to be committed in the
	// background.
	ClaimUnfinished(c Class)
	// Crashed counts a crash of an endpoint and records the number of suspects.
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

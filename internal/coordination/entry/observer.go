package entry

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// MetricLabels are the labels by which measurements of requests are grouped. Profile
// and Customer are empty if the request was refused before they were known.
type MetricLabels struct {
	Route, Profile, Customer string
}

// Observer receives measurements. Its methods are called concurrently while
// requests are served, and must return quickly.
type Observer interface {
	// Refused counts a request that was refused or failed, by its result code.
	Refused(labels MetricLabels, code resultcode.Code)
	// Served counts a request with a complete response. attained reports whether it
	// met the targets of its profile; tokens is the number of tokens charged.
	Served(labels MetricLabels, attained bool, took time.Duration, tokens uint64)
	// Retried counts a retry and the failure that caused it.
	Retried(labels MetricLabels, reason resultcode.Code)
	// RetryDenied counts a retry that was prevented only by the retry budget.
	RetryDenied(labels MetricLabels, reason resultcode.Code)
	// Resumed counts an attempt to resume a stream on a new connection.
	Resumed(labels MetricLabels, ok bool)
	// TokensWaited records how long a request waited for tokens of its customer.
	TokensWaited(labels MetricLabels, wait time.Duration)
	// Queued records how long a request waited for an endpoint.
	Queued(labels MetricLabels, wait time.Duration)
	// FirstToken records the time from arrival to the first event of a stream.
	FirstToken(labels MetricLabels, took time.Duration)
	// TokenGap records the time between two events of a stream.
	TokenGap(labels MetricLabels, gap time.Duration)
	// Replayed counts a request that was answered with a stored response.
	Replayed(labels MetricLabels)
	// ClaimUnfinished counts a claim whose outcome has to be committed in the
	// background.
	ClaimUnfinished(labels MetricLabels)
	// Crashed counts a crash of an endpoint and records the number of suspects.
	Crashed(endpoint string, suspects int)
}

// NopObserver ignores all measurements.
type NopObserver struct{}

var _ Observer = NopObserver{}

// Refused implements Observer.
func (NopObserver) Refused(MetricLabels, resultcode.Code) {}

// Served implements Observer.
func (NopObserver) Served(MetricLabels, bool, time.Duration, uint64) {}

// Retried implements Observer.
func (NopObserver) Retried(MetricLabels, resultcode.Code) {}

// RetryDenied implements Observer.
func (NopObserver) RetryDenied(MetricLabels, resultcode.Code) {}

// Resumed implements Observer.
func (NopObserver) Resumed(MetricLabels, bool) {}

// TokensWaited implements Observer.
func (NopObserver) TokensWaited(MetricLabels, time.Duration) {}

// Queued implements Observer.
func (NopObserver) Queued(MetricLabels, time.Duration) {}

// FirstToken implements Observer.
func (NopObserver) FirstToken(MetricLabels, time.Duration) {}

// TokenGap implements Observer.
func (NopObserver) TokenGap(MetricLabels, time.Duration) {}

// Replayed implements Observer.
func (NopObserver) Replayed(MetricLabels) {}

// ClaimUnfinished implements Observer.
func (NopObserver) ClaimUnfinished(MetricLabels) {}

// Crashed implements Observer.
func (NopObserver) Crashed(string, int) {}

package daemon

import (
	"log/slog"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/telemetry"
)

// observer records the entry's measurements as metrics and log lines.
type observer struct {
	metrics *telemetry.Metrics
	log     *slog.Logger
}

var _ entry.Observer = observer{}

// Refused implements entry.Observer.
func (o observer) Refused(c entry.MetricLabels, code resultcode.Code) {
	o.metrics.Refusal(code)
	o.metrics.Request(c.Customer, c.Profile, false)
}

// Served implements entry.Observer.
func (o observer) Served(c entry.MetricLabels, attained bool, _ time.Duration, tokens uint64) {
	o.metrics.Request(c.Customer, c.Profile, attained)
	o.metrics.Tokens(c.Customer, c.Profile, tokens)
}

// Retried implements entry.Observer.
func (o observer) Retried(_ entry.MetricLabels, reason resultcode.Code) {
	o.metrics.Retry(reason.String())
}

// RetryDenied implements entry.Observer.
func (o observer) RetryDenied(entry.MetricLabels, resultcode.Code) {
	o.metrics.Refusal(resultcode.RetryBudgetSpent)
}

// Resumed implements entry.Observer.
func (o observer) Resumed(entry.MetricLabels, bool) { o.metrics.Retry(telemetry.RetryResume) }

// TokensWaited implements entry.Observer.
func (o observer) TokensWaited(c entry.MetricLabels, wait time.Duration) {
	o.metrics.QueueTime(c.Customer, c.Profile, wait)
}

// Queued implements entry.Observer.
func (o observer) Queued(c entry.MetricLabels, wait time.Duration) {
	o.metrics.QueueTime(c.Customer, c.Profile, wait)
}

// FirstToken implements entry.Observer.
func (o observer) FirstToken(c entry.MetricLabels, took time.Duration) {
	o.metrics.FirstToken(c.Customer, c.Profile, took)
}

// TokenGap implements entry.Observer.
func (o observer) TokenGap(c entry.MetricLabels, gap time.Duration) {
	o.metrics.TokenGap(c.Customer, c.Profile, gap)
}

// Replayed implements entry.Observer.
func (o observer) Replayed(entry.MetricLabels) {}

// ClaimUnfinished implements entry.Observer.
func (o observer) ClaimUnfinished(c entry.MetricLabels) {
	o.log.Warn("claim not finished yet, continuing in the background", "route", c.Route)
}

// Crashed implements entry.Observer.
func (o observer) Crashed(endpoint string, suspects int) {
	o.log.Warn("endpoint crashed", "endpoint", endpoint, "suspects", suspects)
}

package daemon

import (
	"log/slog"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/replica"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/telemetry"
)

// observer passes the entry's measurements on to the metrics.
type observer struct {
	metrics *telemetry.Metrics
	replica *replica.Replica
	log     *slog.Logger
}

var _ entry.Observer = observer{}

// profile returns the name of a route's profile.
func (o observer) profile(route string) string {
	index := o.replica.Index()
	if index == nil {
		return telemetry.Other
	}
	return index.Route(route).GetProfile()
}

// Refused implements entry.Observer.
func (o observer) Refused(route, customer string, code resultcode.Code) {
	o.metrics.Refusal(code)
	o.metrics.Request(customer, o.profile(route), false)
}

// Served implements entry.Observer.
func (o observer) Served(route, customer string, _ time.Duration, tokens uint64) {
	profile := o.profile(route)
	o.metrics.Request(customer, profile, true)
	o.metrics.Tokens(customer, profile, tokens)
}

// Retried implements entry.Observer.
func (o observer) Retried(_ string, reason resultcode.Code) { o.metrics.Retry(reason.String()) }

// RetryDenied implements entry.Observer.
func (o observer) RetryDenied(string, resultcode.Code) {
	o.metrics.Refusal(resultcode.RetryBudgetSpent)
}

// Resumed implements entry.Observer.
func (o observer) Resumed(string, bool) { o.metrics.Retry(telemetry.RetryResume) }

// TokensWaited implements entry.Observer.
func (o observer) TokensWaited(customer string, wait time.Duration) {
	o.metrics.QueueTime(customer, telemetry.Other, wait)
}

// Queued implements entry.Observer.
func (o observer) Queued(route string, wait time.Duration) {
	o.metrics.QueueTime(telemetry.Other, o.profile(route), wait)
}

// FirstToken implements entry.Observer.
func (o observer) FirstToken(route string, took time.Duration) {
	o.metrics.FirstToken(telemetry.Other, o.profile(route), took)
}

// TokenGap implements entry.Observer.
func (o observer) TokenGap(route string, gap time.Duration) {
	o.metrics.TokenGap(telemetry.Other, o.profile(route), gap)
}

// Replayed implements entry.Observer.
func (o observer) Replayed(string) {}

// ClaimUnfinished implements entry.Observer.
func (o observer) ClaimUnfinished(route string) {
	o.log.Warn("the end of a claim is left to the background", "route", route)
}

// Crashed implements entry.Observer.
func (o observer) Crashed(endpoint string, suspects int) {
	o.log.Warn("endpoint crashed", "endpoint", endpoint, "suspects", suspects)
}

// controlMetrics passes the control role's measurements on.
type controlMetrics struct {
	metrics *telemetry.Metrics
	log     *slog.Logger
	self    func() uint64
}

// LeaderChanged implements control.Metrics.
func (c controlMetrics) LeaderChanged(term, leader uint64) {
	c.metrics.Election()
	c.metrics.Leader(leader != 0 && leader == c.self())
	c.log.Info("leader changed", "term", term, "leader", leader)
}

// LogSize implements control.Metrics.
func (c controlMetrics) LogSize(entries uint64, bytes int) { c.metrics.LogSize(int64(bytes), entries) }

// CommitLatency implements control.Metrics.
func (c controlMetrics) CommitLatency(time.Duration) {}

// SnapshotTaken implements control.Metrics.
func (c controlMetrics) SnapshotTaken(bytes int, took time.Duration) {
	c.log.Info("snapshot taken", "bytes", bytes, "took", took)
}

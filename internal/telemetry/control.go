package telemetry

import (
	"log/slog"
	"time"
)

// ControlMetrics implements control.Metrics: it records the measurements of a
// control role as metrics and log lines.
type ControlMetrics struct {
	Metrics *Metrics
	Log     *slog.Logger
	// Self returns the member identifier of this VM.
	Self func() uint64
}

// LeaderChanged implements control.Metrics.
func (c ControlMetrics) LeaderChanged(term, leader uint64) {
	if leader != 0 {
		c.Metrics.Election()
	}
	c.Metrics.Leader(leader != 0 && leader == c.Self())
	c.Log.Info("leader changed", "term", term, "leader", leader)
}

// LogSize implements control.Metrics.
func (c ControlMetrics) LogSize(entries uint64, bytes int) { c.Metrics.LogSize(int64(bytes), entries) }

// CommitLatency implements control.Metrics.
func (c ControlMetrics) CommitLatency(time.Duration) {}

// SnapshotTaken implements control.Metrics.
func (c ControlMetrics) SnapshotTaken(bytes int, took time.Duration) {
	c.Log.Info("snapshot taken", "bytes", bytes, "took", took)
}

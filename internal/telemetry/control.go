package telemetry

import (
	"log/slog"
	"time"
)

// Control passes the measurements of a control role on; it implements
// control.Metrics.
type Control struct {
	Metrics *Metrics
	Log     *slog.Logger
	// Self returns the identifier of this member.
	Self func() uint64
}

// LeaderChanged implements control.Metrics.
func (c Control) LeaderChanged(term, leader uint64) {
	if leader != 0 {
		c.Metrics.Election()
	}
	c.Metrics.Leader(leader != 0 && leader == c.Self())
	c.Log.Info("leader changed", "term", term, "leader", leader)
}

// LogSize implements control.Metrics.
func (c Control) LogSize(entries uint64, bytes int) { c.Metrics.LogSize(int64(bytes), entries) }

// CommitLatency implements control.Metrics.
func (c Control) CommitLatency(time.Duration) {}

// SnapshotTaken implements control.Metrics.
func (c Control) SnapshotTaken(bytes int, took time.Duration) {
	c.Log.Info("snapshot taken", "bytes", bytes, "took", took)
}

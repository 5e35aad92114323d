package telemetry

import (
	"context"
	"log/slog"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
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

// QuorumChanged implements control.Metrics.
func (c ControlMetrics) QuorumChanged(s *peerv1.QuorumState) {
	c.Metrics.Quorum(s.GetVoters(), len(s.GetInactiveVoters()), s.GetTolerableLosses())
	level := slog.LevelInfo
	if s.GetLeading() && s.GetTolerableLosses() == 0 && s.GetVoters() > 1 {
		level = slog.LevelWarn
	}
	c.Log.Log(context.Background(), level, "quorum changed",
		"leading", s.GetLeading(), "membership_index", s.GetMembershipIndex(),
		"voters", s.GetVoters(), "learners", s.GetLearners(),
		"inactive", s.GetInactiveVoters(), "tolerable_losses", s.GetTolerableLosses())
}

// EvacuatedDataCentres implements control.Metrics.
func (c ControlMetrics) EvacuatedDataCentres(n int) { c.Metrics.EvacuatedDataCentres(n) }

// EvacuationChanged implements control.Metrics.
func (c ControlMetrics) EvacuationChanged(dataCentre string, evacuated bool, author string, version uint64) {
	c.Log.Warn("evacuation changed", "target_data_centre", dataCentre, "evacuated", evacuated, "author", author, "version", version)
}

// BootstrapRefused implements control.Metrics.
func (c ControlMetrics) BootstrapRefused(address string, err error) {
	c.Log.Warn("a seed refuses to agree on the first membership of the fleet", "seed", address, "error", err)
}

// Bootstrapped implements control.Metrics.
func (c ControlMetrics) Bootstrapped(m *statev1.Membership) {
	var vms []string
	for _, x := range m.GetMembers() {
		vms = append(vms, x.GetVm())
	}
	c.Log.Info("the first membership of the fleet is decided", "vms", vms)
}

// LogSize implements control.Metrics.
func (c ControlMetrics) LogSize(entries uint64, bytes int) { c.Metrics.LogSize(int64(bytes), entries) }

// CommitLatency implements control.Metrics.
func (c ControlMetrics) CommitLatency(time.Duration) {}

// SnapshotTaken implements control.Metrics.
func (c ControlMetrics) SnapshotTaken(bytes int, took time.Duration) {
	c.Log.Info("snapshot taken", "bytes", bytes, "took", took)
}

// Package control is the control role of a daemon. It drives the consensus
// core, the write-ahead log and the replicated state machine, performs the
// duties of the leader and answers the Fleet calls.
//
// One event loop owns core, log and machine, so none of them needs a lock. The
// loop writes and syncs the log itself; what arrives meanwhile is handled as
// one batch with one sync. Calls of other goroutines enter the loop as
// functions and wait for its answer outside.
package control

import (
	"errors"
	"io"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/wal"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// tickInterval is the heartbeat interval; an election starts after 6 to 12
	// ticks without one.
	tickInterval   = 100 * time.Millisecond
	electionTicks  = 6
	heartbeatTicks = 1

	// maxBatchBytes, maxInflight and snapshotChunk bound what is on its way to
	// one follower to about 16 MiB.
	maxBatchBytes = 1 << 20
	maxInflight   = 16
	snapshotChunk = 1 << 20

	// snapshotEntries and snapshotBytes bound the log that a restart replays.
	snapshotEntries = 4096
	snapshotBytes   = 8 << 20

	// syncWindow is how long a leader collects syncs of entries for one command.
	syncWindow = 20 * time.Millisecond
	// maxSyncBatch bounds the syncs in one command.
	maxSyncBatch = 512

	stampInterval = time.Second
	// readRetry is how long a read waits for its confirmation before it asks
	// again: the request or its answer may be lost.
	readRetry = 300 * time.Millisecond

	// callTimeout bounds every call, so that none outlives its caller for long.
	callTimeout = 5 * time.Second
	// maxHold is the longest time for which a Sync is held open.
	maxHold = time.Second
	// freshnessLease is how long an entry trusts an answered Sync, from the time
	// at which it sent the call.
	freshnessLease = 4 * time.Second

	// maxMembers bounds the members: the 9 control VMs of the users' grown
	// deployments, each third of which may be replaced at the same time.
	maxMembers = 12

	// joinInterval is the pause between requests to join.
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 3 * time.Second
	// rejoinRounds without a leader make a member ask its peers again.
	rejoinRounds = 6

	// removeAfter is how long a voter may be silent before it is removed, if more
	// than keepVoters vote.
	removeAfter = 8 * time.Second
	keepVoters  = 5

	// formTimeout is how long a leader refuses changes while fewer than MinVoters
	// vote. A VM that never starts must not keep the fleet from its first
	// configuration: users' traffic begins 10 s after the VMs.
	formTimeout = 4 * time.Second
)

// Clock is the source of time.
type Clock interface {
	// Now returns a monotonic time since an arbitrary moment.
	Now() time.Duration
	// Wall returns the wall clock, which is recorded but not relied on.
	Wall() time.Time
}

// Metrics receives what the control role measures. Calls come from the event
// loop and must not block.
type Metrics interface {
	// LeaderChanged reports a new leader, or zero if none is known any more.
	LeaderChanged(term, leader uint64)
	// LogSize reports the entries and bytes applied since the last snapshot.
	LogSize(entries uint64, bytes int)
	// CommitLatency reports the time from a proposal to its application.
	CommitLatency(d time.Duration)
	// SnapshotTaken reports a snapshot of the state machine.
	SnapshotTaken(bytes int, d time.Duration)
}

// Config holds what a Server needs.
type Config struct {
	// Dir is the data folder on FS.
	Dir string
	FS  wal.FS
	// Member describes this VM; its ID is set from the data folder.
	Member *statev1.Member
	// Peers are the control VMs from the settings. Only their addresses are
	// needed.
	Peers []*statev1.Member
	// Bootstrap allows the first of Peers to start a new fleet, if its folder is
	// empty and none of the other peers belongs to a fleet.
	Bootstrap bool
	// MinVoters is how many members must vote before a change is acknowledged:
	// with fewer, the loss of the disks that the fleet must bear could lose it.
	// Zero asks for none.
	MinVoters int
	// Replaces is the member that this one replaces when it joins. If it is zero,
	// a member with the same VM name is replaced.
	Replaces  uint64
	Transport Transport
	// Clock is the system's clock if it is nil.
	Clock Clock
	// Rand returns a number in [0, n); it is math/rand's if nil.
	Rand func(n int) int
	// Random is the source of the member's identifier; nil means crypto/rand.
	Random io.Reader
	// Metrics may be nil.
	Metrics Metrics
	// ObserveDemand receives the load that entries report to the leader. It may be nil
	// and must not block.
	ObserveDemand func(session *statev1.Session, demand []*peerv1.ModelDemand)
}

var (
	errNoTransport = errors.New("control: no transport")
	errNoMember    = errors.New("control: the member needs a VM name and an address")
)

func (c *Config) check() error {
	if c.Transport == nil {
		return errNoTransport
	}
	if c.Member.GetVm() == "" || c.Member.GetAddress() == "" {
		return errNoMember
	}
	return nil
}

type noMetrics struct{}

func (noMetrics) LeaderChanged(uint64, uint64)     {}
func (noMetrics) LogSize(uint64, int)              {}
func (noMetrics) CommitLatency(time.Duration)      {}
func (noMetrics) SnapshotTaken(int, time.Duration) {}

// systemClock reads the clocks of the operating system.
type systemClock struct{ start time.Time }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }

// Wall implements Clock.
func (systemClock) Wall() time.Time { return time.Now() }

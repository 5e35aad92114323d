// Package control implements the control role of a daemon. It drives the
// consensus core, the write-ahead log and the replicated state machine, performs
// the leader's tasks and serves the Fleet RPCs.
//
// One event loop owns the core, the log and the state machine, so none of them
// needs a lock. The loop writes and syncs the log itself; calls that arrive
// during a sync are handled as one batch with one further sync. Other goroutines
// post functions to the loop and wait for the reply.
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
	// tickInterval is also the heartbeat interval. A follower starts an election
	// after 6 to 12 ticks without a heartbeat.
	tickInterval   = 100 * time.Millisecond
	electionTicks  = 6
	heartbeatTicks = 1

	// maxBatchBytes, maxInflightAppends and snapshotChunkBytes limit the data in
	// flight to one follower to about 16 MiB.
	maxBatchBytes      = 1 << 20
	maxInflightAppends = 16
	snapshotChunkBytes = 1 << 20

	// snapshotEntries and snapshotBytes limit the log that is replayed after a
	// restart: a snapshot is taken when either is reached.
	snapshotEntries = 4096
	snapshotBytes   = 8 << 20

	// syncWindow is how long a leader collects Sync calls of entries for one
	// command.
	syncWindow = 20 * time.Millisecond
	// maxSyncBatch is the largest number of Sync calls in one command.
	maxSyncBatch = 512

	// stampInterval is the longest time between two commands of a leader. An idle
	// leader proposes a Stamp command, which only advances the fleet time.
	stampInterval = time.Second
	// readRetryInterval is how long a read waits for its confirmation before the
	// request is repeated: the request or its response may be lost.
	readRetryInterval = 300 * time.Millisecond

	// callTimeout limits every call, so that it does not run much longer than its
	// caller waits.
	callTimeout = 5 * time.Second
	// maxLongPoll is the longest time for which a Sync waits for a change.
	maxLongPoll = time.Second
	// freshnessLease is how long an entry may use the state from a Sync response,
	// counted from the time at which it sent the call.
	freshnessLease = 4 * time.Second

	// maxMembers limits the membership. The users' largest deployments have 9
	// control VMs, and a third of them may be replaced at the same time.
	maxMembers = 12

	// joinInterval is the pause between two rounds of join requests.
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 3 * time.Second
	// bootstrapInterval is the shortest pause between two attempts of a seed to agree
	// on the first membership, bootstrapTimeout the longest time of one.
	bootstrapInterval = 200 * time.Millisecond
	bootstrapTimeout  = time.Second
	// bootstrapTakeover is how much later than the seed before it, in the order of
	// their addresses, a seed makes its first attempt: attempts at the same time
	// prevent each other.
	bootstrapTakeover = time.Second
	// bootstrapPatience is the time since its start in which a seed waits for the
	// promises of all seeds. From then on a majority is enough.
	bootstrapPatience = 1500 * time.Millisecond
	// bootstrapGrace is how long an attempt then waits for further promises.
	bootstrapGrace = 200 * time.Millisecond

	// rejoinRounds is the number of rounds without a known leader after which a
	// member sends join requests again.
	rejoinRounds = 6

	// voterRemovalDelay is how long a member may be inactive before it is removed,
	// so that a restart or a short partition does not cost a voter its place.
	voterRemovalDelay = 8 * time.Second
	// urgentRemovalDelay applies while the fleet bears fewer losses than it must,
	// or has no room for a new member.
	urgentRemovalDelay = time.Second
	// minRemainingVoters is the number of voters that stay if Config.MinVoters does
	// not say it. With fewer than smallestFleet, one loss leaves no majority.
	minRemainingVoters = 5
	smallestFleet      = 3

	// formationTimeout is how long a leader refuses changes while the fleet has
	// fewer than MinVoters voters. A VM that never starts must not block the first
	// configuration of the fleet: users send traffic 10 s after the VMs start.
	formationTimeout = 4 * time.Second
)

// Clock is the source of time.
type Clock interface {
	// Now returns the monotonic time since an arbitrary moment.
	Now() time.Duration
	// Wall returns the wall-clock time, which is recorded but decides nothing.
	Wall() time.Time
}

// Metrics receives the measurements of the control role. Its methods are called
// from the event loop and must not block.
type Metrics interface {
	// LeaderChanged reports a new term or leader. The leader is zero if none is
	// known.
	LeaderChanged(term, leader uint64)
	// LogSize reports the log entries and bytes applied since the last snapshot.
	LogSize(entries uint64, bytes int)
	// QuorumChanged reports the members in this member's log and, on the leader,
	// which of them are inactive. It is called after each change.
	QuorumChanged(s *peerv1.QuorumState)
	// EvacuatedDataCentres reports the number of evacuated data centres after each change.
	EvacuatedDataCentres(n int)
	// EvacuationChanged reports, on the leader, that an operator began or ended the
	// evacuation of a data centre.
	EvacuationChanged(dataCentre string, evacuated bool, author string, version uint64)
	// BootstrapRefused reports that a seed refuses to agree with this VM on the first
	// membership of a fleet.
	BootstrapRefused(address string, err error)
	// Bootstrapped reports the first membership of the fleet, once it is decided.
	Bootstrapped(m *statev1.Membership)
	// CommitLatency reports the time from the proposal of a command until it is
	// applied.
	CommitLatency(d time.Duration)
	// SnapshotTaken reports the size and duration of a snapshot of the state
	// machine.
	SnapshotTaken(bytes int, d time.Duration)
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Dir is the data folder in FS.
	Dir string
	FS  wal.FS
	// Member describes this VM. Its ID is read from the data folder.
	Member *statev1.Member
	// Peers are the control VMs from the settings. Only their addresses are
	// used.
	Peers []*statev1.Member
	// Bootstrap says that all VMs start for the first time, with empty data folders.
	// The VMs at the addresses of Peers, in any order, then agree on the first
	// membership of a fleet; without Peers, this VM founds one alone. It is ignored
	// once the data folder holds a log, and must not be set for a VM that has lost its
	// data folder.
	Bootstrap bool
	// MinVoters is the number of voters that a forming fleet needs before it
	// acknowledges a change, and below which no inactive voter is removed. With
	// fewer, losing as many disks as the fleet must tolerate, a minority of
	// MinVoters, could lose an acknowledged change. Zero disables the check of a
	// forming fleet.
	MinVoters int
	// Replaces is the identifier of the member that this one replaces when it
	// joins. If it is zero, a member with the same VM name is replaced.
	Replaces  uint64
	Transport Transport
	// Clock defaults to the clock of the operating system.
	Clock Clock
	// Rand returns a number in [0, n). It defaults to math/rand/v2.IntN.
	Rand func(n int) int
	// IDSource supplies the random bytes of the member's identifier. It defaults
	// to crypto/rand.
	IDSource io.Reader
	// Metrics may be nil.
	Metrics Metrics
	// ObserveDemand receives the load that entries report to the leader. It may
	// be nil and must not block.
	ObserveDemand func(session *statev1.Session, demand []*peerv1.ModelDemand)
}

var (
	errNoTransport = errors.New("control: Config.Transport is nil")
	errNoMember    = errors.New("control: Config.Member needs a VM name and an address")
)

func (c *Config) validate() error {
	if c.Transport == nil {
		return errNoTransport
	}
	if c.Member.GetVm() == "" || c.Member.GetAddress() == "" {
		return errNoMember
	}
	return nil
}

type noMetrics struct{}

func (noMetrics) LeaderChanged(uint64, uint64)      {}
func (noMetrics) LogSize(uint64, int)               {}
func (noMetrics) QuorumChanged(*peerv1.QuorumState) {}
func (noMetrics) EvacuatedDataCentres(int)          {}
func (noMetrics) CommitLatency(time.Duration)       {}
func (noMetrics) SnapshotTaken(int, time.Duration)  {}
func (noMetrics) BootstrapRefused(string, error)    {}

func (noMetrics) Bootstrapped(*statev1.Membership) {}

func (noMetrics) EvacuationChanged(string, bool, string, uint64) {}

// systemClock reads the clocks of the operating system.
type systemClock struct{ start time.Time }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }

// Wall implements Clock.
func (systemClock) Wall() time.Time { return time.Now() }

package control

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/raft"
	"github.com/radishloom/radishloom/internal/state/wal"
)

// faults switches on deliberate errors. Tests set them to prove that they detect
// such errors.
type faults struct {
	// unconfirmedReads answers reads from local state without confirmation.
	unconfirmedReads bool
	// answerEarly answers a proposal before it is committed.
	answerEarly bool
	// wallFleetTime takes the fleet time from the wall clock.
	wallFleetTime bool
}

// pendingProposal is a proposal that is not applied yet.
type pendingProposal struct {
	term    uint64
	started time.Duration
	done    func(*statev1.Result, error)
}

// deferredProposal is a proposal that arrived before this leader applied its
// first entry. It is proposed once that entry is applied.
type deferredProposal struct {
	command *statev1.Command
	done    func(*statev1.Result, error)
}

// loop is the deterministic part of the control role. It is used by one
// goroutine and runs its callbacks on that goroutine, so they must not block.
type loop struct {
	cfg     Config
	core    *raft.Core
	log     *wal.Log
	machine *fleet.Machine
	member  *statev1.Member
	// bootstrap is the record of a seed of a first start, which is never modified in
	// place; nil at other VMs.
	bootstrap *statev1.BootstrapRecord

	status raft.Status
	// applied is the index of the last entry that the state machine applied. The
	// core may be behind it after the log was reopened.
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int
	snapshotRunning    bool              // a snapshot is being encoded in the background
	unsavedSnapshot    *statev1.Snapshot // a snapshot that could not be saved on a full disk
	unsavedRetryAt     time.Duration

	// startedTerm is the latest term of which this member, as leader, has applied
	// the first entry. In this term, the fleet time is fleetTimeBase plus the local
	// time since fleetTimeStart. It is not valid in other terms.
	startedTerm    uint64
	fleetTimeBase  uint64
	fleetTimeStart time.Duration
	lastStamp      time.Duration

	pending      map[uint64]pendingProposal
	deferred     []deferredProposal
	reads        readTable
	pendingSyncs []pendingSync
	syncDue      time.Duration

	// knownMembers are the members that a JoinResponse named. A joining member
	// needs their addresses, since its own log does not name them yet.
	knownMembers map[uint64]*statev1.Member
	// roundsWithoutLeader is the number of calls of mustJoin since a leader was
	// known.
	roundsWithoutLeader int
	// reportedQuorum is the state that Metrics was last told.
	reportedQuorum *peerv1.QuorumState
	// reportedEvacuations is the version of the evacuations that Metrics was last told.
	reportedEvacuations uint64
	diskFull            bool
	residency           residency
	faults              faults
	// fatal is set by callbacks to an error after which the daemon must exit.
	fatal error
	// snapshotEntries is the constant of the same name; tests set a lower value.
	snapshotEntries uint64
	// background runs work, possibly in another goroutine, and then calls done in
	// the loop.
	background func(work, done func())
}

// newLoop opens the data folder and restores the state from the log in it.
func newLoop(cfg Config) (*loop, error) {
	l := &loop{
		cfg:          cfg,
		machine:      fleet.New(),
		pending:      map[uint64]pendingProposal{},
		reads:        newReadTable(),
		knownMembers: map[uint64]*statev1.Member{},

		snapshotEntries: snapshotEntries,
		background:      func(work, done func()) { work(); done() },
	}
	recovered, err := l.open()
	if err != nil {
		return nil, err
	}
	l.member = proto.CloneOf(cfg.Member)
	l.member.Id = recovered.MemberID
	if s := recovered.Snapshot; s != nil {
		if err := l.restore(s); err != nil {
			return nil, errors.Join(err, l.log.Close())
		}
	}
	if err := l.openBootstrap(recovered); err != nil {
		return nil, errors.Join(err, l.log.Close())
	}
	return l, nil
}

// open opens the log and creates a core from its contents.
func (l *loop) open() (*wal.Recovered, error) {
	log, recovered, err := wal.Open(l.cfg.FS, l.cfg.Dir, wal.Options{Random: l.cfg.IDSource})
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	core, err := raft.New(l.raftConfig(recovered.MemberID), recovered.HardState, recovered.Snapshot, recovered.Entries)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("restore the consensus state from the data folder: %w", err), log.Close())
	}
	l.log, l.core = log, core
	l.status = core.Status()
	return recovered, nil
}

func (l *loop) raftConfig(id uint64) raft.Config {
	return raft.Config{
		ID:                 id,
		ElectionTicks:      electionTicks,
		HeartbeatTicks:     heartbeatTicks,
		Rand:               l.cfg.Rand,
		MaxBatchBytes:      maxBatchBytes,
		MaxInflightAppends: maxInflightAppends,
		SnapshotChunkBytes: snapshotChunkBytes,
	}
}

func (l *loop) restore(s *statev1.Snapshot) error {
	if err := l.machine.Restore(s.GetData()); err != nil {
		return fmt.Errorf("restore the snapshot at log index %d: %w", s.GetIndex(), err)
	}
	l.applied = s.GetIndex()
	l.snapshotIndex = s.GetIndex()
	l.bytesSinceSnapshot = 0
	return nil
}

// step passes messages of other members to the core. It returns an error only if
// the core detects that this member lost its log; the core drops other invalid
// messages.
func (l *loop) step(messages []*statev1.Message) error {
	for _, m := range messages {
		if err := l.core.Step(m); errors.Is(err, raft.ErrLogLost) {
			return err
		}
	}
	return nil
}

// tick must be called once per tickInterval.
func (l *loop) tick() {
	l.core.Tick()
	now := l.cfg.Clock.Now()
	if l.leading() && now-l.lastStamp >= stampInterval {
		l.propose(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}, func(*statev1.Result, error) {})
	}
	l.retryReads(now)
	l.retrySnapshotSave(now)
	l.removeInactiveMember()
	l.reportQuorum()
}

// handleAllReady handles the pending work of the Raft core until none is left or the
// log was reopened, and proposes the batches of syncs that are due. After an error,
// the daemon must exit.
func (l *loop) handleAllReady() error {
	l.flushSyncs()
	for l.core.HasReady() {
		core := l.core
		if err := l.handleReady(core.Ready()); err != nil {
			return err
		}
		l.refreshStatus()
		l.flushSyncs()
		if l.core != core {
			break // the disk is full, and the restarted core may have something to save
		}
	}
	l.refreshStatus()
	return l.fatal
}

// handleReady persists r, sends its messages, applies its committed entries and
// advances the core, in this order. If the disk is full, the core is restarted
// from the state on disk. No message of r was sent in that case, so entries that
// are not on disk can never be committed.
func (l *loop) handleReady(r raft.Ready) error {
	err := l.persist(r)
	if errors.Is(err, wal.ErrDiskFull) {
		return l.reopen()
	}
	if err != nil {
		return fmt.Errorf("persist the log: %w", err)
	}
	l.send(r.Messages)
	for _, e := range r.Committed {
		if err := l.apply(e); err != nil {
			return err
		}
	}
	l.core.Advance(r)
	l.confirmReads(r.ReadStates)
	return l.maybeSnapshot()
}

func (l *loop) persist(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := l.log.SaveSnapshot(r.Snapshot); err != nil {
			return err
		}
		l.unsavedSnapshot = nil
		// After the log was reopened, the state machine can be ahead of the core.
		if r.Snapshot.GetIndex() > l.applied {
			if err := l.restore(r.Snapshot); err != nil {
				return err
			}
		}
		l.failPending(func(index uint64) bool { return index <= l.applied }, unconfirmed("a snapshot replaced the log before the change was confirmed"))
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	if err := l.log.Append(r.HardState, r.Entries); err != nil {
		return err
	}
	l.diskFull = false
	return nil
}

// reopen restarts the core from the state on disk after the disk was full. The
// applied state in memory is kept, since it consists of committed entries.
func (l *loop) reopen() error {
	l.diskFull = true
	recovered, err := l.restart()
	if err != nil {
		return err
	}
	last := recovered.Snapshot.GetIndex() + uint64(len(recovered.Entries))
	l.failPending(func(index uint64) bool { return index > last }, l.diskFullError())
	l.failReads()
	return nil
}

// restart creates the core anew from the state on disk.
func (l *loop) restart() (*wal.Recovered, error) {
	if err := l.log.Close(); err != nil {
		return nil, fmt.Errorf("close the log: %w", err)
	}
	return l.open()
}

// failPending fails the pending proposals whose index satisfies drop, in the
// order of their indexes.
func (l *loop) failPending(drop func(index uint64) bool, err error) {
	var dropped []uint64
	for index := range l.pending {
		if drop(index) {
			dropped = append(dropped, index)
		}
	}
	for _, index := range sorted(dropped) {
		p := l.pending[index]
		delete(l.pending, index)
		p.done(nil, err)
	}
}

// addPending registers a proposal. An older proposal at the same index is from an
// earlier term. The index alone can no longer tell the two apart, so the older one
// is failed as unconfirmed.
func (l *loop) addPending(index, term uint64, done func(*statev1.Result, error)) {
	if old, ok := l.pending[index]; ok {
		old.done(nil, unconfirmed("the leader changed before the change was confirmed"))
	}
	l.pending[index] = pendingProposal{term: term, started: l.cfg.Clock.Now(), done: done}
}

// send groups the messages by recipient and sends them. Messages to members with
// an unknown address are dropped.
func (l *loop) send(messages []*statev1.Message) {
	var order []uint64
	groups := map[uint64][]*statev1.Message{}
	for _, m := range messages {
		if groups[m.GetTo()] == nil {
			order = append(order, m.GetTo())
		}
		groups[m.GetTo()] = append(groups[m.GetTo()], m)
	}
	for _, id := range order {
		if to := l.lookup(id); to != nil {
			l.cfg.Transport.Send(to, groups[id])
		}
	}
}

// lookup returns the member with the identifier, or nil if it is not known.
func (l *loop) lookup(id uint64) *statev1.Member {
	if m := findMember(l.core.Status().Membership, id); m != nil {
		return m
	}
	return l.knownMembers[id]
}

func findMember(m *statev1.Membership, id uint64) *statev1.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

// apply applies one committed entry to the state machine and passes the result
// to the proposer.
func (l *loop) apply(e *statev1.LogEntry) error {
	var result *statev1.Result
	if e.GetIndex() > l.applied {
		if e.GetType() == statev1.EntryType_ENTRY_TYPE_NORMAL && len(e.GetData()) != 0 {
			c := &statev1.Command{}
			if err := proto.Unmarshal(e.GetData(), c); err != nil {
				return fmt.Errorf("decode the committed entry %d: %w", e.GetIndex(), err)
			}
			evacuationsBefore := l.machine.EvacuationsVersion()
			result = l.machine.Apply(e.GetIndex(), c)
			l.reportEvacuationOrder(c, evacuationsBefore)
		}
		l.applied = e.GetIndex()
		l.bytesSinceSnapshot += len(e.GetData())
	}
	if e.GetTerm() != l.startedTerm {
		l.beginTerm(e)
	}
	p, ok := l.pending[e.GetIndex()]
	if !ok {
		return nil
	}
	delete(l.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.done(nil, unconfirmed("another leader replaced the log entry of the change"))
		return nil
	}
	l.cfg.Metrics.CommitLatency(l.cfg.Clock.Now() - p.started)
	p.done(result, nil)
	return nil
}

// beginTerm starts the fleet time of a new leader when it applies the first entry
// of its term. By then it has applied all commands that earlier leaders stamped.
func (l *loop) beginTerm(e *statev1.LogEntry) {
	s := l.core.Status()
	if s.Role != raft.Leader || s.Term != e.GetTerm() {
		return
	}
	l.startedTerm = s.Term
	l.fleetTimeBase = l.machine.FleetTime()
	l.fleetTimeStart = l.cfg.Clock.Now()
	l.lastStamp = l.fleetTimeStart
	l.status = s
	l.propose(&statev1.Command{Op: &statev1.Command_TakeOwnership{
		TakeOwnership: &statev1.TakeOwnership{Owner: l.member.GetId()},
	}}, func(*statev1.Result, error) {})
	deferred := l.deferred
	l.deferred = nil
	for _, p := range deferred {
		l.propose(p.command, p.done)
	}
}

// refreshStatus reads the status of the core. If this member does not lead, it
// fails the work that only a leader can do.
func (l *loop) refreshStatus() {
	old := l.status
	l.status = l.core.Status()
	if l.status.Leader != old.Leader || l.status.Term != old.Term {
		l.cfg.Metrics.LeaderChanged(l.status.Term, l.status.Leader)
	}
	if l.status.Role == raft.Leader {
		return
	}
	deferred, syncs := l.deferred, l.pendingSyncs
	l.deferred, l.pendingSyncs = nil, nil
	for _, p := range deferred {
		l.refuseNotLeading(l.status.Leader, p.done)
	}
	for _, s := range syncs {
		s.done(nil, &notLeaderError{leader: l.status.Leader})
	}
}

// leading reports whether this member leads and has applied the first entry of
// its term, so that it may stamp commands.
func (l *loop) leading() bool {
	return l.status.Role == raft.Leader && l.startedTerm == l.status.Term
}

// fleetTime returns the current fleet time in milliseconds. It is valid on a
// leader only.
func (l *loop) fleetTime() uint64 {
	if l.faults.wallFleetTime {
		return uint64(l.cfg.Clock.Wall().UnixMilli())
	}
	return l.fleetTimeBase + uint64((l.cfg.Clock.Now()-l.fleetTimeStart)/time.Millisecond)
}

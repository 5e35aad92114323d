package control

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/raft"
	"github.com/radishloom/radishloom/internal/state/wal"
)

// faults are deliberately wrong rules. Tests set them to show that they notice
// the difference.
type faults struct {
	// unconfirmedReads answers reads from local state.
	unconfirmedReads bool
	// answerEarly answers a proposal before it is committed.
	answerEarly bool
	// wallFleetTime stamps commands with the wall clock.
	wallFleetTime bool
}

// waiter is a proposal that is not committed yet.
type waiter struct {
	term    uint64
	started time.Duration
	done    func(*statev1.Result, error)
}

// earlyProposal came before this leader applied its first entry.
type earlyProposal struct {
	command *statev1.Command
	done    func(*statev1.Result, error)
}

// loop is the deterministic part of the control role. It is driven by one
// goroutine and calls back into it. Callbacks must not block.
type loop struct {
	cfg     Config
	core    *raft.Core
	log     *wal.Log
	machine *fleet.Machine
	member  *statev1.Member
	// hasLog says that the folder held a log when it was opened.
	hasLog bool

	status raft.Status
	// applied is the index up to which the machine is; the core may be behind
	// after the log was opened again.
	applied      uint64
	snapshotAt   uint64
	bytesSince   int
	encoding     bool              // a snapshot is being encoded
	unsaved      *statev1.Snapshot // a snapshot that found the disk full
	unsavedRetry time.Duration

	// Fleet time runs from base on since the time since, in readyTerm only.
	readyTerm uint64
	base      uint64
	since     time.Duration
	lastStamp time.Duration

	waiters map[uint64]waiter
	early   []earlyProposal
	reads   readTable
	syncs   []pendingSync
	syncDue time.Duration

	// contacts are members that a JoinResponse named, for a member whose own log
	// does not name them yet.
	contacts map[uint64]*statev1.Member
	// lostSince is when the leader last heard of voters that do not answer.
	lostSince map[uint64]time.Duration
	diskFull  bool
	residency residency
	faults    faults
	// fatal is an error after which the process must stop.
	fatal error
	// snapshotEntries is the constant of that name, but for tests.
	snapshotEntries uint64
	// background runs work elsewhere and then calls done in the loop.
	background func(work, done func())
}

// newLoop opens the data folder and restores the state from it.
func newLoop(cfg Config) (*loop, error) {
	l := &loop{
		cfg:      cfg,
		machine:  fleet.New(),
		waiters:  map[uint64]waiter{},
		reads:    newReadTable(),
		contacts: map[uint64]*statev1.Member{},

		snapshotEntries: snapshotEntries,
		background:      func(work, done func()) { work(); done() },
	}
	recovered, err := l.open()
	if err != nil {
		return nil, err
	}
	l.hasLog = recovered.HardState != nil || recovered.Snapshot != nil || len(recovered.Entries) != 0
	l.member = proto.CloneOf(cfg.Member)
	l.member.Id = recovered.MemberID
	if s := recovered.Snapshot; s != nil {
		if err := l.restore(s); err != nil {
			return nil, errors.Join(err, l.log.Close())
		}
	}
	return l, nil
}

// open opens the log and makes a core from what it holds.
func (l *loop) open() (*wal.Recovered, error) {
	log, recovered, err := wal.Open(l.cfg.FS, l.cfg.Dir, wal.Options{Random: l.cfg.Random})
	if err != nil {
		return nil, fmt.Errorf("open the data folder: %w", err)
	}
	core, err := raft.New(l.raftConfig(recovered.MemberID), recovered.HardState, recovered.Snapshot, recovered.Entries)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start from the data folder: %w", err), log.Close())
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
		MaxInflightAppends: maxInflight,
		SnapshotChunkBytes: snapshotChunk,
	}
}

func (l *loop) restore(s *statev1.Snapshot) error {
	if err := l.machine.Restore(s.GetData()); err != nil {
		return fmt.Errorf("restore the snapshot at %d: %w", s.GetIndex(), err)
	}
	l.applied = s.GetIndex()
	l.snapshotAt = s.GetIndex()
	l.bytesSince = 0
	return nil
}

// bootstrap starts a fleet with this member alone. The folder must be empty.
func (l *loop) bootstrap() error {
	if l.hasLog || l.core.Status().LastIndex != 0 {
		return nil
	}
	data, err := l.machine.Snapshot()
	if err != nil {
		return err
	}
	s, err := raft.Bootstrap([]*statev1.Member{l.member}, data)
	if err != nil {
		return err
	}
	if err := l.log.SaveSnapshot(s); err != nil {
		return fmt.Errorf("save the first snapshot: %w", err)
	}
	core, err := raft.New(l.raftConfig(l.member.GetId()), nil, s, nil)
	if err != nil {
		return err
	}
	l.core = core
	l.hasLog = true
	l.status = core.Status()
	return l.restore(s)
}

// step takes messages of other members. Only a lost log is an error.
func (l *loop) step(messages []*statev1.Message) error {
	for _, m := range messages {
		if err := l.core.Step(m); errors.Is(err, raft.ErrLogLost) {
			return err
		}
	}
	return nil
}

// tick is called once for each tickInterval.
func (l *loop) tick() {
	l.core.Tick()
	now := l.cfg.Clock.Now()
	if l.leading() && now-l.lastStamp >= stampInterval {
		l.propose(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}, func(*statev1.Result, error) {})
	}
	l.retryReads(now)
	l.retryUnsaved(now)
	l.removeLost(now)
}

// process carries out all pending work of the core. An error ends the process.
func (l *loop) process() error {
	l.flushSyncs()
	for l.core.HasReady() {
		if err := l.handle(l.core.Ready()); err != nil {
			return err
		}
		l.refresh()
		l.flushSyncs()
	}
	l.refresh()
	return l.fatal
}

// handle persists, sends, applies and advances, in this order. If the disk is
// full, the core starts again from what is on disk: nothing of r was sent, so
// entries that are not there will never be committed.
func (l *loop) handle(r raft.Ready) error {
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
		l.unsaved = nil
		// After the log was opened again, the machine can be ahead of the core.
		if r.Snapshot.GetIndex() > l.applied {
			if err := l.restore(r.Snapshot); err != nil {
				return err
			}
		}
		l.dropWaiters(func(index uint64) bool { return index <= l.applied }, unconfirmed("the log was replaced by a snapshot"))
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

// reopen drops everything in memory that is not on disk, except the applied
// state, which consists of committed entries.
func (l *loop) reopen() error {
	l.diskFull = true
	if err := l.log.Close(); err != nil {
		return fmt.Errorf("close the log on a full disk: %w", err)
	}
	recovered, err := l.open()
	if err != nil {
		return err
	}
	last := recovered.Snapshot.GetIndex() + uint64(len(recovered.Entries))
	l.dropWaiters(func(index uint64) bool { return index > last }, resultcode.New(resultcode.DiskFull, "the disk of %s is full", l.member.GetVm()))
	l.failReads()
	return nil
}

// dropWaiters answers the proposals at the chosen indexes with an error, in the
// order of their indexes.
func (l *loop) dropWaiters(drop func(index uint64) bool, err error) {
	var dropped []uint64
	for index := range l.waiters {
		if drop(index) {
			dropped = append(dropped, index)
		}
	}
	for _, index := range sortedIndexes(dropped) {
		w := l.waiters[index]
		delete(l.waiters, index)
		w.done(nil, err)
	}
}

// await registers a proposal. A proposal of an earlier term at the same index
// can no longer be told from its replacement by index alone.
func (l *loop) await(index, term uint64, done func(*statev1.Result, error)) {
	if old, ok := l.waiters[index]; ok {
		old.done(nil, unconfirmed("the leader changed"))
	}
	l.waiters[index] = waiter{term: term, started: l.cfg.Clock.Now(), done: done}
}

// send groups messages by receiver and drops those to unknown members.
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

// lookup returns a member by its identifier, or nil.
func (l *loop) lookup(id uint64) *statev1.Member {
	if m := findMember(l.core.Status().Membership, id); m != nil {
		return m
	}
	return l.contacts[id]
}

func findMember(m *statev1.Membership, id uint64) *statev1.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

// apply brings one committed entry into the machine and answers its proposer.
func (l *loop) apply(e *statev1.LogEntry) error {
	var result *statev1.Result
	if e.GetIndex() > l.applied {
		if e.GetType() == statev1.EntryType_ENTRY_TYPE_NORMAL && len(e.GetData()) != 0 {
			c := &statev1.Command{}
			if err := proto.Unmarshal(e.GetData(), c); err != nil {
				return fmt.Errorf("decode the committed entry %d: %w", e.GetIndex(), err)
			}
			result = l.machine.Apply(e.GetIndex(), c)
		}
		l.applied = e.GetIndex()
		l.bytesSince += len(e.GetData())
	}
	if e.GetTerm() != l.readyTerm {
		l.beginTerm(e)
	}
	w, ok := l.waiters[e.GetIndex()]
	if !ok {
		return nil
	}
	delete(l.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		w.done(nil, unconfirmed("another leader replaced the entry"))
		return nil
	}
	l.cfg.Metrics.CommitLatency(l.cfg.Clock.Now() - w.started)
	w.done(result, nil)
	return nil
}

// beginTerm starts the fleet time of a leader when it applies its first entry:
// by then it has applied everything that earlier leaders stamped.
func (l *loop) beginTerm(e *statev1.LogEntry) {
	s := l.core.Status()
	if s.Role != raft.Leader || s.Term != e.GetTerm() {
		return
	}
	l.readyTerm = s.Term
	l.base = l.machine.FleetTime()
	l.since = l.cfg.Clock.Now()
	l.lastStamp = l.since
	l.status = s
	l.propose(&statev1.Command{Op: &statev1.Command_TakeOwnership{
		TakeOwnership: &statev1.TakeOwnership{Owner: l.member.GetId()},
	}}, func(*statev1.Result, error) {})
	early := l.early
	l.early = nil
	for _, p := range early {
		l.propose(p.command, p.done)
	}
}

// refresh takes over the core's state and gives up what only a leader can do.
func (l *loop) refresh() {
	old := l.status
	l.status = l.core.Status()
	if l.status.Leader != old.Leader || l.status.Term != old.Term {
		l.cfg.Metrics.LeaderChanged(l.status.Term, l.status.Leader)
	}
	if l.status.Role == raft.Leader {
		return
	}
	early, syncs := l.early, l.syncs
	l.early, l.syncs = nil, nil
	for _, p := range early {
		l.refuseNotLeading(l.status.Leader, p.done)
	}
	for _, s := range syncs {
		s.done(nil, &notLeaderError{leader: l.status.Leader})
	}
}

// leading reports whether this member leads and may stamp commands.
func (l *loop) leading() bool {
	return l.status.Role == raft.Leader && l.readyTerm == l.status.Term
}

// fleetTime is the fleet time of a leader.
func (l *loop) fleetTime() uint64 {
	if l.faults.wallFleetTime {
		return uint64(l.cfg.Clock.Wall().UnixMilli())
	}
	return l.base + uint64((l.cfg.Clock.Now()-l.since)/time.Millisecond)
}

// maybeSnapshot compacts the log when enough was applied since the last
// snapshot. The state is encoded in the background.
func (l *loop) maybeSnapshot() error {
	entries := l.applied - l.snapshotAt
	l.cfg.Metrics.LogSize(entries, l.bytesSince)
	if l.encoding || (entries < l.snapshotEntries && l.bytesSince < snapshotBytes) {
		return nil
	}
	if l.core.Status().Applied != l.applied {
		return nil // the core catches up after the log was opened again
	}
	l.encoding = true
	index, size, started := l.applied, l.bytesSince, l.cfg.Clock.Now()
	encode := l.machine.Capture()
	var data []byte
	var err error
	l.background(func() { data, err = encode() }, func() {
		l.encoding = false
		if err == nil {
			err = l.compact(index, size, data)
		}
		if err != nil {
			l.fatal = err
			return
		}
		l.cfg.Metrics.SnapshotTaken(len(data), l.cfg.Clock.Now()-started)
	})
	return nil
}

// compact makes an encoded state the start of the log. A snapshot that was
// received meanwhile, or a log that was opened again, can make it useless.
func (l *loop) compact(index uint64, size int, data []byte) error {
	s, err := l.core.CreateSnapshot(index, data)
	if errors.Is(err, raft.ErrSnapshotIndex) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	l.snapshotAt = index
	l.bytesSince = max(0, l.bytesSince-size)
	return l.saveSnapshot(s)
}

// saveSnapshot saves a snapshot. A full disk leaves the log as it is, and the
// snapshot is saved later.
func (l *loop) saveSnapshot(s *statev1.Snapshot) error {
	err := l.log.SaveSnapshot(s)
	l.unsaved = nil
	if errors.Is(err, wal.ErrDiskFull) {
		l.unsaved = s
		l.unsavedRetry = l.cfg.Clock.Now() + time.Second
		return nil
	}
	if err != nil {
		return fmt.Errorf("save the snapshot at %d: %w", s.GetIndex(), err)
	}
	return nil
}

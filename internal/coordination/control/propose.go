package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// notLeaderError reports that nothing was proposed because this member does not
// lead. leader is zero if the leader is not known; diskFull then holds the refusal if
// the reason may be the full disk of this member.
type notLeaderError struct {
	leader   uint64
	diskFull error
}

// Error implements error.
func (e *notLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is %016x", e.leader)
}

// Unwrap gives an error of a full disk its result code.
func (e *notLeaderError) Unwrap() error { return e.diskFull }

func unconfirmed(format string, args ...any) error {
	return resultcode.New(resultcode.ChangeUnconfirmed, format, args...)
}

func noLeader(format string, args ...any) error {
	return resultcode.New(resultcode.NoLeader, format, args...)
}

func sorted(list []uint64) []uint64 {
	slices.Sort(list)
	return list
}

// propose stamps a command and appends it to the log. A leader that has not yet
// applied the first entry of its term defers the command until then. done is called
// once: with the result when the command is applied, or with an error. After a
// notLeaderError or an error with the code NoLeader or DiskFull, the command will
// never be applied.
func (l *loop) propose(c *statev1.Command, done func(*statev1.Result, error)) {
	if l.status.Role == raft.Leader && l.startedTerm != l.status.Term {
		l.deferred = append(l.deferred, deferredProposal{c, done})
		return
	}
	if !l.leading() {
		l.refuseNotLeading(l.status.Leader, done)
		return
	}
	stamped := l.stamp(c)
	data, err := proto.Marshal(stamped)
	if err != nil {
		done(nil, resultcode.Wrap(resultcode.BadRequest, err, "the command cannot be encoded as protobuf"))
		return
	}
	index, term, err := l.core.Propose(data)
	if err != nil {
		l.refuseProposal(err, done)
		return
	}
	l.lastStamp = l.cfg.Clock.Now()
	if l.faults.answerEarly {
		done(&statev1.Result{Index: index, ConfigVersion: l.machine.Config().GetVersion() + 1}, nil)
		return
	}
	l.addPending(index, term, done)
}

// submit proposes the command of a caller, but refuses it while the fleet is
// forming: a change that only the first voters hold could be acknowledged and
// then lost with one disk.
func (l *loop) submit(c *statev1.Command, done func(*statev1.Result, error)) {
	if l.forming() {
		done(nil, noLeader("the fleet is forming: it has fewer than %d voting control VMs", l.cfg.MinVoters))
		return
	}
	l.propose(c, done)
}

// forming reports whether this leader still waits for MinVoters voters. It stops
// waiting formationTimeout after its term began.
func (l *loop) forming() bool {
	if l.status.Role != raft.Leader || countVoters(l.core.Status().Membership) >= l.cfg.MinVoters {
		return false
	}
	return !l.leading() || l.cfg.Clock.Now()-l.fleetTimeStart < formationTimeout
}

func countVoters(m *statev1.Membership) int {
	n := 0
	for _, x := range m.GetMembers() {
		if !x.GetLearner() {
			n++
		}
	}
	return n
}

func (l *loop) refuseNotLeading(leader uint64, done func(*statev1.Result, error)) {
	if l.diskFull && leader == 0 {
		done(nil, &notLeaderError{diskFull: l.diskFullError()})
		return
	}
	done(nil, &notLeaderError{leader: leader})
}

func (l *loop) diskFullError() error {
	return resultcode.New(resultcode.DiskFull, "the data disk of control VM %s is full", l.member.GetVm())
}

func (l *loop) refuseProposal(err error, done func(*statev1.Result, error)) {
	var other *raft.NotLeaderError
	if errors.As(err, &other) {
		l.refuseNotLeading(other.Leader, done)
		return
	}
	done(nil, resultcode.Wrap(resultcode.NoLeader, err, "the command was not proposed"))
}

// stamp returns a copy of the command with the fleet time and the wall-clock time
// of this leader.
func (l *loop) stamp(c *statev1.Command) *statev1.Command {
	stamped := &statev1.Command{
		FleetTimeMs: l.fleetTime(),
		RequestId:   c.GetRequestId(),
		Author:      c.GetAuthor(),
		WallTimeMs:  l.cfg.Clock.Wall().UnixMilli(),
		Op:          c.GetOp(),
	}
	return stamped
}

// pendingSync is the entry's part of a Sync call that waits to be proposed in a
// batch.
type pendingSync struct {
	entry *statev1.EntrySync
	done  func(*statev1.EntrySyncResult, error)
}

// queueSync adds the sync of an entry to the next batch.
func (l *loop) queueSync(e *statev1.EntrySync, done func(*statev1.EntrySyncResult, error)) {
	if l.status.Role != raft.Leader {
		done(nil, &notLeaderError{leader: l.status.Leader})
		return
	}
	if len(l.pendingSyncs) == 0 {
		l.syncDue = l.cfg.Clock.Now() + syncWindow
	}
	l.pendingSyncs = append(l.pendingSyncs, pendingSync{e, done})
}

// syncDelay returns the time until the current batch of syncs is due. It returns
// false if there is no batch that can be proposed.
func (l *loop) syncDelay() (time.Duration, bool) {
	if len(l.pendingSyncs) == 0 || !l.leading() {
		return 0, false
	}
	return max(0, l.syncDue-l.cfg.Clock.Now()), true
}

// flushSyncs proposes the current batch of syncs if it is due or full.
func (l *loop) flushSyncs() {
	wait, ok := l.syncDelay()
	if !ok || (wait > 0 && len(l.pendingSyncs) < maxSyncBatch) {
		return
	}
	batch := l.pendingSyncs[:min(len(l.pendingSyncs), maxSyncBatch)]
	l.pendingSyncs = l.pendingSyncs[len(batch):]
	command := &statev1.SyncBatch{Entries: make([]*statev1.EntrySync, len(batch))}
	for i, s := range batch {
		command.Entries[i] = s.entry
	}
	l.propose(&statev1.Command{Op: &statev1.Command_SyncBatch{SyncBatch: command}}, func(r *statev1.Result, err error) {
		for i, s := range batch {
			if err != nil {
				s.done(nil, err)
				continue
			}
			s.done(r.GetSyncs()[i], nil)
		}
	})
}

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

// notLeaderError says that nothing was proposed because another member leads.
type notLeaderError struct{ leader uint64 }

// Error implements error.
func (e *notLeaderError) Error() string {
	return fmt.Sprintf("not the leader; the leader is %016x", e.leader)
}

func unconfirmed(format string, args ...any) error {
	return resultcode.New(resultcode.ChangeUnconfirmed, format, args...)
}

func noLeader(format string, args ...any) error {
	return resultcode.New(resultcode.NoLeader, format, args...)
}

func sortedIndexes(list []uint64) []uint64 {
	slices.Sort(list)
	return list
}

// propose stamps a command and appends it to the log. done is called once: with
// the result when the command is applied, or with an error. A notLeaderError and
// the codes NoLeader and DiskFull say that the command will never be applied.
func (l *loop) propose(c *statev1.Command, done func(*statev1.Result, error)) {
	if l.status.Role == raft.Leader && l.readyTerm != l.status.Term {
		l.early = append(l.early, earlyProposal{c, done})
		return
	}
	if !l.leading() {
		l.refuseNotLeading(l.status.Leader, done)
		return
	}
	stamped := l.stamp(c)
	data, err := proto.Marshal(stamped)
	if err != nil {
		done(nil, resultcode.Wrap(resultcode.BadRequest, err, "the command cannot be encoded"))
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
	l.await(index, term, done)
}

// submit proposes a caller's command once enough members vote. While the fleet
// forms, the first voters alone would acknowledge what the loss of one disk
// takes away again.
func (l *loop) submit(c *statev1.Command, done func(*statev1.Result, error)) {
	if l.forming() {
		done(nil, noLeader("fewer than %d control VMs vote so far", l.cfg.MinVoters))
		return
	}
	l.propose(c, done)
}

// forming reports whether this leader still waits for members to vote.
func (l *loop) forming() bool {
	if l.status.Role != raft.Leader || countVoters(l.core.Status().Membership) >= l.cfg.MinVoters {
		return false
	}
	return !l.leading() || l.cfg.Clock.Now()-l.since < formTimeout
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
		done(nil, resultcode.New(resultcode.DiskFull, "the disk of %s is full", l.member.GetVm()))
		return
	}
	done(nil, &notLeaderError{leader: leader})
}

func (l *loop) refuseProposal(err error, done func(*statev1.Result, error)) {
	var other *raft.NotLeaderError
	if errors.As(err, &other) {
		l.refuseNotLeading(other.Leader, done)
		return
	}
	done(nil, resultcode.Wrap(resultcode.NoLeader, err, "nothing was proposed"))
}

// stamp returns the command with the leader's times in it.
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

// pendingSync is an entry's part of a Sync that waits for its batch.
type pendingSync struct {
	entry *statev1.EntrySync
	done  func(*statev1.EntrySyncResult, error)
}

// syncEntry adds an entry's sync to the next batch.
func (l *loop) syncEntry(e *statev1.EntrySync, done func(*statev1.EntrySyncResult, error)) {
	if l.status.Role != raft.Leader {
		done(nil, &notLeaderError{leader: l.status.Leader})
		return
	}
	if len(l.syncs) == 0 {
		l.syncDue = l.cfg.Clock.Now() + syncWindow
	}
	l.syncs = append(l.syncs, pendingSync{e, done})
}

// untilSync returns how long the present batch may still wait, and whether
// there is one.
func (l *loop) untilSync() (time.Duration, bool) {
	if len(l.syncs) == 0 || !l.leading() {
		return 0, false
	}
	return max(0, l.syncDue-l.cfg.Clock.Now()), true
}

// flushSyncs proposes the collected syncs when their time has come.
func (l *loop) flushSyncs() {
	wait, ok := l.untilSync()
	if !ok || (wait > 0 && len(l.syncs) < maxSyncBatch) {
		return
	}
	batch := l.syncs[:min(len(l.syncs), maxSyncBatch)]
	l.syncs = l.syncs[len(batch):]
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

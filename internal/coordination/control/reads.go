package control

import (
	"errors"
	"time"

	"github.com/radishloom/radishloom/internal/state/raft"
)

// pendingRead is a linearizable read that waits for its confirmation by the leader
// or for its index to be applied.
type pendingRead struct {
	requestedAt time.Duration
	// index is the log index that must be applied before the read is answered. It
	// is set once the leader has confirmed the read.
	index   uint64
	expires time.Duration
	done    func(error)
}

// readTable holds the pending reads. Each ReadIndex request has a context of its
// own; contexts increase, so their order is the order of the requests.
type readTable struct {
	lastContext uint64
	unconfirmed map[uint64]*pendingRead // not confirmed, by the context of the last request
	confirmed   []*pendingRead          // confirmed, not yet applied
}

func newReadTable() readTable {
	return readTable{unconfirmed: map[uint64]*pendingRead{}}
}

// read performs a linearizable read: it calls done once the state machine has
// applied everything that was committed when the read began.
func (l *loop) read(done func(error)) {
	if l.faults.unconfirmedReads {
		done(nil)
		return
	}
	now := l.cfg.Clock.Now()
	l.requestRead(&pendingRead{done: done, expires: now + callTimeout}, now)
}

func (l *loop) requestRead(r *pendingRead, now time.Duration) {
	r.requestedAt = now
	l.reads.lastContext++
	l.reads.unconfirmed[l.reads.lastContext] = r
	err := l.core.ReadIndex(l.reads.lastContext)
	if err != nil && !errors.Is(err, raft.ErrNoLeader) {
		delete(l.reads.unconfirmed, l.reads.lastContext)
		r.done(noLeader("the read was refused: %v", err))
	}
}

// retryReads repeats the requests of reads that were not confirmed within
// readRetryInterval, and fails reads that have expired.
func (l *loop) retryReads(now time.Duration) {
	var overdue []uint64
	for id, r := range l.reads.unconfirmed {
		if now-r.requestedAt >= readRetryInterval {
			overdue = append(overdue, id)
		}
	}
	for _, id := range sorted(overdue) {
		r := l.reads.unconfirmed[id]
		delete(l.reads.unconfirmed, id)
		if now >= r.expires {
			r.done(noLeader("no leader confirmed the read before the time-out"))
			continue
		}
		l.requestRead(r, now)
	}
}

// confirmReads records the confirmed reads and answers the reads whose index is
// applied.
func (l *loop) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		r := l.reads.unconfirmed[s.Context]
		if r == nil {
			continue
		}
		delete(l.reads.unconfirmed, s.Context)
		r.index = s.Index
		l.reads.confirmed = append(l.reads.confirmed, r)
	}
	waiting := l.reads.confirmed
	l.reads.confirmed = nil
	for _, r := range waiting {
		if r.index > l.applied {
			l.reads.confirmed = append(l.reads.confirmed, r)
			continue
		}
		r.done(nil)
	}
}

// failReads fails all pending reads after the log was reopened. The new table
// continues the contexts, so that no context is used twice.
func (l *loop) failReads() {
	var ids []uint64
	for id := range l.reads.unconfirmed {
		ids = append(ids, id)
	}
	list := l.reads.confirmed
	for _, id := range sorted(ids) {
		list = append(list, l.reads.unconfirmed[id])
	}
	next := l.reads.lastContext
	l.reads = newReadTable()
	l.reads.lastContext = next
	for _, r := range list {
		r.done(noLeader("the read was interrupted: the disk was full and the log was reopened"))
	}
}

// retrySnapshotSave saves a snapshot again that could not be saved on a full disk.
// It ignores other errors, since the next write to the log reports them.
func (l *loop) retrySnapshotSave(now time.Duration) {
	if l.unsavedSnapshot != nil && now >= l.unsavedRetryAt {
		_ = l.saveSnapshot(l.unsavedSnapshot)
	}
}

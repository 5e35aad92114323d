package control

import (
	"errors"
	"time"

	"github.com/radishloom/radishloom/internal/state/raft"
)

// read is a caller that waits for confirmed state.
type read struct {
	asked time.Duration
	// index is set once the leader confirmed the read.
	index   uint64
	expires time.Duration
	done    func(error)
}

// readTable holds reads by the context of their last request. Contexts grow, so
// their order is the order of the requests.
type readTable struct {
	next    uint64
	byID    map[uint64]*read
	waiting []*read // confirmed, not yet applied
}

func newReadTable() readTable {
	return readTable{byID: map[uint64]*read{}}
}

// read calls done once the machine holds everything that was committed when the
// read began.
func (l *loop) read(done func(error)) {
	if l.faults.unconfirmedReads {
		done(nil)
		return
	}
	now := l.cfg.Clock.Now()
	l.askRead(&read{done: done, expires: now + callTimeout}, now)
}

func (l *loop) askRead(r *read, now time.Duration) {
	r.asked = now
	l.reads.next++
	l.reads.byID[l.reads.next] = r
	err := l.core.ReadIndex(l.reads.next)
	if err != nil && !errors.Is(err, raft.ErrNoLeader) {
		delete(l.reads.byID, l.reads.next)
		r.done(noLeader("the read was refused: %v", err))
	}
}

// retryReads asks again for reads without an answer, and gives up on old ones.
func (l *loop) retryReads(now time.Duration) {
	var late []uint64
	for id, r := range l.reads.byID {
		if now-r.asked >= readRetry {
			late = append(late, id)
		}
	}
	for _, id := range sortedIndexes(late) {
		r := l.reads.byID[id]
		delete(l.reads.byID, id)
		if now >= r.expires {
			r.done(noLeader("no leader confirmed the read"))
			continue
		}
		l.askRead(r, now)
	}
}

// confirmReads takes over confirmations and answers the reads whose index is
// applied.
func (l *loop) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		r := l.reads.byID[s.Context]
		if r == nil {
			continue
		}
		delete(l.reads.byID, s.Context)
		r.index = s.Index
		l.reads.waiting = append(l.reads.waiting, r)
	}
	waiting := l.reads.waiting
	l.reads.waiting = nil
	for _, r := range waiting {
		if r.index > l.applied {
			l.reads.waiting = append(l.reads.waiting, r)
			continue
		}
		r.done(nil)
	}
}

// failReads gives up on all reads.
func (l *loop) failReads() {
	var ids []uint64
	for id := range l.reads.byID {
		ids = append(ids, id)
	}
	list := l.reads.waiting
	for _, id := range sortedIndexes(ids) {
		list = append(list, l.reads.byID[id])
	}
	next := l.reads.next
	l.reads = newReadTable()
	l.reads.next = next
	for _, r := range list {
		r.done(noLeader("the read was interrupted"))
	}
}

// retryUnsaved saves a snapshot that found the disk full. Other errors show in
// the next write of the log.
func (l *loop) retryUnsaved(now time.Duration) {
	if l.unsaved != nil && now >= l.unsavedRetry {
		_ = l.saveSnapshot(l.unsaved)
	}
}

package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Entries that a snapshot covers are kept in memory within these limits, so
// that a follower that is slightly behind receives entries instead of a
// snapshot.
const (
	trailingEntries = 1024
	trailingBytes   = 1 << 20
)

// maxUncommittedBytes bounds the memory of a leader that cannot commit. It is
// eight times the 8 MiB of entries after which a snapshot is taken.
const maxUncommittedBytes = 64 << 20

// memoryLog holds the newest snapshot and the entries after offset, which is at
// most the snapshot's index.
type memoryLog struct {
	snapshot   *statev1.Snapshot
	offset     uint64
	offsetTerm uint64
	entries    []*statev1.LogEntry

	commit  uint64
	applied uint64
	// stable is the last saved index.
	stable uint64
	// pendingSnapshot is a received snapshot that is not saved yet.
	pendingSnapshot *statev1.Snapshot
	// pendingBytes is the size of the entries after commit.
	pendingBytes int
}

func newMemoryLog(snap *statev1.Snapshot, entries []*statev1.LogEntry) (*memoryLog, error) {
	index, term := snap.GetIndex(), snap.GetTerm()
	for i, e := range entries {
		if e.GetIndex() != index+uint64(i)+1 {
			return nil, fmt.Errorf("raft: entry %d follows index %d", e.GetIndex(), index+uint64(i))
		}
		if e.GetTerm() < term {
			return nil, fmt.Errorf("raft: entry %d has term %d after term %d", e.GetIndex(), e.GetTerm(), term)
		}
		term = e.GetTerm()
	}
	l := &memoryLog{
		snapshot:   snap,
		offset:     index,
		offsetTerm: snap.GetTerm(),
		entries:    append([]*statev1.LogEntry(nil), entries...),
		commit:     index,
		applied:    index,
		stable:     index + uint64(len(entries)),
	}
	for _, e := range entries {
		l.pendingBytes += entrySize(e)
	}
	return l, nil
}

func entrySize(e *statev1.LogEntry) int {
	return proto.Size(e)
}

func (l *memoryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.termOf(l.lastIndex())
	return t
}

// termOf returns the term of the entry at index, and false if the entry is
// compacted or does not exist yet.
func (l *memoryLog) termOf(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.offset-1].GetTerm(), true
	}
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.termOf(index)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has this index and term is at
// least as up to date as this log.
func (l *memoryLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// append adds one entry at the end of the log.
func (l *memoryLog) append(e *statev1.LogEntry) {
	l.entries = append(l.entries, e)
	l.pendingBytes += entrySize(e)
}

// truncateFrom drops the entries from index on. The remaining slice has no
// spare capacity, so that later appends do not overwrite dropped entries that a
// Ready may still hold.
func (l *memoryLog) truncateFrom(index uint64) {
	n := index - l.offset - 1
	for _, e := range l.entries[n:] {
		l.pendingBytes -= entrySize(e)
	}
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
}

// entriesFrom returns the entries from index on, up to limit bytes but at least
// one if there is any. Index must be beyond offset.
func (l *memoryLog) entriesFrom(index uint64, limit int) []*statev1.LogEntry {
	if index > l.lastIndex() {
		return nil
	}
	es := l.entries[index-l.offset-1:]
	size := 0
	for i, e := range es {
		size += entrySize(e)
		if size > limit && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

func (l *memoryLog) unstable() []*statev1.LogEntry {
	es := l.entries[max(l.stable, l.offset)-l.offset:]
	return es[:len(es):len(es)]
}

func (l *memoryLog) unapplied() []*statev1.LogEntry {
	if l.applied >= l.commit {
		return nil
	}
	from, to := l.applied-l.offset, l.commit-l.offset
	return l.entries[from:to:to]
}

func (l *memoryLog) commitTo(index uint64) {
	for i := l.commit + 1; i <= index; i++ {
		l.pendingBytes -= entrySize(l.entries[i-l.offset-1])
	}
	l.commit = max(l.commit, index)
}

func (l *memoryLog) uncommittedBytes() int {
	return l.pendingBytes
}

// markSaved marks the entries up to last as saved, unless they were replaced in
// the meantime.
func (l *memoryLog) markSaved(last *statev1.LogEntry) {
	if l.pendingSnapshot == nil && l.matches(last.GetIndex(), last.GetTerm()) {
		l.stable = max(l.stable, last.GetIndex())
	}
}

func (l *memoryLog) markSnapshotSaved(s *statev1.Snapshot) {
	if l.pendingSnapshot == s {
		l.pendingSnapshot = nil
	}
}

// restore replaces the whole log with a received snapshot.
func (l *memoryLog) restore(s *statev1.Snapshot) {
	*l = memoryLog{
		snapshot:        s,
		offset:          s.GetIndex(),
		offsetTerm:      s.GetTerm(),
		commit:          s.GetIndex(),
		applied:         s.GetIndex(),
		stable:          s.GetIndex(),
		pendingSnapshot: s,
	}
}

// compact sets the newest snapshot and drops the entries that it covers, except
// for up to trailing entries that slow followers may still need.
func (l *memoryLog) compact(s *statev1.Snapshot, trailing uint64) {
	l.snapshot = s
	keep, size := s.GetIndex(), 0
	for keep > l.offset && s.GetIndex()-keep < trailing {
		size += entrySize(l.entries[keep-l.offset-1])
		if size > trailingBytes {
			break
		}
		keep--
	}
	term, _ := l.termOf(keep)
	l.entries = append([]*statev1.LogEntry(nil), l.entries[keep-l.offset:]...)
	l.offset, l.offsetTerm = keep, term
}

// conflictHint returns the last entry up to index whose term is at most term, as
// its index and term. After a rejected append, replication continues there.
func (l *memoryLog) conflictHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	for index > l.offset {
		t, _ := l.termOf(index)
		if t <= term {
			return index, t
		}
		index--
	}
	t, _ := l.termOf(index)
	return index, t
}

// Package wal implements a write-ahead log: it stores the replicated log, the hard
// state, snapshots and the member's identity in one folder.
//
// The folder holds "identity", "lock", "bootstrap", segments (<number>.wal) and
// snapshots (<index>.snap). All but the lock are written under a temporary name,
// synced and renamed, and then the folder is synced, so that each exists either
// completely or not at all. A segment starts with a header frame; each
// Append adds one frame. SaveSnapshot starts a base segment, which holds the
// entries that follow the snapshot, and removes all older files, so that the cost
// of Open depends on the entries since the last snapshot and not on the length of
// the history.
//
// Corruption: an invalid frame at the end of the last segment with no valid frame
// after it is a torn tail, which Open truncates. That includes damage to the last
// synced frame, which cannot be distinguished from a torn write. All other damage
// is a CorruptError.
//
// Failures: when the disk is full (ErrDiskFull), the write is undone and the log
// stays usable. After any other failed write, and after any failed sync, the log
// is unusable (ErrUnusable), because the state of the disk is unknown and a
// repeated sync may report success for data that was dropped.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// defaultSegmentBytes matches the 8 MiB of entries after which a snapshot is taken.
const defaultSegmentBytes = 8 << 20

const (
	recordSegmentHeader byte = iota + 1
	recordHardState
	recordEntry
)

const (
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
	identityName   = "identity"
	lockName       = "lock"
)

// Options configures a log. The zero value is usable.
type Options struct {
	// SegmentBytes is the size of a segment at which the next one is started.
	SegmentBytes int64
	// Random is the source of the member's identifier; nil means crypto/rand.
	Random io.Reader

	// faults disables single safeguards; only tests set it.
	faults faults
}

type faults struct {
	noSync      bool // acknowledge without a sync
	keepPartial bool // leave the partial frame when the disk is full
}

// Recovered is what Open found.
type Recovered struct {
	// MemberID identifies this member. It is new if the folder held no log.
	MemberID uint64
	// HardState and Snapshot are nil if none was saved.
	HardState *statev1.HardState
	Snapshot  *statev1.Snapshot
	// Entries follow the snapshot.
	Entries []*statev1.LogEntry
	// Bootstrap is the record of the agreement on the first membership; nil if none was
	// saved.
	Bootstrap *statev1.BootstrapRecord
	// TornBytes is the size of the torn tail that was truncated.
	TornBytes int64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs   FS
	dir  string
	opts Options
	lock io.Closer

	memberID  uint64
	hardState *statev1.HardState
	snapIndex uint64
	snapTerm  uint64
	entries   []*statev1.LogEntry // after snapIndex

	file          File
	segmentNumber uint64
	baseSegment   uint64 // number of the newest base segment
	size          int64
	nextSeq       uint64 // of the next frame
	failure       error
}

// Append saves the hard state, if it is not nil, and entries, which replace all
// saved entries from the index of the first one. Both are durable when it returns
// without an error.
func (l *Log) Append(hs *statev1.HardState, entries []*statev1.LogEntry) error {
	if l.failure != nil {
		return l.failure
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := l.checkContiguous(entries); err != nil {
		return err
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	frame, err := appendRecords(make([]byte, frameHeaderSize), hs, entries)
	if err != nil {
		return err
	}
	if err := finishFrame(frame, l.memberID, l.nextSeq); err != nil {
		return err
	}
	if err := l.write(frame); err != nil {
		return err
	}
	l.updateState(hs, entries)
	return nil
}

func (l *Log) checkContiguous(entries []*statev1.LogEntry) error {
	for i, e := range entries {
		first := entries[0].GetIndex()
		if e.GetIndex() != first+uint64(i) || first <= l.snapIndex || first > l.lastIndex()+1 {
			return fmt.Errorf("entry %d after snapshot %d and last entry %d: %w", e.GetIndex(), l.snapIndex, l.lastIndex(), ErrOutOfOrder)
		}
	}
	return nil
}

func (l *Log) lastIndex() uint64 {
	return l.snapIndex + uint64(len(l.entries))
}

// updateState applies saved data to the state in memory, which SaveSnapshot
// writes to the next base segment.
func (l *Log) updateState(hs *statev1.HardState, entries []*statev1.LogEntry) {
	if hs != nil {
		l.hardState = hs
	}
	if len(entries) > 0 {
		n := entries[0].GetIndex() - l.snapIndex - 1
		l.entries = append(l.entries[:n], entries...)
	}
}

func appendRecords(b []byte, hs *statev1.HardState, entries []*statev1.LogEntry) ([]byte, error) {
	var err error
	for _, e := range entries {
		if b, err = appendRecord(b, recordEntry, e); err != nil {
			return nil, err
		}
	}
	if hs == nil {
		return b, nil
	}
	return appendRecord(b, recordHardState, hs)
}

func appendRecord(b []byte, kind byte, m proto.Message) ([]byte, error) {
	b = appendRecordHeader(b, kind, proto.Size(m))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return nil, fmt.Errorf("wal: marshal record: %w", err)
	}
	return b, nil
}

// write appends a frame to the current segment and syncs it.
func (l *Log) write(frame []byte) error {
	if _, err := l.file.Write(frame); err != nil {
		return l.handleWriteError(err)
	}
	if !l.opts.faults.noSync {
		if err := l.file.Sync(); err != nil {
			return l.fail(fmt.Errorf("segment %d: %w: %w", l.segmentNumber, ErrSync, err))
		}
	}
	l.size += int64(len(frame))
	l.nextSeq++
	return nil
}

// handleWriteError removes a partial frame if the disk is full. After any other
// error the log is unusable.
func (l *Log) handleWriteError(cause error) error {
	if !isDiskFull(cause) {
		return l.fail(cause)
	}
	if !l.opts.faults.keepPartial {
		// The truncation need not be synced. If a crash undoes it before the next frame
		// is written, the partial frame is the torn tail of the segment, which Open
		// truncates. Otherwise the next frame is written at the same offset.
		if err := l.file.Truncate(l.size); err != nil {
			return l.fail(errors.Join(cause, err))
		}
	}
	return fmt.Errorf("%w: %w", ErrDiskFull, cause)
}

// fail makes the log unusable.
func (l *Log) fail(cause error) error {
	l.failure = fmt.Errorf("%w: %w", ErrUnusable, cause)
	return l.failure
}

// startSegment starts the next segment and keeps the earlier ones.
func (l *Log) startSegment() error {
	frame, err := l.headerFrame(false)
	if err != nil {
		return err
	}
	name := l.segmentPath(l.segmentNumber + 1)
	if err := l.writeTemp(name, frame); err != nil {
		return err
	}
	if err := l.commitTemp(name); err != nil {
		return err
	}
	return l.switchTo(l.segmentNumber+1, int64(len(frame)))
}

// headerFrame returns the first frame of a segment. That of a base segment also
// holds the hard state and all entries after the snapshot.
func (l *Log) headerFrame(base bool) ([]byte, error) {
	b := appendRecordHeader(make([]byte, frameHeaderSize), recordSegmentHeader, segmentHeaderSize)
	b = segmentHeader{base: base, snapIndex: l.snapIndex, snapTerm: l.snapTerm}.encode(b)
	if base {
		var err error
		if b, err = appendRecords(b, l.hardState, l.entries); err != nil {
			return nil, err
		}
	}
	return b, finishFrame(b, l.memberID, l.nextSeq)
}

// SaveSnapshot saves a snapshot and then removes the files that it replaces.
// Entries after the snapshot are kept if the log contains the last entry that it
// covers, and discarded otherwise.
func (l *Log) SaveSnapshot(s *statev1.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	if s.GetIndex() == l.snapIndex && s.GetTerm() == l.snapTerm {
		// A repeated call, for example because the next Append failed on a full disk.
		return nil
	}
	if s.GetIndex() <= l.snapIndex {
		return fmt.Errorf("snapshot %d after snapshot %d: %w", s.GetIndex(), l.snapIndex, ErrOutOfOrder)
	}
	data, err := encodeSnapshot(s, l.memberID)
	if err != nil {
		return err
	}
	// next is the state after the snapshot; l changes only when that is on disk.
	next := *l
	next.entries = entriesAfter(s, l.snapIndex, l.entries)
	next.snapIndex, next.snapTerm = s.GetIndex(), s.GetTerm()
	frame, err := next.headerFrame(true)
	if err != nil {
		return err
	}
	snapshot, segment := l.snapshotPath(s.GetIndex()), l.segmentPath(l.segmentNumber+1)
	// Both files are written before either is renamed, so that a full disk leaves
	// the log unchanged.
	if err := l.writeTemp(snapshot, data); err != nil {
		return err
	}
	if err := l.writeTemp(segment, frame); err != nil {
		_ = l.fs.Remove(snapshot + tempSuffix)
		return err
	}
	// The snapshot's name must be durable before a segment refers to it.
	if err := l.commitTemp(snapshot); err != nil {
		return err
	}
	if err := l.commitTemp(segment); err != nil {
		return err
	}
	l.entries, l.snapIndex, l.snapTerm = next.entries, next.snapIndex, next.snapTerm
	l.baseSegment = l.segmentNumber + 1
	if err := l.switchTo(l.segmentNumber+1, int64(len(frame))); err != nil {
		return err
	}
	l.removeObsolete()
	return nil
}

// entriesAfter returns the entries that remain valid after a snapshot.
func entriesAfter(s *statev1.Snapshot, snapIndex uint64, entries []*statev1.LogEntry) []*statev1.LogEntry {
	last := snapIndex + uint64(len(entries))
	if s.GetIndex() > last || s.GetIndex() <= snapIndex {
		return nil
	}
	i := s.GetIndex() - snapIndex - 1
	if entries[i].GetTerm() != s.GetTerm() {
		return nil
	}
	return append([]*statev1.LogEntry(nil), entries[i+1:]...)
}

// writeTemp writes and syncs a file under its temporary name.
func (l *Log) writeTemp(name string, data []byte) error {
	temp := name + tempSuffix
	f, err := l.fs.Create(temp)
	if err != nil {
		return l.handleTempError(temp, err)
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(l.handleTempError(temp, err), f.Close())
	}
	if !l.opts.faults.noSync {
		if err := f.Sync(); err != nil {
			return errors.Join(l.fail(fmt.Errorf("%s: %w: %w", temp, ErrSync, err)), f.Close())
		}
	}
	if err := f.Close(); err != nil {
		return l.fail(err)
	}
	return nil
}

// handleTempError removes a temporary file if the disk is full. After any other
// error the log is unusable.
func (l *Log) handleTempError(temp string, cause error) error {
	if !isDiskFull(cause) {
		return l.fail(cause)
	}
	// If this fails, the next Open removes the file.
	_ = l.fs.Remove(temp)
	return fmt.Errorf("%w: %w", ErrDiskFull, cause)
}

// commitTemp renames a file written by writeTemp to its final name and syncs the
// folder.
func (l *Log) commitTemp(name string) error {
	if err := l.fs.Rename(name+tempSuffix, name); err != nil {
		return l.fail(err)
	}
	if l.opts.faults.noSync {
		return nil
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(fmt.Errorf("%s: %w: %w", l.dir, ErrSync, err))
	}
	return nil
}

// switchTo makes a segment the current one. Its file must have its final name.
func (l *Log) switchTo(segment uint64, size int64) error {
	f, err := l.fs.OpenAppend(l.segmentPath(segment))
	if err != nil {
		return l.fail(err)
	}
	if l.file != nil {
		// The file is fully synced, so an error from Close can be ignored.
		_ = l.file.Close()
	}
	l.file, l.segmentNumber, l.size = f, segment, size
	l.nextSeq++
	return nil
}

// Close closes the current segment and unlocks the folder. It does not write.
func (l *Log) Close() error {
	if errors.Is(l.failure, ErrClosed) {
		return nil
	}
	l.failure = ErrClosed
	return errors.Join(l.file.Close(), l.lock.Close())
}

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (l *Log) snapshotPath(index uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

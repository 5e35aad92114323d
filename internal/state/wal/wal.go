// Package wal keeps the replicated log, the hard state, snapshots and the
// member's identity in one folder.
//
// The folder holds "identity", "lock", segments (<number>.wal) and snapshots
// (<index>.snap). Identity, segments and snapshots are created under a
// temporary name, synced and renamed, and the folder is synced, so that they
// are there in full or not at all. A segment starts with a header frame; each
// Append adds one frame. SaveSnapshot starts a base segment, which holds what
// follows the snapshot, and removes all older files, so that the cost of Open
// depends on the entries since the last snapshot and not on the history.
//
// Damage: an invalid frame at the end of the last segment with no valid frame
// after it is a torn tail, which Open cuts off. That includes damage to the
// last synced frame, which cannot be told from a torn write. All other damage
// is a CorruptError.
//
// Failures: after a full disk (ErrDiskFull) the write is undone and the log can
// be used further. After any other failed write and after any failed sync the
// log is unusable (ErrPoisoned), because the state of the disk is unknown and a
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

// defaultSegmentBytes keeps segments about as large as the 8 MiB of entries
// after which a snapshot is taken.
const defaultSegmentBytes = 8 << 20

const (
	recordHeaderKind byte = iota + 1
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

// Options has usable zero values.
type Options struct {
	// SegmentBytes is the size from which on a new segment is started.
	SegmentBytes int64
	// Random is the source of the member's identifier; nil means crypto/rand.
	Random io.Reader

	// faults breaks single rules; only tests set it.
	faults faults
}

type faults struct {
	noSync      bool // acknowledge without a sync
	keepPartial bool // leave a partial frame after a full disk
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
	// TornBytes were cut off the end of the log.
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

	file    File
	segment uint64
	base    uint64 // newest base segment
	size    int64
	seq     uint64 // of the next frame
	failure error
}

// Append saves the hard state, if it is not nil, and entries, which replace any
// saved entries from the first one's index on. Both are synced when it returns.
func (l *Log) Append(hs *statev1.HardState, entries []*statev1.LogEntry) error {
	if l.failure != nil {
		return l.failure
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if err := l.checkOrder(entries); err != nil {
		return err
	}
	if l.size >= l.opts.SegmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	frame, err := encode(make([]byte, frameHeader), hs, entries)
	if err != nil {
		return err
	}
	if err := finishFrame(frame, l.memberID, l.seq); err != nil {
		return err
	}
	if err := l.write(frame); err != nil {
		return err
	}
	l.remember(hs, entries)
	return nil
}

func (l *Log) checkOrder(entries []*statev1.LogEntry) error {
	for i, e := range entries {
		first := entries[0].GetIndex()
		if e.GetIndex() != first+uint64(i) || first <= l.snapIndex || first > l.lastIndex()+1 {
			return fmt.Errorf("entry %d after snapshot %d and last entry %d: %w", e.GetIndex(), l.snapIndex, l.lastIndex(), ErrOrder)
		}
	}
	return nil
}

func (l *Log) lastIndex() uint64 {
	return l.snapIndex + uint64(len(l.entries))
}

// remember keeps in memory what is saved. SaveSnapshot writes it again.
func (l *Log) remember(hs *statev1.HardState, entries []*statev1.LogEntry) {
	if hs != nil {
		l.hardState = hs
	}
	if len(entries) > 0 {
		n := entries[0].GetIndex() - l.snapIndex - 1
		l.entries = append(l.entries[:n], entries...)
	}
}

func encode(b []byte, hs *statev1.HardState, entries []*statev1.LogEntry) ([]byte, error) {
	var err error
	for _, e := range entries {
		if b, err = encodeRecord(b, recordEntry, e); err != nil {
			return nil, err
		}
	}
	if hs == nil {
		return b, nil
	}
	return encodeRecord(b, recordHardState, hs)
}

func encodeRecord(b []byte, kind byte, m proto.Message) ([]byte, error) {
	b = recordHeader(b, kind, proto.Size(m))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return nil, fmt.Errorf("wal: marshal record: %w", err)
	}
	return b, nil
}

// write appends a frame to the current segment and syncs it.
func (l *Log) write(frame []byte) error {
	if _, err := l.file.Write(frame); err != nil {
		return l.writeFailed(err)
	}
	if !l.opts.faults.noSync {
		if err := l.file.Sync(); err != nil {
			return l.poison(fmt.Errorf("segment %d: %w: %w", l.segment, ErrSync, err))
		}
	}
	l.size += int64(len(frame))
	l.seq++
	return nil
}

// writeFailed removes a partial frame if the disk is full.
func (l *Log) writeFailed(cause error) error {
	if !isDiskFull(cause) {
		return l.poison(cause)
	}
	if !l.opts.faults.keepPartial {
		// This needs no sync: after a crash the partial frame is a torn tail, as
		// the next frame goes to the same place.
		if err := l.file.Truncate(l.size); err != nil {
			return l.poison(errors.Join(cause, err))
		}
	}
	return fmt.Errorf("%w: %w", ErrDiskFull, cause)
}

func (l *Log) poison(cause error) error {
	l.failure = fmt.Errorf("%w: %w", ErrPoisoned, cause)
	return l.failure
}

// roll starts the next segment; earlier ones stay.
func (l *Log) roll() error {
	frame, err := l.headerFrame(false)
	if err != nil {
		return err
	}
	name := l.segmentPath(l.segment + 1)
	if err := l.writeTemp(name, frame); err != nil {
		return err
	}
	if err := l.publish(name); err != nil {
		return err
	}
	return l.switchTo(l.segment+1, int64(len(frame)))
}

// headerFrame returns the first frame of a segment. That of a base segment also
// holds the hard state and all entries after the snapshot.
func (l *Log) headerFrame(base bool) ([]byte, error) {
	b := recordHeader(make([]byte, frameHeader), recordHeaderKind, segmentHeaderSize)
	b = segmentHeader{base: base, snapIndex: l.snapIndex, snapTerm: l.snapTerm}.encode(b)
	if base {
		var err error
		if b, err = encode(b, l.hardState, l.entries); err != nil {
			return nil, err
		}
	}
	return b, finishFrame(b, l.memberID, l.seq)
}

// SaveSnapshot saves a snapshot and then removes the files that it replaces.
// Entries after it are kept if the log contains the snapshot's last entry, and
// dropped otherwise.
func (l *Log) SaveSnapshot(s *statev1.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	if s.GetIndex() == l.snapIndex && s.GetTerm() == l.snapTerm {
		// A repeated call, for example after a full disk failed the next Append.
		return nil
	}
	if s.GetIndex() <= l.snapIndex {
		return fmt.Errorf("snapshot %d after snapshot %d: %w", s.GetIndex(), l.snapIndex, ErrOrder)
	}
	data, err := encodeSnapshot(s, l.memberID)
	if err != nil {
		return err
	}
	// next is the state after the snapshot; l itself changes only when it is on disk.
	next := *l
	next.entries = tailAfter(s, l.snapIndex, l.entries)
	next.snapIndex, next.snapTerm = s.GetIndex(), s.GetTerm()
	frame, err := next.headerFrame(true)
	if err != nil {
		return err
	}
	snapshot, segment := l.snapshotPath(s.GetIndex()), l.segmentPath(l.segment+1)
	// All space is used before anything is renamed, so that a full disk leaves
	// the log as it was.
	if err := l.writeTemp(snapshot, data); err != nil {
		return err
	}
	if err := l.writeTemp(segment, frame); err != nil {
		_ = l.fs.Remove(snapshot + tempSuffix)
		return err
	}
	// The snapshot's name must be durable before a segment relies on it.
	if err := l.publish(snapshot); err != nil {
		return err
	}
	if err := l.publish(segment); err != nil {
		return err
	}
	l.entries, l.snapIndex, l.snapTerm = next.entries, next.snapIndex, next.snapTerm
	l.base = l.segment + 1
	if err := l.switchTo(l.segment+1, int64(len(frame))); err != nil {
		return err
	}
	l.removeReplaced()
	return nil
}

// tailAfter returns the entries that stay valid after a snapshot.
func tailAfter(s *statev1.Snapshot, snapIndex uint64, entries []*statev1.LogEntry) []*statev1.LogEntry {
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
		return l.tempFailed(temp, err)
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(l.tempFailed(temp, err), f.Close())
	}
	if !l.opts.faults.noSync {
		if err := f.Sync(); err != nil {
			return errors.Join(l.poison(fmt.Errorf("%s: %w: %w", temp, ErrSync, err)), f.Close())
		}
	}
	if err := f.Close(); err != nil {
		return l.poison(err)
	}
	return nil
}

func (l *Log) tempFailed(temp string, cause error) error {
	if !isDiskFull(cause) {
		return l.poison(cause)
	}
	// A file that stays is removed by the next Open.
	_ = l.fs.Remove(temp)
	return fmt.Errorf("%w: %w", ErrDiskFull, cause)
}

// publish gives a file that writeTemp wrote its name.
func (l *Log) publish(name string) error {
	if err := l.fs.Rename(name+tempSuffix, name); err != nil {
		return l.poison(err)
	}
	if l.opts.faults.noSync {
		return nil
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.poison(fmt.Errorf("%s: %w: %w", l.dir, ErrSync, err))
	}
	return nil
}

// switchTo makes a published segment the current one.
func (l *Log) switchTo(segment uint64, size int64) error {
	f, err := l.fs.OpenAppend(l.segmentPath(segment))
	if err != nil {
		return l.poison(err)
	}
	if l.file != nil {
		// All of it is synced; an error of Close has no meaning.
		_ = l.file.Close()
	}
	l.file, l.segment, l.size = f, segment, size
	l.seq++
	return nil
}

// Close releases the folder. It does not write.
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

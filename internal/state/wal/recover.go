package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const segmentHeaderSize = 17

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	// base says that older segments are not needed for recovery.
	base      bool
	snapIndex uint64
	snapTerm  uint64
}

func (h segmentHeader) encode(b []byte) []byte {
	flag := byte(0)
	if h.base {
		flag = 1
	}
	b = append(b, flag)
	b = binary.LittleEndian.AppendUint64(b, h.snapIndex)
	return binary.LittleEndian.AppendUint64(b, h.snapTerm)
}

func decodeSegmentHeader(b []byte) (segmentHeader, bool) {
	if len(b) != segmentHeaderSize {
		return segmentHeader{}, false
	}
	return segmentHeader{
		base:      b[0] == 1,
		snapIndex: binary.LittleEndian.Uint64(b[1:]),
		snapTerm:  binary.LittleEndian.Uint64(b[9:]),
	}, true
}

// Open locks a folder, creating it if needed, and recovers its log. A folder
// without a log gets a new member identifier, even if it holds an identity: either
// that identity was never used, or its log is lost and it must not be used again.
func Open(fs FS, dir string, o Options) (*Log, *Recovered, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, fmt.Errorf("wal: %w", err)
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, fmt.Errorf("wal: %w: %w", ErrSync, err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, err
	}
	l := &Log{fs: fs, dir: dir, opts: o, lock: lock}
	r, err := l.open()
	if err != nil {
		if l.file != nil {
			err = errors.Join(err, l.file.Close())
		}
		return nil, nil, errors.Join(err, lock.Close())
	}
	return l, r, nil
}

func (l *Log) open() (*Recovered, error) {
	files, err := l.listFiles()
	if err != nil {
		return nil, err
	}
	switch {
	case len(files.segments) == 0 && len(files.snapshots) == 0:
		return l.create()
	case !files.identity:
		return nil, fmt.Errorf("%s: %w", l.dir, ErrIdentityMissing)
	case len(files.segments) == 0:
		return nil, &CorruptError{File: l.snapshotPath(files.snapshots[len(files.snapshots)-1]), Reason: "the folder holds a snapshot but no segment"}
	}
	if l.memberID, err = l.readIdentity(); err != nil {
		return nil, err
	}
	r, err := l.recover(files.segments, files.snapshots)
	if err != nil || !files.bootstrap {
		return r, err
	}
	r.Bootstrap, err = l.readBootstrap()
	return r, err
}

// logFiles are the files of a folder: the numbers of segments and snapshots in ascending
// order, and which of the other files exist.
type logFiles struct {
	segments, snapshots []uint64
	identity, bootstrap bool
}

// listFiles returns the files of the folder and removes temporary ones.
func (l *Log) listFiles() (logFiles, error) {
	var files logFiles
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return files, fmt.Errorf("wal: %w", err)
	}
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return files, fmt.Errorf("wal: %w", err)
			}
		case name == identityName:
			files.identity = true
		case name == bootstrapName:
			files.bootstrap = true
		case strings.HasSuffix(name, segmentSuffix):
			files.segments, err = appendNumber(files.segments, name, segmentSuffix)
		case strings.HasSuffix(name, snapshotSuffix):
			files.snapshots, err = appendNumber(files.snapshots, name, snapshotSuffix)
		}
		if err != nil {
			return files, err
		}
	}
	slices.Sort(files.segments)
	slices.Sort(files.snapshots)
	return files, nil
}

func appendNumber(numbers []uint64, name, suffix string) ([]uint64, error) {
	n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("wal: unexpected file name %q: %w", name, err)
	}
	return append(numbers, n), nil
}

// create writes a new identity and then the first segment.
func (l *Log) create() (*Recovered, error) {
	id, err := newMemberID(l.opts.Random)
	if err != nil {
		return nil, err
	}
	l.memberID = id
	identity := filepath.Join(l.dir, identityName)
	if err := l.writeTemp(identity, encodeIdentity(id)); err != nil {
		return nil, err
	}
	if err := l.commitTemp(identity); err != nil {
		return nil, err
	}
	if err := l.startBaseSegment(); err != nil {
		return nil, err
	}
	return &Recovered{MemberID: id}, nil
}

// startBaseSegment starts a base segment with the state in memory.
func (l *Log) startBaseSegment() error {
	frame, err := l.headerFrame(true)
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
	l.baseSegment = l.segmentNumber + 1
	return l.switchTo(l.baseSegment, int64(len(frame)))
}

// newMemberID generates a random identifier that is not zero.
func newMemberID(random io.Reader) (uint64, error) {
	if random == nil {
		random = rand.Reader
	}
	for {
		var b [8]byte
		if _, err := io.ReadFull(random, b[:]); err != nil {
			return 0, fmt.Errorf("wal: generate member identifier: %w", err)
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id, nil
		}
	}
}

// encodeIdentity returns the content of the identity file: one line of text with
// the identifier in 16 hexadecimal digits and the CRC32C of these digits.
func encodeIdentity(id uint64) []byte {
	digits := fmt.Sprintf("%016x", id)
	return fmt.Appendf(nil, "%s %08x\n", digits, crc32.Checksum([]byte(digits), castagnoli))
}

func (l *Log) readIdentity() (uint64, error) {
	name := filepath.Join(l.dir, identityName)
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return 0, fmt.Errorf("wal: %w", err)
	}
	if len(b) < 16 {
		return 0, &CorruptError{File: name, Reason: "shorter than the 16 digits of an identifier"}
	}
	id, err := strconv.ParseUint(string(b[:16]), 16, 64)
	if err != nil || id == 0 || string(b) != string(encodeIdentity(id)) {
		return 0, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	return id, nil
}

func encodeSnapshot(s *statev1.Snapshot, member uint64) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, frameHeaderSize, frameHeaderSize+proto.Size(s)), s)
	if err != nil {
		return nil, fmt.Errorf("wal: marshal snapshot: %w", err)
	}
	return b, finishFrame(b, member, s.GetIndex())
}

// readSnapshot reads the newest snapshot. The file was synced before it was
// renamed, so any damage is corruption.
func (l *Log) readSnapshot(index uint64) (*statev1.Snapshot, error) {
	name := l.snapshotPath(index)
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	payload, seq, ok := parseFrame(b, l.memberID)
	if !ok || seq != index || len(payload)+frameHeaderSize != len(b) {
		return nil, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	s := &statev1.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil || s.GetIndex() != index {
		return nil, &CorruptError{File: name, Reason: "the payload is not a snapshot of this index"}
	}
	return s, nil
}

func (l *Log) recover(segments, snapshots []uint64) (*Recovered, error) {
	r := &Recovered{MemberID: l.memberID}
	if n := len(snapshots); n > 0 {
		s, err := l.readSnapshot(snapshots[n-1])
		if err != nil {
			return nil, err
		}
		r.Snapshot = s
	}
	chain, err := l.readChain(segments)
	if err != nil {
		return nil, err
	}
	last := &chain[len(chain)-1]
	for i := range chain {
		end, err := l.replay(&chain[i], i == len(chain)-1)
		if err != nil {
			return nil, err
		}
		chain[i].validSize = end
	}
	r.TornBytes = int64(len(last.data)) - last.validSize
	if err := l.reopen(last); err != nil {
		return nil, err
	}
	if err := l.reconcile(r.Snapshot, last); err != nil {
		return nil, err
	}
	r.HardState = l.hardState
	r.Entries = append([]*statev1.LogEntry(nil), l.entries...)
	l.removeObsolete()
	return r, nil
}

// segmentData is a segment read from disk.
type segmentData struct {
	number    uint64
	name      string
	data      []byte
	header    segmentHeader
	validSize int64 // total size of the valid frames
}

// readChain reads the newest base segment and all later segments, in ascending
// order.
func (l *Log) readChain(numbers []uint64) ([]segmentData, error) {
	var chain []segmentData
	for i := len(numbers) - 1; i >= 0; i-- {
		s := segmentData{number: numbers[i], name: l.segmentPath(numbers[i])}
		data, err := l.fs.ReadFile(s.name)
		if err != nil {
			return nil, fmt.Errorf("wal: %w", err)
		}
		s.data = data
		payload, _, ok := parseFrame(data, l.memberID)
		kind, record, _, ok2 := nextRecord(payload)
		h, ok3 := decodeSegmentHeader(record)
		if !ok || !ok2 || !ok3 || kind != recordSegmentHeader {
			return nil, &CorruptError{File: s.name, Reason: "the first frame is not a valid segment header of this member"}
		}
		s.header = h
		if n := len(chain); n > 0 && chain[n-1].number != s.number+1 {
			return nil, &CorruptError{File: s.name, Reason: fmt.Sprintf("segment %d is missing", s.number+1)}
		}
		chain = append(chain, s)
		if h.base {
			slices.Reverse(chain)
			return chain, nil
		}
	}
	return nil, &CorruptError{File: l.segmentPath(numbers[0]), Reason: "the segment before it is missing, and no base segment exists"}
}

// replay applies the frames of a segment and returns the offset after the last
// valid one.
func (l *Log) replay(s *segmentData, last bool) (int64, error) {
	if s.header.base {
		l.baseSegment = s.number
		l.snapIndex, l.snapTerm = s.header.snapIndex, s.header.snapTerm
		_, l.nextSeq, _ = parseFrame(s.data, l.memberID)
	}
	offset := 0
	for offset < len(s.data) {
		payload, seq, ok := parseFrame(s.data[offset:], l.memberID)
		if !ok {
			if !last || hasLaterFrame(s.data[offset:], l.memberID, l.nextSeq) {
				return 0, &CorruptError{File: s.name, Offset: int64(offset), Reason: "invalid frame that is not at the end of the log"}
			}
			return int64(offset), nil
		}
		if seq != l.nextSeq {
			return 0, &CorruptError{File: s.name, Offset: int64(offset), Reason: fmt.Sprintf("sequence number of the frame is %d, want %d", seq, l.nextSeq)}
		}
		if reason := l.replayFrame(payload); reason != "" {
			return 0, &CorruptError{File: s.name, Offset: int64(offset), Reason: reason}
		}
		l.nextSeq++
		offset += frameHeaderSize + len(payload)
	}
	return int64(offset), nil
}

// replayFrame applies the records of a frame. If one is invalid, it returns the
// reason, otherwise an empty string.
func (l *Log) replayFrame(payload []byte) string {
	for len(payload) > 0 {
		kind, data, rest, ok := nextRecord(payload)
		if !ok {
			return "record is longer than its frame"
		}
		payload = rest
		switch kind {
		case recordSegmentHeader:
		case recordHardState:
			hs := &statev1.HardState{}
			if err := proto.Unmarshal(data, hs); err != nil {
				return err.Error()
			}
			l.updateState(hs, nil)
		case recordEntry:
			e := &statev1.LogEntry{}
			if err := proto.Unmarshal(data, e); err != nil {
				return err.Error()
			}
			entries := []*statev1.LogEntry{e}
			if err := l.checkContiguous(entries); err != nil {
				return err.Error()
			}
			l.updateState(nil, entries)
		default:
			return fmt.Sprintf("unknown record kind %d", kind)
		}
	}
	return ""
}

// reopen truncates a torn tail and opens the last segment for appending. The
// truncation is synced: a torn tail that reappeared after a crash, when a later
// segment exists, would be corruption.
func (l *Log) reopen(last *segmentData) error {
	f, err := l.fs.OpenAppend(last.name)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	l.file, l.segmentNumber, l.size = f, last.number, last.validSize
	if last.validSize == int64(len(last.data)) {
		return nil
	}
	if err := f.Truncate(last.validSize); err != nil {
		return fmt.Errorf("wal: truncate %s: %w", last.name, err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("wal: %s: %w: %w", last.name, ErrSync, err)
	}
	return nil
}

// reconcile completes a SaveSnapshot that was interrupted after the snapshot was
// renamed and before its base segment was.
func (l *Log) reconcile(s *statev1.Snapshot, last *segmentData) error {
	switch {
	case s.GetIndex() < l.snapIndex:
		return &CorruptError{File: l.snapshotPath(l.snapIndex), Reason: "the snapshot on which " + last.name + " is based is missing"}
	case s.GetIndex() == l.snapIndex:
		return nil
	}
	l.entries = entriesAfter(s, l.snapIndex, l.entries)
	l.snapIndex, l.snapTerm = s.GetIndex(), s.GetTerm()
	return l.startBaseSegment()
}

// removeObsolete removes segments before the newest base segment and older
// snapshots. The next Open removes files for which this fails.
func (l *Log) removeObsolete() {
	files, err := l.listFiles()
	if err != nil {
		return
	}
	for _, n := range files.segments {
		if n < l.baseSegment {
			_ = l.fs.Remove(l.segmentPath(n))
		}
	}
	for _, n := range files.snapshots {
		if n < l.snapIndex {
			_ = l.fs.Remove(l.snapshotPath(n))
		}
	}
}

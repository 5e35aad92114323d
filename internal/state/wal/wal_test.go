package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

func entries(term, from, to uint64) []*statev1.LogEntry {
	var es []*statev1.LogEntry
	for i := from; i <= to; i++ {
		es = append(es, &statev1.LogEntry{Term: term, Index: i, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return es
}

func snapshotAt(term, index uint64) *statev1.Snapshot {
	return &statev1.Snapshot{Term: term, Index: index, Data: fmt.Appendf(nil, "state at %d", index)}
}

func newFS(seed uint64) *faultfs.FS {
	return faultfs.New(rand.New(rand.NewPCG(seed, 0)).IntN)
}

func mustOpen(t testing.TB, fs wal.FS, o wal.Options) (*wal.Log, *wal.Recovered) {
	t.Helper()
	l, r, err := wal.Open(fs, "data/raft", o)
	if err != nil {
		t.Fatal(err)
	}
	return l, r
}

func must(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func equalEntries(a, b []*statev1.LogEntry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// Guards against behaviour of OS that differs from the in-memory file system, and
// against two processes that use one folder.
func TestOS(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l, r, err := wal.Open(wal.OS{}, dir, wal.Options{SegmentBytes: 200})
	must(t, err)
	if _, _, err := wal.Open(wal.OS{}, dir, wal.Options{}); !errors.Is(err, wal.ErrLocked) {
		t.Fatalf("second open: %v, want ErrLocked", err)
	}
	must(t, l.Append(&statev1.HardState{Term: 1}, entries(1, 1, 10)))
	must(t, l.Append(nil, entries(1, 11, 20)))
	must(t, l.SaveSnapshot(snapshotAt(1, 15)))
	must(t, l.SaveSnapshot(snapshotAt(1, 15)))
	must(t, l.Append(&statev1.HardState{Term: 2}, entries(2, 18, 22)))
	must(t, l.Close())
	last, err := filepath.Glob(filepath.Join(dir, "*.wal"))
	must(t, err)
	f, err := os.OpenFile(last[len(last)-1], os.O_APPEND|os.O_WRONLY, 0)
	must(t, err)
	_, err = f.WriteString("torn")
	must(t, errors.Join(err, f.Close()))
	l, again, err := wal.Open(wal.OS{}, dir, wal.Options{})
	must(t, err)
	want := append(entries(1, 16, 17), entries(2, 18, 22)...)
	if again.MemberID != r.MemberID || again.TornBytes != 4 || again.HardState.GetTerm() != 2 ||
		again.Snapshot.GetIndex() != 15 || !equalEntries(again.Entries, want) {
		t.Fatalf("recovered %+v", again)
	}
	must(t, l.Close())
}

// Guards against damage that is mistaken for a torn tail, and against a torn tail
// that is reported as corruption.
func TestCorruption(t *testing.T) {
	fs := newFS(1)
	l, _ := mustOpen(t, fs, wal.Options{SegmentBytes: 500})
	for i := range uint64(20) {
		must(t, l.Append(nil, entries(1, i+1, i+1)))
	}
	must(t, l.Close())
	names, err := fs.ReadDir("data/raft")
	must(t, err)
	segments := names[:len(names)-2]
	for i, name := range segments {
		path := filepath.Join("data/raft", name)
		data, err := fs.ReadFile(path)
		must(t, err)
		for offset := range data {
			fs.FlipBit(path, offset)
			l, r, err := wal.Open(fs, "data/raft", wal.Options{})
			var corrupt *wal.CorruptError
			switch {
			case err == nil && i == len(segments)-1 && r.TornBytes > 0 && len(r.Entries) == 19:
				// Only the last frame may count as torn. Open has truncated it, so restore
				// the file.
				must(t, l.Close())
				fs.Put(path, data)
				continue
			case !errors.As(err, &corrupt) || corrupt.File != path || corrupt.Offset > int64(offset):
				t.Fatalf("%s, bit flipped at %d: error %v", name, offset, err)
			}
			fs.FlipBit(path, offset)
		}
	}
}

// Guards against a member that reuses an identity whose log is lost.
func TestIdentity(t *testing.T) {
	fs := newFS(1)
	l, first := mustOpen(t, fs, wal.Options{})
	must(t, l.Close())
	must(t, fs.Remove("data/raft/identity"))
	if _, _, err := wal.Open(fs, "data/raft", wal.Options{}); !errors.Is(err, wal.ErrIdentityMissing) {
		t.Fatalf("open without identity: %v", err)
	}
	must(t, fs.Remove("data/raft/0000000000000001.wal"))
	l, second := mustOpen(t, fs, wal.Options{})
	must(t, l.Close())
	must(t, fs.Remove("data/raft/0000000000000001.wal"))
	_, third := mustOpen(t, fs, wal.Options{})
	if first.MemberID == 0 || first.MemberID == second.MemberID || second.MemberID == third.MemberID {
		t.Fatalf("members %x, %x, %x", first.MemberID, second.MemberID, third.MemberID)
	}
}

// Guards against a bootstrap record that is lost in a crash, after a snapshot or on a full
// disk.
func TestBootstrapRecordIsKept(t *testing.T) {
	fs := newFS(1)
	l, r := mustOpen(t, fs, wal.Options{})
	if r.Bootstrap != nil {
		t.Fatalf("a new folder holds the record %v", r.Bootstrap)
	}
	record := &statev1.BootstrapRecord{Seeds: []string{"a", "b"}, Promised: &statev1.BootstrapBallot{Round: 3, Member: 1}}
	must(t, l.SaveBootstrap(record))
	must(t, l.SaveSnapshot(snapshotAt(1, 1)))
	fs.SetFreeBytes(0)
	if err := l.SaveBootstrap(&statev1.BootstrapRecord{}); !errors.Is(err, wal.ErrDiskFull) {
		t.Errorf("on a full disk: got %v", err)
	}
	fs.Crash()
	if _, r = mustOpen(t, fs, wal.Options{}); !proto.Equal(r.Bootstrap, record) {
		t.Errorf("after a crash: got %v, want %v", r.Bootstrap, record)
	}
}

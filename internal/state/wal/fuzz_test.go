package wal_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

// model is the expected content of a log.
type model struct {
	hs      *statev1.HardState
	snap    *statev1.Snapshot
	entries []*statev1.LogEntry // after snap
}

func (m model) last() uint64 { return m.snap.GetIndex() + uint64(len(m.entries)) }

func (m model) append(hs *statev1.HardState, es []*statev1.LogEntry) model {
	n := es[0].GetIndex() - m.snap.GetIndex() - 1
	return model{hs: hs, snap: m.snap, entries: append(m.entries[:n:n], es...)}
}

func (m model) saveSnapshot(s *statev1.Snapshot) model {
	next := model{hs: m.hs, snap: s}
	for i, e := range m.entries {
		if e.GetIndex() == s.GetIndex() && e.GetTerm() == s.GetTerm() {
			next.entries = m.entries[i+1:]
		}
	}
	return next
}

func (m model) equal(r *wal.Recovered) bool {
	return proto.Equal(m.hs, r.HardState) && proto.Equal(m.snap, r.Snapshot) && equalEntries(m.entries, r.Entries)
}

// crashProperty runs random operations against a model. After a crash the log must
// hold everything that was acknowledged, and either all or nothing of an operation
// that failed.
func crashProperty(o wal.Options) func(*rapid.T) {
	return func(t *rapid.T) {
		fs := faultfs.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "disk"), 0)).IntN)
		l, r, err := wal.Open(fs, "data/raft", o)
		if err != nil {
			t.Fatal(err)
		}
		id, term := r.MemberID, uint64(1)
		acked := model{}
		for range 60 {
			attempt := acked
			if rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
				fs.FailSync(rapid.IntRange(0, 4).Draw(t, "syncs"))
			}
			if rapid.IntRange(0, 9).Draw(t, "full") == 0 {
				fs.SetFreeBytes(rapid.IntRange(0, 300).Draw(t, "free"))
			}
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 6:
				term += rapid.Uint64Range(0, 1).Draw(t, "term")
				from := rapid.Uint64Range(max(acked.snap.GetIndex()+1, acked.last()-min(acked.last(), 2)), acked.last()+1).Draw(t, "from")
				es := entries(term, from, from+rapid.Uint64Range(0, 3).Draw(t, "n"))
				hs := &statev1.HardState{Term: term, Vote: from}
				attempt = acked.append(hs, es)
				err = l.Append(hs, es)
			case op < 8:
				// A snapshot of this log, or a received one that is ahead of it or has
				// another term.
				s := snapshotAt(term, rapid.Uint64Range(acked.snap.GetIndex()+1, acked.last()+2).Draw(t, "index"))
				if own := rapid.Bool().Draw(t, "own"); own && s.GetIndex() <= acked.last() {
					s.Term = acked.entries[s.GetIndex()-acked.snap.GetIndex()-1].GetTerm()
				}
				attempt = acked.saveSnapshot(s)
				err = l.SaveSnapshot(s)
			default:
				l.Close()
				fs.Crash()
				err = wal.ErrUnusable
			}
			switch {
			case err == nil:
				acked = attempt
				continue
			case errors.Is(err, wal.ErrDiskFull):
				fs.SetFreeBytes(1 << 30)
				continue
			case !errors.Is(err, wal.ErrUnusable):
				t.Fatal(err)
			}
			if err := l.Append(&statev1.HardState{Term: term}, nil); err == nil {
				t.Fatal("append to an unusable log succeeded")
			}
			fs.Crash()
			fs.SetFreeBytes(1 << 30)
			fs.FailSync(rapid.IntRange(0, 5).Draw(t, "syncs of open"))
			if l, _, err = wal.Open(fs, "data/raft", o); err == nil {
				must(t, l.Close())
			}
			fs.Crash()
			fs.FailSync(1 << 30)
			l, r, err = wal.Open(fs, "data/raft", o)
			if err != nil {
				t.Fatal(err)
			}
			if r.MemberID != id {
				t.Fatalf("member %x recovered as %x", id, r.MemberID)
			}
			switch {
			case acked.equal(r):
			case attempt.equal(r):
				acked = attempt
			default:
				t.Fatalf("recovered %v, %v, %v, %d torn bytes; acknowledged %+v; attempted %+v",
					r.HardState, r.Snapshot, r.Entries, r.TornBytes, acked, attempt)
			}
		}
	}
}

var smallSegments = wal.Options{SegmentBytes: 300}

// Guards against lost acknowledged writes, partially applied operations, and
// writes after a failed sync.
func TestCrashes(t *testing.T) {
	proptest.CheckSeeds(t, 400, crashProperty(smallSegments))
}

// Requires the property to fail when writes are acknowledged without a sync.
func TestCrashesDetectMissingSync(t *testing.T) {
	proptest.ExpectFailure(t, 1, "recovered as", crashProperty(wal.WithoutSync(smallSegments)))
}

// Requires the property to fail when a full disk leaves a partial frame.
func TestCrashesDetectPartialFrame(t *testing.T) {
	proptest.ExpectFailure(t, 1, "is corrupt at offset", crashProperty(wal.WithPartialFrames(smallSegments)))
}

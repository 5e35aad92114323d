package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

// Catalogs arrive in any order and more than once, from two operators, and
// across snapshots. The highest version stays, with the document that came first
// under its number.
func TestHighestCatalogStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.New()
		first := map[uint64]string{}
		var highest uint64
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			version := uint64(rapid.IntRange(1, 20).Draw(t, "version"))
			document := rapid.StringMatching(`[a-z]{3}`).Draw(t, "document")
			m.Apply(uint64(i+1), &statev1.Command{Op: &statev1.Command_PutCatalog{PutCatalog: &statev1.PutCatalog{
				Catalog: &statev1.Catalog{Version: version, Document: []byte(document)},
			}}})
			if version > highest {
				highest = version
				first[version] = document
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				m = fleet.New()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			got := m.Catalog()
			if got.GetVersion() != highest || string(got.GetDocument()) != first[highest] {
				t.Fatalf("version %d %q, want %d %q", got.GetVersion(), got.GetDocument(), highest, first[highest])
			}
		}
	})
}

// leader returns the VM that leads, or nil.
func (w *world) leader() *vm {
	for _, v := range w.vms {
		if v.loop != nil && v.loop.leading() {
			return v
		}
	}
	return nil
}

// voters counts the voters by the leader's log.
func (w *world) voters() int {
	n := 0
	if l := w.leader(); l != nil {
		for _, m := range l.loop.core.Status().Membership.GetMembers() {
			if !m.GetLearner() {
				n++
			}
		}
	}
	return n
}

// A voter that is gone for good counts against the majority until it is
// removed; it is removed only when another VM has taken its place.
func TestLostVoterIsRemovedOnceReplaced(t *testing.T) {
	for _, vms := range []int{keepVoters, keepVoters + 1} {
		rapid.Check(t, func(t *rapid.T) {
			w := newWorldOf(t, faults{}, vms)
			for i := 0; w.voters() != vms; i++ {
				if i == 60 {
					t.Fatalf("%d of %d members vote after %v", w.voters(), vms, w.now)
				}
				w.run(500 * time.Millisecond)
			}
			for _, v := range w.vms {
				if v != w.leader() {
					w.kill(v)
					break
				}
			}
			w.run(removeAfter + 6*time.Second)
			if got, want := w.voters(), keepVoters; got != want {
				t.Fatalf("%d of %d voters are left, want %d", got, vms, want)
			}
		})
	}
}

// Guards against a catalog that is acknowledged while the fleet still forms and
// is gone, or blocks the fleet for good, with the disk of one of its first voters.
func TestFirstCatalogSurvivesALostDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, losses = 3, 1
		w := newFormingWorld(t, faults{}, vms, 2*losses+1)
		acknowledged := false
		for deadline := w.now + 30*time.Second; !acknowledged; w.run(50 * time.Millisecond) {
			if w.now > deadline {
				t.Fatal("the first catalog is not acknowledged")
			}
			l := w.leader()
			if l == nil {
				continue
			}
			put := &statev1.Command{Op: &statev1.Command_PutCatalog{PutCatalog: &statev1.PutCatalog{
				Catalog: &statev1.Catalog{Version: 1, Document: []byte("first")},
			}}}
			l.loop.submit(put, func(_ *statev1.Result, err error) { acknowledged = acknowledged || err == nil })
		}
		lost := w.vms[rapid.IntRange(0, vms-1).Draw(t, "lost")]
		w.kill(lost)
		lost.disk = faultfs.New(w.rand.IntN)
		w.start(lost)
		w.run(20 * time.Second)
		l := w.leader()
		if l == nil {
			t.Fatal("nobody leads after the loss of one disk")
		}
		if got := l.loop.machine.Catalog().GetVersion(); got != 1 {
			t.Fatalf("catalog version %d after the loss of one disk, want 1", got)
		}
	})
}

// Guards against a fleet that never takes its first catalog because one of its
// VMs does not start.
func TestFleetTakesChangesWithoutAVMThatNeverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFormingWorld(t, faults{}, 3, 3)
		w.kill(w.vms[2])
		w.run(formTimeout + 6*time.Second)
		acknowledged := false
		if l := w.leader(); l != nil {
			l.loop.submit(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}, func(_ *statev1.Result, err error) {
				acknowledged = err == nil
			})
		}
		w.run(time.Second)
		if !acknowledged {
			t.Fatal("two of three VMs take no change")
		}
	})
}

package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

// Guards against a catalog that is replaced by one with the same or a lower
// version. Catalogs arrive in any order, repeatedly, with different documents for
// one version, and across snapshots. The highest version must stay, with the first
// document that was put under that version.
func TestHighestCatalogVersionWins(t *testing.T) {
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

// leader returns the VM that leads, or nil if there is none. A suspended or
// partitioned VM does not count: it may not know yet that another one leads.
func (s *simulation) leader() *vm {
	for _, v := range s.vms {
		if v.loop != nil && !v.suspended && !v.partitioned && v.loop.leading() {
			return v
		}
	}
	return nil
}

// voters returns the number of voters in the log of the leader, or zero without a
// leader.
func (s *simulation) voters() int {
	n := 0
	if l := s.leader(); l != nil {
		for _, m := range l.loop.core.Status().Membership.GetMembers() {
			if !m.GetLearner() {
				n++
			}
		}
	}
	return n
}

// Guards against a voter that is down for good and still counts against the
// majority after another VM has replaced it, and against the removal of a voter
// that has no replacement.
func TestLostVoterIsRemovedOnceReplaced(t *testing.T) {
	for _, vms := range []int{minRemainingVoters, minRemainingVoters + 1} {
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulationOf(t, faults{}, vms)
			for i := 0; s.voters() != vms; i++ {
				if i == 60 {
					t.Fatalf("%d of %d members are voters after %v", s.voters(), vms, s.now)
				}
				s.run(500 * time.Millisecond)
			}
			for _, v := range s.vms {
				if v != s.leader() {
					s.kill(v)
					break
				}
			}
			s.run(voterRemovalDelay + 6*time.Second)
			if got, want := s.voters(), minRemainingVoters; got != want {
				t.Fatalf("%d of %d voters remain after one was killed, want %d", got, vms, want)
			}
		})
	}
}

// Guards against a catalog that is acknowledged while the fleet is still forming.
// The loss of the disk of one of the first voters would lose such a catalog or
// leave the fleet without a leader for good.
func TestFirstCatalogSurvivesALostDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, losses = 3, 1
		s := newFormingSimulation(t, faults{}, vms, 2*losses+1)
		acknowledged := false
		for deadline := s.now + 30*time.Second; !acknowledged; s.run(50 * time.Millisecond) {
			if s.now > deadline {
				t.Fatal("the first catalog was not acknowledged within 30 s")
			}
			l := s.leader()
			if l == nil {
				continue
			}
			put := &statev1.Command{Op: &statev1.Command_PutCatalog{PutCatalog: &statev1.PutCatalog{
				Catalog: &statev1.Catalog{Version: 1, Document: []byte("first")},
			}}}
			l.loop.submit(put, func(_ *statev1.Result, err error) { acknowledged = acknowledged || err == nil })
		}
		lost := s.vms[rapid.IntRange(0, vms-1).Draw(t, "lost")]
		s.kill(lost)
		lost.disk = faultfs.New(s.rand.IntN)
		s.start(lost)
		s.run(20 * time.Second)
		l := s.leader()
		if l == nil {
			t.Fatal("no member leads after the loss of one disk")
		}
		if got := l.loop.machine.Catalog().GetVersion(); got != 1 {
			t.Fatalf("catalog version %d after the loss of one disk, want 1", got)
		}
	})
}

// Guards against a fleet that never accepts its first catalog because one of its
// VMs does not start.
func TestFleetAcceptsChangesWithoutAVMThatNeverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFormingSimulation(t, faults{}, 3, 3)
		s.kill(s.vms[2])
		s.run(formationTimeout + 6*time.Second)
		acknowledged := false
		if l := s.leader(); l != nil {
			l.loop.submit(&statev1.Command{Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}, func(_ *statev1.Result, err error) {
				acknowledged = err == nil
			})
		}
		s.run(time.Second)
		if !acknowledged {
			t.Fatal("two of three VMs did not commit a change after formationTimeout")
		}
	})
}

// catalogCommand returns a catalog whose routes no other one has.
func catalogCommand(version uint64) *statev1.PutCatalog {
	return &statev1.PutCatalog{Catalog: &statev1.Catalog{Version: version, Document: []byte("document")}, StreamRoutes: version}
}

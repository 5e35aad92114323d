package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

const (
	// settleTime is how long after the start of a new control VM the platform
	// counts the former one as lost.
	settleTime = 4 * time.Second
	// recoveryTime is how long after all VMs are back a fleet may take to serve.
	recoveryTime = 12 * time.Second
)

// fleetSize is the number of control VMs and of the losses that they must tolerate
// at the same time.
type fleetSize struct{ vms, losses int }

var fleetSizes = []fleetSize{{3, 1}, {5, 1}, {5, 2}, {9, 2}}

// newFormedSimulation returns a simulation in which all VMs vote.
func newFormedSimulation(t *rapid.T, size fleetSize) *simulation {
	s := newFormingSimulation(t, faults{}, size.vms, 2*size.losses+1)
	for deadline := s.now + 30*time.Second; s.voters() != size.vms; s.run(500 * time.Millisecond) {
		if s.now > deadline {
			t.Fatalf("%d of %d VMs vote after 30 s", s.voters(), size.vms)
		}
	}
	s.run(time.Second) // until the last promotion is committed
	return s
}

// running returns the VMs that run, in the order in which they were added.
func (s *simulation) running() []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.loop != nil {
			out = append(out, v)
		}
	}
	return out
}

// pick returns n different VMs that run.
func (s *simulation) pick(n int) []*vm {
	candidates := s.running()
	var out []*vm
	for range n {
		i := proptest.IntN(s.t, len(candidates))
		out = append(out, candidates[i])
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
	return out
}

// addVM starts a VM with a name, an address and an empty disk of its own.
func (s *simulation) addVM() *vm {
	n := len(s.vms)
	v := &vm{sim: s, disk: faultfs.New(s.rand.IntN)}
	v.member = &statev1.Member{Vm: fmt.Sprint("vm", n), Address: fmt.Sprint("10.0.0.", n+1, ":1")}
	v.clock = &fakeClock{sim: s}
	s.vms = append(s.vms, v)
	s.start(v)
	return v
}

// replace stops VMs for good and starts as many new ones after a pause.
func (s *simulation) replace(old []*vm, pause time.Duration) {
	for _, v := range old {
		s.kill(v)
	}
	s.run(pause)
	for range old {
		s.addVM()
	}
}

// putCatalog submits a catalog until it is acknowledged.
func (s *simulation) putCatalog(version uint64) {
	acknowledged := false
	for deadline := s.now + recoveryTime; !acknowledged; s.run(50 * time.Millisecond) {
		if s.now > deadline {
			s.t.Fatalf("catalog %d was not acknowledged within %v", version, recoveryTime)
		}
		l := s.leader()
		if l == nil {
			continue
		}
		put := &statev1.Command{Op: &statev1.Command_PutCatalog{PutCatalog: &statev1.PutCatalog{
			Catalog: &statev1.Catalog{Version: version, Document: []byte("document")},
		}}}
		l.loop.submit(put, func(_ *statev1.Result, err error) { acknowledged = acknowledged || err == nil })
	}
}

// loseDisks restarts all VMs at the same time, some of them with an empty disk.
func (s *simulation) loseDisks(lost []*vm) {
	all := s.running()
	for _, v := range all {
		s.kill(v)
	}
	for _, v := range lost {
		v.disk = faultfs.New(s.rand.IntN)
	}
	for _, v := range all {
		s.start(v)
	}
}

// checkLeads fails unless a VM leads that has the catalog version.
func (s *simulation) checkLeads(version uint64) {
	l := s.leader()
	if l == nil {
		s.t.Fatalf("no VM leads %v after the disks were lost", recoveryTime)
	}
	if got := l.loop.machine.Catalog().GetVersion(); got != version {
		s.t.Fatalf("catalog version %d after the disks were lost, want %d", got, version)
	}
}

// Guards against control VMs that were replaced for good and still count against
// the majority, until the loss of a tolerated number of disks leaves no leader.
func TestReplacedVMsDoNotCountAgainstTheMajority(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs, %d losses", size.vms, size.losses), func(t *testing.T) {
			proptest.Check(t, 20, 1, func(t *rapid.T) {
				s := newFormedSimulation(t, size)
				for range 1 + proptest.IntN(t, 4) {
					pause := []time.Duration{500, 1000, 2000}[proptest.IntN(t, 3)] * time.Millisecond
					s.replace(s.pick(1+proptest.IntN(t, size.losses)), pause)
					s.run(settleTime)
				}
				s.putCatalog(1)
				s.loseDisks(s.pick(size.losses))
				s.run(recoveryTime)
				s.checkLeads(1)
			})
		})
	}
}

// Guards against a new control VM that cannot join, since learners that are gone
// fill the membership.
func TestLearnersThatAreGoneDoNotKeepNewVMsOut(t *testing.T) {
	proptest.Check(t, 10, 1, func(t *rapid.T) {
		s := newFormedSimulation(t, fleetSize{vms: 9, losses: 2})
		for range 5 {
			gone := s.addVM()
			for deadline := s.now + 5*time.Second; s.now < deadline && s.role(gone) == ""; s.run(10 * time.Millisecond) {
			}
			s.kill(gone)
			s.run(settleTime)
		}
		added := s.addVM()
		s.run(settleTime)
		if s.role(added) != "voter" {
			t.Fatalf("the new VM is %q after %v, want a voter", s.role(added), settleTime)
		}
	})
}

// role returns "voter" or "learner" as the leader's log says, or nothing.
func (s *simulation) role(v *vm) string {
	l := s.leader()
	if l == nil || v.loop == nil {
		return ""
	}
	m := findMember(l.loop.core.Status().Membership, v.loop.member.GetId())
	switch {
	case m == nil:
		return ""
	case m.GetLearner():
		return "learner"
	default:
		return "voter"
	}
}

// Guards against a VM that was frozen or partitioned, was removed meanwhile and
// does not vote again, and against a fleet that loses its majority by removals.
func TestVMsThatReturnVoteAgain(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs, %d losses", size.vms, size.losses), func(t *testing.T) {
			proptest.Check(t, 10, 1, func(t *rapid.T) {
				s := newFormedSimulation(t, size)
				for version := range uint64(3) {
					away := s.pick(1 + proptest.IntN(t, (size.vms-1)/2))
					frozen := proptest.IntN(t, 2) == 0
					setAway(away, frozen, !frozen)
					s.run(time.Duration(1+proptest.IntN(t, 15)) * time.Second)
					s.putCatalog(version + 1)
					setAway(away, false, false)
					s.run(recoveryTime)
					if got := s.voters(); got != size.vms {
						t.Fatalf("%d of %d VMs vote %v after %d returned", got, size.vms, recoveryTime, len(away))
					}
				}
				s.loseDisks(s.pick(size.losses))
				s.run(recoveryTime)
				s.checkLeads(3)
			})
		})
	}
}

// setAway freezes VMs or cuts them off, or ends that.
func setAway(vms []*vm, frozen, cut bool) {
	for _, v := range vms {
		v.suspended, v.partitioned = frozen, cut
	}
}

// Guards against removals of VMs that are frozen or cut off, together with
// replacements, that leave a fleet in which the loss of a tolerated number of disks
// leaves no leader or loses a change.
func TestReplacedAndReturningVMsKeepAMajority(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs, %d losses", size.vms, size.losses), func(t *testing.T) {
			proptest.Check(t, 20, 1, func(t *rapid.T) {
				s := newFormedSimulation(t, size)
				for range 1 + proptest.IntN(t, 3) {
					if proptest.IntN(t, 2) == 0 {
						s.replace(s.pick(1+proptest.IntN(t, size.losses)), time.Second)
					} else {
						away := s.pick(1 + proptest.IntN(t, (size.vms-1)/2))
						frozen := proptest.IntN(t, 2) == 0
						setAway(away, frozen, !frozen)
						s.run(time.Duration(1+proptest.IntN(t, 10)) * time.Second)
						setAway(away, false, false)
					}
					s.run(settleTime)
				}
				s.putCatalog(1)
				s.loseDisks(s.pick(size.losses))
				s.run(recoveryTime)
				s.checkLeads(1)
			})
		})
	}
}

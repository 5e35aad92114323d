package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

const (
	// ackTime is how long after all disks have room a change may stay without an
	// acknowledgement. The platform counts one that takes longer as lost.
	ackTime = 4 * time.Second
	// resendTime is how long a caller waits for an answer before it resends a change.
	resendTime = time.Second
	freeDisk   = 1 << 30
	// largeDocument is the size of a catalog of which a few make a member that was away
	// need a snapshot.
	largeDocument = 300 << 10
)

// restartAll starts the VMs whose processes stopped on a full disk.
func (s *simulation) restartAll() {
	for _, v := range s.vms {
		if s.restarts && v.loop == nil && !v.gone {
			s.start(v)
		}
	}
}

// backgroundWork is work that a loop started and whose result it gets later.
type backgroundWork struct {
	loop *loop
	ends time.Duration
	done func()
}

// background runs work at once. Where processes are started again, its result is late,
// so that the log may be reopened meanwhile.
func (s *simulation) background(l *loop, work, done func()) {
	work()
	if !s.restarts {
		done()
		return
	}
	s.working = append(s.working, backgroundWork{l, s.now + time.Duration(s.rand.IntN(500))*time.Millisecond, done})
}

func (s *simulation) finishBackground(l *loop) {
	for i := 0; i < len(s.working); {
		w := s.working[i]
		if w.loop != l || w.ends > s.now {
			i++
			continue
		}
		s.working = slices.Delete(s.working, i, i+1)
		w.done()
	}
}

// changeKinds are the kinds of changes that callers make, each with a new content.
var changeKinds = []struct {
	name    string
	command func(l *loop, id string) *statev1.Command
}{
	{"configuration", func(l *loop, id string) *statev1.Command {
		return &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
			BaseVersion: l.machine.Config().GetVersion(),
			Upserts:     &statev1.Config{Customers: []*statev1.Customer{{Name: "a", RateTokensPerSecond: 1, BurstTokens: 1}}},
		}}}
	}},
	{"catalog", func(l *loop, id string) *statev1.Command {
		return &statev1.Command{RequestId: id, Op: &statev1.Command_PutCatalog{PutCatalog: &statev1.PutCatalog{
			Catalog: &statev1.Catalog{Version: l.machine.Catalog().GetVersion() + 1, Document: l.cfg.Clock.(*fakeClock).sim.document()},
		}}}
	}},
	{"quarantine", func(l *loop, id string) *statev1.Command {
		return &statev1.Command{RequestId: id, Op: &statev1.Command_PutQuarantine{PutQuarantine: &statev1.PutQuarantine{
			Term: l.status.Term, Traits: []*statev1.QuarantinedTrait{{Trait: id, Crashes: 2}},
		}}}
	}},
	{"evacuation", func(l *loop, id string) *statev1.Command {
		evacuated := l.machine.EvacuationsVersion()%2 == 0
		return &statev1.Command{RequestId: id, Op: &statev1.Command_SetEvacuation{SetEvacuation: &statev1.SetEvacuation{DataCentre: "east", Evacuated: evacuated}}}
	}},
	{"claim", func(_ *loop, id string) *statev1.Command {
		return &statev1.Command{RequestId: id, Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}
	}},
}

// caller is a caller at one VM that resends a call until it is acknowledged.
type caller struct {
	name         string
	at           *vm
	call         func(done func(error))
	sent         time.Duration
	waiting      bool
	acknowledged bool
	lastError    error
}

// callers returns a caller for each kind of change, a sync and a read at each VM.
func (s *simulation) callers() []*caller {
	var out []*caller
	for _, v := range s.running() {
		for _, kind := range changeKinds {
			out = append(out, &caller{name: kind.name, at: v, call: func(done func(error)) { s.callChange(v, kind.command, done) }})
		}
		out = append(out,
			&caller{name: "sync", at: v, call: func(done func(error)) { s.callSync(v, done) }},
			&caller{name: "read", at: v, call: func(done func(error)) { v.loop.read(done) }})
	}
	return out
}

func (s *simulation) callChange(v *vm, command func(l *loop, id string) *statev1.Command, done func(error)) {
	to := s.leaderFor(v)
	if to == nil {
		done(noLeader("no leader is known"))
		return
	}
	c := command(to.loop, fmt.Sprint("r", s.rand.Uint64()))
	to.loop.submit(c, func(r *statev1.Result, err error) {
		switch {
		case notProposed(err):
			s.refused[c.GetRequestId()] = true
		case err == nil && r.GetCode() != 0:
			err = resultcode.New(resultcode.Code(r.GetCode()), "%s", r.GetMessage())
		case err == nil && c.GetConfigChange() != nil:
			s.recordResult(&change{command: c}, r)
		}
		done(err)
	})
}

// notProposed reports whether an error promises that the change is never applied.
func notProposed(err error) bool {
	var other *notLeaderError
	code := resultcode.Of(err)
	return err != nil && (errors.As(err, &other) || code == resultcode.NoLeader || code == resultcode.DiskFull)
}

func (s *simulation) callSync(v *vm, done func(error)) {
	to := s.leaderFor(v)
	if to == nil {
		done(noLeader("no leader is known"))
		return
	}
	e := &statev1.EntrySync{Session: &statev1.Session{Vm: "entry-" + v.member.GetVm(), Incarnation: "1"}, Seq: s.rand.Uint64()}
	to.loop.queueSync(e, func(_ *statev1.EntrySyncResult, err error) { done(err) })
}

// resend sends the calls that were refused, or not answered for resendTime. It
// returns the callers without an acknowledgement.
func (s *simulation) resend(callers []*caller) []*caller {
	var left []*caller
	for _, c := range callers {
		if c.acknowledged {
			continue
		}
		left = append(left, c)
		if c.at.loop == nil || c.waiting && s.now-c.sent < resendTime {
			continue
		}
		c.waiting, c.sent = true, s.now
		answered := false
		c.call(func(err error) {
			if answered {
				s.t.Fatalf("%s at %s was answered twice, the second time with %v", c.name, c.at.member.GetVm(), err)
			}
			answered, c.waiting, c.lastError = true, false, err
			c.acknowledged = c.acknowledged || err == nil
		})
	}
	return left
}

// checkServes fails unless each kind of change and a read are acknowledged at each VM
// within ackTime.
func (s *simulation) checkServes() {
	callers := s.callers()
	for deadline := s.now + ackTime; ; s.run(20 * time.Millisecond) {
		left := s.resend(callers)
		if len(left) == 0 {
			return
		}
		if s.now > deadline {
			c := left[0]
			s.t.Fatalf("%d calls are not acknowledged %v after all disks have room: first, %s at %s, last error %v\n%s",
				len(left), ackTime, c.name, c.at.member.GetVm(), c.lastError, s.describe())
		}
	}
}

// describe returns the state of each VM for the message of a failure.
func (s *simulation) describe() string {
	out := ""
	for _, v := range s.vms {
		if v.loop == nil {
			out += fmt.Sprintf("%s is down\n", v.member.GetVm())
			continue
		}
		x := v.loop.core.Status()
		out += fmt.Sprintf("%s %016x %v term %d leader %016x commit %d applied %d/%d last %d snapshot %d members %v\n", v.member.GetVm(),
			x.ID, x.Role, x.Term, x.Leader, x.Commit, x.Applied, v.loop.applied, x.LastIndex, x.SnapshotIndex, x.Membership.GetMembers())
	}
	return out
}

// document returns the content of a catalog; where documents are large, one in twelve is.
func (s *simulation) document() []byte {
	if s.largeDocuments && s.rand.IntN(12) == 0 {
		return make([]byte, largeDocument)
	}
	return []byte("document")
}

// newDiskSimulation returns a fleet whose processes are started again when they stop,
// and whose callers may send large catalogs.
func newDiskSimulation(t *rapid.T, size fleetSize) *simulation {
	s := newFormedSimulation(t, size)
	s.restarts, s.refused = true, map[string]bool{}
	s.largeDocuments = proptest.IntN(t, 4) == 0
	return s
}

// fill makes the disk of a VM full in one of the ways that a real one can be.
func (s *simulation) fill(v *vm) {
	ops := []faultfs.Op{faultfs.OpCreate, faultfs.OpWrite, faultfs.OpSync, faultfs.OpRename, faultfs.OpSyncDir}
	if way := proptest.IntN(s.t, 10); way < len(ops) {
		v.disk.FillAt(ops[way], proptest.IntN(s.t, 4))
		return
	}
	v.disk.SetFreeBytes(proptest.IntN(s.t, 800))
}

// callWhile runs the simulation while callers call, whatever the answers are.
func (s *simulation) callWhile(d time.Duration) {
	callers := s.callers()
	for end := s.now + d; s.now < end; s.run(50 * time.Millisecond) {
		if len(s.resend(callers)) == 0 {
			callers = s.callers()
		}
	}
}

// fillInTurn fills the disks of all VMs one after another, never two at once. While
// one is full, it may have room for single writes in between.
func (s *simulation) fillInTurn() {
	order := slices.Clone(s.vms)
	for i := range order {
		k := i + proptest.IntN(s.t, len(order)-i)
		order[i], order[k] = order[k], order[i]
	}
	for _, v := range order {
		s.fill(v)
		for range proptest.IntN(s.t, 4) {
			s.callWhile(time.Duration(100+proptest.IntN(s.t, 900)) * time.Millisecond)
			v.disk.SetFreeBytes(proptest.IntN(s.t, 3000))
			if proptest.IntN(s.t, 2) == 0 {
				s.fill(v)
			}
		}
		s.callWhile(time.Duration(100+proptest.IntN(s.t, 4000)) * time.Millisecond)
		v.disk.SetFreeBytes(freeDisk)
		s.callWhile([]time.Duration{10, 500, 2000}[proptest.IntN(s.t, 3)] * time.Millisecond)
	}
}

// Guards against a fleet that acknowledges no change, or answers none, after the disks
// of its VMs were full in turn and have room again.
func TestDisksFullInTurnLeaveAFleetThatServes(t *testing.T) {
	for _, size := range []fleetSize{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d VMs, %d losses", size.vms, size.losses), func(t *testing.T) {
			proptest.Check(t, 4, 1, func(t *rapid.T) {
				s := newDiskSimulation(t, size)
				for range 1 + proptest.IntN(t, 2) {
					s.fillInTurn()
				}
				s.restartAll()
				s.checkServes()
				s.run(recoveryTime)
				s.checkServes()
				s.checkSettled()
			})
		})
	}
}

// checkSettled fails unless all VMs vote, have each acknowledged change and none that
// was refused, and have answered every call.
func (s *simulation) checkSettled() {
	s.run(2 * time.Second)
	if n := s.voters(); n != len(s.running()) {
		s.t.Fatalf("%d of %d VMs vote\n%s", n, len(s.running()), s.describe())
	}
	for _, v := range s.running() {
		l, history := v.loop, map[uint64]string{}
		if l.unsavedSnapshot != nil {
			s.t.Fatalf("%s has not saved its snapshot at index %d", v.member.GetVm(), l.unsavedSnapshot.GetIndex())
		}
		for _, info := range l.machine.History(0) {
			history[info.GetVersion()] = info.GetRequestId()
			if s.refused[info.GetRequestId()] {
				s.t.Fatalf("%s has change %s, which was refused", v.member.GetVm(), info.GetRequestId())
			}
		}
		for version, id := range s.accepted {
			if got, ok := history[version]; ok && got != id || version > l.machine.Config().GetVersion() {
				s.t.Fatalf("%s has change %q as version %d, but %q was accepted", v.member.GetVm(), got, version, id)
			}
		}
		if n := len(l.deferred) + len(l.pendingSyncs) + len(l.reads.confirmed) + len(l.reads.unconfirmed); n != 0 {
			s.t.Fatalf("%s has %d unanswered calls", v.member.GetVm(), n)
		}
		for index, p := range l.pending {
			if s.now-p.started > resendTime {
				s.t.Fatalf("%s has had an unanswered proposal at index %d for %v\n%s", v.member.GetVm(), index, s.now-p.started, s.describe())
			}
		}
	}
}

// replaceLater stops a VM for good, other than the given one, and starts another.
func (s *simulation) replaceLater(keep *vm) {
	var others []*vm
	for _, v := range s.running() {
		if v != keep {
			others = append(others, v)
		}
	}
	if len(others) == 0 {
		return
	}
	old := others[proptest.IntN(s.t, len(others))]
	old.gone = true
	s.kill(old)
	s.callWhile(time.Duration(proptest.IntN(s.t, 1500)) * time.Millisecond)
	s.addVM()
}

// Guards against a change of the membership that a full disk of the leader leaves
// unfinished, and that blocks later changes.
func TestFullDiskWithinAReplacementLeavesAFleetThatServes(t *testing.T) {
	for _, size := range []fleetSize{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d VMs, %d losses", size.vms, size.losses), func(t *testing.T) {
			proptest.Check(t, 4, 1, func(t *rapid.T) {
				s := newDiskSimulation(t, size)
				for range 1 + proptest.IntN(t, 3) {
					full := s.leader()
					if full == nil || proptest.IntN(t, 3) == 0 {
						full = s.pick(1)[0]
					}
					early := proptest.IntN(t, 2) == 0
					if early {
						s.fill(full)
						s.callWhile(time.Duration(proptest.IntN(t, 500)) * time.Millisecond)
					}
					s.replaceLater(full)
					if !early {
						s.callWhile(time.Duration(proptest.IntN(t, 1500)) * time.Millisecond)
						s.fill(full)
					}
					s.callWhile(time.Duration(500+proptest.IntN(t, 4000)) * time.Millisecond)
					full.disk.SetFreeBytes(freeDisk)
					s.restartAll()
					s.run(settleTime)
				}
				s.run(recoveryTime)
				s.checkServes()
				s.checkSettled()
			})
		})
	}
}

// Guards against an event loop that a full disk never leaves: a member that saved a
// snapshot, but not the term of its leader, has something to save at each start.
func TestFullDiskAfterASnapshotDoesNotBlockTheLoop(t *testing.T) {
	proptest.Check(t, 1, 1, func(t *rapid.T) {
		s := &simulation{t: t, rand: rand.New(rand.NewPCG(1, 1)), accepted: map[uint64]string{}}
		v := &vm{sim: s, disk: faultfs.New(s.rand.IntN), member: &statev1.Member{Vm: "vm0", Address: "10.0.0.1:1"}, clock: &fakeClock{sim: s}}
		s.vms = []*vm{v}
		s.start(v)
		s.must(v.loop.install(&statev1.Membership{Members: []*statev1.Member{v.loop.member}}))
		v.disk.SetFreeBytes(0)
		s.run(2 * time.Second)
		v.disk.SetFreeBytes(freeDisk)
		s.run(2 * time.Second)
		if !v.loop.leading() {
			t.Fatal("the VM does not lead 2 s after its disk has room")
		}
	})
}

package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

// fakeClock is the clock of one VM in simulated time. Tests change wallOffset to
// simulate jumps of the wall clock.
type fakeClock struct {
	sim        *simulation
	wallOffset time.Duration
}

func (c *fakeClock) Now() time.Duration { return c.sim.now }
func (c *fakeClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.sim.now + c.wallOffset) }

// vm is one control VM with its disk. loop is nil while it is down.
type vm struct {
	sim         *simulation
	member      *statev1.Member
	disk        *faultfs.FS
	clock       *fakeClock
	loop        *loop
	partitioned bool // cannot reach the other VMs
	suspended   bool // resumes with its old state; packets to it are kept
	gone        bool // is not started again
	// opens is the number of times that the log was opened at openedAt.
	opens    int
	openedAt time.Duration
}

// maxOpens is the number of times that a VM may open its log within one step of the
// simulation. More mean that its event loop is busy with a full disk only.
const maxOpens = 40

// countingFS counts the locks of the data folder, and so the times that it was opened.
type countingFS struct {
	*faultfs.FS
	vm *vm
}

// Lock implements wal.FS.
func (f countingFS) Lock(name string) (io.Closer, error) {
	v := f.vm
	if v.openedAt != v.sim.now {
		v.opens, v.openedAt = 0, v.sim.now
	}
	if v.opens++; v.opens > maxOpens {
		v.sim.t.Fatalf("%s opened its log %d times within one step", v.member.GetVm(), v.opens)
	}
	return f.FS.Lock(name)
}

type packet struct {
	from, to string
	message  *statev1.Message
}

// Send implements Transport.
func (v *vm) Send(to *statev1.Member, messages []*statev1.Message) {
	for _, m := range messages {
		v.sim.packets = append(v.sim.packets, packet{v.member.GetAddress(), to.GetAddress(), m})
	}
}

var errNotSimulated = errors.New("the simulation makes the calls between loops itself")

func (v *vm) Propose(context.Context, *statev1.Member, *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	return nil, errNotSimulated
}

func (v *vm) Sync(context.Context, *statev1.Member, *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	return nil, errNotSimulated
}

func (v *vm) Join(context.Context, *statev1.Member, *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return nil, errNotSimulated
}

func (v *vm) Bootstrap(context.Context, *statev1.Member, *peerv1.BootstrapRequest) (*peerv1.BootstrapResponse, error) {
	return nil, errNotSimulated
}

// change is one configuration change of an operator. firstResult is the first
// result that was received for it.
type change struct {
	command     *statev1.Command
	firstResult *statev1.Result
}

// simulation runs several loops with simulated time, network and disks.
type simulation struct {
	t        *rapid.T
	rand     *rand.Rand
	now      time.Duration
	vms      []*vm
	packets  []packet
	faults   faults
	changes  []*change
	accepted map[uint64]string // request identifier by version
	newest   uint64            // newest accepted version
	// minVoters is Config.MinVoters of every VM.
	minVoters int
	// restarts says that processes which stop on a full disk are started again.
	restarts bool
	// working is the background work that is not finished.
	working []backgroundWork
	// largeDocuments says that some of the catalogs that callers send are large.
	largeDocuments bool
	// refused has the request identifiers of changes that must not be applied.
	refused map[string]bool
}

const simulatedVMs = 3

func newSimulation(t *rapid.T, f faults) *simulation { return newSimulationOf(t, f, simulatedVMs) }

func newSimulationOf(t *rapid.T, f faults, vms int) *simulation {
	s := newFormingSimulation(t, f, vms, 0)
	s.run(8 * time.Second)
	return s
}

// newFormingSimulation returns a simulation whose first VM has just bootstrapped a
// fleet.
func newFormingSimulation(t *rapid.T, f faults, vms, minVoters int) *simulation {
	s := &simulation{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		faults: f, accepted: map[uint64]string{}, minVoters: minVoters,
	}
	for i := range vms {
		v := &vm{sim: s, disk: faultfs.New(s.rand.IntN)}
		v.member = &statev1.Member{Vm: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i+1, ":1")}
		v.clock = &fakeClock{sim: s}
		s.vms = append(s.vms, v)
		s.start(v)
	}
	s.must(s.vms[0].loop.install(&statev1.Membership{Members: []*statev1.Member{s.vms[0].loop.member}}))
	return s
}

// Read implements io.Reader for Config.IDSource. The member identifiers come from
// the seeded generator so that a run can be repeated.
func (s *simulation) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rand.Uint32())
	}
	return len(p), nil
}

func (s *simulation) must(err error) {
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) start(v *vm) {
	l, err := newLoop(Config{
		Dir: "data", FS: countingFS{v.disk, v}, Member: v.member, Transport: v, Clock: v.clock, Rand: s.rand.IntN, IDSource: s, Metrics: noMetrics{},
		MinVoters: s.minVoters,
	})
	if s.stops(err) {
		s.kill(v)
		return
	}
	s.must(err)
	l.faults = s.faults
	l.snapshotEntries = 20
	l.background = func(work, done func()) { s.background(l, work, done) }
	v.loop = l
}

// stops reports whether an error stops the process of a VM as intended: after a
// failed sync, and on a full disk if the log can't be opened or is unusable.
func (s *simulation) stops(err error) bool {
	return errors.Is(err, wal.ErrSync) || s.restarts && errors.Is(err, syscall.ENOSPC)
}

func (s *simulation) kill(v *vm) {
	v.loop = nil
	v.disk.Crash()
}

// run advances the simulated time in steps of 10 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 10 * time.Millisecond
		s.deliver()
		tick := s.now%tickInterval == 0
		for _, v := range s.vms {
			if v.loop == nil || v.suspended {
				continue
			}
			if tick {
				v.loop.tick()
			}
			s.finishBackground(v.loop)
			if err := v.loop.handleAllReady(); s.stops(err) {
				s.kill(v)
				continue
			} else if err != nil {
				s.t.Fatal(err)
			}
			if limit := uint64(s.now / time.Millisecond); v.loop.machine.FleetTime() > limit {
				s.t.Fatalf("fleet time is %d ms after %d ms of simulated time", v.loop.machine.FleetTime(), limit)
			}
		}
		if s.now%joinInterval == 0 {
			s.restartAll()
			s.joinAll()
		}
	}
}

// deliver delivers the packets of the last step. Some of them are dropped, delayed
// or duplicated.
func (s *simulation) deliver() {
	packets := s.packets
	s.packets = nil
	for _, p := range packets {
		to := s.vmAt(p.to)
		if to.suspended {
			s.packets = append(s.packets, p)
			continue
		}
		switch s.rand.IntN(40) {
		case 0:
			continue
		case 1:
			s.packets = append(s.packets, p)
			continue
		case 2:
			s.packets = append(s.packets, p)
		}
		if to.loop != nil && !to.partitioned && !s.vmAt(p.from).partitioned {
			s.must(to.loop.step([]*statev1.Message{p.message}))
		}
	}
}

func (s *simulation) vmAt(address string) *vm {
	for _, v := range s.vms {
		if v.member.GetAddress() == address {
			return v
		}
	}
	return nil
}

// leaderFor returns the VM that serves a call made at v: v itself if it leads, or
// the leader that v knows. It returns nil if that leader cannot be reached.
func (s *simulation) leaderFor(v *vm) *vm {
	if v.loop.leading() {
		return v
	}
	m := v.loop.lookup(v.loop.status.Leader)
	if m == nil || v.partitioned {
		return nil
	}
	to := s.vmAt(m.GetAddress())
	if to.loop == nil || to.partitioned || to.suspended || to.loop.member.GetId() != m.GetId() {
		return nil
	}
	return to
}

// joinAll sends join requests of the members that have not joined to every leader.
func (s *simulation) joinAll() {
	for _, v := range s.vms {
		if v.loop == nil || v.suspended || !v.loop.mustJoin() || v.partitioned {
			continue
		}
		for _, peer := range s.vms {
			if peer.loop == nil || peer.partitioned || peer.suspended || !peer.loop.leading() {
				continue
			}
			joining := v.loop
			peer.loop.join(&peerv1.JoinRequest{Member: joining.member}, func(r *peerv1.JoinResponse, err error) {
				if err == nil {
					joining.addKnownMembers(r.GetMembership())
				}
			})
		}
	}
}

// send submits a change at a VM, which forwards it to the leader that it knows.
func (s *simulation) send(v *vm, c *change) {
	to := s.leaderFor(v)
	if to == nil {
		return
	}
	to.loop.propose(c.command, func(r *statev1.Result, err error) {
		if err == nil {
			s.recordResult(c, r)
		}
	})
}

// recordResult checks a result against the earlier results of the same change and
// of the same version, and records it.
func (s *simulation) recordResult(c *change, r *statev1.Result) {
	if c.firstResult == nil {
		c.firstResult = r
	}
	if r.GetCode() != c.firstResult.GetCode() || r.GetConfigVersion() != c.firstResult.GetConfigVersion() {
		s.t.Fatalf("change %s got the result %v, its first result was %v", c.command.GetRequestId(), r, c.firstResult)
	}
	if r.GetCode() != 0 {
		return
	}
	if won := s.accepted[r.GetConfigVersion()]; won != "" && won != c.command.GetRequestId() {
		s.t.Fatalf("version %d was assigned to the changes %s and %s", r.GetConfigVersion(), won, c.command.GetRequestId())
	}
	s.accepted[r.GetConfigVersion()] = c.command.GetRequestId()
	s.newest = max(s.newest, r.GetConfigVersion())
}

// read checks that a linearizable read shows every version that was accepted
// before it began.
func (s *simulation) read(v *vm) {
	newest, l := s.newest, v.loop
	v.loop.read(func(err error) {
		if version := l.machine.Config().GetVersion(); err == nil && version < newest {
			s.t.Fatalf("a confirmed read at %s shows version %d, %d was accepted before", v.member.GetVm(), version, newest)
		}
	})
}

func (s *simulation) newChange(base uint64) *change {
	id := fmt.Sprint("r", len(s.changes))
	c := &change{command: &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: base,
		Upserts:     &statev1.Config{Customers: []*statev1.Customer{{Name: id, RateTokensPerSecond: 1, BurstTokens: 1}}},
	}}}}
	s.changes = append(s.changes, c)
	return c
}

// step performs one random operator call, failure or recovery.
func (s *simulation) step() {
	v := s.vms[proptest.IntN(s.t, len(s.vms))]
	action := proptest.IntN(s.t, 14)
	switch {
	case v.suspended:
		v.suspended = false
	case v.loop == nil:
		s.start(v)
	case action < 4:
		// Two operators submit changes with the same base version, possibly at
		// different VMs.
		base := v.loop.machine.Config().GetVersion()
		s.send(v, s.newChange(base))
		if other := s.vms[proptest.IntN(s.t, len(s.vms))]; other.loop != nil && !other.suspended {
			s.send(other, s.newChange(base))
		}
	case action < 6:
		if len(s.changes) > 0 {
			s.send(v, s.changes[proptest.IntN(s.t, len(s.changes))])
		}
	case action < 8:
		s.read(v)
	case action == 8:
		s.kill(v)
	case action == 9:
		v.partitioned = !v.partitioned
	case action == 10:
		v.clock.wallOffset += time.Duration(proptest.IntN(s.t, 3)-1) * time.Hour
	case action == 13:
		v.suspended = true
	case action == 12:
		v.disk.FailSync(proptest.IntN(s.t, 4))
	case action == 11 && proptest.IntN(s.t, 3) == 0:
		s.loseDisk(v)
	}
}

// loseDisk wipes the disk of a VM if all VMs are up and have joined. Otherwise a
// majority could lose its disks, and no protocol keeps changes in that case.
func (s *simulation) loseDisk(v *vm) {
	for _, x := range s.vms {
		if x.loop == nil || x.partitioned || x.suspended || !x.loop.joined() || len(x.loop.core.Status().Membership.GetMembers()) != simulatedVMs {
			return
		}
	}
	v.loop = nil
	v.disk.Wipe()
	s.start(v)
}

func loopProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(t, f)
		for range 10 + proptest.IntN(t, 30) {
			s.step()
			s.run([]time.Duration{10, 100, 700, 3000}[proptest.IntN(t, 4)] * time.Millisecond)
		}
		s.heal()
		s.check()
	}
}

// heal ends all failures and gives the fleet 15 s to recover.
func (s *simulation) heal() {
	for _, v := range s.vms {
		v.partitioned, v.suspended = false, false
		v.disk.FailSync(1 << 30)
		if v.loop == nil {
			s.start(v)
		}
	}
	s.run(15 * time.Second)
}

// check fails unless every VM has joined and has all accepted changes in its
// history, and all state machines with the same applied index are equal.
func (s *simulation) check() {
	for _, v := range s.vms {
		history := map[uint64]string{}
		for _, info := range v.loop.machine.History(0) {
			history[info.GetVersion()] = info.GetRequestId()
		}
		for version, id := range s.accepted {
			if history[version] != id {
				s.t.Fatalf("%s has change %q as version %d, but %q was accepted", v.member.GetVm(), history[version], version, id)
			}
		}
		if n := len(v.loop.core.Status().Membership.GetMembers()); n != simulatedVMs || !v.loop.joined() {
			s.t.Fatalf("%s sees %d members, joined: %v", v.member.GetVm(), n, v.loop.joined())
		}
		for _, x := range s.vms {
			if x.loop.applied != v.loop.applied {
				continue
			}
			a, errA := v.loop.machine.Snapshot()
			b, errB := x.loop.machine.Snapshot()
			if errA != nil || errB != nil || string(a) != string(b) {
				s.t.Fatalf("%s and %s differ at index %d", v.member.GetVm(), x.member.GetVm(), v.loop.applied)
			}
		}
	}
}

// Guards against accepted changes that are lost or reverted, two changes accepted
// for one version, a different result for a repeated change, stale linearizable
// reads, fleet time that runs faster than real time, and recovery that does not
// finish. The failures are kills, partitions, suspended members, failed disk syncs,
// lost disks and steps of the wall clock.
func TestAcceptedChangesSurvive(t *testing.T) { proptest.Check(t, 150, 1, loopProperty(faults{})) }

// Checks that the property fails if proposals are answered before the commit.
func TestPropertyDetectsEarlyAnswers(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{answerEarly: true}))
}

// Checks that the property fails if reads are answered without confirmation.
func TestPropertyDetectsUnconfirmedReads(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{unconfirmedReads: true}))
}

// Checks that the property fails if fleet time is taken from the wall clock.
func TestPropertyDetectsWallClockFleetTime(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{wallFleetTime: true}))
}

// Guards against accepted changes that are lost on a full disk, a full disk that is
// not reported with the code DiskFull, and a log that accepts no changes after space
// was freed.
func TestFullDiskRefusesProposals(t *testing.T) {
	proptest.Check(t, 20, 1, func(t *rapid.T) {
		s := newSimulation(t, faults{})
		for _, v := range s.vms {
			v.disk.SetFreeBytes(proptest.IntN(t, 600))
		}
		refused := 0
		for range 40 {
			v := s.vms[proptest.IntN(t, len(s.vms))]
			c := s.newChange(v.loop.machine.Config().GetVersion())
			v.loop.propose(c.command, func(r *statev1.Result, err error) {
				switch resultcode.Of(err) {
				case resultcode.OK:
					s.recordResult(c, r)
				case resultcode.DiskFull:
					refused++
				}
			})
			s.run(200 * time.Millisecond)
		}
		if refused == 0 {
			t.Fatal("no change was refused with DiskFull")
		}
		for _, v := range s.vms {
			v.disk.SetFreeBytes(1 << 30)
		}
		s.heal()
		before := s.newest
		s.send(s.vms[0], s.newChange(s.vms[0].loop.machine.Config().GetVersion()))
		s.run(2 * time.Second)
		if s.newest == before {
			t.Fatal("no change was accepted after disk space was freed")
		}
		s.check()
	})
}

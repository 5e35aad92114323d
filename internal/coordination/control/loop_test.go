package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// fakeClock is one VM's view of the simulated time. Its wall clock is stepped.
type fakeClock struct {
	world *world
	step  time.Duration
}

func (c *fakeClock) Now() time.Duration { return c.world.now }
func (c *fakeClock) Wall() time.Time    { return time.UnixMilli(0).Add(c.world.now + c.step) }

// vm is one control VM with its disk. loop is nil while it is down.
type vm struct {
	world  *world
	member *statev1.Member
	disk   *faultfs.FS
	clock  *fakeClock
	loop   *loop
	cut    bool
	frozen bool // suspended: it wakes up with its old state and its mail
}

type packet struct {
	from, to string
	message  *statev1.Message
}

// Send implements Transport.
func (v *vm) Send(to *statev1.Member, messages []*statev1.Message) {
	for _, m := range messages {
		v.world.packets = append(v.world.packets, packet{v.member.GetAddress(), to.GetAddress(), m})
	}
}

var errNotSimulated = errors.New("calls between loops are made by the test")

func (v *vm) Propose(context.Context, *statev1.Member, *peerv1.ProposeRequest) (*peerv1.ProposeResponse, error) {
	return nil, errNotSimulated
}

func (v *vm) Sync(context.Context, *statev1.Member, *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	return nil, errNotSimulated
}

func (v *vm) Join(context.Context, *statev1.Member, *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	return nil, errNotSimulated
}

// change is one operator's change. first is its first known result.
type change struct {
	command *statev1.Command
	first   *statev1.Result
}

// world runs several loops on simulated time, network and disks.
type world struct {
	t        *rapid.T
	rand     *rand.Rand
	now      time.Duration
	vms      []*vm
	packets  []packet
	faults   faults
	changes  []*change
	accepted map[uint64]string // request by version
	newest   uint64            // newest accepted version
	// minVoters is the setting of every VM.
	minVoters int
}

const simulatedVMs = 3

func newWorld(t *rapid.T, f faults) *world { return newWorldOf(t, f, simulatedVMs) }

func newWorldOf(t *rapid.T, f faults, vms int) *world {
	w := newFormingWorld(t, f, vms, 0)
	w.run(8 * time.Second)
	return w
}

// newFormingWorld returns a world whose first VM has just started a fleet.
func newFormingWorld(t *rapid.T, f faults, vms, minVoters int) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		faults: f, accepted: map[uint64]string{}, minVoters: minVoters,
	}
	for i := range vms {
		v := &vm{world: w, disk: faultfs.New(w.rand.IntN)}
		v.member = &statev1.Member{Vm: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i+1, ":1")}
		v.clock = &fakeClock{world: w}
		w.vms = append(w.vms, v)
		w.start(v)
	}
	w.must(w.vms[0].loop.bootstrap())
	return w
}

// Read is the source of member identifiers: without a seed for it, a run could
// not be repeated.
func (w *world) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(w.rand.Uint32())
	}
	return len(p), nil
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) start(v *vm) {
	l, err := newLoop(Config{
		Dir: "data", FS: v.disk, Member: v.member, Transport: v, Clock: v.clock, Rand: w.rand.IntN, Random: w, Metrics: noMetrics{},
		MinVoters: w.minVoters,
	})
	if errors.Is(err, wal.ErrSync) {
		w.kill(v)
		return
	}
	w.must(err)
	l.faults = w.faults
	l.snapshotEntries = 20
	v.loop = l
}

func (w *world) kill(v *vm) {
	v.loop = nil
	v.disk.Crash()
}

// run lets time pass in steps of 10 ms.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		w.deliver()
		tick := w.now%tickInterval == 0
		for _, v := range w.vms {
			if v.loop == nil || v.frozen {
				continue
			}
			if tick {
				v.loop.tick()
			}
			if err := v.loop.process(); errors.Is(err, wal.ErrSync) {
				w.kill(v)
				continue
			} else if err != nil {
				w.t.Fatal(err)
			}
			if limit := uint64(w.now / time.Millisecond); v.loop.machine.FleetTime() > limit {
				w.t.Fatalf("fleet time is %d ms after %d ms of real time", v.loop.machine.FleetTime(), limit)
			}
		}
		if w.now%joinInterval == 0 {
			w.joinAll()
		}
	}
}

// deliver hands over the packets of the last step, some lost, late or repeated.
func (w *world) deliver() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		to := w.at(p.to)
		if to.frozen {
			w.packets = append(w.packets, p)
			continue
		}
		switch w.rand.IntN(40) {
		case 0:
			continue
		case 1:
			w.packets = append(w.packets, p)
			continue
		case 2:
			w.packets = append(w.packets, p)
		}
		if to.loop != nil && !to.cut && !w.at(p.from).cut {
			w.must(to.loop.step([]*statev1.Message{p.message}))
		}
	}
}

func (w *world) at(address string) *vm {
	for _, v := range w.vms {
		if v.member.GetAddress() == address {
			return v
		}
	}
	return nil
}

// leaderFor returns the VM that a call at v ends at: v itself, or the leader
// that v knows. It is nil if that one cannot be reached.
func (w *world) leaderFor(v *vm) *vm {
	if v.loop.leading() {
		return v
	}
	m := v.loop.lookup(v.loop.status.Leader)
	if m == nil || v.cut {
		return nil
	}
	to := w.at(m.GetAddress())
	if to.loop == nil || to.cut || to.frozen || to.loop.member.GetId() != m.GetId() {
		return nil
	}
	return to
}

// joinAll lets members that are not in the fleet yet ask whoever leads.
func (w *world) joinAll() {
	for _, v := range w.vms {
		if v.loop == nil || v.cut || v.frozen || v.loop.joined() {
			continue
		}
		for _, peer := range w.vms {
			if peer.loop == nil || peer.cut || peer.frozen || !peer.loop.leading() {
				continue
			}
			joining := v.loop
			peer.loop.join(&peerv1.JoinRequest{Member: joining.member}, func(r *peerv1.JoinResponse, err error) {
				if err == nil {
					joining.learnContacts(r.GetMembership())
				}
			})
		}
	}
}

// send brings a change to a VM, which forwards it to the leader that it knows.
func (w *world) send(v *vm, c *change) {
	to := w.leaderFor(v)
	if to == nil {
		return
	}
	to.loop.propose(c.command, func(r *statev1.Result, err error) {
		if err == nil {
			w.learn(c, r)
		}
	})
}

// learn compares a result with what is known.
func (w *world) learn(c *change, r *statev1.Result) {
	if c.first == nil {
		c.first = r
	}
	if r.GetCode() != c.first.GetCode() || r.GetConfigVersion() != c.first.GetConfigVersion() {
		w.t.Fatalf("%s got %v, first it got %v", c.command.GetRequestId(), r, c.first)
	}
	if r.GetCode() != 0 {
		return
	}
	if won := w.accepted[r.GetConfigVersion()]; won != "" && won != c.command.GetRequestId() {
		w.t.Fatalf("version %d was given to %s and to %s", r.GetConfigVersion(), won, c.command.GetRequestId())
	}
	w.accepted[r.GetConfigVersion()] = c.command.GetRequestId()
	w.newest = max(w.newest, r.GetConfigVersion())
}

// read compares a confirmed read with what was accepted when it began.
func (w *world) read(v *vm) {
	newest, machine := w.newest, v.loop
	v.loop.read(func(err error) {
		if version := machine.machine.Config().GetVersion(); err == nil && version < newest {
			w.t.Fatalf("a confirmed read at %s shows version %d, %d was accepted before", v.member.GetVm(), version, newest)
		}
	})
}

func (w *world) newChange(base uint64) *change {
	id := fmt.Sprint("r", len(w.changes))
	c := &change{command: &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: base,
		Upserts:     &statev1.Config{Customers: []*statev1.Customer{{Name: id, RateTokensPerSecond: 1, BurstTokens: 1}}},
	}}}}
	w.changes = append(w.changes, c)
	return c
}

// step is one operator's call or one failure.
func (w *world) step() {
	v := w.vms[proptest.Choose(w.t, len(w.vms))]
	action := proptest.Choose(w.t, 14)
	switch {
	case v.frozen:
		v.frozen = false
	case v.loop == nil:
		w.start(v)
	case action < 4:
		// Two operators race on one base version, through different VMs.
		base := v.loop.machine.Config().GetVersion()
		w.send(v, w.newChange(base))
		if other := w.vms[proptest.Choose(w.t, len(w.vms))]; other.loop != nil && !other.frozen {
			w.send(other, w.newChange(base))
		}
	case action < 6:
		if len(w.changes) > 0 {
			w.send(v, w.changes[proptest.Choose(w.t, len(w.changes))])
		}
	case action < 8:
		w.read(v)
	case action == 8:
		w.kill(v)
	case action == 9:
		v.cut = !v.cut
	case action == 10:
		v.clock.step += time.Duration(proptest.Choose(w.t, 3)-1) * time.Hour
	case action == 13:
		v.frozen = true
	case action == 12:
		v.disk.FailSync(proptest.Choose(w.t, 4))
	case action == 11 && proptest.Choose(w.t, 3) == 0:
		w.loseDisk(v)
	}
}

// loseDisk wipes a VM's disk if the others are up and the fleet is complete: a
// majority that loses its disks loses changes under any protocol.
func (w *world) loseDisk(v *vm) {
	for _, x := range w.vms {
		if x.loop == nil || x.cut || x.frozen || !x.loop.joined() || len(x.loop.core.Status().Membership.GetMembers()) != simulatedVMs {
			return
		}
	}
	v.loop = nil
	v.disk.Wipe()
	w.start(v)
}

func loopProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, f)
		for range 10 + proptest.Choose(t, 30) {
			w.step()
			w.run([]time.Duration{10, 100, 700, 3000}[proptest.Choose(t, 4)] * time.Millisecond)
		}
		w.heal()
		w.check()
	}
}

func (w *world) heal() {
	for _, v := range w.vms {
		v.cut, v.frozen = false, false
		v.disk.FailSync(1 << 30)
		if v.loop == nil {
			w.start(v)
		}
	}
	w.run(15 * time.Second)
}

// check requires that every accepted change is in the history everywhere, that
// all machines agree, and that the fleet is complete.
func (w *world) check() {
	for _, v := range w.vms {
		history := map[uint64]string{}
		for _, info := range v.loop.machine.History(0) {
			history[info.GetVersion()] = info.GetRequestId()
		}
		for version, id := range w.accepted {
			if history[version] != id {
				w.t.Fatalf("%s has %q as version %d, accepted was %q", v.member.GetVm(), history[version], version, id)
			}
		}
		if n := len(v.loop.core.Status().Membership.GetMembers()); n != simulatedVMs || !v.loop.joined() {
			w.t.Fatalf("%s sees %d members, joined: %v", v.member.GetVm(), n, v.loop.joined())
		}
		for _, x := range w.vms {
			if x.loop.applied != v.loop.applied {
				continue
			}
			a, errA := v.loop.machine.Snapshot()
			b, errB := x.loop.machine.Snapshot()
			if errA != nil || errB != nil || string(a) != string(b) {
				w.t.Fatalf("%s and %s differ at index %d", v.member.GetVm(), x.member.GetVm(), v.loop.applied)
			}
		}
	}
}

// Guards against accepted changes that are lost or revert, two winners of one
// race, a re-sent change with another answer, stale confirmed reads, fleet time
// that runs faster than real time, and repairs that do not finish, with kills,
// cuts, suspended members, failed syncs, lost disks and clock steps.
func TestAcceptedChangesSurvive(t *testing.T) { proptest.Check(t, 150, 1, loopProperty(faults{})) }

// Shows that the same test notices answers before the commit.
func TestEarlyAnswersAreNoticed(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{answerEarly: true}))
}

// Shows that the same test notices reads that nobody confirmed.
func TestUnconfirmedReadsAreNoticed(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{unconfirmedReads: true}))
}

// Shows that the same test notices fleet time taken from the wall clock.
func TestWallFleetTimeIsNoticed(t *testing.T) {
	proptest.MustFail(t, 150, 1, loopProperty(faults{wallFleetTime: true}))
}

// Guards against a full disk that loses accepted changes or answers with
// another code, and against a log that cannot be used afterwards.
func TestFullDiskRefusesProposals(t *testing.T) {
	proptest.Check(t, 20, 1, func(t *rapid.T) {
		w := newWorld(t, faults{})
		for _, v := range w.vms {
			v.disk.SetFree(proptest.Choose(t, 600))
		}
		refused := 0
		for range 40 {
			v := w.vms[proptest.Choose(t, len(w.vms))]
			c := w.newChange(v.loop.machine.Config().GetVersion())
			v.loop.propose(c.command, func(r *statev1.Result, err error) {
				switch resultcode.Of(err) {
				case resultcode.OK:
					w.learn(c, r)
				case resultcode.DiskFull:
					refused++
				}
			})
			w.run(200 * time.Millisecond)
		}
		if refused == 0 {
			t.Fatal("nothing was refused with DiskFull")
		}
		for _, v := range w.vms {
			v.disk.SetFree(1 << 30)
		}
		w.heal()
		before := w.newest
		w.send(w.vms[0], w.newChange(w.vms[0].loop.machine.Config().GetVersion()))
		w.run(2 * time.Second)
		if w.newest == before {
			t.Fatal("no change is accepted after space was freed")
		}
		w.check()
	})
}

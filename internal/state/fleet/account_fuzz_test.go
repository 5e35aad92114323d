package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// entry follows the sync protocol: it resends an unacknowledged sync unchanged and
// stops spending when its lease, counted from the sending of the sync, expires.
type entry struct {
	vm          string
	incarnation int
	seq         uint64
	balance     uint64
	expires     uint64 // real time
	unreported  uint64 // charged since the pending sync was built
	pending     *statev1.EntrySync
}

// syncRequest is one transmission of a sync. sentAt is by the entry's clock.
type syncRequest struct {
	to     *entry
	sync   *statev1.EntrySync
	sentAt uint64
}

type proposal struct {
	command  *statev1.Command
	requests []syncRequest
}

type syncResponse struct {
	syncRequest
	result *statev1.EntrySyncResult
}

// accountSim simulates entries that spend one customer's tokens and sync with a
// machine whose leader fails over. Requests and responses are lost, delayed and
// repeated.
type accountSim struct {
	machine     *Machine
	index       uint64
	real        uint64 // ms
	wallOffset  uint64
	leaderSince uint64 // real time at which the current leader took over
	leaderBase  uint64 // fleet time at leaderSince
	rate, burst uint64
	entries     []*entry
	requests    []syncRequest
	proposals   []proposal
	responses   []syncResponse
	integral    proptest.RateLimitOracle
}

func accountProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		s := &accountSim{machine: New(), rate: 200, burst: uint64(500 + proptest.IntN(t, 500))}
		s.machine.faults = f
		s.configure()
		for i := range 3 {
			s.entries = append(s.entries, &entry{vm: fmt.Sprint("vm", i)})
		}
		for range 20 + proptest.IntN(t, 200) {
			s.step(t)
		}
		s.integral.Verify(t)
	}
}

func (s *accountSim) fleetTime() uint64 { return s.leaderBase + s.real - s.leaderSince }

func (s *accountSim) command() *statev1.Command {
	return &statev1.Command{FleetTimeMs: s.fleetTime(), WallTimeMs: int64(s.real + s.wallOffset)}
}

func (s *accountSim) apply(c *statev1.Command) *statev1.Result {
	s.index++
	return s.machine.Apply(s.index, c)
}

func (s *accountSim) configure() {
	d := document()
	d.Customers[0].RateTokensPerSecond, d.Customers[0].BurstTokens = s.rate, s.burst
	c := replace("", s.machine.Config().GetVersion(), d)
	c.FleetTimeMs = s.fleetTime()
	s.apply(c)
	s.integral.Limit(s.real, s.rate, s.burst)
}

func (s *accountSim) step(t *rapid.T) {
	e := s.entries[proptest.IntN(t, len(s.entries))]
	switch proptest.IntN(t, 24) {
	case 0, 1, 2:
		if s.real < e.expires {
			tokens := e.balance * uint64(1+proptest.IntN(t, 2)) / 2
			e.balance -= tokens
			e.unreported += tokens
			s.integral.Spend(s.real, tokens)
		}
	case 3, 4, 5:
		s.send(t, e)
	case 6, 7:
		s.propose(t)
	case 8, 9:
		s.commit(t)
	case 10, 11:
		if n := len(s.responses); n > 0 {
			s.receive(s.responses[n-1-proptest.IntN(t, min(n, 4))])
		}
	case 12:
		s.real += []uint64{1, 200, 1_500, 4_000, 12_000}[proptest.IntN(t, 5)]
	case 13:
		*e = entry{vm: e.vm, incarnation: e.incarnation + 1}
	case 14:
		s.failOver(t)
	case 15:
		if len(s.proposals) == 0 {
			s.rate, s.burst = uint64(1+proptest.IntN(t, 400)), uint64(500+proptest.IntN(t, 500))
			s.configure()
		}
	case 17, 18, 19:
		s.replay(t)
	case 16:
		s.wallOffset += 3_600_000
	default:
		s.exchange(t, e)
	}
	restored := proptest.IntN(t, 20) == 0
	if restored {
		data, err := s.machine.Snapshot()
		if err != nil || s.machine.Restore(data) != nil {
			t.Fatal("encoding or restoring the snapshot failed")
		}
	}
}

// exchange is a sync without faults.
func (s *accountSim) exchange(t *rapid.T, e *entry) {
	for len(s.proposals) > 0 {
		s.commit(t)
	}
	s.send(t, e)
	c := s.command()
	c.Op = &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{Entries: []*statev1.EntrySync{e.pending}}}
	r := s.apply(c)
	s.receive(syncResponse{s.requests[len(s.requests)-1], r.GetSyncs()[0]})
}

// replay applies a late duplicate of a recent sync, whose response is lost.
func (s *accountSim) replay(t *rapid.T) {
	if n := len(s.requests); n > 0 && len(s.proposals) == 0 {
		c := s.command()
		late := s.requests[n-1-proptest.IntN(t, min(n, 3))].sync
		c.Op = &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{Entries: []*statev1.EntrySync{late}}}
		s.apply(c)
	}
}

func (s *accountSim) send(t *rapid.T, e *entry) {
	if s.real >= e.expires {
		e.balance = 0
	}
	if e.pending == nil {
		e.seq++
		returned := e.balance * uint64(proptest.IntN(t, 4)/3)
		e.pending = &statev1.EntrySync{
			Session: &statev1.Session{Vm: e.vm, Incarnation: fmt.Sprint(e.incarnation)},
			Seq:     e.seq,
			Usage:   []*statev1.TokenUsage{{Customer: "acme", Charged: e.unreported, Returned: returned, Want: uint64(proptest.IntN(t, 2) * proptest.IntN(t, 1500))}},
		}
		e.balance -= returned
		e.unreported = 0
	}
	s.requests = append(s.requests, syncRequest{e, e.pending, s.real})
}

// propose batches some of the last requests as the leader does, out of order and
// possibly with duplicates.
func (s *accountSim) propose(t *rapid.T) {
	c := s.command()
	batch := &statev1.SyncBatch{}
	var from []syncRequest
	for range 1 + proptest.IntN(t, 3) {
		if n := len(s.requests); n > 0 {
			r := s.requests[n-1-proptest.IntN(t, min(n, 5))]
			from = append(from, r)
			batch.Entries = append(batch.Entries, r.sync)
		}
	}
	c.Op = &statev1.Command_SyncBatch{SyncBatch: batch}
	s.proposals = append(s.proposals, proposal{c, from})
}

func (s *accountSim) commit(t *rapid.T) {
	if len(s.proposals) == 0 {
		return
	}
	p := s.proposals[0]
	s.proposals = s.proposals[1:]
	r := s.apply(p.command)
	for i, one := range r.GetSyncs() {
		if proptest.IntN(t, 5) != 0 {
			s.responses = append(s.responses, syncResponse{p.requests[i], one})
		}
	}
}

// receive applies a response to the pending sync and ignores others as stale. The
// response does not include what was charged since the sync was built.
func (s *accountSim) receive(a syncResponse) {
	e := a.to
	if e.pending == nil || a.sync != e.pending {
		return
	}
	if a.result.GetSessionEnded() {
		*e = entry{vm: e.vm, incarnation: e.incarnation + 1}
		return
	}
	if a.result.GetSeq() != e.pending.GetSeq() || len(a.result.GetGrants()) == 0 {
		return
	}
	e.pending = nil
	outstanding := a.result.GetGrants()[0].GetOutstanding()
	e.balance = outstanding - min(outstanding, e.unreported)
	e.expires = a.sentAt + tokenLeaseMs
}

// failOver commits some of the proposals, loses the rest and pauses fleet time.
func (s *accountSim) failOver(t *rapid.T) {
	for len(s.proposals) > 0 && proptest.IntN(t, 2) == 0 {
		s.commit(t)
	}
	s.proposals = nil
	s.real += uint64(proptest.IntN(t, 3000))
	s.leaderSince, s.leaderBase = s.real, s.machine.FleetTime()
}

// Guards against entries that together spend more than rate x window + burst in
// any window, with crashed entries, repeated and reordered syncs, changed limits
// and failovers.
func TestSpendingStaysWithinRateAndBurst(t *testing.T) {
	proptest.Check(t, 500, 1, accountProperty(faults{}))
}

// Shows that the same property detects accounts that follow the wall clock.
func TestWallClockAccountsAreDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, accountProperty(faults{wallClock: true}))
}

// Shows that the same property detects syncs that are applied twice.
func TestReappliedSyncsAreDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, accountProperty(faults{reapplySyncs: true}))
}

// Shows that the same property detects expired leases that are returned to the
// account although they may have been spent.
func TestReturnedExpiredLeasesAreDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, accountProperty(faults{returnExpiredLeases: true}))
}

package placement

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/order"
)

// fakeFleet is a state machine without replication, with simulated engines that
// execute orders.
type fakeFleet struct {
	engine.Engine // panics on calls that the owner must not make

	mu             sync.Mutex
	world          *simWorld
	leader         uint64
	term           uint64
	reportCommands int
	publications   int
	residency      []*peerv1.EndpointResidency
	commitDelayMs  uint64 // time that passes in each commit of an order
	failPercent    int    // percent of engine calls that fail
	violation      string
}

type member struct {
	*fakeFleet
	id uint64
}

var errNotLeader = errors.New("not the leader")

func (m member) Leading(context.Context) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term, m.leader == m.id
}

func (m member) Propose(_ context.Context, c *statev1.Command) (*statev1.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != m.id {
		return nil, errNotLeader
	}
	if c.GetEndpointObserved() != nil {
		m.reportCommands++
	}
	r := m.world.apply(c)
	if c.GetOrderIssue() != nil {
		m.world.now += m.commitDelayMs
	}
	return r, nil
}

func (m member) Read(_ context.Context, f func(*fleet.Machine)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.world.machine)
	return nil
}

func (m member) SetResidency(_ context.Context, list []*peerv1.EndpointResidency) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range list {
		if _, err := proto.Marshal(r); err != nil { // as in a response to an entry
			return err
		}
	}
	m.residency = list
	m.publications++
	return nil
}

func (f *fakeFleet) now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.world.now) * time.Millisecond
}

func (f *fakeFleet) findEngine(name string) *simEngine {
	i := slices.IndexFunc(f.world.engines, func(e *simEngine) bool { return e.cfg.GetName() == name })
	return f.world.engines[i]
}

func (f *fakeFleet) Load(_ context.Context, to engine.Target) (*engine.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.findEngine(to.Name)
	if e.downUntil > f.world.now || f.world.pick(100) < f.failPercent {
		return nil, resultcode.New(resultcode.EndpointSilent, "no report")
	}
	f.world.recordReport(e)
	return &engine.Load{Resident: e.history[0].resident, Leaving: e.leaving}, nil
}

// Order checks that the order was committed and is sent in time, and executes it.
// Some of the calls fail, before or after the execution.
func (f *fakeFleet) Order(_ context.Context, to engine.Target, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.findEngine(to.Name)
	open := f.world.machine.Orders().Open(to.Name)
	i := slices.IndexFunc(open, func(x order.Order) bool { return x.ID == o.ID })
	switch {
	case i < 0 || open[i].Issue.GetFencingToken() != o.FencingToken:
		f.violation = "an order was sent that is not open in the ledger"
	case f.world.fleetMs()+uint64(o.Lifetime.Milliseconds()) > open[i].ExpiresMs():
		f.violation = "an order expires later at the engine than in the ledger"
	case !e.cfg.GetChecksFencing() && f.world.fleetMs() < f.world.machine.Orders().ReadyAt(false):
		f.violation = "an order was sent to an engine that may still accept orders of an earlier owner"
	}
	kind := f.world.pick(100)
	if e.downUntil > f.world.now || kind < f.failPercent/2 {
		return resultcode.New(resultcode.EndpointUnreachable, "no connection")
	}
	if i >= 0 {
		f.world.execute(message{at: f.world.now, dueMs: f.world.now + OrderLifetimeMs, order: open[i].Issue, id: o.ID})
		f.world.network = nil // the return value of this call is the outcome
	}
	if kind < f.failPercent {
		return resultcode.New(resultcode.EndpointSilent, "no response")
	}
	return nil
}

func newFakeFleet(fail func(string, ...any), pick func(int) int) (*fakeFleet, [2]*Owner) {
	f := &fakeFleet{world: newSimWorld(fail, pick), leader: 1, term: 1}
	f.world.loadMs = 0 // an engine responds once the load is complete
	f.world.build(5, 6)
	for _, e := range f.world.engines {
		e.lagMs = 0
	}
	var owners [2]*Owner
	for i := range owners {
		id := uint64(i + 1)
		owners[i] = NewOwner(Config{Member: id, Control: member{f, id}, Engine: f, Now: f.now})
	}
	return f, owners
}

// round advances the time by one step and runs one planning round of both owners.
func (f *fakeFleet) round(owners [2]*Owner) {
	ctx := context.Background()
	f.mu.Lock()
	f.world.now += stepMs
	f.mu.Unlock()
	for _, o := range owners {
		o.tick(ctx)
		o.sends.Wait()
		for _, e := range o.poller.due(f.now()) {
			o.pollEngine(ctx, e)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.world.check()
}

// Guards against orders that are sent without a commit, after their lifetime, too
// early after a change of owner, or that leave a model without a replica. Two
// owners take over from each other at random.
func TestOwnersUnderFaults(t *testing.T) {
	proptest.CheckSeeds(t, 20, func(t *rapid.T) {
		f, owners := newFakeFleet(t.Fatalf, drawChoice(t))
		if !f.world.configure() {
			t.Skip("the configuration does not fit")
		}
		f.failPercent = 20
		for range 200 {
			switch f.world.pick(30) {
			case 0:
				f.leader, f.term = 1+uint64(f.world.pick(2)), f.term+1
			case 1:
				f.world.crash(f.world.engines[f.world.pick(5)])
			}
			f.round(owners)
			if f.violation != "" {
				t.Fatal(f.violation)
			}
		}
		f.failPercent = 0
		for range 200 {
			f.round(owners)
		}
		for _, m := range f.world.models {
			if f.world.ready(m.GetName()) == 0 {
				t.Fatalf("%s has no replica", m.GetName())
			}
			if !slices.ContainsFunc(f.residency, func(r *peerv1.EndpointResidency) bool {
				return slices.Contains(r.GetReadyModels(), m.GetName())
			}) {
				t.Fatalf("%s is not in the published residency", m.GetName())
			}
		}
		observed, published, index := f.reportCommands, f.publications, f.world.index
		for range 100 {
			f.round(owners)
		}
		if f.publications != published || f.world.index != index {
			t.Fatalf("in a steady state: %d commands, %d of them reports, %d publications",
				f.world.index-index, f.reportCommands-observed, f.publications-published)
		}
	}, proptest.Steps(200))
}

// Guards against sending an order whose commit took longer than its lifetime.
func TestLateCommitIsNotSent(t *testing.T) {
	f, owners := newFakeFleet(t.Fatalf, rand.New(rand.NewPCG(1, 1)).IntN)
	if !f.world.configure() {
		t.Fatal("the configuration does not fit")
	}
	f.commitDelayMs = OrderLifetimeMs
	for range 100 {
		f.round(owners)
	}
	if f.violation != "" {
		t.Fatal(f.violation)
	}
	refused := 0
	for _, e := range f.world.engines {
		if len(e.seenOrders) != 0 {
			t.Fatalf("%s received an order", e.cfg.GetName())
		}
		for _, o := range f.world.machine.Orders().Open(e.cfg.GetName()) {
			if o.Outcome == statev1.OrderOutcome_ORDER_OUTCOME_REFUSED {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Fatal("no order was recorded as refused")
	}
}

// Guards against demand that drops to zero in a short pause of the traffic, that
// takes long to follow a rise, or that persists for entries that no longer
// report.
func TestMeter(t *testing.T) {
	m := NewMeter()
	now := time.Duration(0)
	run := func(seconds int, requests, waiting uint32) Demand {
		var d Demand
		for range seconds {
			now += time.Second
			if requests+waiting > 0 {
				m.Add(now, "vm/1", []*peerv1.ModelDemand{{Model: "m", Requests: requests, Waiting: waiting, Tokens: uint64(requests) * 100}})
			}
			d = m.Read(now)["m"]
		}
		return d
	}
	if d := run(60, 10, 0); d.Requests < 9 || d.Requests > 11 || d.Tokens < 900 {
		t.Fatalf("steady: %+v", d)
	}
	if d := run(1, 10, 7); d.Waiting != 7 {
		t.Fatalf("waiting: %+v", d)
	}
	if d := run(20, 100, 0); d.Requests < 75 {
		t.Fatalf("20 s after a tenfold rise: %+v", d)
	}
	if d := run(30, 0, 0); d.Requests < 60 || d.Waiting != 0 {
		t.Fatalf("after a pause of 30 s: %+v", d)
	}
	if d := run(1800, 0, 0); d.Requests > 0.001 || d.Tokens > 0.1 {
		t.Fatalf("after half an hour: %+v", d)
	}
}

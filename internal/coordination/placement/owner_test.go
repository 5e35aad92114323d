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

// fakeFleet is a machine without replication, and engines that obey.
type fakeFleet struct {
	engine.Engine // panics on calls that the owner must not make

	mu        sync.Mutex
	world     *world
	leader    uint64
	term      uint64
	observed  int // commands
	published int
	residency []*peerv1.EndpointResidency
	slowMs    uint64 // time that passes in each commit of an order
	fail      int    // percent of engine calls that fail
	problem   string
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
		m.observed++
	}
	r := m.world.apply(c)
	if c.GetOrderIssue() != nil {
		m.world.now += m.slowMs
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
		if _, err := proto.Marshal(r); err != nil { // as an answer to an entry does
			return err
		}
	}
	m.residency = list
	m.published++
	return nil
}

func (f *fakeFleet) now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.world.now) * time.Millisecond
}

func (f *fakeFleet) find(name string) *simEngine {
	i := slices.IndexFunc(f.world.engines, func(e *simEngine) bool { return e.cfg.GetName() == name })
	return f.world.engines[i]
}

func (f *fakeFleet) Load(_ context.Context, to engine.Target) (*engine.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.find(to.Name)
	if e.down > f.world.now || f.world.pick(100) < f.fail {
		return nil, resultcode.New(resultcode.EndpointSilent, "no report")
	}
	f.world.record(e)
	return &engine.Load{Resident: e.history[0].resident, Leaving: e.leaving}, nil
}

// Order checks that the order was committed and is sent in time, and executes
// it, sometimes without an answer.
func (f *fakeFleet) Order(_ context.Context, to engine.Target, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.find(to.Name)
	open := f.world.machine.Orders().Open(to.Name)
	i := slices.IndexFunc(open, func(x order.Order) bool { return x.ID == o.ID })
	switch {
	case i < 0 || open[i].Issue.GetFencingToken() != o.FencingToken:
		f.problem = "an order was sent that is not in the ledger"
	case f.world.fleetMs()+uint64(o.Lifetime.Milliseconds()) > open[i].ExpiresMs():
		f.problem = "an order outlives its entry in the ledger"
	case !e.cfg.GetChecksFencing() && f.world.fleetMs() < f.world.machine.Orders().ReadyAt(false):
		f.problem = "an order was sent to an engine that may still obey an earlier owner"
	}
	kind := f.world.pick(100)
	if e.down > f.world.now || kind < f.fail/2 {
		return resultcode.New(resultcode.EndpointSilentNotRun, "no connection")
	}
	if i >= 0 {
		f.world.execute(message{at: f.world.now, dueMs: f.world.now + LifetimeMs, order: open[i].Issue, id: o.ID})
		f.world.network = nil // the answer is the return of this call
	}
	if kind < f.fail {
		return resultcode.New(resultcode.EndpointSilent, "no answer")
	}
	return nil
}

func newFake(fail func(string, ...any), pick func(int) int) (*fakeFleet, [2]*Owner) {
	f := &fakeFleet{world: newWorld(fail, pick), leader: 1, term: 1}
	f.world.loadMs = 0 // an engine answers when the load is done
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

// round advances the time and runs both owners once.
func (f *fakeFleet) round(owners [2]*Owner) {
	ctx := context.Background()
	f.mu.Lock()
	f.world.now += stepMs
	f.mu.Unlock()
	for _, o := range owners {
		o.tick(ctx)
		o.sends.Wait()
		for _, e := range o.polls.due(f.now()) {
			o.pollOne(ctx, e)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.world.check()
}

// Guards against orders that are sent uncommitted, too late, too early after a
// change of owner, or to the harm of a model, with two owners that take turns.
func TestOwnersUnderFaults(t *testing.T) {
	proptest.CheckSeeds(t, 20, func(t *rapid.T) {
		f, owners := newFake(t.Fatalf, choose(t))
		if !f.world.configure() {
			t.Skip("the configuration does not fit")
		}
		f.fail = 20
		for range 200 {
			switch f.world.pick(30) {
			case 0:
				f.leader, f.term = 1+uint64(f.world.pick(2)), f.term+1
			case 1:
				f.world.crash(f.world.engines[f.world.pick(5)])
			}
			f.round(owners)
			if f.problem != "" {
				t.Fatal(f.problem)
			}
		}
		f.fail = 0
		for range 200 {
			f.round(owners)
		}
		for _, m := range f.world.models {
			if f.world.ready(m.GetName()) == 0 {
				t.Fatalf("%s has no copy", m.GetName())
			}
			if !slices.ContainsFunc(f.residency, func(r *peerv1.EndpointResidency) bool {
				return slices.Contains(r.GetReadyModels(), m.GetName())
			}) {
				t.Fatalf("%s is not published", m.GetName())
			}
		}
		observed, published, index := f.observed, f.published, f.world.index
		for range 100 {
			f.round(owners)
		}
		if f.published != published || f.world.index != index {
			t.Fatalf("in a steady state: %d commands, %d of them reports, %d publications",
				f.world.index-index, f.observed-observed, f.published-published)
		}
	}, proptest.Steps(200))
}

// Guards against sending an order whose commit took longer than its lifetime.
func TestLateCommitIsNotSent(t *testing.T) {
	f, owners := newFake(t.Fatalf, rand.New(rand.NewPCG(1, 1)).IntN)
	if !f.world.configure() {
		t.Fatal("the configuration does not fit")
	}
	f.slowMs = LifetimeMs
	for range 100 {
		f.round(owners)
	}
	if f.problem != "" {
		t.Fatal(f.problem)
	}
	refused := 0
	for _, e := range f.world.engines {
		if len(e.seen) != 0 {
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

// Guards against demand that vanishes with a short pause, that is not seen
// within seconds, or that is kept for entries that are gone.
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

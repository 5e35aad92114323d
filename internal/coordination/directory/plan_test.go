package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// simEngine simulates an engine that carries out orders as real ones do.
type simEngine struct {
	id       string
	models   map[string]map[string]bool
	onDisk   map[string]bool
	sequence uint64
	started  int64
	loading  string
	until    time.Duration
}

func (e *simEngine) report() Report {
	r := Report{Sequence: e.sequence, Started: e.started, Busy: e.loading != ""}
	for name, adapters := range e.models {
		one := Resident{Model: name}
		for a := range adapters {
			one.Adapters = append(one.Adapters, a)
		}
		slices.Sort(one.Adapters)
		r.Models = append(r.Models, one)
	}
	slices.SortFunc(r.Models, func(a, b Resident) int { return len(a.Model) - len(b.Model) })
	for name := range e.onDisk {
		r.OnDisk = append(r.OnDisk, name)
	}
	return r
}

// simFleet simulates engines for a planner. Orders may get no answer and may be
// carried out late.
type simFleet struct {
	t          rapid.TB
	random     *rapid.T
	service    *catalog.Service
	engines    []*simEngine
	planner    *Planner
	now        time.Duration
	delayed    []Decision
	storeLoads []time.Duration // start times of loads from the weight store
}

func newSimFleet(t *rapid.T, engines, models int) *simFleet {
	f := &simFleet{t: t, random: t, service: testService(models), planner: NewPlanner(0)}
	for i := range engines {
		f.engines = append(f.engines, &simEngine{id: string(rune('a' + i)), models: map[string]map[string]bool{}, onDisk: map[string]bool{}, started: 1})
	}
	f.planner.SetEndpoints(f.list())
	return f
}

func testService(models int) *catalog.Service {
	s := &catalog.Service{Name: "s", Engine: &catalog.Engine{MemoryMB: 200, AdapterSlots: 2, LoadsPerSecond: 1}}
	for i := range models {
		s.Engine.Models = append(s.Engine.Models, catalog.Model{
			Name: "m" + string(rune('0'+i)), MemoryMB: 70 + 10*float64(i%3), AdapterMB: 1,
			LoadTime: 2 * time.Second, DiskLoadTime: time.Second, WarmLoadTime: 500 * time.Millisecond,
		})
	}
	return s
}

func (f *simFleet) list() []Endpoint {
	var out []Endpoint
	for i, e := range f.engines {
		out = append(out, Endpoint{ID: e.id, Service: "s", Address: e.id, Slots: 8, SoftwareVersion: fmt.Sprint("v", i%2)})
	}
	return out
}

// execute carries out an order like an engine.
func (f *simFleet) execute(e *simEngine, o Order) Outcome {
	if o.ExpectedSequence != e.sequence || (e.loading != "" && o.Adapter == "") {
		return Conflict
	}
	e.sequence++
	switch {
	case o.Adapter != "" && o.Operation == Load:
		if e.models[o.Model] == nil {
			return Rejected
		}
		e.models[o.Model][o.Adapter] = true
	case o.Adapter != "":
		delete(e.models[o.Model], o.Adapter)
		return AlreadyDone
	case o.Operation == Unload:
		delete(e.models, o.Model)
	default:
		if !e.onDisk[o.Model] {
			f.storeLoads = append(f.storeLoads, f.now)
		}
		e.loading, e.until = o.Model, f.now+time.Second
		e.onDisk[o.Model] = true
	}
	f.check(e)
	return Accepted
}

func (f *simFleet) check(e *simEngine) {
	total := 0.0
	for name, adapters := range e.models {
		total += findModel(f.service, name).MemoryMB + float64(len(adapters))
	}
	if e.loading != "" {
		total += findModel(f.service, e.loading).MemoryMB
	}
	if total > f.service.Engine.MemoryMB {
		f.t.Fatalf("engine %s holds %.0f MB at %v, more than its memory", e.id, total, f.now)
	}
	adapters := 0
	for _, a := range e.models {
		adapters += len(a)
	}
	if adapters > f.service.Engine.AdapterSlots {
		f.t.Fatalf("engine %s holds %d adapters at %v, more than its adapter slots", e.id, adapters, f.now)
	}
}

func (f *simFleet) deliver(d Decision) {
	e := f.engine(d.Engine.ID)
	switch rapid.IntRange(0, 5).Draw(f.random, "fate") {
	case 0: // lost
		f.planner.RecordOutcome(f.now, d, 0, false, f.service)
	case 1: // carried out late, without an answer
		f.delayed = append(f.delayed, d)
		f.planner.RecordOutcome(f.now, d, 0, false, f.service)
	default:
		f.planner.RecordOutcome(f.now, d, f.execute(e, d.Order), true, f.service)
	}
}

func (f *simFleet) engine(id string) *simEngine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	f.t.Fatalf("an order went to the unknown engine %q", id)
	return nil
}

// finishLoad makes a model resident whose load is done.
func (f *simFleet) finishLoad(e *simEngine) {
	if e.loading != "" && f.now >= e.until {
		e.models[e.loading] = map[string]bool{}
		e.loading = ""
	}
}

func (f *simFleet) step() {
	f.now += 100 * time.Millisecond
	for _, e := range f.engines {
		f.finishLoad(e)
		if rapid.IntRange(0, 4).Draw(f.random, "report") == 0 {
			// The report shows the state at the time of the request.
			f.planner.RecordReport(f.now, f.now, e.id, e.report())
		}
	}
	if len(f.delayed) > 0 && rapid.IntRange(0, 9).Draw(f.random, "late") == 0 {
		d := f.delayed[0]
		f.delayed = f.delayed[1:]
		f.execute(f.engine(d.Engine.ID), d.Order)
	}
	for _, m := range f.service.Engine.Models {
		tokens := 0
		if rapid.IntRange(0, 3).Draw(f.random, "asked") == 0 {
			tokens = 3000
		}
		f.planner.RecordDemand(f.now, "entry", m.Name, min(1, tokens), tokens, 0)
		if rapid.IntRange(0, 9).Draw(f.random, "take_up") == 0 {
			f.planner.RequestModel(f.now, m.Name, rapid.SampledFrom([]string{"v0", "v1", "gone"}).Draw(f.random, "version"))
		}
	}
	for _, d := range f.planner.Plan(f.now, f.service) {
		f.deliver(d)
	}
	if rapid.IntRange(0, 2).Draw(f.random, "adapter") == 0 {
		m := f.service.Engine.Models[rapid.IntRange(0, len(f.service.Engine.Models)-1).Draw(f.random, "model")]
		name := "a" + string(rune('0'+rapid.IntRange(0, 4).Draw(f.random, "name")))
		if d, _ := f.planner.PlanAdapter(f.now, f.service, m.Name, name, ""); d != nil {
			f.planner.RecordSent(*d)
			f.deliver(*d)
		}
	}
	if rapid.IntRange(0, 80).Draw(f.random, "restart") == 0 {
		e := f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(f.random, "which")]
		// Delayed orders name the former incarnation.
		f.delayed = slices.DeleteFunc(f.delayed, func(d Decision) bool { return d.Engine.ID == e.id })
		*e = simEngine{id: e.id, models: map[string]map[string]bool{}, onDisk: e.onDisk, started: e.started + 1}
	}
}

// Guards against an engine that gets more models or adapters than fit, and against
// loads from the weight store above its rate, when orders are lost, are delayed or
// stay unanswered, and when engines restart.
func TestOrdersNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "models"))
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			f.step()
		}
		f.checkStoreRate()
	})
}

// checkStoreRate fails the test if more loads from the weight store began in any 5 s than
// the platform allows.
func (f *simFleet) checkStoreRate() {
	const window = 5 * time.Second
	for i, at := range f.storeLoads {
		n := 0
		for _, other := range f.storeLoads[i:] {
			if other-at <= window {
				n++
			}
		}
		if limit := f.service.Engine.LoadsPerSecond*window.Seconds()*1.1 + 3; float64(n) > limit {
			f.t.Fatalf("%d loads from the weight store within %v, above its rate", n, window)
		}
	}
}

// newPlannerWith returns a planner for engines that hold the given models.
func newPlannerWith(service *catalog.Service, held ...[]string) (*Planner, time.Duration) {
	p := NewPlanner(0)
	var list []Endpoint
	for i := range held {
		id := string(rune('a' + i))
		list = append(list, Endpoint{ID: id, Service: service.Name, Address: id, Slots: 8})
	}
	p.SetEndpoints(list)
	now := 5 * time.Second
	for i, models := range held {
		r := Report{}
		for _, m := range models {
			r.Models = append(r.Models, Resident{Model: m})
		}
		p.RecordReport(now, now, list[i].ID, r)
	}
	return p, now
}

// Guards against a model in demand that stays without a replica: it is loaded on
// the engine where no model has to be evicted.
func TestUnreachableModelIsLoaded(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0", "m1"}, []string{"m0"})
	p.RequestModel(now, "m3", "")
	got := p.Plan(now, s)
	if len(got) != 1 || got[0].Engine.ID != "b" || got[0].Order.Model != "m3" || got[0].Order.Operation != Load {
		t.Fatalf("decisions: %+v", got)
	}
	if m := p.TakeReplicaStarts(); len(m) != 1 || m[0].Model != "m3" || m[0].Engine != "b" || m[0].Replicas != 0 {
		t.Fatalf("replica starts for the log: %+v", m)
	}
	if again := p.Plan(now, s); len(again) != 0 {
		t.Fatalf("a second order while the first is in flight: %+v", again)
	}
}

// Guards against an unreachable model whose requests do not count as demand.
// Requests for a model that takes long to load are refused at once and never wait;
// their number must still cause a load, before that of a model with less demand.
func TestUnreachableModelsAreLoadedByDemand(t *testing.T) {
	s := testService(6)
	p, now := newPlannerWith(s, []string{"m0"})
	p.RecordDemand(now, "entry", "m1", 1, 1500, 0)
	p.RecordDemand(now, "entry", "m5", 20, 30_000, 0)
	got := p.Plan(now, s)
	if len(got) != 1 || got[0].Order.Model != "m5" {
		t.Fatalf("decisions: %+v", got)
	}
}

// Guards against the eviction of the last replica of a model in demand.
func TestLastReplicaIsNotEvicted(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0", "m1"})
	p.RecordDemand(now, "entry", "m0", 1, 3000, 0)
	p.RecordDemand(now, "entry", "m1", 1, 3000, 0)
	p.RequestModel(now, "m3", "")
	p.Plan(now, s)
	if n := len(p.engines["a"].draining); n != 0 {
		t.Fatalf("%d replicas of models in demand are drained, want 0", n)
	}
}

// Guards against requests that are cut off by an unload: the model gets no new
// requests for drainDelay before the order.
func TestUnloadWaitsForEntries(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0", "m1"})
	p.RequestModel(now, "m3", "")
	if got := p.Plan(now, s); len(got) != 0 || len(p.engines["a"].draining) != 1 {
		t.Fatalf("decisions %+v, draining %v", got, p.engines["a"].draining)
	}
	got := p.Plan(now+drainDelay, s)
	if len(got) != 1 || got[0].Order.Operation != Unload {
		t.Fatalf("decisions: %+v", got)
	}
}

// Guards against orders that are based on an outdated report. An order without an
// answer may still be carried out, so the next one waits for a report that was
// requested after it.
func TestUnansweredOrderNeedsANewReport(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0"})
	p.RequestModel(now, "m3", "")
	d := p.Plan(now, s)[0]
	p.RecordOutcome(now, d, 0, false, s)
	p.RequestModel(now, "m3", "")
	if got := p.Plan(now, s); len(got) != 0 {
		t.Fatalf("orders without a new report: %+v", got)
	}
	p.RecordReport(now, now, "a", Report{Models: []Resident{{Model: "m0"}}})
	if got := p.Plan(now, s); len(got) != 0 {
		t.Fatalf("orders after a report from before the unanswered order: %+v", got)
	}
	later := now + reportLag
	p.RecordReport(later, later, "a", Report{Models: []Resident{{Model: "m0"}}})
	p.RequestModel(later, "m3", "")
	if got := p.Plan(later, s); len(got) != 1 {
		t.Fatalf("no order after a new report: %+v", got)
	}
}

// Guards against adapters that are refused because the least loaded engine has no
// free adapter slot, while another engine of the pool has one.
func TestAdapterGoesToEngineWithFreeSlot(t *testing.T) {
	s := testService(2)
	p, now := newPlannerWith(s, []string{"m0"}, []string{"m0"})
	p.RecordReport(now, now, "a", Report{Models: []Resident{{Model: "m0", Adapters: []string{"a1", "a2"}}}})
	p.RecordReport(now, now, "b", Report{Running: 80, Models: []Resident{{Model: "m0"}}})
	for _, used := range []string{"m0/a1", "m0/a2"} {
		p.RecordDemand(now, "entry", used, 1, 100, 0)
	}
	d, _ := p.PlanAdapter(now, s, "m0", "a3", "")
	if d == nil || d.Engine.ID != "b" || d.Order.Adapter != "a3" || d.Order.Operation != Load {
		t.Fatalf("decision: %+v", d)
	}
}

// Guards against two orders for one engine in one round: the engine refuses the
// second, and its answer is taken for that of the first.
func TestOneOrderForEachEngine(t *testing.T) {
	s := testService(4)
	s.Engine.MemoryMB, s.Engine.LoadsPerSecond = 400, 10
	p, now := newPlannerWith(s, []string{"m0", "m1"}, []string{})
	for _, m := range []string{"m0", "m1"} {
		p.RecordDemand(now, "entry", m, 1, 4*EngineTokenRate, 0)
	}
	orders := map[string]int{}
	for _, d := range p.Plan(now, s) {
		orders[d.Engine.ID]++
	}
	if orders["b"] != 1 {
		t.Fatalf("orders for each engine: %v", orders)
	}
}

// Guards against a new leader that starts loads at once: its predecessor may just
// have used the rate of the weight store.
func TestNewLeaderStartsWithoutStoreTokens(t *testing.T) {
	s := testService(2)
	p := NewPlanner(time.Minute)
	p.refillStoreTokens(time.Minute, s.Engine.LoadsPerSecond)
	if p.storeTokens != 0 {
		t.Fatalf("%.1f loads may start at once, want 0", p.storeTokens)
	}
}

// Guards against a division of a rate that gives out more than the rate, while
// entries of two control VMs are added and time out.
func TestFractionsAddUpToAtMostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		levels := NewLevels()
		controls := []*Shares{NewShares(), NewShares()}
		customers := []catalog.Customer{{Name: "c", Rate: 100, Burst: 100}}
		names := []string{"1", "2", "3", "4"}
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			requested := float64(rapid.IntRange(0, 500).Draw(t, "asked"))
			i := rapid.IntRange(0, len(names)-1).Draw(t, "entry")
			controls[i%2].RecordUsage(now, names[i], map[string]Usage{"c": {Requested: requested}})
			for vm, s := range controls {
				s.Expire(now)
				demand, spent := s.TakeReport()
				levels.RecordReport(now, fmt.Sprint(vm), demand, spent)
			}
			total := 0.0
			for _, s := range controls {
				s.SetLevels(now, len(controls[0].entries)+len(controls[1].entries), levels.List(now, customers))
			}
			for i, n := range names {
				total += controls[i%2].ForEntry(now, n)["c"].Fraction
			}
			if total > 1.000001 {
				t.Fatalf("fractions add up to %v, want at most 1", total)
			}
		}
	})
}

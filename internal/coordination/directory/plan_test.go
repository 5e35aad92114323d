package directory

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// simEngine is an engine that obeys the protocol of orders.
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

// simFleet plays engines against a planner. Orders may stay unanswered and be
// carried out late.
type simFleet struct {
	t       *rapid.T
	service *catalog.Service
	engines []*simEngine
	planner *Planner
	now     time.Duration
	late    []Decision
	starts  []time.Duration // of loads from the weight store
}

func newSimFleet(t *rapid.T, engines, models int) *simFleet {
	f := &simFleet{t: t, service: testService(models), planner: NewPlanner(0)}
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
	for _, e := range f.engines {
		out = append(out, Endpoint{ID: e.id, Service: "s", Address: e.id, Slots: 8})
	}
	return out
}

// execute carries an order out as an engine does.
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
			f.starts = append(f.starts, f.now)
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
		f.t.Fatalf("engine %s holds %.0f MB at %v", e.id, total, f.now)
	}
	adapters := 0
	for _, a := range e.models {
		adapters += len(a)
	}
	if adapters > f.service.Engine.AdapterSlots {
		f.t.Fatalf("engine %s holds %d adapters at %v", e.id, adapters, f.now)
	}
}

func (f *simFleet) deliver(d Decision) {
	e := f.engine(d.Engine.ID)
	switch rapid.IntRange(0, 5).Draw(f.t, "fate") {
	case 0: // lost
		f.planner.Answered(f.now, d, 0, false, f.service)
	case 1: // unanswered and late
		f.late = append(f.late, d)
		f.planner.Answered(f.now, d, 0, false, f.service)
	default:
		f.planner.Answered(f.now, d, f.execute(e, d.Order), true, f.service)
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

func (f *simFleet) step() {
	f.now += 100 * time.Millisecond
	for _, e := range f.engines {
		if e.loading != "" && f.now >= e.until {
			e.models[e.loading] = map[string]bool{}
			e.loading = ""
		}
		if rapid.IntRange(0, 4).Draw(f.t, "report") == 0 {
			// The report is as old as reports may be.
			f.planner.Reported(f.now, f.now, e.id, e.report())
		}
	}
	if len(f.late) > 0 && rapid.IntRange(0, 9).Draw(f.t, "late") == 0 {
		d := f.late[0]
		f.late = f.late[1:]
		f.execute(f.engine(d.Engine.ID), d.Order)
	}
	for _, m := range f.service.Engine.Models {
		tokens := 0
		if rapid.IntRange(0, 3).Draw(f.t, "asked") == 0 {
			tokens = 3000
		}
		f.planner.Asked(f.now, "entry", m.Name, min(1, tokens), tokens, 0)
	}
	for _, d := range f.planner.Plan(f.now, f.service) {
		f.deliver(d)
	}
	if rapid.IntRange(0, 2).Draw(f.t, "adapter") == 0 {
		m := f.service.Engine.Models[rapid.IntRange(0, len(f.service.Engine.Models)-1).Draw(f.t, "model")]
		name := "a" + string(rune('0'+rapid.IntRange(0, 4).Draw(f.t, "name")))
		if d, _ := f.planner.PlanAdapter(f.now, f.service, m.Name, name); d != nil {
			f.planner.Sent(*d)
			f.deliver(*d)
		}
	}
	if rapid.IntRange(0, 80).Draw(f.t, "restart") == 0 {
		e := f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(f.t, "which")]
		// Orders that are on their way name the former incarnation.
		f.late = slices.DeleteFunc(f.late, func(d Decision) bool { return d.Engine.ID == e.id })
		*e = simEngine{id: e.id, models: map[string]map[string]bool{}, onDisk: e.onDisk, started: e.started + 1}
	}
}

// Whatever happens to orders, an engine never holds more models or adapters
// than it has room for, and loads from the weight store keep to its rate.
func TestOrdersNeverOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, rapid.IntRange(1, 4).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "models"))
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			f.step()
		}
		const window = 5 * time.Second
		for i, at := range f.starts {
			n := 0
			for _, other := range f.starts[i:] {
				if other-at <= window {
					n++
				}
			}
			if limit := f.service.Engine.LoadsPerSecond*window.Seconds()*1.1 + 3; float64(n) > limit {
				t.Fatalf("%d loads from the store within %v", n, window)
			}
		}
	})
}

// newPlanned returns a planner over engines that hold the models.
func newPlanned(service *catalog.Service, held ...[]string) (*Planner, time.Duration) {
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
		p.Reported(now, now, list[i].ID, r)
	}
	return p, now
}

// A model that is asked for and resident nowhere is loaded where nothing that
// is in use has to go.
func TestUnreachableModelIsLoaded(t *testing.T) {
	s := testService(4)
	p, now := newPlanned(s, []string{"m0", "m1"}, []string{"m0"})
	p.WantModel(now, "m3")
	got := p.Plan(now, s)
	if len(got) != 1 || got[0].Engine.ID != "b" || got[0].Order.Model != "m3" || got[0].Order.Operation != Load {
		t.Fatalf("decisions: %+v", got)
	}
	if m := p.TakeMoves(); len(m) != 1 || m[0].Model != "m3" || m[0].Engine != "b" || m[0].Copies != 0 {
		t.Fatalf("moves for the log: %+v", m)
	}
	if again := p.Plan(now, s); len(again) != 0 {
		t.Fatalf("a second order while the first is on its way: %+v", again)
	}
}

// Requests for a model that takes long to load are refused at once and never
// wait. Their demand must bring the model back all the same, and before models
// that few ask for.
func TestUnreachableModelsComeByDemand(t *testing.T) {
	s := testService(6)
	p, now := newPlanned(s, []string{"m0"})
	p.Asked(now, "entry", "m1", 1, 1500, 0)
	p.Asked(now, "entry", "m5", 20, 30_000, 0)
	got := p.Plan(now, s)
	if len(got) != 1 || got[0].Order.Model != "m5" {
		t.Fatalf("decisions: %+v", got)
	}
}

// The last copy of a model that is asked for never makes way.
func TestLastCopyStays(t *testing.T) {
	s := testService(4)
	p, now := newPlanned(s, []string{"m0", "m1"})
	p.Asked(now, "entry", "m0", 1, 3000, 0)
	p.Asked(now, "entry", "m1", 1, 3000, 0)
	p.WantModel(now, "m3")
	p.Plan(now, s)
	if n := len(p.engines["a"].closing); n != 0 {
		t.Fatalf("%d copies in use make way", n)
	}
}

// A model closes for new requests before it is unloaded, so that none is cut
// off from its engine.
func TestUnloadWaitsForEntries(t *testing.T) {
	s := testService(4)
	p, now := newPlanned(s, []string{"m0", "m1"})
	p.WantModel(now, "m3")
	if got := p.Plan(now, s); len(got) != 0 || len(p.engines["a"].closing) != 1 {
		t.Fatalf("decisions %+v, closing %v", got, p.engines["a"].closing)
	}
	got := p.Plan(now+closeTime, s)
	if len(got) != 1 || got[0].Order.Operation != Unload {
		t.Fatalf("decisions: %+v", got)
	}
}

// An order without an answer may still be carried out, so the next one waits
// for a report that is younger than it.
func TestUnansweredOrderNeedsANewReport(t *testing.T) {
	s := testService(4)
	p, now := newPlanned(s, []string{"m0"})
	p.WantModel(now, "m3")
	d := p.Plan(now, s)[0]
	p.Answered(now, d, 0, false, s)
	p.WantModel(now, "m3")
	if got := p.Plan(now, s); len(got) != 0 {
		t.Fatalf("orders on old knowledge: %+v", got)
	}
	p.Reported(now, now, "a", Report{Models: []Resident{{Model: "m0"}}})
	if got := p.Plan(now, s); len(got) != 0 {
		t.Fatalf("orders on a report from before: %+v", got)
	}
	later := now + reportLag
	p.Reported(later, later, "a", Report{Models: []Resident{{Model: "m0"}}})
	p.WantModel(later, "m3")
	if got := p.Plan(later, s); len(got) != 1 {
		t.Fatalf("no order after a new report: %+v", got)
	}
}

// Guards against adapters that are refused because the least loaded engine has no
// place for them, while another one of the pool has.
func TestAdapterGoesWhereThereIsAPlace(t *testing.T) {
	s := testService(2)
	p, now := newPlanned(s, []string{"m0"}, []string{"m0"})
	p.Reported(now, now, "a", Report{Models: []Resident{{Model: "m0", Adapters: []string{"a1", "a2"}}}})
	p.Reported(now, now, "b", Report{Running: 80, Models: []Resident{{Model: "m0"}}})
	for _, used := range []string{"m0/a1", "m0/a2"} {
		p.Asked(now, "entry", used, 1, 100, 0)
	}
	d, _ := p.PlanAdapter(now, s, "m0", "a3")
	if d == nil || d.Engine.ID != "b" || d.Order.Adapter != "a3" || d.Order.Operation != Load {
		t.Fatalf("decision: %+v", d)
	}
}

// Guards against two orders for one engine from one round: the second is refused
// by the engine, and its answer is taken for that of the first.
func TestOneOrderForEachEngine(t *testing.T) {
	s := testService(4)
	s.Engine.MemoryMB, s.Engine.LoadsPerSecond = 400, 10
	p, now := newPlanned(s, []string{"m0", "m1"}, []string{})
	for _, m := range []string{"m0", "m1"} {
		p.Asked(now, "entry", m, 1, 4*EngineTokenRate, 0)
	}
	orders := map[string]int{}
	for _, d := range p.Plan(now, s) {
		orders[d.Engine.ID]++
	}
	if orders["b"] != 1 {
		t.Fatalf("orders for each engine: %v", orders)
	}
}

// A new leader may not load at once: the one before may just have used the
// weight store's rate.
func TestNewLeaderStartsWithoutLoads(t *testing.T) {
	s := testService(2)
	p := NewPlanner(time.Minute)
	p.refillStore(time.Minute, s.Engine.LoadsPerSecond)
	if p.store != 0 {
		t.Fatalf("%.1f loads may start at once", p.store)
	}
}

// Entries come and go; the parts of a rate add up to one at most.
func TestPartsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShares()
		customers := []catalog.Customer{{Name: "c", Rate: 100, Burst: 100}}
		names := []string{"1", "2", "3", "4"}
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			asked := float64(rapid.IntRange(0, 500).Draw(t, "asked"))
			s.RecordUsage(now, rapid.SampledFrom(names).Draw(t, "entry"), map[string]Usage{"c": {Requested: asked}})
			total := 0.0
			for _, n := range names {
				total += s.ForEntry(now, n, customers)["c"].Fraction
			}
			if total > 1.000001 {
				t.Fatalf("parts add up to %v", total)
			}
		}
	})
}

package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

const (
	stepMs = 500
	// recentMs covers what the owner cannot know yet about a crash: the lag of a
	// report, the time to the next one, and the lifetime of an order on its way.
	recentMs = reportLagMs + LifetimeMs + 5_000
)

type simCopy struct {
	memory  uint64
	readyAt uint64 // real time
	repeat  bool   // loaded by a copy of an order
	order   uint64
}

type snapshot struct {
	at       uint64
	resident []engine.ResidentModel
}

// simEngine is an engine that executes whatever reaches it.
type simEngine struct {
	cfg     *statev1.Endpoint
	copies  map[copyKey]*simCopy
	seen    map[uint64]bool
	dedupes bool
	highest uint64
	lagMs   uint64
	history []snapshot
	down    uint64 // real time until which it does not answer
	leaving bool
}

type message struct {
	at, dueMs uint64
	order     *statev1.OrderIssue
	id        uint64
	repeat    bool
	answer    statev1.OrderOutcome // set on the way back
}

// world is the fleet: the real state machine, the planner, and engines behind a
// network that loses, delays, repeats and reorders orders.
type world struct {
	fail     func(format string, args ...any)
	machine  *fleet.Machine
	planner  *Planner
	decide   func(v *View) *Plan
	token    uint64
	index    uint64
	now      uint64 // real time
	loadMs   uint64
	behind   uint64 // how far fleet time is behind
	engines  []*simEngine
	models   []*statev1.Model
	limits   *statev1.Platform
	reports  map[string]Report
	demand   map[string]Demand
	network  []message
	crashed  map[string]uint64 // real time of the last crash that took a copy of a model
	listed   map[copyKey]uint64
	issuedMs []uint64
	moves    int
	unloads  int
	faulty   bool
	lossy    func(percent int) bool
	pick     func(n int) int
	observed map[string]uint64
	lastPlan *Plan
}

func newWorld(fail func(string, ...any), pick func(int) int) *world {
	w := &world{
		fail: fail, pick: pick, machine: fleet.New(), planner: NewPlanner(), now: 10_000, loadMs: 2_000,
		reports: map[string]Report{}, demand: map[string]Demand{}, crashed: map[string]uint64{},
		listed: map[copyKey]uint64{}, observed: map[string]uint64{},
	}
	w.decide = func(v *View) *Plan { return w.planner.Plan(v) }
	w.lossy = func(percent int) bool { return w.faulty && w.pick(100) < percent }
	return w
}

func (w *world) fleetMs() uint64 { return w.now - w.behind }

func (w *world) apply(c *statev1.Command) *statev1.Result {
	w.index++
	c.FleetTimeMs = w.fleetMs()
	return w.machine.Apply(w.index, c)
}

// configure applies the present engines and models.
func (w *world) configure() bool {
	doc := &statev1.Config{Platform: w.limits}
	for _, e := range w.engines {
		doc.Endpoints = append(doc.Endpoints, e.cfg)
	}
	doc.Models = slices.Clone(w.models)
	r := w.apply(&statev1.Command{Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: w.machine.Config().GetVersion(), Replace: doc,
	}}})
	return r.GetCode() == 0
}

func (w *world) takeOver() {
	f := w.planner.faults
	w.planner = NewPlanner()
	w.planner.faults = f
	w.behind += uint64(w.pick(3)) * 500
	r := w.apply(&statev1.Command{Op: &statev1.Command_TakeOwnership{TakeOwnership: &statev1.TakeOwnership{Owner: 1}}})
	w.token = r.GetIndex()
	clear(w.reports)
	clear(w.listed)
}

func (w *world) step() {
	w.now += stepMs
	for _, e := range w.engines {
		w.record(e)
	}
	w.deliver()
	w.poll()
	w.plan()
	w.check()
}

// record keeps what a lagging report shows.
func (w *world) record(e *simEngine) {
	s := snapshot{at: w.now}
	for _, k := range sortedKeys(e.copies) {
		c := e.copies[k]
		s.resident = append(s.resident, engine.ResidentModel{Model: k.model, Version: k.version, MemoryMB: c.memory, Ready: c.readyAt <= w.now})
	}
	e.history = append(e.history, s)
	for len(e.history) > 1 && e.history[1].at+e.lagMs <= w.now {
		e.history = e.history[1:]
	}
}

func sortedKeys(m map[copyKey]*simCopy) []copyKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b copyKey) int {
		return strings.Compare(a.model+"\x00"+a.version, b.model+"\x00"+b.version)
	})
}

func (w *world) poll() {
	for i, e := range w.engines {
		if (w.now/stepMs+uint64(i))%2 == 0 && e.down <= w.now && !w.lossy(20) {
			w.reports[e.cfg.GetName()] = Report{AskedMs: w.fleetMs(), Resident: e.history[0].resident, Leaving: e.leaving}
		}
	}
}

func (w *world) view() *View {
	return &View{
		NowMs: w.fleetMs(), Config: w.machine.Config(), Ledger: ReadLedger(w.machine), Reports: w.reports,
		Demand: w.demand, LostAfterMs: 5_000,
	}
}

func (w *world) plan() {
	v := w.view()
	for _, e := range w.engines {
		name := e.cfg.GetName()
		l, r := v.Ledger.Engines[name], w.reports[name]
		if r.AskedMs <= reportLagMs || r.AskedMs == w.observed[name] {
			continue
		}
		if asked := r.AskedMs - reportLagMs; differs(l, r) || closes(l, asked) {
			w.observed[name] = r.AskedMs
			w.apply(&statev1.Command{Op: &statev1.Command_EndpointObserved{EndpointObserved: &statev1.EndpointObserved{
				FencingToken: w.token, Endpoint: name, AskedAtMs: asked, Resident: residents(r),
			}}})
		}
	}
	w.lastPlan = w.decide(w.view())
	for _, e := range w.lastPlan.Residency {
		for _, m := range e.GetReadyModels() {
			w.listed[copyKey{engine: e.GetEndpoint(), model: m}] = w.now
		}
	}
	for _, o := range w.lastPlan.Orders {
		w.issue(o)
	}
}

func (w *world) issue(o Order) {
	issue := &statev1.OrderIssue{
		FencingToken: w.token, Endpoint: o.Endpoint, Kind: o.Kind, Model: o.Model, Version: o.Version,
		MemoryMb: o.MemoryMB, LifetimeMs: LifetimeMs,
	}
	r := w.apply(&statev1.Command{Op: &statev1.Command_OrderIssue{OrderIssue: issue}})
	if r.GetCode() != 0 {
		w.fail("order refused: %v: %s", o, r.GetMessage())
		return
	}
	if o.Kind == statev1.OrderKind_ORDER_KIND_LOAD_MODEL {
		w.moves++
		w.checkRate()
	} else {
		w.unloads++
		w.checkDrain(o)
		w.checkPinned(o)
	}
	m := message{at: w.now, dueMs: w.now + LifetimeMs, order: issue, id: r.GetIndex()}
	if w.lossy(15) {
		m.at += uint64(w.pick(LifetimeMs + 5_000))
	}
	if w.lossy(10) {
		copied := m
		copied.at += uint64(w.pick(LifetimeMs + 5_000))
		copied.repeat = true
		w.network = append(w.network, copied)
	}
	if !w.lossy(10) {
		w.network = append(w.network, m)
	}
}

func (w *world) checkRate() {
	w.issuedMs = append(w.issuedMs, w.fleetMs())
	rate := uint64(w.limits.GetStoreMilliLoadsPerSecond())
	interval := (1_000_000 + rate - 1) / rate
	slack := uint64(0)
	if interval < runIntervalMs {
		slack = runIntervalMs
	}
	for i, at := range w.issuedMs {
		if n := uint64(len(w.issuedMs) - i); n > 1+(w.fleetMs()-at+slack)/interval {
			w.fail("store rate: %d loads in %d ms at %d loads per 1000 s", n, w.fleetMs()-at, rate)
		}
	}
}

func (w *world) checkDrain(o Order) {
	m := slices.IndexFunc(w.models, func(m *statev1.Model) bool { return m.GetName() == o.Model })
	if m < 0 || w.models[m].GetVersion() != o.Version || w.demand[o.Model].Requests < 1 {
		return
	}
	if other := func(r engine.ResidentModel) bool { return r.Model == o.Model && r.Version != o.Version }; slices.ContainsFunc(w.reports[o.Endpoint].Resident, other) {
		return // the other version goes on serving
	}
	if at := w.listed[copyKey{engine: o.Endpoint, model: o.Model}]; w.now < at+drainMs {
		w.fail("%s on %s was listed as ready %d ms before its unload", o.Model, o.Endpoint, w.now-at)
	}
}

func (w *world) checkPinned(o Order) {
	e := slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.cfg.GetName() == o.Endpoint })
	m := slices.IndexFunc(w.models, func(m *statev1.Model) bool { return m.GetName() == o.Model && m.GetVersion() == o.Version })
	if e >= 0 && m >= 0 && slices.Contains(w.engines[e].cfg.GetPinnedModels(), o.Model) {
		w.fail("%s is pinned to %s and is ordered away", o.Model, o.Endpoint)
	}
}

// deliver brings due orders to engines and due answers to the ledger.
func (w *world) deliver() {
	var later []message
	due := w.network
	w.network = nil
	for _, m := range due {
		switch {
		case m.at > w.now:
			later = append(later, m)
		case m.answer != 0:
			w.apply(&statev1.Command{Op: &statev1.Command_OrderResolve{OrderResolve: &statev1.OrderResolve{OrderId: m.id, Outcome: m.answer}}})
		default:
			w.execute(m)
		}
	}
	w.network = append(w.network, later...)
}

func (w *world) execute(m message) {
	i := slices.IndexFunc(w.engines, func(e *simEngine) bool { return e.cfg.GetName() == m.order.GetEndpoint() })
	if i < 0 || w.engines[i].down > w.now {
		return
	}
	e := w.engines[i]
	answer := message{at: w.now, id: m.id, answer: statev1.OrderOutcome_ORDER_OUTCOME_DONE}
	key := copyKey{e.cfg.GetName(), m.order.GetModel(), m.order.GetVersion()}
	switch {
	case e.dedupes && e.seen[m.id]:
		return
	case m.dueMs < w.now, e.cfg.GetChecksFencing() && m.order.GetFencingToken() < e.highest:
		answer.answer = statev1.OrderOutcome_ORDER_OUTCOME_REFUSED
	case m.order.GetKind() == statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL:
		w.remove(e, key)
	case e.copies[key] == nil:
		e.copies[key] = &simCopy{memory: m.order.GetMemoryMb(), readyAt: w.now + w.loadMs, repeat: m.repeat || e.seen[m.id], order: m.id}
		answer.at = w.now + w.loadMs
	}
	e.seen[m.id] = true
	e.highest = max(e.highest, m.order.GetFencingToken())
	if !w.lossy(20) {
		w.network = append(w.network, answer)
	}
}

// remove unloads a copy on order.
func (w *world) remove(e *simEngine, key copyKey) {
	c := e.copies[key]
	delete(e.copies, key)
	if c == nil || c.readyAt > w.now || w.ready(key.model) > 0 {
		return
	}
	configured := slices.ContainsFunc(w.models, func(m *statev1.Model) bool { return m.GetName() == key.model })
	if configured && w.now > w.crashed[key.model]+recentMs {
		w.fail("an order left %s without a copy", key.model)
	}
}

func (w *world) ready(model string) int {
	n := 0
	for _, e := range w.engines {
		for k, c := range e.copies {
			if k.model == model && c.readyAt <= w.now {
				n++
			}
		}
	}
	return n
}

func (w *world) crash(e *simEngine) {
	for k := range e.copies {
		w.crashed[k.model] = w.now
	}
	clear(e.copies)
	clear(e.seen)
	e.down = w.now + uint64(w.pick(20_000))
}

// check compares the engines with their limits.
func (w *world) check() {
	loading := 0
	for _, e := range w.engines {
		var used uint64
		for _, c := range e.copies {
			used += c.memory
			if c.readyAt > w.now && !c.repeat {
				loading++
			}
		}
		if used > e.cfg.GetMemoryMb() {
			w.fail("%s uses %d MB of %d", e.cfg.GetName(), used, e.cfg.GetMemoryMb())
		}
	}
	if loading > int(w.limits.GetStoreParallelLoads()) {
		w.fail("store: %d parallel loads of %d", loading, w.limits.GetStoreParallelLoads())
	}
}

// build makes engines and models whose minimum fits in half of the memory.
func (w *world) build(engines, models int) {
	w.limits = &statev1.Platform{
		StoreMilliLoadsPerSecond: []uint32{1000, 1500, 5000}[w.pick(3)],
		StoreParallelLoads:       uint32(2 + w.pick(4)),
	}
	for i := range engines {
		e := newEngine(i, 100, 8)
		e.cfg.AcceleratorType = []string{"a", "b"}[i%2]
		e.cfg.ChecksFencing = w.pick(2) == 0
		e.dedupes = w.pick(2) == 0
		e.lagMs = uint64(w.pick(4)) * 1000
		w.engines = append(w.engines, e)
	}
	for i := range models {
		w.models = append(w.models, w.newModel(i))
	}
	if w.pick(3) == 0 {
		w.engines[0].cfg.PinnedModels = []string{w.models[0].GetName()}
	}
}

func newEngine(i int, memoryMB uint64, slots uint32) *simEngine {
	return &simEngine{
		cfg: &statev1.Endpoint{
			Name: fmt.Sprintf("e%03d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: fmt.Sprintf("dc%d", i%3), Accelerators: 8,
			MemoryMb: memoryMB, Slots: slots, ChecksFencing: true,
		},
		copies: map[copyKey]*simCopy{}, seen: map[uint64]bool{}, dedupes: true, lagMs: 2_000,
	}
}

func (w *world) newModel(i int) *statev1.Model {
	m := &statev1.Model{Name: fmt.Sprintf("m%02d", i), Version: "1", MemoryMb: uint64(10 + w.pick(25))}
	if w.pick(5) == 0 {
		m.AcceleratorTypes = []string{"a"}
	}
	if w.pick(4) == 0 {
		m.MinReplicas = 2
	}
	return m
}

func (w *world) setDemand(name string, requests float64) {
	w.demand[name] = Demand{Requests: requests, Tokens: requests * 100}
}

func choose(t *rapid.T) func(int) int {
	return func(n int) int { return int(rapid.Uint64().Draw(t, "choice") % uint64(max(1, n))) }
}

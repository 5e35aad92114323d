package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
)

// fleetSize describes a fleet. A load takes as long as the weight store's rate
// implies when all of its parallel loads are in use.
type fleetSize struct {
	name                           string
	models, engines                int
	milliRate, parallel, slots     uint32
	engineMB, smallestMB, spreadMB uint64
	loadMs                         uint64
}

var fleetSizes = []fleetSize{
	{"north-20x12", 20, 12, 1500, 10, 64, 160_000, 20_000, 40_000, 6_500},
	{"lima-13x9", 13, 9, 1000, 2, 64, 160_000, 20_000, 40_000, 2_000},
	// Memory for about 1.5 and 1.7 replicas of each model instead of 2.4 and 2.8.
	{"north-scarce-20x12", 20, 12, 1500, 10, 64, 100_000, 20_000, 40_000, 6_500},
	{"lima-scarce-13x9", 13, 9, 1000, 2, 64, 100_000, 20_000, 40_000, 2_000},
	{"target-470x890", 470, 890, 20_000, 100, 512, 640_000, 20_000, 140_000, 5_000},
}

// demandTrace is a fleet in which the demand for each model alternates between
// its base and ten times its base, on average 45 minutes low and 5 minutes high.
type demandTrace struct {
	*simWorld
	rnd   *rand.Rand
	base  []float64 // slots
	high  []bool
	meter *Meter

	demanded, unmet float64 // slot-seconds
}

func newTrace(tb testing.TB, s fleetSize, seed uint64) *demandTrace {
	rnd := rand.New(rand.NewPCG(seed, 1))
	t := &demandTrace{simWorld: newSimWorld(tb.Fatalf, rnd.IntN), rnd: rnd, meter: NewMeter()}
	t.limits = &statev1.Platform{StoreMilliLoadsPerSecond: s.milliRate, StoreParallelLoads: s.parallel}
	t.loadMs = s.loadMs
	for i := range s.engines {
		t.engines = append(t.engines, newEngine(i, s.engineMB, s.slots))
	}
	var sum float64
	for i := range s.models {
		m := &statev1.Model{Name: fmt.Sprintf("m%03d", i), Version: "1", MemoryMb: s.smallestMB + rnd.Uint64N(s.spreadMB)}
		t.models = append(t.models, m)
		t.base = append(t.base, 0.2+rnd.Float64())
		t.high = append(t.high, false)
		sum += t.base[i]
	}
	// The mean demand, 1.9 times the base, takes 45% of the slots.
	for i := range t.base {
		t.base[i] *= 0.45 / 1.9 * float64(s.slots) * float64(s.engines) / sum
	}
	if !t.configure() {
		tb.Fatal("the configuration does not fit")
	}
	t.takeOver()
	return t
}

// advance simulates one step and accounts for the demand that is served.
func (t *demandTrace) advance() {
	const lowSteps, highSteps = 45 * 60_000 / stepMs, 5 * 60_000 / stepMs
	for i := range t.high {
		if t.rnd.IntN(map[bool]int{false: lowSteps, true: highSteps}[t.high[i]]) == 0 {
			t.high[i] = !t.high[i]
		}
	}
	actual := &View{
		NowMs: t.now, Config: t.machine.Config(), Reports: map[string]Report{},
		Demand: t.demandOf(currentFactor)(), LostAfterMs: 1 << 40,
	}
	for _, e := range t.engines {
		t.recordReport(e)
		r := Report{RequestedMs: t.now, Resident: slices.Clone(e.history[len(e.history)-1].resident)}
		for i := range r.Resident {
			// Replicas that receive no new requests serve nothing.
			r.Resident[i].Ready = r.Resident[i].Ready && t.now-t.lastListedReady[replicaKey{engine: e.cfg.GetName(), model: r.Resident[i].Model}] <= stepMs
		}
		r.Resident = slices.DeleteFunc(r.Resident, func(x engine.ResidentModel) bool { return !x.Ready })
		actual.Reports[e.cfg.GetName()] = r
	}
	s := NewPlanner().newFleetState(actual)
	var report []*peerv1.ModelDemand
	for _, m := range s.models {
		unmet := m.demandSlots
		for _, rep := range m.replicas {
			unmet -= rep.share * min(1, rep.engine.slots/max(rep.engine.load, 1))
		}
		t.demanded += m.demandSlots * stepMs / 1000
		t.unmet += unmet * stepMs / 1000
		report = append(report, &peerv1.ModelDemand{
			Model: m.name(), Requests: uint32(m.demand.Requests * stepMs / 1000),
			Tokens: uint64((m.demandSlots - unmet) * slotTokensPerSecond * stepMs / 1000), Waiting: uint32(max(0, unmet)),
		})
	}
	now := time.Duration(t.now) * time.Millisecond
	t.meter.Add(now, "vm", report)
	t.demand = t.meter.Read(now)
	t.step()
}

// greedy is a planner for comparison. It places every replica anew by the current
// demand, or only once for a static placement, regardless of what is resident and
// without a threshold. It observes the same limits of memory, last replicas and
// the weight store.
type greedy struct {
	p      *Planner
	demand func() map[string]Demand
	once   bool
	target map[replicaKey]bool
}

func (g *greedy) plan(v *View) *Plan {
	copied := *v
	copied.Demand = g.demand()
	if g.p.token != v.Ledger.Token {
		g.p.reset(v.Ledger.Token)
	}
	r := &planningRound{Planner: g.p, fleetState: g.p.newFleetState(&copied), underProvisioned: map[string]bool{}}
	r.dropExpired()
	if r.awaitingReports {
		return &r.plan
	}
	if g.target == nil || !g.once {
		g.target = g.place(r)
	}
	models := slices.Clone(r.models)
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(b.demandSlots, a.demandSlots) })
	for _, m := range models {
		for _, e := range r.engines {
			if !g.target[replicaKey{e.name(), m.name(), m.version()}] || !e.acceptsOrders(v.NowMs) || e.holds(m.name()) || e.openOrders[m.name()] {
				continue
			}
			if e.freeMB >= e.addedMemoryMB(m) {
				r.orderLoad(e, m)
				continue
			}
			for _, rep := range e.replicas {
				if !g.target[rep.key] && rep.retained() && r.removable(rep) {
					r.startDrain(rep, "")
					r.draining[rep.key] = drain{sinceMs: v.NowMs + evictionDrainMs - unneededDrainMs} // ends after evictionDrainMs
				}
			}
		}
	}
	r.orderUnloads()
	r.buildResidency()
	return &r.plan
}

// place gives one replica to each model, the largest first, and then further
// ones to the model with the most unmet demand, each on the engine with the most
// free slots. A static placement instead fills the memory with replicas of the
// models with the most demand per replica.
func (g *greedy) place(r *planningRound) map[replicaKey]bool {
	target, replicas, unmet := map[replicaKey]bool{}, map[*modelState]float64{}, map[*modelState]float64{}
	free, spare := map[*engineState]int64{}, map[*engineState]float64{}
	for _, e := range r.engines {
		free[e], spare[e] = int64(e.cfg.GetMemoryMb()), e.slots
	}
	add := func(m *modelState) bool {
		var best *engineState
		for _, e := range r.engines {
			if free[e] >= e.addedMemoryMB(m) && !target[replicaKey{e.name(), m.name(), m.version()}] && (best == nil || spare[e] > spare[best]) {
				best = e
			}
		}
		if best == nil {
			return false
		}
		target[replicaKey{best.name(), m.name(), m.version()}] = true
		free[best] -= best.addedMemoryMB(m)
		replicas[m]++
		served := min(unmet[m], max(0, spare[best]))
		spare[best] -= served
		unmet[m] -= served
		return true
	}
	models := slices.Clone(r.models)
	slices.SortStableFunc(models, func(a, b *modelState) int { return cmp.Compare(b.cfg.GetMemoryMb(), a.cfg.GetMemoryMb()) })
	for _, m := range models {
		unmet[m] = m.demandSlots
		add(m)
	}
	score := func(m *modelState) float64 { return unmet[m] }
	if g.once {
		score = func(m *modelState) float64 { return m.demandSlots / replicas[m] }
	}
	for len(models) > 0 {
		m := slices.MaxFunc(models, func(a, b *modelState) int { return cmp.Compare(score(a), score(b)) })
		if score(m) <= 0 || !add(m) {
			models = slices.DeleteFunc(models, func(o *modelState) bool { return o == m })
		}
	}
	return target
}

// demandOf returns a function that returns the base demand times a factor.
func (t *demandTrace) demandOf(factor func(high bool) float64) func() map[string]Demand {
	return func() map[string]Demand {
		out := map[string]Demand{}
		for i, m := range t.models {
			slots := t.base[i] * factor(t.high[i])
			out[m.GetName()] = Demand{Tokens: slots * slotTokensPerSecond, Requests: slots / 10}
		}
		return out
	}
}

// meanFactor is the factor of the mean demand, for which a static placement is
// made.
func meanFactor(bool) float64 { return 1.9 }

func currentFactor(high bool) float64 {
	if high {
		return 10
	}
	return 1
}

// BenchmarkShifts compares the planner with a static placement and with greedy
// replanning by loads per hour and the fraction of demand that finds no slot.
func BenchmarkShifts(b *testing.B) {
	for _, s := range fleetSizes[:4] {
		for _, kind := range []string{"planner", "static", "greedy"} {
			for seed := uint64(1); seed <= 3; seed++ {
				b.Run(fmt.Sprintf("%s/%s/seed%d", s.name, kind, seed), func(b *testing.B) {
					for b.Loop() {
						t := newTrace(b, s, seed)
						switch kind {
						case "static":
							t.decide = (&greedy{p: t.planner, demand: t.demandOf(meanFactor), once: true}).plan
						case "greedy":
							t.decide = (&greedy{p: t.planner, demand: t.demandOf(currentFactor)}).plan
						}
						for range 120_000 / stepMs {
							t.advance()
						}
						t.loads, t.demanded, t.unmet = 0, 0, 0
						for range 3_600_000 / stepMs {
							t.advance()
						}
						b.ReportMetric(float64(t.loads), "moves/h")
						b.ReportMetric(100*t.unmet/t.demanded, "%unmet")
					}
				})
			}
		}
	}
}

// BenchmarkPlan measures one planning round in a settled fleet, and after the
// demand for a fifth of the models rose tenfold.
func BenchmarkPlan(b *testing.B) {
	for _, s := range fleetSizes {
		t := newTrace(b, s, 1)
		for range 120 {
			t.advance()
		}
		settled := t.view()
		for i := range t.high {
			t.high[i] = i%5 == 0
		}
		shifted := t.view()
		shifted.Demand = t.demandOf(currentFactor)()
		for i, v := range []*View{settled, shifted} {
			v.LostAfterMs = 1 << 40
			b.Run(s.name+"/"+[]string{"settled", "shifted"}[i], func(b *testing.B) {
				for b.Loop() {
					v.NowMs += 100
					t.planner.Plan(v)
				}
			})
		}
		b.Run(s.name+"/read", func(b *testing.B) {
			for b.Loop() {
				ReadLedger(t.machine)
			}
		})
	}
}

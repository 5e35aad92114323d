package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// requestTokens is the work of one request.
const requestTokens = 4000

// stepRound simulates 100 ms: loads end, engines report each second, entries report
// the given work for each model, in engines, and engines carry out all orders.
func (f *simFleet) stepRound(work map[string]float64) {
	const round = 100 * time.Millisecond
	f.now += round
	for i, e := range f.engines {
		if e.loading != "" && f.now >= e.until {
			e.models[e.loading] = map[string]bool{}
			e.loading = ""
		}
		busy := f.planner.reportNeed(f.now, e.id).interval < reportInterval
		if busy || (int(f.now/round)+i)%10 == 0 {
			f.planner.RecordReport(f.now, f.now, e.id, e.report())
		}
	}
	for _, m := range f.service.Engine.Models {
		tokens := int(work[m.Name] * EngineTokenRate * round.Seconds())
		f.planner.RecordDemand(f.now, "entry", m.Name, (tokens+requestTokens-1)/requestTokens, tokens, 0)
	}
	for _, d := range f.planner.Plan(f.now, f.service) {
		f.planner.RecordOutcome(f.now, d, f.execute(f.engine(d.Engine.ID), d.Order), true, f.service)
	}
}

// serving counts the engines that serve a model.
func (f *simFleet) serving(model string) int {
	n := 0
	for _, e := range f.planner.engines {
		if e.serves(model) {
			n++
		}
	}
	return n
}

// Guards against a busy model that stays on one engine because every other engine
// holds the last replicas of models that are not in demand. The demand for one of
// 24 models rises to the work of three engines within 6 s, on twelve engines that
// hold two models each.
func TestBusyModelReplacesIdleOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, 12, 24)
		f.service.Engine.LoadsPerSecond = 2
		for i, m := range f.service.Engine.Models {
			f.engines[i/2].models[m.Name] = map[string]bool{}
		}
		const start, length, settled = 10 * time.Second, 6 * time.Second, 3 * time.Second
		for f.now < start+length+settled {
			risen := min(1, max(0, (f.now-start).Seconds()/length.Seconds()))
			f.stepRound(map[string]float64{"m1": 0.1 + 2.9*risen})
		}
		if got := f.serving("m1"); got < 4 {
			t.Fatalf("%d engines serve the model 3 s after its demand has risen, want at least 4", got)
		}
	})
}

// Guards against forecasts that take a rise of all traffic for a shift of demand
// between models: all models would get further replicas at once.
func TestSumOfForecastsIsBounded(t *testing.T) {
	s := testService(4)
	p, now := newPlannerWith(s, []string{"m0", "m1"}, []string{"m2", "m3"})
	for range 10 {
		now += 100 * time.Millisecond
		for _, m := range s.Engine.Models {
			p.RecordDemand(now, "entry", m.Name, 1, 5000, 0)
		}
	}
	r := p.newPlan(now, s)
	current, expected := 0.0, 0.0
	for name, load := range r.load {
		current += p.demand[name].fast / warmUp(now-p.measuredFrom, fastTimeConstant)
		expected += load
	}
	if expected > maxTotalForecastRatio*current+1e-9 {
		t.Fatalf("the forecasts add up to %.2f engines at a current demand of %.2f", expected, current)
	}
}

// Guards against taking the start of traffic for a rise of all models: each of them
// would get replicas at the cost of others although no demand has changed.
func TestStartOfTrafficIsNotARise(t *testing.T) {
	const demand = 1.2 // engines
	s := testService(1)
	p, now := newPlannerWith(s, []string{"m0"})
	for step := range 40 {
		now += 100 * time.Millisecond
		p.RecordDemand(now, "entry", "m0", 1, int(demand*EngineTokenRate/10), 0)
		if got := p.newPlan(now, s).load["m0"]; step >= 10 && (got < 0.75*demand || got > 1.25*demand) {
			t.Fatalf("after %d ms the forecast is %.2f engines at a demand of %.2f", 100*(step+1), got, demand)
		}
	}
}

// Guards against replicas that are moved back and forth: on a fleet whose memory is
// full, demand that varies only by chance must not start a replica, since each load
// from the store takes a replica out of service until it is done.
func TestRandomDemandStartsNoReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, 12, 24)
		f.service.Engine.LoadsPerSecond = 10
		for i, m := range f.service.Engine.Models {
			f.engines[i/2].models[m.Name] = map[string]bool{}
		}
		random := rapid.IntRange(0, 1000).Draw(t, "seed")
		starts := 0
		for f.now < 30*time.Second {
			work := map[string]float64{}
			for i, m := range f.service.Engine.Models {
				random = random*1103515245 + 12345
				factor := 0.4 + 1.2*float64(random>>16&1023)/1023
				work[m.Name] = 0.3 * factor
				if i%2 == 1 {
					work[m.Name] = 0.05 * factor
				}
			}
			f.stepRound(work)
			starts += len(f.planner.TakeReplicaStarts())
		}
		if starts > 0 {
			t.Fatalf("%d replicas were started at a demand that only varies by chance, want 0", starts)
		}
	})
}

// Guards against busy models that have the desired number of replicas, but on
// engines that they share with each other, while other engines hold models that are
// not in demand.
func TestModelsOnOverloadedEnginesGetReplicas(t *testing.T) {
	f := newSimFleet(&rapid.T{}, 8, 16)
	f.service.Engine.LoadsPerSecond = 4
	work := map[string]float64{}
	for i, m := range f.service.Engine.Models {
		f.engines[i/2].models[m.Name] = map[string]bool{}
		if i < 8 {
			work[m.Name] = 0.02
		}
	}
	work["m0"], work["m1"] = 0.6, 0.6 // both are on the first engine
	for f.now < 15*time.Second {
		f.stepRound(work)
	}
	r := f.planner.newPlan(f.now, f.service)
	for _, m := range []string{"m0", "m1"} {
		if load := r.poolLoad(m); load > overloadedLoad {
			t.Errorf("the engines of %s have a mean load of %.2f and are overloaded", m, load)
		}
	}
}

// Guards against a leader that spends its processor time on planning: under
// overload most models need a replica and no engine can take one. Each round tries
// a bounded number of models, and later rounds try the others.
func TestRoundIsBoundedUnderOverload(t *testing.T) {
	const models = 40
	s := testService(models)
	p, now := newPlannerWith(s)
	var list []Endpoint
	for i := range models {
		list = append(list, Endpoint{ID: string(rune('A' + i)), Service: "s", Address: "a", Slots: 8})
	}
	p.SetEndpoints(list)
	for i, e := range list {
		p.RecordReport(now, now, e.ID, Report{Models: []Resident{{Model: s.Engine.Models[i].Name}}, Busy: true})
	}
	for range 2 {
		for _, m := range s.Engine.Models {
			p.RecordDemand(now, "entry", m.Name, 120, 20*EngineTokenRate, 0)
		}
		now += minMeasuredTime
	}
	for round := 1; round <= 3; round++ {
		p.Plan(now, s)
		if got, want := len(p.backoffUntil), round*attemptsPerRound; got != want {
			t.Fatalf("%d models were tried in %d rounds, want %d", got, round, want)
		}
	}
}

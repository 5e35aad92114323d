package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// playRound lets 100 ms pass: loads end, engines report each second, entries
// report the work that models are asked for in engines, and orders are obeyed.
func (f *simFleet) playRound(work map[string]float64) {
	const round = 100 * time.Millisecond
	f.now += round
	for i, e := range f.engines {
		if e.loading != "" && f.now >= e.until {
			e.models[e.loading] = map[string]bool{}
			e.loading = ""
		}
		moving := f.planner.ReportInterval(f.now, e.id) < reportInterval
		if moving || (int(f.now/round)+i)%10 == 0 {
			f.planner.Reported(f.now, f.now, e.id, e.report())
		}
	}
	for _, m := range f.service.Engine.Models {
		tokens := int(work[m.Name] * EngineTokenRate * round.Seconds())
		f.planner.Asked(f.now, "entry", m.Name, min(1, tokens), tokens, 0)
	}
	for _, d := range f.planner.Plan(f.now, f.service) {
		f.planner.Answered(f.now, d, f.execute(f.engine(d.Engine.ID), d.Order), true, f.service)
	}
}

// serving counts the engines that hold a model and give it no way.
func (f *simFleet) serving(model string) int {
	n := 0
	for _, e := range f.planner.engines {
		if e.serves(model) {
			n++
		}
	}
	return n
}

// Guards against a busy model that stays on one engine because every other one
// holds the last copies of models that nobody asks for. The load: the demand for
// one of 24 models rises to the work of three engines within 6 s, on twelve
// engines that hold two models each.
func TestBusyModelTakesPlacesOfIdleOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(t, 12, 24)
		f.service.Engine.LoadsPerSecond = 2
		for i, m := range f.service.Engine.Models {
			f.engines[i/2].models[m.Name] = map[string]bool{}
		}
		const start, length, settled = 10 * time.Second, 6 * time.Second, 3 * time.Second
		for f.now < start+length+settled {
			risen := min(1, max(0, (f.now-start).Seconds()/length.Seconds()))
			f.playRound(map[string]float64{"m1": 0.1 + 2.9*risen})
		}
		if got := f.serving("m1"); got < 4 {
			t.Fatalf("%d engines serve the model 3 s after its demand has risen, want 4", got)
		}
	})
}

// Guards against forecasts that take traffic which rises everywhere for demand
// that moves: all models would get copies at once.
func TestForecastsKeepTheirSum(t *testing.T) {
	s := testService(4)
	p, now := newPlanned(s, []string{"m0", "m1"}, []string{"m2", "m3"})
	for range 10 {
		now += 100 * time.Millisecond
		for _, m := range s.Engine.Models {
			p.Asked(now, "entry", m.Name, 1, 5000, 0)
		}
	}
	r := p.newPlan(now, s)
	present, expected := 0.0, 0.0
	for name, load := range r.load {
		present += p.demand[name].fast
		expected += load
	}
	if expected > totalRise*present+1e-9 {
		t.Fatalf("the forecasts add up to %.2f engines, the demand to %.2f", expected, present)
	}
}

// Guards against a leader that spends its processor on planning: under overload
// every model wants a copy and no engine can give one. Each round looks at a
// bounded number of models, and later rounds at the others.
func TestRoundIsBoundedUnderOverload(t *testing.T) {
	const models = 40
	s := testService(models)
	p, now := newPlanned(s)
	var list []Endpoint
	for i := range models / 2 {
		list = append(list, Endpoint{ID: string(rune('A' + i)), Service: "s", Address: "a", Slots: 8})
	}
	p.SetEndpoints(list)
	for i, e := range list {
		p.Reported(now, now, e.ID, Report{Models: []Resident{{Model: s.Engine.Models[2*i].Name}, {Model: s.Engine.Models[2*i+1].Name}}})
	}
	for _, m := range s.Engine.Models {
		p.Asked(now, "entry", m.Name, 1, 2*EngineTokenRate, 0)
	}
	for round := 1; round <= 3; round++ {
		p.Plan(now, s)
		if got, want := len(p.stuck), round*triesPerRound; got != want {
			t.Fatalf("%d models were looked at in %d rounds, want %d", got, round, want)
		}
	}
}

package directory

import (
	"math"
	"time"
)

// Constants of the measured demand.
const (
	// EngineTokenRate is the work of a busy engine: prompt tokens that it reads in
	// a second. The platform's page states 25.8 in a millisecond.
	EngineTokenRate = 25_800.0
	// fastMemory and slowMemory are the time constants of the two means whose
	// difference shows the trend.
	fastMemory = 1500 * time.Millisecond
	slowMemory = 5 * time.Second
	// moveTime is what a copy takes beyond its load: the demand has to be seen,
	// and another model has to make way.
	moveTime = time.Second
	// steadyRise is the part of the slow mean by which the fast one may exceed it
	// by chance.
	steadyRise = 1.15
	// maxRise bounds a forecast, as a multiple of the present demand.
	maxRise = 3.0
	// fallPart is the part of a falling trend that a forecast follows: copies are
	// still needed while the demand falls.
	fallPart = 0.5
	// totalRise bounds the sum of all forecasts, as a multiple of the present sum.
	// Traffic that rises everywhere moves no model.
	totalRise = 1.15
)

// modelDemand is the measured demand for a model or adapter. Its means are work
// in parts of an engine.
type modelDemand struct {
	fast, slow float64
	waiting    map[string]int
	at         time.Duration
	used       time.Duration
	wanted     time.Duration // when an entry last asked for a load
}

// demandOf returns the demand for a name, brought up to date.
func (p *Planner) demandOf(now time.Duration, name string) *modelDemand {
	d := p.demand[name]
	if d == nil {
		d = &modelDemand{waiting: map[string]int{}, at: now}
		p.demand[name] = d
	}
	passed := now - d.at
	d.fast *= math.Exp(-passed.Seconds() / fastMemory.Seconds())
	d.slow *= math.Exp(-passed.Seconds() / slowMemory.Seconds())
	d.at = now
	return d
}

// add counts work that was asked for, in prompt tokens.
func (d *modelDemand) add(tokens float64) {
	engines := tokens / EngineTokenRate
	d.fast += engines / fastMemory.Seconds()
	d.slow += engines / slowMemory.Seconds()
}

// forecast is the demand that is expected when a load that begins now is done.
// A mean lags behind a steady trend by its time constant, so the difference of
// the two means shows the slope.
func (d *modelDemand) forecast(loadTime time.Duration) float64 {
	ahead := (fastMemory + moveTime + loadTime).Seconds() / (slowMemory - fastMemory).Seconds()
	switch {
	case d.fast > d.slow*steadyRise:
		return min(maxRise*d.fast, d.fast+ahead*(d.fast-d.slow))
	case d.fast*steadyRise < d.slow:
		return max(0, d.fast-fallPart*ahead*(d.slow-d.fast))
	default:
		return d.fast
	}
}

func (d *modelDemand) waits() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// forecasts returns the expected demand for each model, with a sum that stays
// near the present one.
func (r *plan) forecasts() map[string]float64 {
	out := make(map[string]float64, len(r.models))
	present, expected := 0.0, 0.0
	for name, m := range r.models {
		d := r.demandOf(r.now, name)
		out[name] = d.forecast(m.LoadTime)
		present += d.fast
		expected += out[name]
	}
	if limit := totalRise * present; expected > limit {
		for name := range out {
			out[name] *= limit / expected
		}
	}
	return out
}

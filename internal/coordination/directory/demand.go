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
	// certain is by how many standard deviations the fast mean must differ from the
	// slow one before it counts as a trend. Small models see a few requests in the
	// time of the fast mean.
	certain = 2.0
	// sizeSpread is the mean square of a request's work, in squares of its mean.
	sizeSpread = 1.6
	// maxRise bounds a forecast, as a multiple of the present demand.
	maxRise = 3.0
	// fallPart is the part of a falling trend that a forecast follows: copies are
	// still needed while the demand falls.
	fallPart = 0.5
	// totalRise bounds the sum of all forecasts, as a multiple of the present sum.
	// Traffic that rises everywhere moves no model.
	totalRise = 1.15
	// leastMeasured bounds what is made of the first requests.
	leastMeasured = 0.05
	// askedFor is how long a model counts as asked for after its last request. Rare
	// models are asked for every few seconds.
	askedFor = 12 * time.Second
)

// modelDemand is the measured demand for a model or adapter. Its means are work
// in parts of an engine.
type modelDemand struct {
	fast, slow float64
	// variance is that of fast, for requests that come independently.
	variance float64
	waiting  map[string]int
	at       time.Duration
	used     time.Duration
	wanted   time.Duration // when an entry last asked for a load
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
	d.variance *= math.Exp(-2 * passed.Seconds() / fastMemory.Seconds())
	d.at = now
	return d
}

// add counts the work of requests, in prompt tokens.
func (d *modelDemand) add(requests int, tokens float64) {
	engines := tokens / EngineTokenRate
	d.fast += engines / fastMemory.Seconds()
	d.slow += engines / slowMemory.Seconds()
	each := engines / float64(max(1, requests)) / fastMemory.Seconds()
	d.variance += sizeSpread * float64(requests) * each * each
}

// forecast is the demand that is expected when a load that begins now is done,
// from the two means after some time of measurement. A mean lags behind a steady
// trend by its time constant, so the difference of the two shows the slope.
func (d *modelDemand) forecast(measured, loadTime time.Duration) float64 {
	fastPart, slowPart := measuredPart(measured, fastMemory), measuredPart(measured, slowMemory)
	fast, slow := d.fast/fastPart, d.slow/slowPart
	chance := certain * math.Sqrt(d.variance) / fastPart
	ahead := (fastMemory + moveTime + loadTime).Seconds() / (slowMemory - fastMemory).Seconds()
	switch {
	case fast > slow+chance:
		return min(maxRise*fast, fast+ahead*(fast-slow))
	case fast+chance < slow:
		return max(0, fast-fallPart*ahead*(slow-fast))
	default:
		return slow
	}
}

// measuredPart is the part of its weight that a mean has after it was measured
// for a time: both begin at zero, and the difference in their first seconds would
// pass for a rise of everything.
func measuredPart(measured, memory time.Duration) float64 {
	return max(leastMeasured, 1-math.Exp(-measured.Seconds()/memory.Seconds()))
}

func (d *modelDemand) waits() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// measured is for how long demand has been measured.
func (r *plan) measured() time.Duration {
	if r.measuredFrom == 0 {
		return 0
	}
	return r.now - r.measuredFrom
}

// forecasts returns the expected demand for each model, with a sum that stays
// near the present one.
func (r *plan) forecasts() map[string]float64 {
	out := make(map[string]float64, len(r.models))
	measured := r.measured()
	present, expected := 0.0, 0.0
	for name, m := range r.models {
		d := r.demandOf(r.now, name)
		out[name] = d.forecast(measured, m.LoadTime)
		present += d.fast / measuredPart(measured, fastMemory)
		expected += out[name]
	}
	if limit := totalRise * present; expected > limit {
		for name := range out {
			out[name] *= limit / expected
		}
	}
	return out
}

package directory

import (
	"math"
	"time"
)

// Parameters of the measured demand and of its forecast.
const (
	// EngineTokenRate is the work of a busy engine, in prompt tokens that it processes
	// per second. The platform's documentation states 25.8 per millisecond.
	EngineTokenRate = 25_800.0
	// fastTimeConstant and slowTimeConstant are the time constants of the two
	// exponential means whose difference shows the trend.
	fastTimeConstant = 1500 * time.Millisecond
	slowTimeConstant = 5 * time.Second
	// reactionTime is what a new replica takes beyond its load: the change in demand
	// has to be measured, and another model has to be evicted.
	reactionTime = time.Second
	// trendDeviations is by how many standard deviations the fast mean must differ from
	// the slow one to count as a trend. Small models get only a few requests within
	// fastTimeConstant, so their means vary by chance.
	trendDeviations = 2.0
	// workMeanSquare is the mean square of a request's work, as a multiple of the
	// square of its mean.
	workMeanSquare = 1.6
	// maxForecastRatio bounds a forecast, as a multiple of the current demand.
	maxForecastRatio = 3.0
	// fallFraction is the fraction of a falling trend that a forecast follows: replicas
	// are still needed while the demand falls.
	fallFraction = 0.5
	// maxTotalForecastRatio bounds the sum of all forecasts, as a multiple of the
	// current sum. Traffic that rises for all models is no reason to replace one by
	// another.
	maxTotalForecastRatio = 1.15
	// minWarmUp is the lower bound of warmUp, so that the first requests are not
	// extrapolated without limit.
	minWarmUp = 0.05
	// demandWindow is how long a model counts as in demand after its last request.
	// Rarely used models get a request every few seconds.
	demandWindow = 12 * time.Second
)

// modelDemand is the measured demand for a model or adapter. Its means are in
// engines: 1 is the work of one busy engine.
type modelDemand struct {
	fast, slow float64
	// variance is the variance of fast if requests arrive independently.
	variance        float64
	waiting         map[string]int // number of waiting requests by entry
	updatedAt       time.Duration
	lastUsed        time.Duration
	loadRequestedAt time.Duration // when an entry last requested a load
	// versionRequestedAt is when an entry last requested the model for a software version.
	versionRequestedAt map[string]time.Duration
}

// demandOf returns the demand for a model or MODEL/ADAPTER, with its means decayed
// to now.
func (p *Planner) demandOf(now time.Duration, name string) *modelDemand {
	d := p.demand[name]
	if d == nil {
		d = &modelDemand{waiting: map[string]int{}, updatedAt: now}
		p.demand[name] = d
	}
	elapsed := now - d.updatedAt
	d.fast *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
	d.slow *= math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
	d.variance *= math.Exp(-2 * elapsed.Seconds() / fastTimeConstant.Seconds())
	d.updatedAt = now
	return d
}

// add adds requests with their work in prompt tokens.
func (d *modelDemand) add(requests int, tokens float64) {
	engines := tokens / EngineTokenRate
	d.fast += engines / fastTimeConstant.Seconds()
	d.slow += engines / slowTimeConstant.Seconds()
	perRequest := engines / float64(max(1, requests)) / fastTimeConstant.Seconds()
	d.variance += workMeanSquare * float64(requests) * perRequest * perRequest
}

// forecast returns the demand that is expected when a load that begins now is done;
// measured is how long demand has been measured. A mean lags behind a steady trend
// by its time constant, so the difference of the two means shows the slope.
func (d *modelDemand) forecast(measured, loadTime time.Duration) float64 {
	fastWarmUp, slowWarmUp := warmUp(measured, fastTimeConstant), warmUp(measured, slowTimeConstant)
	fast, slow := d.fast/fastWarmUp, d.slow/slowWarmUp
	noise := trendDeviations * math.Sqrt(d.variance) / fastWarmUp
	lookahead := (fastTimeConstant + reactionTime + loadTime).Seconds() / (slowTimeConstant - fastTimeConstant).Seconds()
	switch {
	case fast > slow+noise:
		return min(maxForecastRatio*fast, fast+lookahead*(fast-slow))
	case fast+noise < slow:
		return max(0, fast-fallFraction*lookahead*(slow-fast))
	default:
		return slow
	}
}

// warmUp returns the fraction of its full weight that a mean has after it was
// measured for a time. Both means begin at zero; without this correction their
// difference in the first seconds would look like a rise of all models.
func warmUp(measured, timeConstant time.Duration) float64 {
	return max(minWarmUp, 1-math.Exp(-measured.Seconds()/timeConstant.Seconds()))
}

func (d *modelDemand) waitingRequests() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// measuredFor returns how long demand has been measured.
func (r *plan) measuredFor() time.Duration {
	if r.measuredFrom == 0 {
		return 0
	}
	return r.now - r.measuredFrom
}

// forecasts returns the expected demand for each model. Their sum is bounded by
// maxTotalForecastRatio.
func (r *plan) forecasts() map[string]float64 {
	out := make(map[string]float64, len(r.models))
	measured := r.measuredFor()
	current, expected := 0.0, 0.0
	for name, m := range r.models {
		d := r.demandOf(r.now, name)
		out[name] = d.forecast(measured, m.LoadTime)
		current += d.fast / warmUp(measured, fastTimeConstant)
		expected += out[name]
	}
	if limit := maxTotalForecastRatio * current; expected > limit {
		for name := range out {
			out[name] *= limit / expected
		}
	}
	return out
}

package bench

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/routing"
)

// Policy is a named set of scheduling decisions.
type Policy struct {
	Name     string
	Baseline entry.Baseline
}

// Policies returns the policy of the product, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "radishloom"},
		{Name: "round robin", Baseline: entry.Baseline{Policy: routing.RoundRobin}},
		{Name: "least loaded", Baseline: entry.Baseline{Policy: routing.FewestInFlight}},
		{Name: "first in, first out", Baseline: entry.Baseline{FIFO: true}},
	}
}

// RunConfig describes one run.
type RunConfig struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	Seed       uint64
	Length     time.Duration
	// Utilisation is the mean demand for slots as a fraction of all engine slots.
	Utilisation float64
}

// Run executes one run and returns its metrics.
func Run(c RunConfig) (Metrics, error) {
	t := newTraffic(c)
	p := newProbe(t)
	f, err := startFleet(c.Deployment, t, p, c.Seed, c.Policy.Baseline)
	defer f.close()
	if err != nil {
		return Metrics{}, err
	}
	disturbed := make(chan struct{})
	go func() { defer close(disturbed); f.injectFaults(c.Scenario, c.Length) }()
	late := measureSleepLateness()
	results := f.sendTraffic(t)
	<-disturbed
	out := f.evaluate(results, p, c.Length)
	out.SleepLatenessP99 = late()
	return out, nil
}

// measureSleepLateness measures by how much 1 ms sleeps overrun until the returned
// function is called, which returns the 99th percentile.
func measureSleepLateness() (p99 func() time.Duration) {
	stop, done := make(chan struct{}), make(chan time.Duration)
	go func() {
		var late []time.Duration
		for {
			select {
			case <-stop:
				slices.Sort(late)
				done <- late[len(late)*99/100]
				return
			default:
			}
			began := time.Now()
			time.Sleep(time.Millisecond)
			late = append(late, time.Since(began)-time.Millisecond)
		}
	}()
	return func() time.Duration { close(stop); return <-done }
}

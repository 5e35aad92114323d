package bench

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/routing"
)

// Policy names a set of decisions.
type Policy struct {
	Name     string
	Baseline entry.Baseline
}

// Policies returns the decisions of the product and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "radishloom"},
		{Name: "round robin", Baseline: entry.Baseline{Policy: routing.RoundRobin}},
		{Name: "least loaded", Baseline: entry.Baseline{Policy: routing.FewestInFlight}},
		{Name: "first in, first out", Baseline: entry.Baseline{FIFO: true}},
	}
}

// Cell is one run.
type Cell struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	Seed       uint64
	Length     time.Duration
	// Utilisation is the mean demand for slots over all slots.
	Utilisation float64
}

// Run carries out one cell.
func Run(c Cell) (Figures, error) {
	t := newTraffic(c)
	p := newProbe(t)
	f, err := startFleet(c.Deployment, t, p, c.Seed, c.Policy.Baseline)
	defer f.close()
	if err != nil {
		return Figures{}, err
	}
	disturbed := make(chan struct{})
	go func() { defer close(disturbed); f.disturb(c.Scenario, c.Length) }()
	late := watchSleeps()
	results := f.send(t)
	<-disturbed
	out := f.figures(results, p, c.Length)
	out.Late = late()
	return out, nil
}

// watchSleeps measures how late sleeps of 1 ms are, until the result is called
// for.
func watchSleeps() (p99 func() time.Duration) {
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

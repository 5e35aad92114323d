package bench

import "time"

// Scenario is a fault, or a change of the traffic, during a run.
type Scenario string

// Scenarios.
const (
	Steady Scenario = "steady"
	// DemandShift changes the demand for two models by a factor of ten.
	DemandShift Scenario = "move of demand"
	// Flood makes one customer send five times its rate.
	Flood Scenario = "one customer at 5x"
	// Crash kills one engine, which restarts after some seconds.
	Crash Scenario = "endpoint crash"
	// DataCentreLoss stops the engines, services and entries of one data centre.
	DataCentreLoss Scenario = "lost data centre"
	// Poison makes a caller repeatedly send a request that crashes engines.
	Poison Scenario = "poison request"
	// SilentConnections permanently silences the open connections of every third
	// engine and of one service. New connections work.
	SilentConnections Scenario = "silent connections"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Steady, DemandShift, Flood, Crash, DataCentreLoss, Poison, SilentConnections}
}

// injectFaults injects the faults of a scenario one third into the run, and
// returns after the last one.
func (f *fleet) injectFaults(s Scenario, length time.Duration) {
	time.Sleep(length / 3)
	switch s {
	case Crash:
		f.engines[0].Crash()
	case DataCentreLoss:
		f.loseDataCentre(0)
	case SilentConnections:
		for i := 0; i < len(f.engines); i += 3 {
			f.engines[i].SilenceOpenConnections()
		}
		f.services[0].SilenceOpenConnections()
	case Steady, DemandShift, Flood, Poison:
	}
}

func (f *fleet) loseDataCentre(n int) {
	lost := func(i int) bool { return i%f.d.DataCentres == n }
	for i, e := range f.engines {
		if lost(i) {
			e.Close()
		}
	}
	for i, s := range f.services {
		if lost(i) {
			s.Close()
		}
	}
	done := make(chan struct{})
	count := 0
	for i, v := range f.vms {
		if lost(i) {
			count++
			go func() { v.lose(); done <- struct{}{} }()
		}
	}
	for range count {
		<-done
	}
}

// liveEntry returns the entry that serves requests for entry i. Like a load
// balancer, it passes requests for a lost VM to the next one.
func (f *fleet) liveEntry(i int) *vm {
	for f.vms[i].lost.Load() {
		i = (i + 1) % len(f.vms)
	}
	return f.vms[i]
}

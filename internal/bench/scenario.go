package bench

import "time"

// Scenario is what happens in a run beside the traffic.
type Scenario string

// Scenarios.
const (
	Steady Scenario = "steady"
	// Move changes the demand for two models tenfold.
	Move Scenario = "move of demand"
	// Flood has one customer send five times its rate.
	Flood Scenario = "one customer at 5x"
	// Crash kills one engine, which restarts after some seconds.
	Crash Scenario = "endpoint crash"
	// Loss takes the engines, services and entries of one data centre.
	Loss Scenario = "lost data centre"
	// Poison has a caller send a request again and again that crashes engines.
	Poison Scenario = "poison request"
	// Silence makes the open connections of a third of the endpoints silent.
	Silence Scenario = "silent connections"
)

// Scenarios lists all of them.
func Scenarios() []Scenario {
	return []Scenario{Steady, Move, Flood, Crash, Loss, Poison, Silence}
}

// disturb carries out the faults of a scenario. It returns when the last one
// was made.
func (f *fleet) disturb(s Scenario, length time.Duration) {
	time.Sleep(length / 3)
	switch s {
	case Crash:
		f.engines[0].Crash()
	case Loss:
		f.loseDataCentre(0)
	case Silence:
		for i := 0; i < len(f.engines); i += 3 {
			f.engines[i].SilenceOpenConnections()
		}
		f.services[0].SilenceOpenConnections()
	case Steady, Move, Flood, Poison:
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

// at returns the entry for a request: the load balancer passes requests for a
// lost VM to the next one.
func (f *fleet) at(i int) *vm {
	for f.vms[i].lost.Load() {
		i = (i + 1) % len(f.vms)
	}
	return f.vms[i]
}

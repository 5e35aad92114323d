package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Metrics are the results of one run. Fields named ...Attainment are percentages.
type Metrics struct {
	Requests               int
	Attainment             float64
	GoodputPerAccelerator  float64 // attained requests per accelerator and second
	WorstAttainment        float64 // lowest attainment of any customer
	WorstCustomer          string
	HighPriorityAttainment float64
	RefusedWithinRate      int // refused although within the customer's rate
	WrongResponses         int // incorrect or truncated responses
	DuplicateRuns          int
	// ExcessTokens is the largest number of tokens by which the charges of a customer
	// in any time window exceeded rate x time + burst.
	ExcessTokens    float64
	UnchargedTokens int64 // tokens that callers received in excess of the charged ones
	// AddedLatencyP95 is the 95th percentile of the time that a request spent before
	// its first token, less the time that the engine took for its first event.
	AddedLatencyP95 time.Duration
	EngineCrashes   int // crashes of engines, by the poison request or the crash scenario
	Unsent          int
	// SleepLatenessP99 is the 99th percentile of the delay of a 1 ms sleep in this
	// process. Above about 10 ms the machine was too busy to meet the targets.
	SleepLatenessP99 time.Duration
	// Codes and PoisonCodes count the result codes of requests; zero is a complete
	// response.
	Codes, PoisonCodes map[resultcode.Code]int
}

// tally counts the requests of one customer, or those with one profile.
type tally struct{ withinRate, beyondRate, attained, refused int }

func (t *tally) add(r *result) {
	if r.withinRate {
		t.withinRate++
	} else {
		t.beyondRate++
	}
	if r.attained() {
		t.attained++
	}
	if r.code != 0 && r.events == 0 && !r.complete {
		t.refused++
	}
}

// attainment returns the percentage of the requests within the rate that met
// their targets. When a customer exceeds its rate, any of its requests may be
// served, so attained requests count up to the number within the rate.
func (t *tally) attainment() float64 {
	if t.withinRate == 0 {
		return 100
	}
	return 100 * float64(t.attainedWithinRate()) / float64(t.withinRate)
}

func (t *tally) attainedWithinRate() int { return min(t.attained, t.withinRate) }

// refusedWithinRate returns the number of refused requests within the rate. It is
// exact only for a customer that stays within its rate.
func (t *tally) refusedWithinRate() int { return max(0, t.refused-t.beyondRate) }

// evaluate computes the metrics of a run.
func (f *fleet) evaluate(results []*result, p *probe, length time.Duration) Metrics {
	out := Metrics{Requests: len(results), Codes: make(map[resultcode.Code]int), PoisonCodes: make(map[resultcode.Code]int)}
	byCustomer := make([]tally, len(customers()))
	highByCustomer := make([]tally, len(customers()))
	var added []time.Duration
	for _, r := range results {
		if r.unsent {
			out.Unsent++
		}
		if r.poison {
			out.PoisonCodes[r.code]++
		} else if r.code != 0 {
			out.Codes[r.code]++
		}
		if r.wrong && !r.vmLost {
			out.WrongResponses++
		}
		if r.poison || r.repeat {
			continue
		}
		byCustomer[r.customer].add(r)
		if r.profile.name == "high" {
			highByCustomer[r.customer].add(r)
		}
		if engine := time.Duration(p.engineTime[r.seq].Load()); engine > 0 && r.events > 0 {
			added = append(added, r.firstToken-engine)
		}
	}
	withinRate, attained, highWithinRate, highAttained := 0, 0, 0, 0
	out.WorstAttainment = 101
	for c := range byCustomer {
		t, h := &byCustomer[c], &highByCustomer[c]
		withinRate, attained = withinRate+t.withinRate, attained+t.attainedWithinRate()
		highWithinRate, highAttained = highWithinRate+h.withinRate, highAttained+h.attainedWithinRate()
		out.RefusedWithinRate += t.refusedWithinRate()
		if t.attainment() < out.WorstAttainment {
			out.WorstAttainment, out.WorstCustomer = t.attainment(), customerName(c)
		}
	}
	out.Attainment = 100 * float64(attained) / float64(max(1, withinRate))
	out.HighPriorityAttainment = 100 * float64(highAttained) / float64(max(1, highWithinRate))
	out.GoodputPerAccelerator = float64(attained) / float64(f.d.Engines) / length.Seconds()
	slices.Sort(added)
	if n := len(added); n > 0 {
		out.AddedLatencyP95 = added[n*95/100]
	}
	f.checkInvariants(&out, results, p)
	return out
}

// checkInvariants fills in the counts that must be zero, and the endpoint crashes.
func (f *fleet) checkInvariants(out *Metrics, results []*result, p *probe) {
	received := make(map[string]int64)
	keys := make(map[string]bool)
	for _, r := range results {
		if r.key != "" {
			keys[r.key] = true
		}
		if r.events > 0 {
			received[customerName(r.customer)] += int64(r.events + r.promptTokens)
		}
	}
	for key := range keys {
		runs := 0
		for _, s := range f.services {
			runs += s.RunsByKey(key)
		}
		out.DuplicateRuns += max(0, runs-1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, b := range p.buckets {
		out.ExcessTokens = max(out.ExcessTokens, b.maxExcess)
		out.UnchargedTokens += max(0, received[name]-int64(b.charged))
	}
	for _, e := range f.engines {
		out.EngineCrashes += e.Crashes()
	}
}

// formatCodes formats the number of requests for each result code.
func formatCodes(byCode map[resultcode.Code]int) string {
	text := ""
	for _, c := range slices.Sorted(maps.Keys(byCode)) {
		text += fmt.Sprintf(" %d:%d", c, byCode[c])
	}
	return text
}

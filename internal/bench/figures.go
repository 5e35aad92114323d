package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Figures are the results of one run. Shares are in percent.
type Figures struct {
	Requests   int
	Attainment float64
	PerAccel   float64 // attained requests for each accelerator and second
	Worst      float64 // customer with the least attainment
	WorstName  string
	High       float64
	Refused    int // although within the customer's rate
	Wrong      int // wrong or cut answers
	DoubleRuns int
	OverTokens float64
	Uncharged  int64 // tokens that callers got beyond what was charged
	AddedP95   time.Duration
	Lost       int // endpoints that the poison request crashed
	Unsent     int
	// Late is the 99th percentile by which a sleep of 1 ms was late in this
	// process. Above about 10 ms the machine was too busy for the targets.
	Late time.Duration
	// Codes and PoisonCodes count how requests ended; zero is a whole answer.
	Codes, PoisonCodes map[resultcode.Code]int
}

// tally counts the requests of one group.
type tally struct{ inside, outside, attained, refused int }

func (t *tally) add(r *result) {
	if r.inside {
		t.inside++
	} else {
		t.outside++
	}
	if r.attained() {
		t.attained++
	}
	if r.code != 0 && r.events == 0 && !r.ended {
		t.refused++
	}
}

// share is the attainment. Of a customer beyond its rate, any of its requests
// may be among the served ones: they count up to the number within the rate.
func (t *tally) share() float64 {
	if t.inside == 0 {
		return 100
	}
	return 100 * float64(t.met()) / float64(t.inside)
}

func (t *tally) met() int { return min(t.attained, t.inside) }

// refusedInside is exact for a customer that keeps to its rate.
func (t *tally) refusedInside() int { return max(0, t.refused-t.outside) }

// figures evaluates a run.
func (f *fleet) figures(results []*result, p *probe, length time.Duration) Figures {
	out := Figures{Requests: len(results), Codes: make(map[resultcode.Code]int), PoisonCodes: make(map[resultcode.Code]int)}
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
			out.Wrong++
		}
		if r.poison || r.repeat {
			continue
		}
		byCustomer[r.customer].add(r)
		if r.class.name == "high" {
			highByCustomer[r.customer].add(r)
		}
		if engine := time.Duration(p.engineTime[r.seq].Load()); engine > 0 && r.events > 0 {
			added = append(added, r.first-engine)
		}
	}
	inside, met, highInside, highMet := 0, 0, 0, 0
	out.Worst = 101
	for c := range byCustomer {
		t, h := &byCustomer[c], &highByCustomer[c]
		inside, met = inside+t.inside, met+t.met()
		highInside, highMet = highInside+h.inside, highMet+h.met()
		out.Refused += t.refusedInside()
		if t.share() < out.Worst {
			out.Worst, out.WorstName = t.share(), customerName(c)
		}
	}
	out.Attainment = 100 * float64(met) / float64(max(1, inside))
	out.High = 100 * float64(highMet) / float64(max(1, highInside))
	out.PerAccel = float64(met) / float64(f.d.Engines) / length.Seconds()
	slices.Sort(added)
	if n := len(added); n > 0 {
		out.AddedP95 = added[n*95/100]
	}
	f.checks(&out, results, p)
	return out
}

// checks fills in what must be zero, and the crashes.
func (f *fleet) checks(out *Figures, results []*result, p *probe) {
	received := make(map[string]int64)
	keys := make(map[string]bool)
	for _, r := range results {
		if r.key != "" {
			keys[r.key] = true
		}
		if r.events > 0 {
			received[customerName(r.customer)] += int64(r.events + r.prompt)
		}
	}
	for key := range keys {
		runs := 0
		for _, s := range f.services {
			runs += s.RunsByKey(key)
		}
		out.DoubleRuns += max(0, runs-1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, b := range p.buckets {
		out.OverTokens = max(out.OverTokens, b.over)
		out.Uncharged += max(0, received[name]-int64(b.charged))
	}
	for _, e := range f.engines {
		out.Lost += e.Crashes()
	}
}

// codes lists the ends of requests by code.
func codes(byCode map[resultcode.Code]int) string {
	text := ""
	for _, c := range slices.Sorted(maps.Keys(byCode)) {
		text += fmt.Sprintf(" %d:%d", c, byCode[c])
	}
	return text
}

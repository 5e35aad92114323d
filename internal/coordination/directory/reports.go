package directory

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the calls for reports.
const (
	// reportsPerSecond bounds the calls for reports over all engines. A call costs
	// the leader about 0.25 ms, and a control VM has 0.12 of a core at least.
	reportsPerSecond = 120
	// reportBurst is how many calls may be made at once.
	reportBurst = reportsPerSecond / 8
	// reportsInFlight bounds the calls that wait for an answer: engines that are
	// dark answer none.
	reportsInFlight = 64
	// reportAgeRounds is the age of a report, in rounds over all engines, from which
	// it says too little for an order; it is leastReportAge at least.
	reportAgeRounds = 3
	leastReportAge  = 3 * time.Second
)

// reportAge is the age from which a report of one of n engines says nothing of the
// present.
func reportAge(n int) time.Duration {
	return max(leastReportAge, time.Duration(n)*reportAgeRounds*time.Second/reportsPerSecond)
}

// reportCalls decides which engines are asked for a report. Every engine would
// be asked each second, but the leader must have time left for its followers: the
// more engines there are, the less often each of them is asked.
type reportCalls struct {
	asked    map[string]time.Duration
	inFlight int
	tokens   float64
	at       time.Duration
}

func newReportCalls(now time.Duration) *reportCalls {
	return &reportCalls{asked: map[string]time.Duration{}, at: now}
}

// due returns the engines to ask now, the most overdue first. Each counts as in
// flight until answered is called.
func (r *reportCalls) due(now time.Duration, engines []Endpoint, interval func(id string) time.Duration) []Endpoint {
	r.tokens = min(reportBurst, r.tokens+(now-r.at).Seconds()*reportsPerSecond)
	r.at = now
	type overdue struct {
		engine Endpoint
		by     float64 // in intervals of the engine
	}
	var all []overdue
	for _, e := range engines {
		asked, known := r.asked[e.ID]
		by := float64(now-asked) / float64(interval(e.ID))
		if !known {
			by = float64(len(engines)) // the first report decides what may be ordered
		}
		if by >= 1 {
			all = append(all, overdue{e, by})
		}
	}
	slices.SortStableFunc(all, func(a, b overdue) int { return cmp.Compare(b.by, a.by) })
	n := min(len(all), int(r.tokens), reportsInFlight-r.inFlight)
	out := make([]Endpoint, 0, max(0, n))
	for _, o := range all[:max(0, n)] {
		r.asked[o.engine.ID] = now
		out = append(out, o.engine)
	}
	r.tokens -= float64(len(out))
	r.inFlight += len(out)
	return out
}

func (r *reportCalls) answered() { r.inFlight-- }

// forgetOthers drops engines that are no longer listed.
func (r *reportCalls) forgetOthers(listed map[string]bool) {
	for id := range r.asked {
		if !listed[id] {
			delete(r.asked, id)
		}
	}
}

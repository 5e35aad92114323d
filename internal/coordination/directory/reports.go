package directory

import (
	"cmp"
	"slices"
	"time"
)

// Limits for the polling of engine reports.
const (
	// reportsPerSecond bounds the calls for reports over all engines. A call costs the
	// leader about 0.25 ms, and a control VM has at least 0.12 of a core.
	reportsPerSecond = 120
	// reportBurst is how many calls may be made at once.
	reportBurst = reportsPerSecond / 8
	// maxReportsInFlight bounds the calls that wait for an answer: unresponsive engines
	// answer none.
	maxReportsInFlight = 64
	// reportAgeRounds is the age, in polling rounds over all engines, from which a
	// report is too old for an order; reportAgeFloor is the least such age.
	reportAgeRounds = 3
	reportAgeFloor  = 3 * time.Second
)

// maxReportAge returns the age from which a report of one of n engines is too old
// for an order.
func maxReportAge(n int) time.Duration {
	return max(reportAgeFloor, time.Duration(n)*reportAgeRounds*time.Second/reportsPerSecond)
}

// reportScheduler decides which engines are polled for a report. An engine should
// be polled each second, but the leader must have time left for its followers: the
// more engines there are, the less often each of them is polled.
type reportScheduler struct {
	lastPolled map[string]time.Duration
	inFlight   int
	tokens     float64
	refilledAt time.Duration
}

func newReportScheduler(now time.Duration) *reportScheduler {
	return &reportScheduler{lastPolled: map[string]time.Duration{}, refilledAt: now}
}

// due returns the engines to poll now, the most overdue first. Each counts as in
// flight until answered is called.
func (r *reportScheduler) due(now time.Duration, engines []Endpoint, interval func(id string) time.Duration) []Endpoint {
	r.tokens = min(reportBurst, r.tokens+(now-r.refilledAt).Seconds()*reportsPerSecond)
	r.refilledAt = now
	type overdue struct {
		engine    Endpoint
		intervals float64 // of the engine, since its last poll
	}
	var all []overdue
	for _, e := range engines {
		last, known := r.lastPolled[e.ID]
		intervals := float64(now-last) / float64(interval(e.ID))
		if !known {
			intervals = float64(len(engines)) // without a report an engine can get no orders
		}
		if intervals >= 1 {
			all = append(all, overdue{e, intervals})
		}
	}
	slices.SortStableFunc(all, func(a, b overdue) int { return cmp.Compare(b.intervals, a.intervals) })
	n := min(len(all), int(r.tokens), maxReportsInFlight-r.inFlight)
	out := make([]Endpoint, 0, max(0, n))
	for _, o := range all[:max(0, n)] {
		r.lastPolled[o.engine.ID] = now
		out = append(out, o.engine)
	}
	r.tokens -= float64(len(out))
	r.inFlight += len(out)
	return out
}

func (r *reportScheduler) answered() { r.inFlight-- }

// removeUnlisted removes the engines that are no longer listed.
func (r *reportScheduler) removeUnlisted(listed map[string]bool) {
	for id := range r.lastPolled {
		if !listed[id] {
			delete(r.lastPolled, id)
		}
	}
}

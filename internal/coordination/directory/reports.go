package directory

import (
	"cmp"
	"math"
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
	// urgentShare is the share of the calls that urgent reports may take while others
	// are due: no report may become too old for an order.
	urgentShare = 0.5
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

// reportNeed says how soon an engine has to be polled again.
type reportNeed struct {
	interval time.Duration // between two reports
	// urgent is set while an order or a request waits for the report.
	urgent bool
}

// reportScheduler decides which engines are polled for a report. An engine should
// be polled each second, but the leader must have time left for its followers: the
// more engines there are, the less often each of them is polled. Urgent reports come
// first, since a new leader needs many seconds to poll thousands of engines once.
type reportScheduler struct {
	lastPolled map[string]time.Duration
	inFlight   int
	tokens     float64
	refilledAt time.Duration
}

func newReportScheduler(now time.Duration) *reportScheduler {
	return &reportScheduler{lastPolled: map[string]time.Duration{}, refilledAt: now}
}

// overdueReport is an engine whose report is due.
type overdueReport struct {
	engine    Endpoint
	intervals float64 // of the engine, since its last poll
}

// due returns the engines to poll now: urgent ones first, then the most overdue.
// Each counts as in flight until answered is called.
func (r *reportScheduler) due(now time.Duration, engines []Endpoint, need func(id string) reportNeed) []Endpoint {
	r.tokens = min(reportBurst, r.tokens+(now-r.refilledAt).Seconds()*reportsPerSecond)
	r.refilledAt = now
	var urgent, others []overdueReport
	for _, e := range engines {
		n := need(e.ID)
		last, known := r.lastPolled[e.ID]
		intervals := float64(now-last) / float64(n.interval)
		if !known {
			intervals = float64(len(engines)) // without a report an engine can get no orders
		}
		switch {
		case intervals < 1:
		case n.urgent:
			urgent = append(urgent, overdueReport{e, intervals})
		default:
			others = append(others, overdueReport{e, intervals})
		}
	}
	n := max(0, min(int(r.tokens), maxReportsInFlight-r.inFlight))
	reserved := min(len(others), n-int(math.Ceil(urgentShare*float64(n))))
	out := r.take(now, urgent, n-reserved)
	out = append(out, r.take(now, others, n-len(out))...)
	r.tokens -= float64(len(out))
	r.inFlight += len(out)
	return out
}

// take returns the n most overdue engines and records that they are polled.
func (r *reportScheduler) take(now time.Duration, list []overdueReport, n int) []Endpoint {
	slices.SortStableFunc(list, func(a, b overdueReport) int { return cmp.Compare(b.intervals, a.intervals) })
	var out []Endpoint
	for _, o := range list[:min(n, len(list))] {
		r.lastPolled[o.engine.ID] = now
		out = append(out, o.engine)
	}
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

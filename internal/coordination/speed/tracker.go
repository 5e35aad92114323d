// Package speed tracks how long work takes at endpoints, relative to the usual. It
// combines what endpoints state with what is observed. It has no I/O and no clock, and
// is not safe for concurrent use.
package speed

import (
	"math"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/statistics"
)

// Parameters of the statements of endpoints.
const (
	// minSlowdown and maxSlowdown bound statements and results.
	minSlowdown = 0.1
	maxSlowdown = 20
	// statementHalfLife is the half-life of the weight of a statement. Statements
	// change several times a second, so the newest one alone would mislead.
	statementHalfLife = time.Second
	// maxStep bounds a statement relative to the mean, once the mean has at least
	// the weight minStepWeight, so that one false statement changes little. A
	// lasting change arrives within a few statements.
	maxStep       = 3
	minStepWeight = 3
	// Without a statement for longer than freshTime, the slowdown approaches 1 with
	// staleHalfLife; after maxAge it is 1. An endpoint that gets no requests states
	// nothing, and is tried again this way.
	freshTime     = 2 * time.Second
	staleHalfLife = 2 * time.Second
	maxAge        = 30 * time.Second
)

// Parameters of the observations.
const (
	// observationHalfLife is the half-life of the weight of an observation.
	observationHalfLife = 10 * time.Second
	// contradiction is the factor by which observed times must differ from the statement
	// for the observations to count. Batches and other requests explain smaller
	// differences.
	contradiction = 2
	// minObservations is the weight of the observations of an endpoint, and
	// minKindObservations the number of those of its kind, from which they count.
	minObservations     = 4
	minKindObservations = 32
	// maxRatio bounds an observation relative to its expectation.
	maxRatio = 64
	// firstMedianStep is the first step, in powers of two, of the estimate of a median.
	firstMedianStep = 1
	// maxKinds bounds the number of kinds of requests.
	maxKinds = 1024
)

// state is what is known about one endpoint.
type state struct {
	stated   decayingMean
	statedAt time.Duration
	// observed is the mean logarithm of observed times, relative to the statement
	// and to the usual time of their kind.
	observed decayingMean
}

// Kind is a kind of requests that take the same time at equal endpoints, apart from
// what their expectation covers: those of a model, or of a route to a plain service.
type Kind struct{ Service, Name string }

// Tracker tracks the slowdown of endpoints.
type Tracker struct {
	endpoints map[string]*state
	// usual holds the median time of each kind of request, relative to the
	// expectation and to the statement of the endpoint.
	usual map[Kind]*statistics.Median
}

// NewTracker returns a Tracker without endpoints.
func NewTracker() *Tracker {
	return &Tracker{endpoints: map[string]*state{}, usual: map[Kind]*statistics.Median{}}
}

// Record records that an endpoint stated how long work takes, in percent of the usual.
// Zero and negative figures are no statements.
func (t *Tracker) Record(now time.Duration, endpoint string, percent int) {
	if percent <= 0 {
		return
	}
	s := t.endpoints[endpoint]
	if s == nil {
		s = &state{}
		t.endpoints[endpoint] = s
	}
	x := statistics.Clip(float64(percent)/100, minSlowdown, maxSlowdown)
	s.stated.decay(now, statementHalfLife)
	if s.stated.weight >= minStepWeight {
		mean := s.stated.mean()
		x = statistics.Clip(x, mean/maxStep, mean*maxStep)
	}
	s.stated.add(x)
	s.statedAt = max(s.statedAt, now)
}

// Observe records the time that a request took at an endpoint which did not have to
// wait for others there. The expectation may be rough: only its proportions within a
// kind of requests count. Endpoints that state nothing are not judged.
func (t *Tracker) Observe(now time.Duration, endpoint string, kind Kind, took, expected time.Duration) {
	s := t.endpoints[endpoint]
	if s == nil || took <= 0 || expected <= 0 || now-s.statedAt > freshTime {
		return
	}
	ratio := math.Log2(took.Seconds() / expected.Seconds() / s.stated.mean())
	usual := t.usual[kind]
	if usual == nil {
		if len(t.usual) >= maxKinds {
			return
		}
		usual = &statistics.Median{}
		t.usual[kind] = usual
	}
	usual.Add(ratio, firstMedianStep)
	if usual.Count() < minKindObservations {
		return
	}
	s.observed.decay(now, observationHalfLife)
	s.observed.add(statistics.Clip(ratio-usual.Value(), -math.Log2(maxRatio), math.Log2(maxRatio)))
}

// Slowdown returns how long work takes at an endpoint, relative to the usual: 1 if
// nothing is known.
func (t *Tracker) Slowdown(now time.Duration, endpoint string) float64 {
	s := t.endpoints[endpoint]
	if s == nil || now-s.statedAt > maxAge {
		return 1
	}
	out := statistics.Clip(s.stated.mean()*s.correction(now), minSlowdown, maxSlowdown)
	if stale := now - s.statedAt - freshTime; stale > 0 {
		out = 1 + (out-1)*math.Exp2(-stale.Seconds()/staleHalfLife.Seconds())
	}
	return out
}

// Forget removes an endpoint, since it ended or another incarnation has taken its
// place.
func (t *Tracker) Forget(endpoint string) { delete(t.endpoints, endpoint) }

// correction returns the factor by which observed times contradict the statement, or 1.
func (s *state) correction(now time.Duration) float64 {
	if s.observed.weight == 0 {
		return 1
	}
	observed := s.observed // a copy, since a query must not change the state
	observed.decay(now, observationHalfLife)
	if observed.weight < minObservations {
		return 1
	}
	factor := math.Exp2(observed.mean())
	if factor < contradiction && factor > 1.0/contradiction {
		return 1
	}
	return factor
}

// decayingMean is a mean in which values lose weight with time.
type decayingMean struct {
	weight, sum float64
	at          time.Duration
}

// decay reduces the weight of all values for the time since the last call.
func (m *decayingMean) decay(now, halfLife time.Duration) {
	if now <= m.at {
		return
	}
	f := math.Exp2(-(now - m.at).Seconds() / halfLife.Seconds())
	m.weight, m.sum, m.at = m.weight*f, m.sum*f, now
}

func (m *decayingMean) add(x float64) {
	m.weight++
	m.sum += x
}

// mean returns the mean; there must be a value.
func (m *decayingMean) mean() float64 { return m.sum / m.weight }

package placement

import (
	"math"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// riseTime smooths the demand that entries report once a second.
	riseTime = 10 * time.Second
	// fallTime is how slowly demand is forgotten, so that a pause does not cost
	// a copy.
	fallTime = 2 * time.Minute
	// waitingTime is how long an entry's count of waiting requests holds; entries
	// report each second while any wait, and nothing when none do.
	waitingTime = 3 * time.Second
	// negligible is the rate below which a model is forgotten.
	negligible = 1e-4
)

// Meter turns the entries' reports into smoothed demand. It is deterministic
// and not safe for concurrent use.
type Meter struct {
	last    time.Duration
	models  map[string]*rates
	waiting map[source]gauge
}

type source struct{ session, model string }

type gauge struct {
	count uint32
	at    time.Duration
}

// rates are the sums since the last reading, the fast averages and the slowly
// falling ones.
type rates struct {
	requests, tokens         float64
	fastRequests, fastTokens float64
	slowRequests, slowTokens float64
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter {
	return &Meter{models: make(map[string]*rates), waiting: make(map[source]gauge)}
}

// Add takes the report of one entry session.
func (m *Meter) Add(now time.Duration, session string, demand []*peerv1.ModelDemand) {
	for _, d := range demand {
		r := m.models[d.GetModel()]
		if r == nil {
			r = &rates{}
			m.models[d.GetModel()] = r
		}
		r.requests += float64(d.GetRequests())
		r.tokens += float64(d.GetTokens())
		m.waiting[source{session, d.GetModel()}] = gauge{d.GetWaiting(), now}
	}
}

// Read advances the averages and returns the demand by model.
func (m *Meter) Read(now time.Duration) map[string]Demand {
	elapsed := (now - m.last).Seconds()
	m.last = now
	out := make(map[string]Demand, len(m.models))
	for name, r := range m.models {
		if elapsed > 0 {
			r.advance(elapsed)
		}
		if r.slowRequests < negligible && r.slowTokens < negligible && r.requests+r.tokens == 0 {
			delete(m.models, name)
			continue
		}
		out[name] = Demand{Requests: r.slowRequests, Tokens: r.slowTokens}
	}
	for s, g := range m.waiting {
		if now-g.at > waitingTime {
			delete(m.waiting, s)
			continue
		}
		d := out[s.model]
		d.Waiting += float64(g.count)
		out[s.model] = d
	}
	return out
}

func (r *rates) advance(elapsed float64) {
	keep := math.Exp(-elapsed / riseTime.Seconds())
	r.fastRequests = r.fastRequests*keep + (1-keep)*r.requests/elapsed
	r.fastTokens = r.fastTokens*keep + (1-keep)*r.tokens/elapsed
	r.requests, r.tokens = 0, 0
	fall := math.Exp(-elapsed / fallTime.Seconds())
	r.slowRequests = max(r.fastRequests, r.slowRequests*fall)
	r.slowTokens = max(r.fastTokens, r.slowTokens*fall)
}

package placement

import (
	"math"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// riseTimeConstant smooths the demand that entries report once a second.
	riseTimeConstant = 10 * time.Second
	// fallTimeConstant is the time constant of the decay of demand. It is long so
	// that a short pause in traffic does not cost a model a replica.
	fallTimeConstant = 2 * time.Minute
	// waitingExpiry is how long an entry's count of waiting requests is valid.
	// Entries report it each second while requests wait, and not at all otherwise.
	waitingExpiry = 3 * time.Second
	// negligibleRate is the rate below which a model's averages are deleted.
	negligibleRate = 1e-4
)

// Meter computes smoothed demand from the entries' reports. It is deterministic
// and not safe for concurrent use.
type Meter struct {
	last    time.Duration
	models  map[string]*rates
	waiting map[waitingKey]waitingCount
}

type waitingKey struct{ session, model string }

type waitingCount struct {
	count uint32
	at    time.Duration
}

// rates holds the sums since the last call of Read, fast moving averages of
// their rates, and slow averages that follow a rise at once and decay slowly.
type rates struct {
	requests, tokens         float64
	fastRequests, fastTokens float64
	slowRequests, slowTokens float64
}

// NewMeter returns a meter without demand.
func NewMeter() *Meter {
	return &Meter{models: make(map[string]*rates), waiting: make(map[waitingKey]waitingCount)}
}

// Add records a report of one entry session.
func (m *Meter) Add(now time.Duration, session string, demand []*peerv1.ModelDemand) {
	for _, d := range demand {
		r := m.models[d.GetModel()]
		if r == nil {
			r = &rates{}
			m.models[d.GetModel()] = r
		}
		r.requests += float64(d.GetRequests())
		r.tokens += float64(d.GetTokens())
		m.waiting[waitingKey{session, d.GetModel()}] = waitingCount{d.GetWaiting(), now}
	}
}

// Read updates the averages and returns the demand by model.
func (m *Meter) Read(now time.Duration) map[string]Demand {
	elapsed := (now - m.last).Seconds()
	m.last = now
	out := make(map[string]Demand, len(m.models))
	for name, r := range m.models {
		if elapsed > 0 {
			r.advance(elapsed)
		}
		if r.slowRequests < negligibleRate && r.slowTokens < negligibleRate && r.requests+r.tokens == 0 {
			delete(m.models, name)
			continue
		}
		out[name] = Demand{Requests: r.slowRequests, Tokens: r.slowTokens}
	}
	for s, g := range m.waiting {
		if now-g.at > waitingExpiry {
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
	decay := math.Exp(-elapsed / riseTimeConstant.Seconds())
	r.fastRequests = r.fastRequests*decay + (1-decay)*r.requests/elapsed
	r.fastTokens = r.fastTokens*decay + (1-decay)*r.tokens/elapsed
	r.requests, r.tokens = 0, 0
	slowDecay := math.Exp(-elapsed / fallTimeConstant.Seconds())
	r.slowRequests = max(r.fastRequests, r.slowRequests*slowDecay)
	r.slowTokens = max(r.fastTokens, r.slowTokens*slowDecay)
}

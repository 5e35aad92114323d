package directory

import (
	"math"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Parameters of the speed of engines, which share their machines with other work.
const (
	// slowdownTimeConstant is the time constant of the mean of what an engine states. A
	// load takes seconds, so only a slowdown that lasts matters for placement.
	slowdownTimeConstant = 8 * time.Second
	// minSlowdown and maxSlowdown bound a single statement.
	minSlowdown = 0.1
	maxSlowdown = 20.0
	// slowAdapterCost is the additional cost of placing an adapter on an engine that takes
	// twice as long as usual, relative to that of an engine whose slots are all in use.
	slowAdapterCost = 0.5
)

// slowdown is how long work takes at an engine relative to the usual, as a mean of what
// the engine stated. The zero value is an engine that stated nothing.
type slowdown struct {
	mean      float64
	updatedAt time.Duration
}

// add adds a report, which is the mean of what the engine stated since the last one.
func (s *slowdown) add(now time.Duration, stated float64) {
	stated = min(maxSlowdown, max(minSlowdown, stated))
	if s.mean == 0 {
		s.mean = stated
	}
	weight := 1 - math.Exp(-(now-s.updatedAt).Seconds()/slowdownTimeConstant.Seconds())
	s.mean += weight * (stated - s.mean)
	s.updatedAt = now
}

// factor returns the mean, or 1 for an engine that stated nothing.
func (s *slowdown) factor() float64 {
	if s.mean == 0 {
		return 1
	}
	return s.mean
}

// RecordSlowdown records what an engine stated to entries, as a mean in percent.
func (p *Planner) RecordSlowdown(now time.Duration, id string, percent uint32) {
	if e := p.engines[id]; e != nil && percent > 0 {
		e.slowdown.add(now, float64(percent)/100)
	}
}

// capacity returns what an engine can serve on time, relative to one of the usual speed.
// At a slow engine both the steps of its streams and the prompts that it reads between
// them take longer, so that its streams pause too long with far fewer requests. An engine
// that warms up counts less, by warmingReplica.
func (e *engine) capacity() float64 {
	f := e.slowdown.factor()
	out := 1 / f
	if f > 1 {
		out = 1 / (f * f)
	}
	if e.warming {
		out *= warmingReplica
	}
	return out
}

// capacityOf returns the capacity of a model's engines.
func (r *plan) capacityOf(model string) float64 {
	total := 0.0
	for _, e := range r.pools[model] {
		total += e.capacity()
	}
	return total
}

// slowdownSum adds up what entries reported on one endpoint.
type slowdownSum struct{ percent, answers uint64 }

// addSlowdowns adds the report of an entry to the next one to the leader.
func (r *relayState) addSlowdowns(in []*peerv1.EndpointSlowdown) {
	for _, s := range in {
		if len(r.slowdowns) >= MaxListEndpoints {
			return
		}
		sum := r.slowdowns[s.GetEndpoint()]
		sum.percent += uint64(s.GetPercent()) * uint64(s.GetAnswers())
		sum.answers += uint64(s.GetAnswers())
		r.slowdowns[s.GetEndpoint()] = sum
	}
}

// takeSlowdowns returns what entries reported since the last call. A report that gets
// lost is not repeated, since newer ones follow.
func (r *relayState) takeSlowdowns() []*peerv1.EndpointSlowdown {
	out := make([]*peerv1.EndpointSlowdown, 0, len(r.slowdowns))
	for id, sum := range r.slowdowns {
		if sum.answers > 0 {
			out = append(out, &peerv1.EndpointSlowdown{Endpoint: id, Percent: uint32(sum.percent / sum.answers), Answers: uint32(sum.answers)})
		}
	}
	clear(r.slowdowns)
	return out
}

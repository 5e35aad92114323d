package routing

import "time"

// Policy is the load-balancing policy by which Pick chooses among the usable
// endpoints.
type Policy int

// Load-balancing policies. The bench program compares LowestScore, the
// default, with the other two.
const (
	// LowestScore takes the endpoint with the lowest score of a few candidates.
	LowestScore Policy = iota
	RoundRobin
	// FewestInFlight takes the endpoint with the fewest in-flight requests of this
	// entry.
	FewestInFlight
)

// SetPolicy sets the policy of Pick.
func (t *Table) SetPolicy(p Policy) { t.policy = p }

// pickBaseline implements RoundRobin and FewestInFlight. It starts at the next
// endpoint in turn, so that FewestInFlight breaks ties in rotation.
func (t *Table) pickBaseline(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Reservation {
	t.turn++
	var best *endpoint
	for i := range group {
		e := group[(t.turn+uint64(i))%uint64(len(group))]
		if !usable(e) || best != nil && e.inFlight >= best.inFlight {
			continue
		}
		best = e
		if t.policy == RoundRobin {
			break
		}
	}
	if best == nil {
		return nil
	}
	return t.reserve(now, best, q)
}

package routing

import "time"

// Choice is the load-balancing policy by which Pick chooses among the usable
// endpoints.
type Choice int

// Load-balancing policies. The bench program compares ByScore, the default, with
// the other two.
const (
	// ByScore takes the endpoint with the lowest expected wait of a few candidates.
	ByScore Choice = iota
	ByTurn
	// ByLoad takes the endpoint with the fewest in-flight requests of this entry.
	ByLoad
)

// SetChoice sets the policy of Pick.
func (t *Table) SetChoice(c Choice) { t.choice = c }

// pickSimply implements ByTurn and ByLoad. It starts at the next endpoint in turn,
// so that ByLoad breaks ties in rotation.
func (t *Table) pickSimply(now time.Duration, group []*endpoint, q *Query, usable func(e *endpoint) bool) *Ticket {
	t.turn++
	var best *endpoint
	for i := range group {
		e := group[(t.turn+uint64(i))%uint64(len(group))]
		if !usable(e) || best != nil && e.inFlight >= best.inFlight {
			continue
		}
		best = e
		if t.choice == ByTurn {
			break
		}
	}
	if best == nil {
		return nil
	}
	return t.begin(now, best, q)
}

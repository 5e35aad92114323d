package routing

import "time"

// Choice is the rule by which Pick chooses among the usable endpoints.
type Choice int

// Choices. The bench program compares ByScore with the other two.
const (
	ByScore Choice = iota
	// ByTurn is round robin.
	ByTurn
	// ByLoad takes the endpoint with the fewest requests of this entry in flight.
	ByLoad
)

// SetChoice replaces ByScore.
func (t *Table) SetChoice(c Choice) { t.choice = c }

// pickSimply starts at the next endpoint in turn.
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

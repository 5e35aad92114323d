package pool

import "time"

// MaxPause is the longest time for which an endpoint's wish for no requests is
// followed. A longer one would lose the endpoint to a single faulty answer.
const MaxPause = 10 * time.Minute

// Advice is what an endpoint says in an answer about the requests that it wants.
type Advice struct {
	// Limited is set if the endpoint takes at most RateLimit requests per second
	// from all entries together.
	Limited   bool
	RateLimit float64
	// Leaving is set if the endpoint is about to end.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this entry; zero if it
	// said nothing.
	Pause time.Duration
}

// RecordAdvice records what an endpoint said in an answer that arrived now. It
// reports whether that differs from the answer before.
func (t *Table) RecordAdvice(id string, a Advice) (changed bool) {
	e := t.endpoints[id]
	if e == nil || e.advice == a {
		return false
	}
	e.advice = a
	return true
}

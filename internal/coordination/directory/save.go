package directory

import "time"

// saveState tells when the leader may save a part of its state in the replicated state.
type saveState struct {
	inFlight bool
	// next is when the next save may begin.
	next time.Duration
}

// mayBegin reports whether a save may begin now.
func (s *saveState) mayBegin(now time.Duration) bool { return !s.inFlight && now >= s.next }

// begin records that a save has begun.
func (s *saveState) begin() { s.inFlight = true }

// end records the outcome of a save. After an error the next one waits for the delay.
func (s *saveState) end(now time.Duration, err error, delay time.Duration) {
	s.inFlight = false
	if err != nil {
		s.next = now + delay
	}
}

package forward

import "time"

const (
	// frozenTime is the time between two ticks from which this process counts as frozen.
	// All entries must know an evacuation 5 s after its acknowledgement. After a shorter
	// pause, enough of the 5 s is left to learn of one that was acknowledged meanwhile.
	frozenTime = 3 * time.Second
	// confirmTimeout is how long requests wait for a list of endpoints that is confirmed
	// after a freeze. It is longer than the election of a leader. Without any control VM
	// this entry then uses the list that it has.
	confirmTimeout = 3 * time.Second
)

// listState is how current this entry's list of endpoints is.
type listState struct {
	// tickedAt is when this process last ran its periodic work; zero before.
	tickedAt time.Duration
	// resumedAt is when a freeze of this process was noticed. The list is unconfirmed
	// until a control VM has answered a call that was made since; confirmed is closed then.
	resumedAt   time.Duration
	unconfirmed bool
	confirmed   chan struct{}
	// confirmedAt is when the last call was made that a control VM answered.
	confirmedAt time.Duration
	// outOfContact is set when a wait ends without an answer, until the next answer.
	// Otherwise an entry without control VMs would wait again after each late tick.
	outOfContact bool
}

// observe notices a freeze of this process. Requests may run before the periodic work
// after it, so both call observe. On a busy VM the periodic work may be late although
// control VMs answer; the list is then as current as their answers.
func (l *listState) observe(now time.Duration) {
	if l.tickedAt == 0 || now-max(l.tickedAt, l.confirmedAt) < frozenTime || l.outOfContact {
		return
	}
	l.tickedAt, l.resumedAt = now, now
	if !l.unconfirmed {
		l.unconfirmed, l.confirmed = true, make(chan struct{})
	}
}

// tick is called by the periodic work. It ends a wait that has taken confirmTimeout.
func (l *listState) tick(now time.Duration) {
	l.observe(now)
	l.tickedAt = now
	if l.unconfirmed && now-l.resumedAt >= confirmTimeout {
		l.outOfContact = true
		l.end()
	}
}

// confirm records that a control VM answered a call that was made at sentAt.
func (l *listState) confirm(sentAt time.Duration) {
	l.confirmedAt = max(l.confirmedAt, sentAt)
	l.outOfContact = false
	if l.unconfirmed && sentAt >= l.resumedAt {
		l.end()
	}
}

// end ends the wait for a confirmed list.
func (l *listState) end() {
	l.unconfirmed = false
	close(l.confirmed)
}

// describes reports whether the list describes the process at the other end of a
// connection: it is current, or the connection is older than the list.
func (l *listState) describes(now, connectedAt time.Duration) bool {
	return now-l.confirmedAt <= versionLag || connectedAt <= l.confirmedAt-versionLag
}

// listUnconfirmed reports whether this process was frozen and has not heard from a
// control VM since. The channel is closed once it has, or once it waited long enough.
func (s *Server) listUnconfirmed() (unconfirmed bool, confirmed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.listState.observe(s.now())
	return s.mu.listState.unconfirmed, s.mu.listState.confirmed
}

// confirmList records that a control VM answered a call that was made at sentAt.
func (s *Server) confirmList(sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.listState.observe(s.now())
	s.mu.listState.confirm(sentAt)
	s.mu.doubtful.confirm(s.mu.listState.confirmedAt)
}

// waitForList waits while the list of endpoints may be as old as a freeze of this process.
func (c *call) waitForList() {
	unconfirmed, confirmed := c.server.listUnconfirmed()
	if !unconfirmed {
		return
	}
	select {
	case <-confirmed:
	case <-c.ctx.Done():
	}
}

// maySend reports whether the endpoint of a slot may still be sent to. The list may have
// changed, or this process may have been frozen, since the slot was granted.
func (c *call) maySend(to *slot) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.listState.observe(s.now())
	if s.mu.listState.unconfirmed && c.ctx.Err() == nil {
		return false
	}
	table := s.mu.entry.Table
	to.version = table.SoftwareVersion(to.EndpointID)
	return !table.Evacuated(to.EndpointID) && s.fitsVersionLocked(&c.query, to.EndpointID)
}

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
	// answerMargin is how much later than expected an answer of a control VM may come before
	// the list counts as stale.
	answerMargin = 500 * time.Millisecond
	// staleListWait is how long requests that continue streams wait for a list that is not
	// stale: longer than most elections of a leader, shorter than minCallerTimeout.
	staleListWait = 1500 * time.Millisecond
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

	// maxAge is how old confirmedAt gets while control VMs answer; zero before the first
	// answer. An older list is stale: an endpoint may have restarted with another software
	// version since, and this entry was cut off or frozen.
	maxAge time.Duration
	// staleSince is when the list was first seen to be stale; zero while it is not. refreshed
	// is closed when it is no longer, or after staleListWait.
	staleSince time.Duration
	refreshed  chan struct{}
}

// observe notices a freeze of this process, and a list that has become stale. Requests may
// run before the periodic work after a freeze, so both call observe. On a busy VM the
// periodic work may be late although control VMs answer; the list is then as current as
// their answers.
func (l *listState) observe(now time.Duration) {
	if l.staleSince == 0 && l.stale(now) {
		l.staleSince, l.refreshed = now, make(chan struct{})
	}
	if l.tickedAt == 0 || now-max(l.tickedAt, l.confirmedAt) < frozenTime || l.outOfContact {
		return
	}
	l.tickedAt, l.resumedAt = now, now
	if !l.unconfirmed {
		l.unconfirmed, l.confirmed = true, make(chan struct{})
	}
}

// tick is called by the periodic work. It ends waits that have taken too long.
func (l *listState) tick(now time.Duration) {
	l.observe(now)
	l.tickedAt = now
	if l.unconfirmed && now-l.resumedAt >= confirmTimeout {
		l.outOfContact = true
		l.end()
	}
	if l.refreshed != nil && now-l.staleSince >= staleListWait {
		l.endRefresh()
	}
}

// confirm records that a control VM answered a call that was made at sentAt. While control
// VMs answer, the next answer comes before the list is older than maxAge.
func (l *listState) confirm(now, sentAt, maxAge time.Duration) {
	l.confirmedAt, l.maxAge = max(l.confirmedAt, sentAt), maxAge
	l.outOfContact = false
	if l.unconfirmed && sentAt >= l.resumedAt {
		l.end()
	}
	if l.staleSince != 0 && !l.stale(now) {
		l.staleSince = 0
		l.endRefresh()
	}
}

// stale reports whether no control VM has confirmed the list for longer than usual.
func (l *listState) stale(now time.Duration) bool {
	return l.maxAge > 0 && now-l.confirmedAt > l.maxAge
}

// endRefresh ends the wait for a list that is not stale.
func (l *listState) endRefresh() {
	if l.refreshed != nil {
		close(l.refreshed)
	}
	l.refreshed = nil
}

// end ends the wait for a confirmed list.
func (l *listState) end() {
	l.unconfirmed = false
	close(l.confirmed)
}

// describes reports whether the list describes the process at the other end of a
// connection: it is current, or the connection is older than the list. For a stream that is
// continued, a stale list is not current. A stream that begins may use one for longer, since
// its version becomes unknown if a later list shows another one.
func (l *listState) describes(now, connectedAt time.Duration, continued bool) bool {
	current := now-l.confirmedAt <= versionLag && !(continued && l.stale(now))
	return current || connectedAt <= l.confirmedAt-versionLag
}

// listUnconfirmed reports whether this process was frozen and has not heard from a
// control VM since. The channel is closed once it has, or once it waited long enough.
func (s *Server) listUnconfirmed() (unconfirmed bool, confirmed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.listState.observe(s.now())
	return s.mu.listState.unconfirmed, s.mu.listState.confirmed
}

// listRefreshed returns a channel that is closed once the list of endpoints is no longer
// stale, or after staleListWait. It is nil if there is nothing to wait for.
func (s *Server) listRefreshed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.listState.observe(s.now())
	return s.mu.listState.refreshed
}

// confirmList records that a control VM answered a call that was made at sentAt. It may hold
// calls for the time hold.
func (s *Server) confirmList(sentAt, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.mu.listState.observe(now)
	// Two calls may last that long between the time of one and the answer to the next.
	s.mu.listState.confirm(now, sentAt, 2*hold+answerMargin)
	s.mu.doubtful.confirm(s.mu.listState.confirmedAt)
}

// waitForList waits while the list of endpoints may be as old as a freeze of this process.
func (c *call) waitForList() {
	unconfirmed, confirmed := c.server.listUnconfirmed()
	if !unconfirmed {
		return
	}
	c.waitUntilClosed(confirmed)
}

// waitForCurrentList lets a request that continues a stream wait while the list is stale. A
// stream that cannot be continued in any case does not wait.
func (c *call) waitForCurrentList() {
	if c.begun == nil && c.query.SoftwareVersion == "" {
		return
	}
	refreshed := c.server.listRefreshed()
	if refreshed == nil || c.restrictVersion() != nil {
		return
	}
	c.waitUntilClosed(refreshed)
}

// waitUntilClosed waits for the channel to be closed or the request to end.
func (c *call) waitUntilClosed(done <-chan struct{}) {
	select {
	case <-done:
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
	waits := s.mu.listState.unconfirmed || c.query.SoftwareVersion != "" && s.mu.listState.refreshed != nil
	if waits && c.ctx.Err() == nil {
		return false
	}
	table := s.mu.entry.Table
	to.version = table.SoftwareVersion(to.EndpointID)
	return !table.Evacuated(to.EndpointID) && s.fitsVersionLocked(&c.query, to.EndpointID)
}

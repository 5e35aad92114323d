package raft

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxForwarded bounds the memory for forwarded reads whose responses were lost.
// When it is reached, all are dropped and their callers retry.
const maxForwarded = 16384

// pendingRead is a read that this member has to confirm as the leader.
type pendingRead struct {
	member  uint64 // member that requested the read
	context uint64
	index   uint64
	round   uint64 // heartbeat round that confirms the read
}

// readQueue holds reads on the leader and reads that a follower forwarded.
type readQueue struct {
	// round is the newest heartbeat round of this term.
	round uint64
	// waiting holds reads that arrived before an entry of the term was
	// committed.
	waiting []pendingRead
	// queued holds reads for the next round, running those of started rounds.
	queued  []pendingRead
	running []pendingRead
	// forwarded maps the context of a forwarded read on the wire to the context
	// that the caller of ReadIndex gave. Contexts on the wire start at a random
	// number, so that a response to an earlier incarnation of this member is
	// not taken for one to this incarnation. lastWireContext is the last one
	// used.
	forwarded       map[uint64]uint64
	lastWireContext uint64
}

// dropReads drops all reads; their callers retry. A heartbeat round of an earlier
// term confirms nothing in a later one.
func (c *Core) dropReads() {
	if !c.cfg.faults.keepReads {
		c.reads = readQueue{lastWireContext: c.reads.lastWireContext}
	}
}

func (q *readQueue) startRound() {
	q.round++
	for _, r := range q.queued {
		r.round = q.round
		q.running = append(q.running, r)
	}
	q.queued = nil
}

// ReadIndex requests a linearizable read. The response is a ReadState with the
// same context, whose index this member must apply before it serves the read.
// The request or its response may be lost; the caller then retries with another
// context.
func (c *Core) ReadIndex(context uint64) error {
	switch {
	case context == 0:
		return ErrZeroContext
	case c.role == Leader:
		c.addRead(pendingRead{member: c.cfg.ID, context: context})
		return nil
	case c.leader == 0:
		return ErrNoLeader
	}
	if c.reads.forwarded == nil || len(c.reads.forwarded) >= maxForwarded {
		c.reads.forwarded = make(map[uint64]uint64)
	}
	c.reads.lastWireContext++
	c.reads.forwarded[c.reads.lastWireContext] = context
	c.send(&statev1.Message{
		Type:    statev1.MessageType_MESSAGE_TYPE_READ_INDEX,
		To:      c.leader,
		Context: c.reads.lastWireContext,
	})
	return nil
}

func (c *Core) handleReadIndex(m *statev1.Message) {
	if c.role == Leader && m.GetContext() != 0 {
		c.addRead(pendingRead{member: m.GetFrom(), context: m.GetContext()})
	}
}

func (c *Core) handleReadIndexResponse(m *statev1.Message) {
	context, ok := c.reads.forwarded[m.GetContext()]
	if !ok || c.leader != m.GetFrom() {
		return
	}
	delete(c.reads.forwarded, m.GetContext())
	c.readStates = append(c.readStates, ReadState{Context: context, Index: m.GetIndex()})
}

// addRead queues a read on the leader. Until an entry of its term is committed,
// the leader does not know which entries are committed, and the read waits.
func (c *Core) addRead(r pendingRead) {
	if !c.committedInTerm() && !c.cfg.faults.readAnyTerm {
		c.reads.waiting = append(c.reads.waiting, r)
		return
	}
	r.index = c.log.commit
	if c.cfg.faults.readWithoutAcks {
		c.completeRead(r)
		return
	}
	c.reads.queued = append(c.reads.queued, r)
	c.nextReadRound()
}

func (c *Core) releaseWaitingReads() {
	if !c.committedInTerm() {
		return
	}
	waiting := c.reads.waiting
	c.reads.waiting = nil
	for _, r := range waiting {
		c.addRead(r)
	}
}

// nextReadRound starts a heartbeat round for queued reads unless one is running.
// The periodic heartbeat replaces a round whose messages were lost.
func (c *Core) nextReadRound() {
	if len(c.reads.queued) > 0 && len(c.reads.running) == 0 {
		c.broadcastHeartbeat()
		c.confirmReads()
	}
}

// confirmReads completes the reads whose heartbeat round, or a later one, a
// majority has acknowledged.
func (c *Core) confirmReads() {
	if len(c.reads.running) == 0 {
		return
	}
	n := 0
	for _, r := range c.reads.running {
		if !c.roundConfirmed(r.round) {
			break
		}
		c.completeRead(r)
		n++
	}
	c.reads.running = c.reads.running[n:]
	if n > 0 {
		c.nextReadRound()
	}
}

func (c *Core) roundConfirmed(round uint64) bool {
	return c.isQuorum(func(id uint64) bool {
		return id == c.cfg.ID || c.progress[id].ackedRound >= round
	})
}

func (c *Core) completeRead(r pendingRead) {
	if r.member == c.cfg.ID {
		c.readStates = append(c.readStates, ReadState{Context: r.context, Index: r.index})
		return
	}
	c.send(&statev1.Message{
		Type:    statev1.MessageType_MESSAGE_TYPE_READ_INDEX_RESPONSE,
		To:      r.member,
		Context: r.context,
		Index:   r.index,
	})
}

package raft

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxForwarded bounds the memory for forwarded reads whose answers were lost.
// When it is reached, all are dropped and their callers ask again.
const maxForwarded = 16384

// pendingRead is a read that this member's leader role has to confirm. Member
// is where it came from.
type pendingRead struct {
	member  uint64
	context uint64
	index   uint64
	round   uint64
}

// readQueue holds reads on the leader and reads that a follower forwarded.
type readQueue struct {
	// round is the newest heartbeat round of this term.
	round uint64
	// waiting reads arrived before an entry of the term was committed.
	waiting []pendingRead
	// queued reads go with the next round; running ones have a round.
	queued  []pendingRead
	running []pendingRead
	// forwarded maps contexts on the wire to those of the caller. Contexts on
	// the wire start at a random number, so that an answer to an earlier
	// incarnation of this member is not taken for a new one.
	forwarded map[uint64]uint64
	nextWire  uint64
}

// dropReads drops all reads; their callers ask again. A round of an earlier term
// confirms nothing in a later one.
func (c *Core) dropReads() {
	if !c.cfg.faults.keepReads {
		c.reads = readQueue{nextWire: c.reads.nextWire}
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

// ReadIndex asks for confirmation that this member's state is current once it
// has applied an index. The answer is a ReadState with the same context. The
// request or its answer may be lost; then the caller asks again with another
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
	c.reads.nextWire++
	c.reads.forwarded[c.reads.nextWire] = context
	c.send(&statev1.Message{
		Type:    statev1.MessageType_MESSAGE_TYPE_READ_INDEX,
		To:      c.leader,
		Context: c.reads.nextWire,
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

// addRead queues a read on the leader. Before an entry of the term is
// committed, the leader does not know which entries are.
func (c *Core) addRead(r pendingRead) {
	if !c.committedInTerm() && !c.cfg.faults.readAnyTerm {
		c.reads.waiting = append(c.reads.waiting, r)
		return
	}
	r.index = c.log.commit
	if c.cfg.faults.readWithoutAcks {
		c.answerRead(r)
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

// nextReadRound starts a round for queued reads, one at a time. The periodic
// heartbeat replaces a round whose messages were lost.
func (c *Core) nextReadRound() {
	if len(c.reads.queued) > 0 && len(c.reads.running) == 0 {
		c.broadcastHeartbeat()
		c.confirmReads()
	}
}

// confirmReads answers the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if len(c.reads.running) == 0 {
		return
	}
	n := 0
	for _, r := range c.reads.running {
		if !c.roundConfirmed(r.round) {
			break
		}
		c.answerRead(r)
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

func (c *Core) answerRead(r pendingRead) {
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

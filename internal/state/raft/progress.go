package raft

import "slices"

type progressState int

const (
	// stateProbe sends one append at a time until an index is known at which
	// the logs match.
	stateProbe progressState = iota
	// stateReplicate pipelines appends without waiting for acknowledgements.
	stateReplicate
	// stateSnapshot sends a snapshot and no appends.
	stateSnapshot
)

// progress is the replication progress of one member as the leader knows it.
type progress struct {
	state progressState
	// match is the last index known to be saved at the member; next is the
	// first index to send.
	match uint64
	next  uint64
	// commitSent is the commit index of the last append that was sent.
	commitSent uint64
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// probeSent is set while the one append of stateProbe is unacknowledged.
	probeSent bool
	// lastActive is the tick of the last response from the member.
	lastActive uint64
	// ackedRound is the newest heartbeat round that the member acknowledged.
	ackedRound uint64
	outgoing   outgoingSnapshot
}

// reset sets stateProbe and discards the unacknowledged appends and the outgoing
// snapshot. The next append starts after match.
func (p *progress) reset() {
	p.state = stateProbe
	p.next = p.match + 1
	p.inflight = nil
	p.probeSent = false
	p.outgoing = outgoingSnapshot{}
}

// acknowledge records that entries up to index are saved at the member. It
// reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = slices.Delete(p.inflight, 0, n)
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

func (c *Core) isActive(p *progress) bool {
	return c.ticks-p.lastActive < uint64(c.cfg.ElectionTicks)
}

// syncProgress adds and removes progress entries to fit the current membership.
// A leader that is being removed keeps its own.
func (c *Core) syncProgress() {
	if c.role != Leader {
		return
	}
	m := c.members.current()
	for id := range c.progress {
		if id != c.cfg.ID && findMember(m, id) == nil {
			delete(c.progress, id)
		}
	}
	for _, x := range m.GetMembers() {
		if c.progress[x.GetId()] == nil {
			c.progress[x.GetId()] = &progress{next: c.log.lastIndex() + 1, lastActive: c.ticks}
		}
	}
}

// followers returns the identifiers of the other members in ascending order, so
// that the order of messages is deterministic.
func (c *Core) followers() []uint64 {
	ids := make([]uint64, 0, len(c.progress))
	for id := range c.progress {
		if id != c.cfg.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

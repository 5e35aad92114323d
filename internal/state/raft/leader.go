package raft

import (
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.electionElapsed = 0
	c.heartbeatTimer = 0
	c.votes = nil
	c.dropReads()
	c.progress = map[uint64]*progress{c.cfg.ID: {match: c.log.stable, next: c.log.lastIndex() + 1}}
	c.syncProgress()
	// Entries of earlier terms can be committed only together with an entry of
	// this term.
	c.appendEntry(statev1.EntryType_ENTRY_TYPE_NORMAL, nil)
}

func (c *Core) appendEntry(t statev1.EntryType, data []byte) *statev1.LogEntry {
	e := &statev1.LogEntry{Term: c.term, Index: c.log.lastIndex() + 1, Type: t, Data: data}
	c.log.append(e)
	return e
}

func (c *Core) tickLeader() {
	c.tickTransfer()
	if !c.hasActiveQuorum() && !c.cfg.faults.noCheckQuorum {
		c.becomeFollower(c.term, 0)
		return
	}
	c.heartbeatTimer++
	if c.heartbeatTimer < c.cfg.HeartbeatTicks {
		return
	}
	c.heartbeatTimer = 0
	c.broadcastHeartbeat()
	c.resendSnapshots()
}

// hasActiveQuorum implements the check-quorum rule: a leader steps down if no
// majority has responded within an election timeout.
func (c *Core) hasActiveQuorum() bool {
	return c.isQuorum(func(id uint64) bool {
		return id == c.cfg.ID || c.isActive(c.progress[id])
	})
}

// broadcastHeartbeat starts a new heartbeat round. A round that a majority
// acknowledges confirms the reads that were queued before it.
func (c *Core) broadcastHeartbeat() {
	c.reads.startRound()
	for _, id := range c.followers() {
		c.send(&statev1.Message{
			Type:    statev1.MessageType_MESSAGE_TYPE_HEARTBEAT,
			To:      id,
			Commit:  min(c.progress[id].match, c.log.commit),
			Context: c.reads.round,
		})
	}
}

// sendPending sends new entries and the commit index to all followers. It runs
// once for each Ready, so that proposals between two of them share a message.
func (c *Core) sendPending() {
	for _, id := range c.followers() {
		c.sendAppends(id, c.progress[id])
	}
}

// sendAppends sends entries and the commit index to one follower until
// everything is sent or a limit is reached.
func (c *Core) sendAppends(id uint64, p *progress) {
	for c.hasUnsent(p) && c.sendAppend(id, p) {
	}
}

func (c *Core) hasUnsent(p *progress) bool {
	return p.next <= c.log.lastIndex() || p.commitSent < c.log.commit && p.state == stateReplicate
}

// sendAppend sends one append, possibly without entries, unless the state of
// the follower or the limit of unacknowledged appends forbids it. It reports
// whether another append may follow.
func (c *Core) sendAppend(id uint64, p *progress) bool {
	switch {
	case p.state == stateSnapshot:
		return false
	case p.state == stateProbe && p.probeSent:
		return false
	case len(p.inflight) >= c.cfg.MaxInflightAppends:
		return false
	}
	prevTerm, ok := c.log.termOf(p.next - 1)
	if !ok {
		c.startSnapshot(id, p)
		return false
	}
	entries := c.log.entriesFrom(p.next, c.cfg.MaxBatchBytes)
	c.send(&statev1.Message{
		Type:    statev1.MessageType_MESSAGE_TYPE_APPEND,
		To:      id,
		Index:   p.next - 1,
		LogTerm: prevTerm,
		Entries: entries,
		Commit:  c.log.commit,
	})
	p.commitSent = c.log.commit
	if p.state == stateProbe {
		p.probeSent = true
		return false
	}
	if n := len(entries); n > 0 {
		p.next = entries[n-1].GetIndex() + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (c *Core) handleAppendResponse(m *statev1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.lastActive = c.ticks
	if m.GetReject() {
		c.handleReject(m, p)
		return
	}
	advanced := p.acknowledge(m.GetIndex())
	switch {
	case p.state == stateProbe && m.GetIndex() >= p.match:
		p.probeSent = false
		p.state = stateReplicate
		p.next = p.match + 1
	case p.state == stateSnapshot && p.match >= p.outgoing.snapshot.GetIndex():
		p.reset()
		p.state = stateReplicate
	}
	if advanced {
		c.advanceCommit()
	}
	if c.role != Leader {
		return
	}
	c.sendAppends(m.GetFrom(), p)
	c.continueLeadershipTransfer()
}

// handleReject moves next back to the newest index at which the follower's log
// may match.
func (c *Core) handleReject(m *statev1.Message, p *progress) {
	switch {
	case p.state == stateSnapshot || m.GetIndex() <= p.match:
		return
	case p.state == stateReplicate:
		p.reset()
	case p.next-1 != m.GetIndex():
		return
	}
	hint, _ := c.log.conflictHint(m.GetRejectHint(), m.GetLogTerm())
	p.next = max(min(m.GetIndex(), hint+1), p.match+1)
	p.probeSent = false
	c.sendAppend(m.GetFrom(), p)
}

func (c *Core) handleHeartbeatResponse(m *statev1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.lastActive = c.ticks
	p.ackedRound = max(p.ackedRound, m.GetContext())
	c.confirmReads()
	if p.match < c.log.lastIndex() {
		c.retryAppend(m.GetFrom(), p)
	}
	c.continueLeadershipTransfer()
}

// retryAppend sends an append after a heartbeat response, regardless of the
// limits. It replaces a lost probe; after a lost append the follower rejects it,
// which starts probing.
func (c *Core) retryAppend(id uint64, p *progress) {
	p.probeSent = false
	if len(p.inflight) >= c.cfg.MaxInflightAppends {
		p.inflight = slices.Delete(p.inflight, 0, 1)
	}
	c.sendAppend(id, p)
}

// acknowledgeSelf counts the leader's own saved entries as replicated.
func (c *Core) acknowledgeSelf() {
	if c.progress[c.cfg.ID].acknowledge(c.log.stable) {
		c.advanceCommit()
	}
	if c.role == Leader {
		// A single voter receives no responses that would confirm its reads.
		c.confirmReads()
	}
}

func (c *Core) committedInTerm() bool {
	t, ok := c.log.termOf(c.log.commit)
	return ok && t == c.term
}

// advanceCommit commits the entries that a majority has saved. Only entries of
// the leader's own term are committed by counting replicas; an entry of an
// earlier term can still be replaced even if a majority has it.
func (c *Core) advanceCommit() {
	ids := voters(c.members.current())
	matches := make([]uint64, 0, len(ids))
	for _, id := range ids {
		matches = append(matches, c.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= c.log.commit {
		return
	}
	if t, _ := c.log.termOf(index); t != c.term && !c.cfg.faults.commitOldTerm {
		return
	}
	c.log.commitTo(index)
	c.releaseWaitingReads()
	if c.log.commit >= c.members.index() && !c.isVoter(c.cfg.ID) {
		c.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval makes a leader whose removal is committed step down,
// after asking the best successor to campaign.
func (c *Core) stepDownAfterRemoval() {
	if id := c.bestSuccessor(); id != 0 {
		c.sendTimeoutNow(id)
	}
	c.becomeFollower(c.term, 0)
}

package raft

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Step handles a message from another member. On an error the message was
// dropped; the member must stop only on ErrLogLost.
func (c *Core) Step(m *statev1.Message) error {
	if m.GetTo() != c.cfg.ID || m.GetFrom() == c.cfg.ID || m.GetFrom() == 0 || m.GetTerm() == 0 {
		return fmt.Errorf("message %v from %016x to %016x: %w", m.GetType(), m.GetFrom(), m.GetTo(), ErrInvalidMessage)
	}
	switch {
	case m.GetTerm() < c.term:
		c.rejectStaleTerm(m)
		return nil
	case m.GetTerm() > c.term && !c.adoptTerm(m):
		return nil
	}
	switch m.GetType() {
	case statev1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.handlePreVote(m)
	case statev1.MessageType_MESSAGE_TYPE_VOTE:
		c.handleVote(m)
	case statev1.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE, statev1.MessageType_MESSAGE_TYPE_VOTE_RESPONSE:
		c.handleVoteResponse(m)
	case statev1.MessageType_MESSAGE_TYPE_APPEND, statev1.MessageType_MESSAGE_TYPE_HEARTBEAT, statev1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return c.stepFromLeader(m)
	case statev1.MessageType_MESSAGE_TYPE_APPEND_RESPONSE:
		c.handleAppendResponse(m)
	case statev1.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		c.handleHeartbeatResponse(m)
	case statev1.MessageType_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		c.handleSnapshotResponse(m)
	case statev1.MessageType_MESSAGE_TYPE_READ_INDEX:
		c.handleReadIndex(m)
	case statev1.MessageType_MESSAGE_TYPE_READ_INDEX_RESPONSE:
		c.handleReadIndexResponse(m)
	case statev1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		c.handleTimeoutNow()
	default:
		return fmt.Errorf("message type %v: %w", m.GetType(), ErrInvalidMessage)
	}
	return nil
}

// rejectStaleTerm responds with the current term to a message of an earlier one.
// A leader that missed an election then steps down, and a member whose term is
// newer than its leader's is not ignored forever.
func (c *Core) rejectStaleTerm(m *statev1.Message) {
	resp := &statev1.Message{To: m.GetFrom(), Reject: true}
	switch m.GetType() {
	case statev1.MessageType_MESSAGE_TYPE_APPEND, statev1.MessageType_MESSAGE_TYPE_HEARTBEAT, statev1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		resp.Type = statev1.MessageType_MESSAGE_TYPE_APPEND_RESPONSE
	case statev1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		resp.Type = statev1.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	case statev1.MessageType_MESSAGE_TYPE_VOTE:
		resp.Type = statev1.MessageType_MESSAGE_TYPE_VOTE_RESPONSE
	default:
		return
	}
	c.send(resp)
}

// adoptTerm adopts the newer term of a message where the protocol requires it,
// and reports whether Step should handle the message itself.
func (c *Core) adoptTerm(m *statev1.Message) bool {
	switch m.GetType() {
	case statev1.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return true
	case statev1.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
		if !m.GetReject() {
			return m.GetTerm() == c.term+1
		}
	case statev1.MessageType_MESSAGE_TYPE_VOTE:
		if c.hasRecentLeader() && m.GetContext() != forcedCampaign && !c.cfg.faults.noPreVote {
			return false
		}
	case statev1.MessageType_MESSAGE_TYPE_APPEND, statev1.MessageType_MESSAGE_TYPE_HEARTBEAT, statev1.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.becomeFollower(m.GetTerm(), m.GetFrom())
		return true
	}
	c.becomeFollower(m.GetTerm(), 0)
	return true
}

func (c *Core) stepFromLeader(m *statev1.Message) error {
	if c.role == Leader {
		return fmt.Errorf("member %016x also claims to lead term %d: %w", m.GetFrom(), c.term, ErrInvalidMessage)
	}
	if c.role != Follower || c.leader != m.GetFrom() {
		c.becomeFollower(c.term, m.GetFrom())
	}
	c.electionElapsed = 0
	switch m.GetType() {
	case statev1.MessageType_MESSAGE_TYPE_APPEND:
		return c.handleAppend(m)
	case statev1.MessageType_MESSAGE_TYPE_HEARTBEAT:
		return c.handleHeartbeat(m)
	default:
		return c.handleSnapshot(m)
	}
}

func (c *Core) handleHeartbeat(m *statev1.Message) error {
	if m.GetCommit() > c.log.lastIndex() {
		return fmt.Errorf("commit index %d is beyond the last entry %d: %w", m.GetCommit(), c.log.lastIndex(), ErrLogLost)
	}
	c.log.commitTo(m.GetCommit())
	c.send(&statev1.Message{
		Type:    statev1.MessageType_MESSAGE_TYPE_HEARTBEAT_RESPONSE,
		To:      m.GetFrom(),
		Context: m.GetContext(),
	})
	return nil
}

func (c *Core) handleAppend(m *statev1.Message) error {
	resp := &statev1.Message{Type: statev1.MessageType_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom()}
	if m.GetIndex() < c.log.commit {
		// A stale append; everything up to the commit index matches.
		resp.Index = c.log.commit
		c.send(resp)
		return nil
	}
	if !c.log.matches(m.GetIndex(), m.GetLogTerm()) {
		resp.Reject = true
		resp.Index = m.GetIndex()
		resp.RejectHint, resp.LogTerm = c.log.conflictHint(m.GetIndex(), m.GetLogTerm())
		c.send(resp)
		return nil
	}
	if err := c.appendFromLeader(m); err != nil {
		return err
	}
	last := m.GetIndex() + uint64(len(m.GetEntries()))
	c.log.commitTo(min(m.GetCommit(), last))
	resp.Index = last
	c.send(resp)
	return nil
}

// appendFromLeader appends the missing entries, and first truncates the log at a
// conflicting entry. Matching entries stay: a stale append must not remove
// entries that were acknowledged after it was sent.
func (c *Core) appendFromLeader(m *statev1.Message) error {
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+uint64(i)+1 || e.GetTerm() > m.GetTerm() {
			return fmt.Errorf("append with entry %d of term %d at position %d: %w", e.GetIndex(), e.GetTerm(), i, ErrInvalidMessage)
		}
	}
	for _, e := range m.GetEntries() {
		if c.log.matches(e.GetIndex(), e.GetTerm()) && !c.cfg.faults.truncateOnMatch {
			continue
		}
		if e.GetIndex() <= c.log.commit {
			return fmt.Errorf("append replaces committed entry %d: %w", e.GetIndex(), ErrInvalidMessage)
		}
		if e.GetIndex() <= c.log.lastIndex() {
			c.log.truncateFrom(e.GetIndex())
			c.members.truncateFrom(e.GetIndex())
		}
		if err := c.members.append(e); err != nil {
			return err
		}
		c.log.append(e)
	}
	return nil
}

package raft

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// forcedCampaign is the context of vote requests after TimeoutNow. Members
// answer them although they hear from the current leader.
const forcedCampaign = 1

// becomeFollower also gives up everything that belonged to another role.
func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.leader != leader || c.role == Leader {
		c.dropReads()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.transfer = transfer{}
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand(c.cfg.ElectionTicks)
}

// preCampaign asks whether an election could be won, without changing the
// term. A member that cannot win therefore does not disturb the others.
func (c *Core) preCampaign() {
	c.role = PreCandidate
	c.leader = 0
	c.dropReads()
	c.votes = map[uint64]bool{c.cfg.ID: true}
	if c.wonVotes() {
		c.campaign(false)
		return
	}
	c.requestVotes(statev1.MessageType_MESSAGE_TYPE_PRE_VOTE, c.term+1, 0)
}

func (c *Core) campaign(forced bool) {
	c.role = Candidate
	c.leader = 0
	c.dropReads()
	c.term++
	c.vote = c.cfg.ID
	c.votes = map[uint64]bool{c.cfg.ID: true}
	c.resetElectionTimer()
	if c.wonVotes() {
		c.becomeLeader()
		return
	}
	context := uint64(0)
	if forced {
		context = forcedCampaign
	}
	c.requestVotes(statev1.MessageType_MESSAGE_TYPE_VOTE, c.term, context)
}

func (c *Core) requestVotes(t statev1.MessageType, term, context uint64) {
	for _, id := range voters(c.members.current()) {
		if id == c.cfg.ID {
			continue
		}
		c.send(&statev1.Message{
			Type:    t,
			To:      id,
			Term:    term,
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
			Context: context,
		})
	}
}

func (c *Core) wonVotes() bool {
	return c.isQuorum(func(id uint64) bool { return c.votes[id] })
}

func (c *Core) lostVotes() bool {
	return c.isQuorum(func(id uint64) bool {
		granted, ok := c.votes[id]
		return ok && !granted
	})
}

// hearsLeader reports whether a leader was heard within the election timeout.
// Elections are not supported then.
func (c *Core) hearsLeader() bool {
	return c.role == Leader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// handlePreVote answers without changing any state.
func (c *Core) handlePreVote(m *statev1.Message) {
	if c.hearsLeader() && !c.cfg.faults.noPreVote {
		return
	}
	free := m.GetTerm() > c.term || c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	grant := free && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	term := c.term
	if grant {
		term = m.GetTerm()
	}
	c.send(&statev1.Message{
		Type:   statev1.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE,
		To:     m.GetFrom(),
		Term:   term,
		Reject: !grant,
	})
}

// handleVote runs with the candidate's term already adopted if it is newer.
func (c *Core) handleVote(m *statev1.Message) {
	free := c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	grant := free && m.GetTerm() == c.term && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.vote = m.GetFrom()
		c.electionElapsed = 0
	}
	c.send(&statev1.Message{
		Type:   statev1.MessageType_MESSAGE_TYPE_VOTE_RESPONSE,
		To:     m.GetFrom(),
		Reject: !grant,
	})
}

func (c *Core) handleVoteResponse(m *statev1.Message) {
	pre := m.GetType() == statev1.MessageType_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	if pre && c.role != PreCandidate || !pre && c.role != Candidate {
		return
	}
	if pre && !m.GetReject() && m.GetTerm() != c.term+1 {
		// A late answer to an earlier campaign.
		return
	}
	if _, ok := c.votes[m.GetFrom()]; ok {
		return
	}
	c.votes[m.GetFrom()] = !m.GetReject()
	switch {
	case c.wonVotes() && pre:
		c.campaign(false)
	case c.wonVotes():
		c.becomeLeader()
	case c.lostVotes():
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) handleTimeoutNow() {
	if c.role != Leader && c.mayCampaign() {
		c.campaign(true)
	}
}

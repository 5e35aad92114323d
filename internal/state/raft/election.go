package raft

import (
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// forcedCampaign is the context of vote requests after TimeoutNow. Members
// process them even while they have a recent leader.
const forcedCampaign = 1

// becomeFollower also discards the state of the previous role.
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
	c.transfer = leadershipTransfer{}
	c.resetElectionTimer()
}

func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand(c.cfg.ElectionTicks)
}

// preCampaign runs the pre-vote phase, which asks whether an election could be
// won without increasing the term. A member that cannot win thus does not
// disrupt the current leader.
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

// Campaign starts an election at once, without waiting for the election timeout, if this
// member may and knows no leader.
func (c *Core) Campaign() {
	if c.role != Follower || c.leader != 0 || !c.mayCampaign() {
		return
	}
	c.resetElectionTimer()
	c.preCampaign()
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

// hasRecentLeader reports whether this member leads or received a message from a
// leader within the minimum election timeout. It then supports no election.
func (c *Core) hasRecentLeader() bool {
	return c.role == Leader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// handlePreVote responds to a pre-vote request and changes no state.
func (c *Core) handlePreVote(m *statev1.Message) {
	if c.hasRecentLeader() && !c.cfg.faults.noPreVote {
		return
	}
	canGrant := m.GetTerm() > c.term || c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	grant := canGrant && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
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

// handleVote handles a vote request. Step has already adopted the candidate's
// term if that is newer.
func (c *Core) handleVote(m *statev1.Message) {
	canGrant := c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	grant := canGrant && m.GetTerm() == c.term && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
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
		// A late response to an earlier pre-vote.
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

package raft

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// leadershipTransfer is a leadership transfer in progress. The target is zero if
// there is none.
type leadershipTransfer struct {
	target uint64
	ticks  int
}

// TransferLeadership transfers leadership to the voter target, or to the active
// voter with the most complete log if target is zero. Proposals are refused
// until the transfer is complete or an election timeout has passed. It does
// nothing if this member itself is the target.
func (c *Core) TransferLeadership(target uint64) error {
	if c.role != Leader {
		return &NotLeaderError{Leader: c.leader}
	}
	if target == 0 {
		target = c.bestSuccessor()
	}
	if target == c.cfg.ID {
		return nil
	}
	if target == 0 || !c.isVoter(target) {
		return fmt.Errorf("transfer leadership to member %016x: %w", target, ErrInvalidMember)
	}
	c.transfer = leadershipTransfer{target: target}
	c.continueLeadershipTransfer()
	return nil
}

// bestSuccessor returns the active voter with the longest matching log, or zero.
func (c *Core) bestSuccessor() uint64 {
	var best uint64
	for _, id := range c.followers() {
		p := c.progress[id]
		if !c.isVoter(id) || !c.isActive(p) {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = id
		}
	}
	return best
}

// continueLeadershipTransfer asks the target to campaign once it has the whole log.
func (c *Core) continueLeadershipTransfer() {
	p := c.progress[c.transfer.target]
	if c.transfer.target != 0 && p != nil && p.match == c.log.lastIndex() {
		c.sendTimeoutNow(c.transfer.target)
	}
}

func (c *Core) sendTimeoutNow(id uint64) {
	c.send(&statev1.Message{Type: statev1.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: id})
}

func (c *Core) tickTransfer() {
	if c.transfer.target == 0 {
		return
	}
	c.transfer.ticks++
	if c.transfer.ticks >= c.cfg.ElectionTicks {
		c.transfer = leadershipTransfer{}
	}
}

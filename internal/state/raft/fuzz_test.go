package raft

import (
	"math"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// recoveryTicks is the time within which a healed cluster must elect a leader,
// repair a lost disk and commit on all members: 20 times the longest election
// timeout.
const recoveryTicks = 20 * 2 * electionTicks

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if op := input.(*operation); op.write {
			return true, op.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// checkHistory checks that the register is linearizable. A write without a
// response may take effect at any later time if it was committed.
func (c *cluster) checkHistory() {
	var all strings.Builder
	for _, e := range c.committed {
		all.WriteString(e)
	}
	var ops []porcupine.Operation
	for _, op := range c.history {
		ret := op.ret
		if ret == 0 {
			if !strings.Contains(all.String(), hexValue(op.value)) {
				continue
			}
			ret = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{Input: op, Call: op.call, Output: op.value, Return: ret})
	}
	if !porcupine.CheckOperations(registerModel, ops) {
		c.t.Fatalf("the history of %d operations is not linearizable", len(ops))
	}
}

// randomStep draws and applies one fault or some work, then some ticks.
func (c *cluster) randomStep(t *rapid.T, membership bool) {
	m := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
	other := c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "other")]
	switch rapid.IntRange(0, 19).Draw(t, "action") {
	case 0:
		c.blocked[[2]int{m.position, other.position}] = true
	case 1:
		for _, x := range c.members {
			c.blocked[[2]int{m.position, x.position}] = true
			c.blocked[[2]int{x.position, m.position}] = true
		}
	case 2:
		for _, x := range c.members {
			c.blocked[[2]int{x.position, m.position}] = true
		}
	case 3, 4:
		clear(c.blocked)
	case 5:
		m.frozen = true
	case 6:
		m.frozen = false
		c.read(m)
	case 7:
		c.crash(m)
	case 8, 9:
		c.restart(m)
		c.restart(other)
	case 10:
		m.fs.FailSync(rapid.IntRange(0, 5).Draw(t, "syncs"))
		other.fs.SetFreeBytes(rapid.IntRange(0, 3000).Draw(t, "free"))
	case 11:
		c.loss = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "loss")
		c.maxDelay = rapid.SampledFrom([]int{0, 1, 3, 8}).Draw(t, "delay")
		c.slowDisk = rapid.SampledFrom([]int{0, 0, 20, 60}).Draw(t, "slow")
		c.crashOnCommit = rapid.SampledFrom([]int{0, 0, 10, 50}).Draw(t, "kill")
	case 12:
		if l := c.leader(); l != nil && !c.variant.keepIdentity {
			_ = l.core.TransferLeadership(other.id)
		}
	case 13:
		if !membership && c.repaired() {
			c.wipe(m)
		}
	case 14, 15:
		if l := c.leader(); l != nil && membership {
			op := rapid.SampledFrom([]statev1.MembershipOp{
				statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER,
				statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE,
				statev1.MembershipOp_MEMBERSHIP_OP_REMOVE,
			}).Draw(t, "op")
			c.proposeMembership(l, op, m.id)
		}
	default:
		for _, x := range c.members {
			if x.running() && x.core.Status().Role == Leader {
				c.write(x)
				c.write(x)
			}
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "ticks") {
		c.read(other)
		c.tick()
	}
}

// randomFaults draws faults in any combination, then heals the cluster and
// requires progress. Without membership changes it also wipes another disk right
// after the repair and requires progress again.
func randomFaults(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, rapid.IntRange(3, 5).Draw(t, "voters"), v)
		membership := rapid.Bool().Draw(t, "membership")
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			c.randomStep(t, membership)
		}
		c.heal()
		c.mustProgress(recoveryTicks)
		if !membership {
			c.wipe(c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "second")])
			c.mustProgress(recoveryTicks)
		}
		c.checkHistory()
	}
}

// Guards against lost or changed entries, two leaders, stale reads, and a
// cluster that does not recover.
func TestRandomFaults(t *testing.T) {
	proptest.CheckSeeds(t, 600, randomFaults(variant{}))
}

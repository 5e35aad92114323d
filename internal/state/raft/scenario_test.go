package raft

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// isolate blocks or unblocks a member's incoming links as in says, and its
// outgoing links as out says.
func (c *cluster) isolate(m *member, in, out bool) {
	for _, x := range c.members {
		c.blocked[[2]int{x.position, m.position}] = in
		c.blocked[[2]int{m.position, x.position}] = out
	}
}

func (c *cluster) runTicks(ticks int) {
	for range ticks {
		c.tick()
	}
}

// isolatedFollower isolates a follower from all others or from the leader only,
// in one or both directions, and requires that term and leader are unchanged
// after it reconnects.
func isolatedFollower(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, rapid.IntRange(3, 5).Draw(t, "voters"), v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		term := l.core.Status().Term
		m := c.members[(l.position+rapid.IntRange(1, len(c.members)-1).Draw(t, "member"))%len(c.members)]
		directions := rapid.IntRange(1, 3).Draw(t, "ways")
		c.isolate(m, directions&1 != 0, directions&2 != 0)
		if rapid.Bool().Draw(t, "leader only") {
			c.blocked = map[[2]int]bool{{l.position, m.position}: directions&1 != 0, {m.position, l.position}: directions&2 != 0}
		}
		c.runTicks(rapid.IntRange(1, 20*electionTicks).Draw(t, "ticks"))
		c.heal()
		c.mustProgress(recoveryTicks)
		c.runTicks(4 * electionTicks)
		if s := l.core.Status(); s.Term != term || s.Role != Leader {
			t.Fatalf("the leader of term %d is %v of term %d after a follower's return", term, s.Role, s.Term)
		}
	}
}

// leaderWithoutInbound blocks all messages to the leader and requires that the
// others elect a new leader and commit, although messages of the old one still
// reach them.
func leaderWithoutInbound(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, rapid.IntRange(3, 5).Draw(t, "voters"), v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		start := c.maxCommit
		c.isolate(l, true, false)
		for range recoveryTicks {
			c.tick()
			for _, m := range c.members {
				c.write(m)
			}
		}
		if c.maxCommit <= start {
			t.Fatalf("no commit beyond %d within %d ticks of a leader that receives no messages", start, recoveryTicks)
		}
	}
}

// partition blocks the links between the given members and all others, and
// unblocks the rest.
func (c *cluster) partition(in ...*member) {
	for _, x := range c.members {
		for _, y := range c.members {
			c.blocked[[2]int{x.position, y.position}] = slices.Contains(in, x) != slices.Contains(in, y)
		}
	}
}

// runUntilLeader runs until one of the members leads and returns it, or the
// first one if none leads within recoveryTicks.
func (c *cluster) runUntilLeader(members ...*member) *member {
	for range recoveryTicks {
		c.tick()
		for _, m := range members {
			if m.running() && m.core.Status().Role == Leader {
				return m
			}
		}
	}
	return members[0]
}

// replacedEntry creates entries of two terms at the same index. A leader crashes
// after it has replicated an entry to one follower; a second leader appends its
// own entry and crashes; the first one restarts, replicates its old entry to a
// majority and crashes; then the second one restarts.
func replacedEntry(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		peer := func(i int) *member { return c.members[(l.position+i)%5] }
		c.partition(l, peer(1))
		for range rapid.IntRange(1, 3).Draw(t, "writes") {
			c.write(l)
		}
		c.runTicks(1)
		c.crash(l)
		c.partition(peer(2), peer(3), peer(4))
		c.maxDelay = rapid.IntRange(0, 3).Draw(t, "delay")
		second := c.runUntilLeader(peer(2), peer(3), peer(4))
		c.crash(second)
		c.network = nil
		c.restart(l)
		c.partition()
		c.crashOnCommit = 100
		for range recoveryTicks {
			if l.core != nil && peer(1).core != nil {
				c.tick()
			}
		}
		c.crashOnCommit = 0
		c.crash(l)
		c.crash(peer(1))
		c.network = nil
		c.restart(second)
		c.runTicks(rapid.IntRange(1, 6*electionTicks).Draw(t, "ticks"))
		c.heal()
		c.mustProgress(recoveryTicks)
	}
}

// conflictingMembership makes a partitioned leader append a membership change
// that only a minority receives, and a second leader propose another change as
// soon as it is elected.
func conflictingMembership(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		peer := func(i int) *member { return c.members[(l.position+i)%5] }
		c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, peer(1).id)
		c.runTicks(3)
		c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER, peer(1).id)
		c.runTicks(3)
		c.partition(l, peer(1))
		c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE, peer(1).id)
		c.maxDelay = rapid.IntRange(1, 4).Draw(t, "delay")
		second := c.runUntilLeader(peer(2), peer(3), peer(4))
		c.proposeMembership(second, statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, l.id)
		third := peer(rapid.IntRange(2, 4).Draw(t, "third"))
		c.partition(third, l, peer(1))
		c.network = nil
		for range 4 * electionTicks {
			c.write(second)
			c.tick()
		}
		c.heal()
		c.mustProgress(recoveryTicks)
	}
}

// partitionedMembership repeatedly partitions the members in two and proposes
// membership changes to all members on both sides.
func partitionedMembership(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		for range 25 {
			side := rapid.IntRange(0, 31).Draw(t, "side")
			for _, x := range c.members {
				for _, y := range c.members {
					c.blocked[[2]int{x.position, y.position}] = (side>>x.position^side>>y.position)&1 != 0
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				op := rapid.Int32Range(1, 3).Draw(t, "op")
				id := c.members[rapid.IntRange(0, 4).Draw(t, "changed")].id
				for _, m := range c.members {
					c.proposeMembership(m, statev1.MembershipOp(op), id)
				}
			}
			for range rapid.IntRange(0, 3*electionTicks).Draw(t, "ticks") {
				c.tick()
				c.write(c.members[rapid.IntRange(0, 4).Draw(t, "write")])
			}
		}
		c.heal()
		c.mustProgress(recoveryTicks)
	}
}

// lostDisk commits entries while one follower is isolated, wipes the disk of the
// other one and may freeze the leader. The two followers must not commit without
// the leader, which has the only remaining copy of the entries. The sequence
// repeats right after each repair.
func lostDisk(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 3, v)
		for range 3 {
			c.mustProgress(recoveryTicks)
			l := c.leader()
			late := c.members[(l.position+rapid.IntRange(1, 2).Draw(t, "late"))%3]
			c.isolate(late, true, true)
			for range rapid.IntRange(1, 10).Draw(t, "writes") {
				c.write(l)
				c.tick()
			}
			c.wipe(c.members[3-l.position-late.position])
			l.frozen = rapid.Bool().Draw(t, "frozen")
			clear(c.blocked)
			for range rapid.IntRange(0, 10*electionTicks).Draw(t, "ticks") {
				c.tick()
				c.write(late)
			}
			c.heal()
		}
		c.mustProgress(recoveryTicks)
	}
}

// Guards against a reconnecting member that deposes a working leader.
func TestIsolatedFollower(t *testing.T) {
	proptest.CheckSeeds(t, 100, isolatedFollower(variant{}))
}

// Guards against a leader that keeps its leadership, and so blocks all commits,
// while no messages reach it.
func TestLeaderWithoutInbound(t *testing.T) {
	proptest.CheckSeeds(t, 50, leaderWithoutInbound(variant{}))
}

// Guards against commits of entries that a later leader replaces.
func TestReplacedEntry(t *testing.T) {
	proptest.CheckSeeds(t, 100, replacedEntry(variant{}))
}

// Guards against two leaders that each append a change to the same membership
// and commit it with disjoint majorities.
func TestConflictingMembership(t *testing.T) {
	proptest.CheckSeeds(t, 100, conflictingMembership(variant{}))
}

// Guards against two memberships whose majorities do not overlap.
func TestPartitionedMembership(t *testing.T) {
	proptest.CheckSeeds(t, 100, partitionedMembership(variant{}))
}

// Guards against a wiped member that helps to elect a leader without the
// entries it had acknowledged.
func TestLostDisk(t *testing.T) {
	proptest.CheckSeeds(t, 100, lostDisk(variant{}))
}

// Guards against tests that cannot fail: with any rule of the protocol or of the
// driver contract disabled, a property must fail.
func TestBrokenVariants(t *testing.T) {
	for _, b := range []struct {
		name     string
		variant  variant
		property func(variant) func(*rapid.T)
		seed     uint64
		want     string
	}{
		{"NoPreVote", variant{faults: faults{noPreVote: true}}, isolatedFollower, 2, "after a follower's return"},
		{"NoCheckQuorum", variant{faults: faults{noCheckQuorum: true}}, leaderWithoutInbound, 1, "no commit beyond"},
		{"CommitOldTerm", variant{faults: faults{commitOldTerm: true}}, replacedEntry, 14, "changed from"},
		{"ReadWithoutRound", variant{faults: faults{readWithoutAcks: true}}, randomFaults, 204, "confirms a read"},
		{"ReadWithoutRoundHistory", variant{faults: faults{readWithoutAcks: true}, historyOnly: true}, randomFaults, 375, "linearizable"},
		{"ReadBeforeCommit", variant{faults: faults{readAnyTerm: true}}, randomFaults, 234, "confirms a read"},
		{"SequentialContexts", variant{faults: faults{sequentialContexts: true}}, randomFaults, 1796365931470748, "confirms a read"},
		{"KeepReads", variant{faults: faults{keepReads: true}}, randomFaults, 1796365963472749, "confirms a read"},
		{"SkipVoteSave", variant{faults: faults{skipVoteSave: true}}, randomFaults, 787, "has the leaders"},
		{"TruncateOnMatch", variant{faults: faults{truncateOnMatch: true}}, randomFaults, 3940, "changed from"},
		{"OverlappingMembership", variant{faults: faults{overlappingMembership: true}}, partitionedMembership, 26, "changed from"},
		{"MembershipBeforeCommit", variant{faults: faults{membershipBeforeCommit: true}}, conflictingMembership, 1, "changed from"},
		{"SendBeforeSync", variant{sendBeforeSync: true}, randomFaults, 793, "changed from"},
		{"KeepIdentity", variant{keepIdentity: true}, lostDisk, 2, "changed from"},
	} {
		t.Run(b.name, func(t *testing.T) {
			proptest.ExpectFailure(t, b.seed, b.want, b.property(b.variant))
		})
	}
}

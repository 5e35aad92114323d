package raft

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// isolate cuts a member's links in one or both directions.
func (c *cluster) isolate(m *member, in, out bool) {
	for _, x := range c.members {
		c.cut[[2]int{x.slot, m.slot}] = in
		c.cut[[2]int{m.slot, x.slot}] = out
	}
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
	}
}

// isolatedFollower cuts off a follower from all others or from the leader only,
// also in one direction, and requires that its return leaves term and leader as
// they were.
func isolatedFollower(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, rapid.IntRange(3, 5).Draw(t, "voters"), v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		term := l.core.Status().Term
		m := c.members[(l.slot+rapid.IntRange(1, len(c.members)-1).Draw(t, "member"))%len(c.members)]
		ways := rapid.IntRange(1, 3).Draw(t, "ways")
		c.isolate(m, ways&1 != 0, ways&2 != 0)
		if rapid.Bool().Draw(t, "leader only") {
			c.cut = map[[2]int]bool{{l.slot, m.slot}: ways&1 != 0, {m.slot, l.slot}: ways&2 != 0}
		}
		c.run(rapid.IntRange(1, 20*electionTicks).Draw(t, "ticks"))
		c.heal()
		c.mustProgress(recoveryTicks)
		c.run(4 * electionTicks)
		if s := l.core.Status(); s.Term != term || s.Role != Leader {
			t.Fatalf("the leader of term %d is %v of term %d after a follower's return", term, s.Role, s.Term)
		}
	}
}

// deafLeader cuts off all messages to the leader and requires that the others
// commit under a new one although they still hear the old one.
func deafLeader(v variant) func(*rapid.T) {
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
			t.Fatalf("no commit beyond %d within %d ticks of a leader that hears nobody", start, recoveryTicks)
		}
	}
}

// group cuts the links between the given members and all others.
func (c *cluster) group(in ...*member) {
	for _, x := range c.members {
		for _, y := range c.members {
			c.cut[[2]int{x.slot, y.slot}] = slices.Contains(in, x) != slices.Contains(in, y)
		}
	}
}

// runUntil runs until one of the members leads, and returns it.
func (c *cluster) runUntil(members ...*member) *member {
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

// replacedEntry brings entries of two terms to the same index. A leader ends
// with an entry at one follower; another leader appends its own entry and ends;
// the first one returns, sends its old entry to a majority and ends; then the
// second one returns.
func replacedEntry(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		o := func(i int) *member { return c.members[(l.slot+i)%5] }
		c.group(l, o(1))
		for range rapid.IntRange(1, 3).Draw(t, "writes") {
			c.write(l)
		}
		c.run(1)
		c.crash(l)
		c.group(o(2), o(3), o(4))
		c.delay = rapid.IntRange(0, 3).Draw(t, "delay")
		second := c.runUntil(o(2), o(3), o(4))
		c.crash(second)
		c.network = nil
		c.restart(l)
		c.group()
		c.killOnCommit = 100
		for range recoveryTicks {
			if l.core != nil && o(1).core != nil {
				c.tick()
			}
		}
		c.killOnCommit = 0
		c.crash(l)
		c.crash(o(1))
		c.network = nil
		c.restart(second)
		c.run(rapid.IntRange(1, 6*electionTicks).Draw(t, "ticks"))
		c.heal()
		c.mustProgress(recoveryTicks)
	}
}

// earlyMembership lets a leader append a change that nobody else gets, and a
// second one append another change as soon as it is elected.
func earlyMembership(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		l := c.leader()
		o := func(i int) *member { return c.members[(l.slot+i)%5] }
		c.change(l, statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, o(1).id)
		c.run(3)
		c.change(l, statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER, o(1).id)
		c.run(3)
		c.group(l, o(1))
		c.change(l, statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE, o(1).id)
		c.delay = rapid.IntRange(1, 4).Draw(t, "delay")
		second := c.runUntil(o(2), o(3), o(4))
		c.change(second, statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, l.id)
		third := o(rapid.IntRange(2, 4).Draw(t, "third"))
		c.group(third, l, o(1))
		c.network = nil
		for range 4 * electionTicks {
			c.write(second)
			c.tick()
		}
		c.heal()
		c.mustProgress(recoveryTicks)
	}
}

// dividedMembership splits the members in two and changes the membership on
// both sides as often as the leaders accept.
func dividedMembership(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 5, v)
		c.mustProgress(recoveryTicks)
		for range 25 {
			side := rapid.IntRange(0, 31).Draw(t, "side")
			for _, x := range c.members {
				for _, y := range c.members {
					c.cut[[2]int{x.slot, y.slot}] = (side>>x.slot^side>>y.slot)&1 != 0
				}
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				op := rapid.Int32Range(1, 3).Draw(t, "op")
				id := c.members[rapid.IntRange(0, 4).Draw(t, "changed")].id
				for _, m := range c.members {
					c.change(m, statev1.MembershipOp(op), id)
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

// lostDisk commits while one follower hears nothing, wipes another and freezes
// the leader. The members that remain must not decide without the leader, whose
// copy is the last one. Later, the same happens right after the repair.
func lostDisk(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := drawCluster(t, 3, v)
		for range 3 {
			c.mustProgress(recoveryTicks)
			l := c.leader()
			late := c.members[(l.slot+rapid.IntRange(1, 2).Draw(t, "late"))%3]
			c.isolate(late, true, true)
			for range rapid.IntRange(1, 10).Draw(t, "writes") {
				c.write(l)
				c.tick()
			}
			c.wipe(c.members[3-l.slot-late.slot])
			l.frozen = rapid.Bool().Draw(t, "frozen")
			clear(c.cut)
			for range rapid.IntRange(0, 10*electionTicks).Draw(t, "ticks") {
				c.tick()
				c.write(late)
			}
			c.heal()
		}
		c.mustProgress(recoveryTicks)
	}
}

// Guards against a returning member that deposes a working leader.
func TestIsolatedFollower(t *testing.T) {
	proptest.CheckSeeds(t, 100, isolatedFollower(variant{}))
}

// Guards against a leader that blocks the group while it hears nobody.
func TestDeafLeader(t *testing.T) {
	proptest.CheckSeeds(t, 50, deafLeader(variant{}))
}

// Guards against commits of entries that a later leader replaces.
func TestReplacedEntry(t *testing.T) {
	proptest.CheckSeeds(t, 100, replacedEntry(variant{}))
}

// Guards against two leaders that change the same membership.
func TestEarlyMembership(t *testing.T) {
	proptest.CheckSeeds(t, 100, earlyMembership(variant{}))
}

// Guards against two memberships whose majorities do not overlap.
func TestDividedMembership(t *testing.T) {
	proptest.CheckSeeds(t, 100, dividedMembership(variant{}))
}

// Guards against a wiped member that helps to elect a leader without the
// entries it had acknowledged.
func TestLostDisk(t *testing.T) {
	proptest.CheckSeeds(t, 100, lostDisk(variant{}))
}

// Guards against tests that cannot fail: each broken rule must be noticed.
func TestBrokenVariants(t *testing.T) {
	for _, b := range []struct {
		name     string
		variant  variant
		property func(variant) func(*rapid.T)
		seed     uint64
		want     string
	}{
		{"NoPreVote", variant{faults: faults{noPreVote: true}}, isolatedFollower, 2, "after a follower's return"},
		{"NoCheckQuorum", variant{faults: faults{noCheckQuorum: true}}, deafLeader, 1, "no commit beyond"},
		{"CommitOldTerm", variant{faults: faults{commitOldTerm: true}}, replacedEntry, 14, "changed from"},
		{"ReadWithoutRound", variant{faults: faults{readWithoutAcks: true}}, anyFaults, 204, "confirms a read"},
		{"ReadWithoutRoundHistory", variant{faults: faults{readWithoutAcks: true}, historyOnly: true}, anyFaults, 375, "linearizable"},
		{"ReadBeforeCommit", variant{faults: faults{readAnyTerm: true}}, anyFaults, 234, "confirms a read"},
		{"PlainContexts", variant{faults: faults{plainContexts: true}}, anyFaults, 1796365931470748, "confirms a read"},
		{"KeepReads", variant{faults: faults{keepReads: true}}, anyFaults, 1796365963472749, "confirms a read"},
		{"ForgetVote", variant{faults: faults{forgetVote: true}}, anyFaults, 787, "has the leaders"},
		{"TruncateOnMatch", variant{faults: faults{truncateOnMatch: true}}, anyFaults, 3940, "changed from"},
		{"MembershipTwice", variant{faults: faults{membershipTwice: true}}, dividedMembership, 26, "changed from"},
		{"MembershipEarly", variant{faults: faults{membershipEarly: true}}, earlyMembership, 1, "changed from"},
		{"SendBeforeSync", variant{sendBeforeSync: true}, anyFaults, 793, "changed from"},
		{"KeepIdentity", variant{keepIdentity: true}, lostDisk, 2, "changed from"},
	} {
		t.Run(b.name, func(t *testing.T) {
			proptest.ExpectFailure(t, b.seed, b.want, b.property(b.variant))
		})
	}
}

package raft

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Guards against unintended changes of member states in common message sequences.
// The files in testdata refer to members by their positions.
func TestSequences(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				c = newCluster(t, 1, arg(t, d, "voters"), 100, variant{})
				return ""
			}
			return c.command(t, d)
		})
	})
}

func arg(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	if d.HasArg(key) {
		d.ScanArgs(t, key, &n)
	}
	return n
}

func (c *cluster) command(t *testing.T, d *datadriven.TestData) string {
	m := c.members[arg(t, d, "m")]
	switch d.Cmd {
	case "tick":
		c.runTicks(max(1, arg(t, d, "n")))
	case "lead":
		// Ticks only this member, so that it wins the election.
		for m.core.Status().Role != Leader {
			m.core.Tick()
			c.runReady(m)
			c.deliver()
		}
	case "isolate":
		c.isolate(m, true, true)
	case "heal":
		c.heal()
	case "crash":
		c.crash(m)
	case "restart":
		c.restart(m)
	case "wipe":
		c.wipe(m)
	case "write":
		for range max(1, arg(t, d, "n")) {
			c.write(m)
			c.runReady(m)
		}
		c.deliver()
	case "read":
		c.read(m)
		c.deliver()
		last := c.history[len(c.history)-1]
		return fmt.Sprintf("done=%v floor=%d\n", !last.write, last.floor)
	case "transfer":
		if err := m.core.TransferLeadership(c.members[arg(t, d, "to")].id); err != nil {
			return err.Error() + "\n"
		}
		c.runReady(m)
		c.deliver()
	case "change":
		op := statev1.MembershipOp(statev1.MembershipOp_value["MEMBERSHIP_OP_"+strings.ToUpper(d.CmdArgs[1].Key)])
		member := &statev1.Member{Id: c.members[arg(t, d, "of")].id}
		_, _, err := m.core.ProposeMembership(&statev1.MembershipChange{Op: op, Member: member})
		if err != nil {
			return strings.ReplaceAll(err.Error(), fmt.Sprintf("%016x", member.GetId()), fmt.Sprint(arg(t, d, "of"))) + "\n"
		}
		c.runReady(m)
		if d.HasArg("deliver") {
			c.deliver()
		}
	case "status":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return c.status()
}

func (c *cluster) status() string {
	var b strings.Builder
	for _, m := range c.members {
		if m.core == nil {
			fmt.Fprintf(&b, "%d: down\n", m.position)
			continue
		}
		s := m.core.Status()
		fmt.Fprintf(&b, "%d: %v term=%d commit=%d/%d applied=%d snapshot=%d members:", m.position, s.Role, s.Term, s.Commit, s.LastIndex, m.applied, s.SnapshotIndex)
		for _, x := range s.Membership.GetMembers() {
			name := "lost"
			if y := c.byID[x.GetId()]; y != nil {
				name = fmt.Sprint(y.position)
			}
			if x.GetLearner() {
				name += "(learner)"
			}
			b.WriteString(" " + name)
		}
		b.WriteString("\n")
	}
	return b.String()
}

package control

import (
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// removeInactiveMember removes the member that has been inactive for longest, if it
// was so for the removal delay. A VM that is gone for good counts against the
// majority, although another VM, whose name and address tell nothing of it, has
// taken its place. Each member is judged by itself: other members that are
// inactive and other membership changes do not hold its removal up. A removed VM
// that comes back joins again.
func (l *loop) removeInactiveMember() {
	s := l.core.Status()
	if !l.leading() || s.MembershipIndex > s.Commit {
		return
	}
	lost := l.longestInactive(s)
	if lost == nil || silence(s, lost) < l.removalDelay(s) {
		return
	}
	// An error means that a change is pending or that the remaining voters would
	// have no active majority. The next tick tries again.
	_, _, _ = l.core.ProposeMembership(&statev1.MembershipChange{
		Op: statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, Member: lost,
	})
}

// longestInactive returns the inactive member whose last response is the oldest, or
// nil. It considers voters only while more than the required number of them would
// remain.
func (l *loop) longestInactive(s raft.Status) *statev1.Member {
	spareVoters := countVoters(s.Membership) - l.requiredVoters()
	var lost *statev1.Member
	for _, m := range s.Membership.GetMembers() {
		if m.GetId() == s.ID || s.Progress[m.GetId()].Active {
			continue
		}
		if !m.GetLearner() && spareVoters <= 0 {
			continue
		}
		if lost == nil || silence(s, m) > silence(s, lost) {
			lost = m
		}
	}
	return lost
}

func silence(s raft.Status, m *statev1.Member) time.Duration {
	return time.Duration(s.Progress[m.GetId()].SilentTicks) * tickInterval
}

// removalDelay returns how long a member may be inactive in the present state of
// the fleet.
func (l *loop) removalDelay(s raft.Status) time.Duration {
	mustTolerate := uint32(l.cfg.MinVoters / 2)
	full := len(s.Membership.GetMembers()) >= maxMembers
	if full || l.quorumState().GetTolerableLosses() < mustTolerate {
		return urgentRemovalDelay
	}
	return voterRemovalDelay
}

// requiredVoters returns the number of voters below which none is removed for
// being inactive.
func (l *loop) requiredVoters() int {
	if l.cfg.MinVoters == 0 {
		return minRemainingVoters
	}
	return max(l.cfg.MinVoters, smallestFleet)
}

package control

import (
	"slices"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// quorumState describes the members in this member's log and, on the leader, how
// many more voters may be lost.
func (l *loop) quorumState() *peerv1.QuorumState {
	s := l.core.Status()
	state := &peerv1.QuorumState{Leading: s.Role == raft.Leader, MembershipIndex: s.MembershipIndex}
	for _, m := range s.Membership.GetMembers() {
		if m.GetLearner() {
			state.Learners++
			continue
		}
		state.Voters++
		if state.Leading && m.GetId() != s.ID && !s.Progress[m.GetId()].Active {
			state.InactiveVoters = append(state.InactiveVoters, m.GetVm())
		}
	}
	if state.Leading {
		majority := int(state.Voters)/2 + 1
		active := int(state.Voters) - len(state.InactiveVoters)
		state.TolerableLosses = uint32(max(0, active-majority))
	}
	return state
}

// reportQuorum passes the state to Metrics if it has changed.
func (l *loop) reportQuorum() {
	state, last := l.quorumState(), l.reportedQuorum
	if state.GetLeading() == last.GetLeading() && state.GetMembershipIndex() == last.GetMembershipIndex() &&
		slices.Equal(state.GetInactiveVoters(), last.GetInactiveVoters()) {
		return
	}
	l.reportedQuorum = state
	l.cfg.Metrics.QuorumChanged(state)
}

package control

import (
	"errors"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// nextChange returns the next membership change that is needed to make the joining
// member a voter and to remove the replaced one, or nil if nothing is left to do.
// joining may be nil and replaces may be zero.
func nextChange(m *statev1.Membership, joining *statev1.Member, replaces uint64) *statev1.MembershipChange {
	if joining != nil {
		present := findMember(m, joining.GetId())
		if present == nil {
			return &statev1.MembershipChange{Op: statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER, Member: joining}
		}
		if present.GetLearner() {
			return &statev1.MembershipChange{Op: statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE, Member: present}
		}
	}
	if old := findMember(m, replaces); old != nil {
		return &statev1.MembershipChange{Op: statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, Member: old}
	}
	return nil
}

// replacedMember returns the identifier of the member that a join request
// replaces: the one that it names, or the one with the same VM name, whose data
// folder was lost. It returns zero if there is none.
func replacedMember(m *statev1.Membership, r *peerv1.JoinRequest) uint64 {
	if r.GetReplaces() != 0 || r.GetMember() == nil {
		return r.GetReplaces()
	}
	for _, x := range m.GetMembers() {
		if x.GetVm() == r.GetMember().GetVm() && x.GetId() != r.GetMember().GetId() {
			return x.GetId()
		}
	}
	return 0
}

// join performs the next step of a membership change. The response has code zero
// once the last step is committed, and MembershipBusy while steps are left: the
// caller then repeats the request at the current leader. The membership itself
// records all progress, so a leader keeps no state of the request.
func (l *loop) join(r *peerv1.JoinRequest, done func(*peerv1.JoinResponse, error)) {
	if !l.leading() {
		done(nil, &notLeaderError{leader: l.status.Leader})
		return
	}
	s := l.core.Status()
	ch := nextChange(s.Membership, r.GetMember(), replacedMember(s.Membership, r))
	switch {
	case s.MembershipIndex > s.Commit:
		done(l.joinResponse(resultcode.MembershipBusy, "an earlier membership change is not committed yet"), nil)
	case ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER && len(s.Membership.GetMembers()) >= maxMembers:
		done(l.joinResponse(resultcode.MembershipRefused, "the fleet already has the largest allowed number of control VMs"), nil)
	case ch == nil:
		done(l.joinResponse(resultcode.OK, ""), nil)
	case ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_REMOVE && ch.GetMember().GetId() == l.member.GetId():
		l.transferLeadership(done)
	default:
		l.proposeChange(ch, r, done)
	}
}

// transferLeadership transfers leadership to another voter. A leader that is to be
// removed does so first; the next leader then removes it.
func (l *loop) transferLeadership(done func(*peerv1.JoinResponse, error)) {
	if err := l.core.TransferLeadership(0); err != nil {
		done(l.joinResponse(resultcode.MembershipRefused, err.Error()), nil)
		return
	}
	done(l.joinResponse(resultcode.MembershipBusy, "the leader is transferring its leadership before it is removed"), nil)
}

func (l *loop) proposeChange(ch *statev1.MembershipChange, r *peerv1.JoinRequest, done func(*peerv1.JoinResponse, error)) {
	index, term, err := l.core.ProposeMembership(ch)
	if err != nil {
		l.refuseChange(err, done)
		return
	}
	l.addPending(index, term, func(_ *statev1.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		m := l.core.Status().Membership
		if nextChange(m, r.GetMember(), replacedMember(m, r)) != nil {
			done(l.joinResponse(resultcode.MembershipBusy, "the membership change has further steps"), nil)
			return
		}
		done(l.joinResponse(resultcode.OK, ""), nil)
	})
}

func (l *loop) refuseChange(err error, done func(*peerv1.JoinResponse, error)) {
	var other *raft.NotLeaderError
	switch {
	case errors.As(err, &other):
		done(nil, &notLeaderError{leader: other.Leader})
	case errors.Is(err, raft.ErrMembershipPending), errors.Is(err, raft.ErrLearnerBehind),
		errors.Is(err, raft.ErrBusy), errors.Is(err, raft.ErrTransferring):
		done(l.joinResponse(resultcode.MembershipBusy, err.Error()), nil)
	default:
		done(l.joinResponse(resultcode.MembershipRefused, err.Error()), nil)
	}
}

func (l *loop) joinResponse(code resultcode.Code, message string) *peerv1.JoinResponse {
	return &peerv1.JoinResponse{Membership: l.core.Status().Membership, Code: uint32(code), Message: message}
}

// joined reports whether, according to its own log, this member votes and the
// member that it replaces has been removed. A learner that restarts with a log
// that does not name it yet must send a join request again, because only the
// response contains the addresses of the other members.
func (l *loop) joined() bool {
	s := l.core.Status()
	r := &peerv1.JoinRequest{Member: l.member, Replaces: l.cfg.Replaces}
	return s.MembershipIndex <= s.Commit && nextChange(s.Membership, l.member, replacedMember(s.Membership, r)) == nil
}

// mustJoin reports whether this member has to send join requests. It is called
// once per joinInterval. Its own log shows that it votes and that the member that
// it replaces has been removed, but not that it was removed itself while it was
// down or partitioned. So it also asks when it has known no leader for
// rejoinRounds calls.
func (l *loop) mustJoin() bool {
	if l.core.Status().Leader != 0 {
		l.roundsWithoutLeader = 0
	} else {
		l.roundsWithoutLeader++
	}
	return !l.joined() || l.roundsWithoutLeader >= rejoinRounds
}

// addKnownMembers stores the members that a JoinResponse names.
func (l *loop) addKnownMembers(m *statev1.Membership) {
	for _, x := range m.GetMembers() {
		l.knownMembers[x.GetId()] = x
	}
}

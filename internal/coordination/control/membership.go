package control

import (
	"errors"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// nextChange returns the next change on the way to a membership with the new
// member as a voter and without the replaced one, or nil if that is reached.
// Either may be missing.
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

// replacedBy returns the member that a joining one replaces: the stated one, or
// the one with the same VM name, whose data folder is lost.
func replacedBy(m *statev1.Membership, r *peerv1.JoinRequest) uint64 {
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

// join takes one step of a membership change. The answer has code zero when the
// last step is committed, and MembershipBusy while there is more to do: the
// caller asks again, at whatever member leads then. All progress is in the
// membership itself, so no leader has to remember the request.
func (l *loop) join(r *peerv1.JoinRequest, done func(*peerv1.JoinResponse, error)) {
	if !l.leading() {
		done(nil, &notLeaderError{leader: l.status.Leader})
		return
	}
	s := l.core.Status()
	ch := nextChange(s.Membership, r.GetMember(), replacedBy(s.Membership, r))
	switch {
	case s.MembershipIndex > s.Commit:
		done(l.joinAnswer(resultcode.MembershipBusy, "an earlier change is not committed"), nil)
	case ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER && len(s.Membership.GetMembers()) >= maxMembers:
		done(l.joinAnswer(resultcode.MembershipRefused, "the fleet has as many control VMs as it may"), nil)
	case ch == nil:
		done(l.joinAnswer(resultcode.OK, ""), nil)
	case ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_REMOVE && ch.GetMember().GetId() == l.member.GetId():
		l.handOver(done)
	default:
		l.proposeChange(ch, r, done)
	}
}

// handOver lets another voter lead before this one is removed.
func (l *loop) handOver(done func(*peerv1.JoinResponse, error)) {
	if err := l.core.TransferLeadership(0); err != nil {
		done(l.joinAnswer(resultcode.MembershipRefused, err.Error()), nil)
		return
	}
	done(l.joinAnswer(resultcode.MembershipBusy, "leadership is handed over first"), nil)
}

func (l *loop) proposeChange(ch *statev1.MembershipChange, r *peerv1.JoinRequest, done func(*peerv1.JoinResponse, error)) {
	index, term, err := l.core.ProposeMembership(ch)
	if err != nil {
		l.refuseChange(err, done)
		return
	}
	l.await(index, term, func(_ *statev1.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		m := l.core.Status().Membership
		if nextChange(m, r.GetMember(), replacedBy(m, r)) != nil {
			done(l.joinAnswer(resultcode.MembershipBusy, "the next step follows"), nil)
			return
		}
		done(l.joinAnswer(resultcode.OK, ""), nil)
	})
}

func (l *loop) refuseChange(err error, done func(*peerv1.JoinResponse, error)) {
	var other *raft.NotLeaderError
	switch {
	case errors.As(err, &other):
		done(nil, &notLeaderError{leader: other.Leader})
	case errors.Is(err, raft.ErrMembershipPending), errors.Is(err, raft.ErrLearnerBehind),
		errors.Is(err, raft.ErrBusy), errors.Is(err, raft.ErrTransferring):
		done(l.joinAnswer(resultcode.MembershipBusy, err.Error()), nil)
	default:
		done(l.joinAnswer(resultcode.MembershipRefused, err.Error()), nil)
	}
}

func (l *loop) joinAnswer(code resultcode.Code, message string) *peerv1.JoinResponse {
	return &peerv1.JoinResponse{Membership: l.core.Status().Membership, Code: uint32(code), Message: message}
}

// joined reports whether, according to its own log, this member votes and the
// member that it replaces is gone. A learner that restarts with a log that does
// not name it yet has to ask again: only the answer tells it the addresses of
// the others.
func (l *loop) joined() bool {
	s := l.core.Status()
	r := &peerv1.JoinRequest{Member: l.member, Replaces: l.cfg.Replaces}
	return s.MembershipIndex <= s.Commit && nextChange(s.Membership, l.member, replacedBy(s.Membership, r)) == nil
}

// joinState is what decides whether a member asks its peers.
type joinState struct{ joined, leader bool }

func (l *loop) joinState() joinState {
	return joinState{joined: l.joined(), leader: l.core.Status().Leader != 0}
}

// removeLost removes a voter that has not answered for long, if as many voters
// as a fleet needs are left: another VM has taken its place, and a dead voter
// would count against the majority. A VM that comes back joins again.
func (l *loop) removeLost(now time.Duration) {
	s := l.core.Status()
	if !l.leading() || s.MembershipIndex > s.Commit {
		l.lostSince = nil
		return
	}
	if l.lostSince == nil {
		l.lostSince = map[uint64]time.Duration{}
	}
	voters, active := 0, 0
	var lost *statev1.Member
	for _, m := range s.Membership.GetMembers() {
		if m.GetLearner() {
			continue
		}
		voters++
		if m.GetId() == l.member.GetId() || s.Progress[m.GetId()].Active {
			active++
			delete(l.lostSince, m.GetId())
			continue
		}
		since, known := l.lostSince[m.GetId()]
		if !known {
			l.lostSince[m.GetId()] = now
		} else if now-since >= removeAfter {
			lost = m
		}
	}
	if lost == nil || voters <= keepVoters || active < voters-1 {
		return
	}
	ch := &statev1.MembershipChange{Op: statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, Member: lost}
	if _, _, err := l.core.ProposeMembership(ch); err == nil {
		delete(l.lostSince, lost.GetId())
	}
}

// learnContacts remembers the members that a JoinResponse names.
func (l *loop) learnContacts(m *statev1.Membership) {
	for _, x := range m.GetMembers() {
		l.contacts[x.GetId()] = x
	}
}

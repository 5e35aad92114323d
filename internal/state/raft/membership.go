package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxPromoteLag is the number of entries that a learner may be behind when it is
// promoted. Under load a learner is always a few entries behind.
const maxPromoteLag = 64

// membershipVersion is a membership and the index of the entry that set it.
type membershipVersion struct {
	index      uint64
	membership *statev1.Membership
}

// membershipHistory holds the memberships of the log, oldest first. It always has
// at least one, which may be empty. Memberships are never modified.
type membershipHistory struct {
	versions []membershipVersion
}

func newMembershipHistory(s *statev1.Snapshot) membershipHistory {
	m := s.GetMembership()
	if m == nil {
		m = &statev1.Membership{}
	}
	return membershipHistory{versions: []membershipVersion{{index: s.GetIndex(), membership: m}}}
}

func (h *membershipHistory) latest() membershipVersion {
	return h.versions[len(h.versions)-1]
}

func (h *membershipHistory) current() *statev1.Membership {
	return h.latest().membership
}

func (h *membershipHistory) index() uint64 {
	return h.latest().index
}

// at returns the membership as of an index.
func (h *membershipHistory) at(index uint64) *statev1.Membership {
	for i := len(h.versions) - 1; i > 0; i-- {
		if h.versions[i].index <= index {
			return h.versions[i].membership
		}
	}
	return h.versions[0].membership
}

// append puts the change of a membership entry into effect and ignores other
// entries.
func (h *membershipHistory) append(e *statev1.LogEntry) error {
	if e.GetType() != statev1.EntryType_ENTRY_TYPE_MEMBERSHIP {
		return nil
	}
	ch := &statev1.MembershipChange{}
	if err := proto.Unmarshal(e.GetData(), ch); err != nil {
		return fmt.Errorf("raft: membership entry %d: %w", e.GetIndex(), err)
	}
	m, err := changeMembership(h.current(), ch)
	if err != nil {
		return fmt.Errorf("raft: membership entry %d: %w", e.GetIndex(), err)
	}
	h.versions = append(h.versions, membershipVersion{index: e.GetIndex(), membership: m})
	return nil
}

// truncateFrom reverts the changes from index on and reports whether there were
// any.
func (h *membershipHistory) truncateFrom(index uint64) bool {
	n := len(h.versions)
	for n > 1 && h.versions[n-1].index >= index {
		n--
	}
	changed := n < len(h.versions)
	h.versions = h.versions[:n]
	return changed
}

// compact drops the versions that were superseded at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.versions) > 1 && h.versions[1].index <= index {
		h.versions = h.versions[1:]
	}
}

// changeMembership returns a copy of m with the change applied.
func changeMembership(m *statev1.Membership, ch *statev1.MembershipChange) (*statev1.Membership, error) {
	id := ch.GetMember().GetId()
	old := findMember(m, id)
	next := &statev1.Membership{}
	for _, x := range m.GetMembers() {
		if x.GetId() != id {
			next.Members = append(next.Members, x)
		}
	}
	switch ch.GetOp() {
	case statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER:
		if old != nil || id == 0 {
			return nil, fmt.Errorf("add member %016x: %w", id, ErrInvalidMember)
		}
		added := proto.CloneOf(ch.GetMember())
		added.Learner = true
		next.Members = append(next.Members, added)
	case statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE:
		if old == nil || !old.GetLearner() {
			return nil, fmt.Errorf("promote member %016x: %w", id, ErrInvalidMember)
		}
		promoted := proto.CloneOf(old)
		promoted.Learner = false
		next.Members = append(next.Members, promoted)
	case statev1.MembershipOp_MEMBERSHIP_OP_REMOVE:
		if old == nil {
			return nil, fmt.Errorf("remove member %016x: %w", id, ErrInvalidMember)
		}
	default:
		return nil, fmt.Errorf("membership operation %v: %w", ch.GetOp(), ErrInvalidMember)
	}
	if len(voters(next)) == 0 {
		return nil, ErrNoVoters
	}
	return next, nil
}

func findMember(m *statev1.Membership, id uint64) *statev1.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

func voters(m *statev1.Membership) []uint64 {
	var ids []uint64
	for _, x := range m.GetMembers() {
		if !x.GetLearner() {
			ids = append(ids, x.GetId())
		}
	}
	return ids
}

func (c *Core) isVoter(id uint64) bool {
	m := findMember(c.members.current(), id)
	return m != nil && !m.GetLearner()
}

// mayCampaign reports whether this member may start an election: as a voter, or
// as a former voter whose removal is uncommitted. Such a member may be the only
// one that has the entry of its removal; the remaining voters, which have
// shorter logs, then cannot win an election without its help. Its own vote does
// not count.
func (c *Core) mayCampaign() bool {
	if c.isVoter(c.cfg.ID) {
		return true
	}
	if c.members.index() <= c.log.commit {
		return false
	}
	m := findMember(c.members.at(c.members.index()-1), c.cfg.ID)
	return m != nil && !m.GetLearner()
}

// isQuorum reports whether f holds for a majority of the voters.
func (c *Core) isQuorum(f func(id uint64) bool) bool {
	ids := voters(c.members.current())
	n := 0
	for _, id := range ids {
		if f(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// ProposeMembership appends a membership change if this member is the leader.
// The change takes effect at once and is complete when its entry is committed. A
// leader that removes itself continues to lead until then.
func (c *Core) ProposeMembership(ch *statev1.MembershipChange) (index, term uint64, err error) {
	if err := c.canPropose(); err != nil {
		return 0, 0, err
	}
	early := !c.committedInTerm() && !c.cfg.faults.membershipBeforeCommit
	pending := c.members.index() > c.log.commit && !c.cfg.faults.overlappingMembership
	if early || pending {
		return 0, 0, ErrMembershipPending
	}
	next, err := changeMembership(c.members.current(), ch)
	if err != nil {
		return 0, 0, err
	}
	if err := c.checkChangeAllowed(ch, next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(ch)
	if err != nil {
		return 0, 0, fmt.Errorf("raft: marshal membership change: %w", err)
	}
	e := c.appendEntry(statev1.EntryType_ENTRY_TYPE_MEMBERSHIP, data)
	if err := c.members.append(e); err != nil {
		return 0, 0, err
	}
	c.syncProgress()
	return e.GetIndex(), e.GetTerm(), nil
}

// checkChangeAllowed refuses the promotion of a learner that is inactive or
// behind, and changes after which the active voters would not be a majority.
func (c *Core) checkChangeAllowed(ch *statev1.MembershipChange, next *statev1.Membership) error {
	if ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER {
		return nil
	}
	if ch.GetOp() == statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE {
		p := c.progress[ch.GetMember().GetId()]
		if p == nil || p.state != stateReplicate || !c.isActive(p) || p.match+maxPromoteLag < c.log.lastIndex() {
			return ErrLearnerBehind
		}
	}
	ids := voters(next)
	active := 0
	for _, id := range ids {
		if p := c.progress[id]; id == c.cfg.ID || p != nil && c.isActive(p) {
			active++
		}
	}
	if active <= len(ids)/2 {
		return ErrMembershipQuorum
	}
	return nil
}

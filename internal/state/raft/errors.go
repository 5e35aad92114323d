package raft

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and membership changes.
var (
	// ErrTransferring refuses a proposal while leadership is being handed over.
	ErrTransferring = errors.New("raft: leadership is being transferred")
	// ErrBusy refuses a proposal while too many bytes are uncommitted.
	ErrBusy = errors.New("raft: too many uncommitted bytes")
	// ErrNoLeader refuses a read while no leader is known.
	ErrNoLeader = errors.New("raft: no leader is known")
	// ErrZeroContext refuses a read with context zero.
	ErrZeroContext = errors.New("raft: read context is zero")
	// ErrMembershipPending refuses a membership change while another one is
	// uncommitted or the leader has not committed an entry of its term.
	ErrMembershipPending = errors.New("raft: an earlier membership change or the leader's first entry is uncommitted")
	// ErrLearnerBehind refuses to promote a learner that is not caught up.
	ErrLearnerBehind = errors.New("raft: the learner is behind")
	// ErrNoVoters refuses a membership without voters.
	ErrNoVoters = errors.New("raft: membership would have no voter")
	// ErrMembershipQuorum refuses a change after which the voters that answer
	// would be less than a majority.
	ErrMembershipQuorum = errors.New("raft: too few voters are reachable for this membership change")
	// ErrMember refuses a change that does not fit the membership.
	ErrMember = errors.New("raft: the member is unknown, already present or of another kind")
	// ErrLogLost says that this member no longer has entries that it
	// acknowledged. Its driver must stop and return under a new identifier.
	ErrLogLost = errors.New("raft: acknowledged log entries are missing")
	// ErrSnapshotIndex refuses a snapshot at an index that is not applied or is
	// older than the newest snapshot.
	ErrSnapshotIndex = errors.New("raft: index is not applied or older than the snapshot")
	// ErrMessage refuses a message that no member sends.
	ErrMessage = errors.New("raft: malformed message")
)

// NotLeaderError refuses a proposal at a member that does not lead.
type NotLeaderError struct {
	// Leader is zero if it is unknown.
	Leader uint64
}

// Error returns the message.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "raft: not the leader; no leader is known"
	}
	return fmt.Sprintf("raft: not the leader; the leader is %016x", e.Leader)
}

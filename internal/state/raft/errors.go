package raft

import (
	"errors"
	"fmt"
)

// Errors of proposals, reads and membership changes.
var (
	// ErrTransferring is returned for a proposal during a leadership transfer.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrBusy is returned for a proposal while the uncommitted entries take up
	// the allowed number of bytes.
	ErrBusy = errors.New("raft: limit of uncommitted bytes reached")
	// ErrNoLeader is returned for a read while no leader is known.
	ErrNoLeader = errors.New("raft: no leader is known")
	// ErrZeroContext is returned for a read with context zero.
	ErrZeroContext = errors.New("raft: read context must not be zero")
	// ErrMembershipPending is returned for a membership change while another
	// one is uncommitted or the leader has not committed an entry of its term.
	ErrMembershipPending = errors.New("raft: an earlier membership change or the leader's first entry is uncommitted")
	// ErrLearnerBehind is returned for the promotion of a learner that is
	// inactive or has not caught up with the leader's log.
	ErrLearnerBehind = errors.New("raft: learner is inactive or has not caught up with the leader")
	// ErrNoVoters is returned for a membership without voters.
	ErrNoVoters = errors.New("raft: membership would have no voter")
	// ErrMembershipQuorum is returned for a membership change after which the
	// active voters would not be a majority.
	ErrMembershipQuorum = errors.New("raft: active voters would not be a majority after the membership change")
	// ErrInvalidMember is returned for a membership change or a leadership
	// transfer whose member is unknown, already present, or of the wrong kind
	// (voter or learner).
	ErrInvalidMember = errors.New("raft: member is unknown, already present, or of the wrong kind (voter or learner)")
	// ErrLogLost reports that this member no longer has entries that it
	// acknowledged. Its driver must stop and rejoin under a new identifier.
	ErrLogLost = errors.New("raft: acknowledged log entries are missing")
	// ErrSnapshotIndex is returned for a snapshot at an index that is not
	// applied or not beyond the newest snapshot.
	ErrSnapshotIndex = errors.New("raft: snapshot index is not applied or not beyond the newest snapshot")
	// ErrInvalidMessage is returned for a message that no correct member sends.
	ErrInvalidMessage = errors.New("raft: malformed message")
)

// NotLeaderError is returned for a proposal at a member that is not the leader.
type NotLeaderError struct {
	// Leader is the identifier of the known leader, or zero.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "raft: not the leader; no leader is known"
	}
	return fmt.Sprintf("raft: not the leader; the leader is %016x", e.Leader)
}

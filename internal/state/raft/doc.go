// Package raft implements the Raft consensus algorithm for the replicated log
// as a deterministic state machine without I/O, goroutines, clock reads or
// global randomness. Its driver passes in ticks, messages and proposals and
// carries out the work that Ready returns.
//
// # Driver contract
//
// A Core is not safe for concurrent use. For each Ready the driver saves and
// restores Snapshot, saves HardState and Entries with a sync, sends Messages,
// applies Committed in order, and then calls Advance. Tick, Step and proposals
// are allowed between Ready and Advance; a second Ready is not. Messages may be
// lost, duplicated and reordered.
//
// If saving fails for lack of space, the driver drops the Ready without sending
// its messages and replaces the core by a new one from the saved state; the other
// members elect a new leader meanwhile. After any other failure to save, the
// process must stop.
//
// HardState is returned when term or vote changed, and also with new entries.
// A change of the commit index alone does not require a sync: a restarted
// member receives it again from the leader.
//
// # Membership
//
// A membership change takes effect when it is appended, on leaders and
// followers, and is reverted if its entry is truncated. The membership thus
// depends only on the log, and a member that is slow to apply entries cannot
// campaign under a membership that a majority has already replaced.
// Changes add or remove one voter at a time, so that majorities before and
// after a change overlap. A leader refuses a change until it has committed an
// entry of its own term and while an earlier change is uncommitted; without the
// first rule two leaders could each append a change to the same membership and
// commit it with disjoint majorities.
//
// # Identities
//
// A member that lost its log must not use its old identifier again. Step
// returns ErrLogLost if a message proves that the log is incomplete.
package raft

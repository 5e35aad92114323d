package raft

import (
	"errors"
	"fmt"
	"math"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Role is the Raft role of a member in the current term.
type Role int

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return fmt.Sprintf("role(%d)", int(r))
	}
}

// Config holds the parameters of a core.
type Config struct {
	// ID is the member's identifier; zero is not allowed.
	ID uint64
	// ElectionTicks is the minimum election timeout. Each timeout is drawn
	// from [ElectionTicks, 2*ElectionTicks) ticks.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// Rand returns a random number in [0, n).
	Rand func(n int) int
	// MaxBatchBytes bounds the entries of one append message, which holds at
	// least one entry of any size.
	MaxBatchBytes int
	// MaxInflightAppends bounds the unacknowledged appends to one follower.
	MaxInflightAppends int
	// SnapshotChunkBytes is the size of a snapshot chunk.
	SnapshotChunkBytes int

	// trailing is the number of entries before a snapshot that stay in memory;
	// zero means trailingEntries. Tests set a low number, so that followers
	// need snapshots.
	trailing uint64
	// faults disables single rules of the protocol; only tests set it.
	faults faults
}

// faults disables single rules of the protocol, so that tests can show that
// they detect the violation of each.
type faults struct {
	noPreVote              bool // campaign without a pre-vote, at once with a higher term
	commitOldTerm          bool // commit entries of earlier terms by counting replicas
	readWithoutAcks        bool // confirm reads without a heartbeat round
	readAnyTerm            bool // confirm reads before an entry of the term is committed
	noCheckQuorum          bool // keep leading without responses from a majority
	skipVoteSave           bool // do not save term and vote (HardState)
	truncateOnMatch        bool // truncate the log at each append, even if the entries match
	membershipBeforeCommit bool // change the membership before an entry of the term is committed
	sequentialContexts     bool // number forwarded reads from zero in each incarnation of a member
	keepReads              bool // keep pending reads when the leader changes
	overlappingMembership  bool // change the membership while a change is uncommitted
}

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("raft: member identifier is zero")
	case c.HeartbeatTicks < 1:
		return fmt.Errorf("raft: heartbeat ticks %d, want at least 1", c.HeartbeatTicks)
	case c.ElectionTicks <= c.HeartbeatTicks:
		return fmt.Errorf("raft: election ticks %d, want more than heartbeat ticks %d", c.ElectionTicks, c.HeartbeatTicks)
	case c.Rand == nil:
		return errors.New("raft: Rand is nil")
	case c.MaxBatchBytes < 1 || c.MaxInflightAppends < 1 || c.SnapshotChunkBytes < 1:
		return errors.New("raft: MaxBatchBytes, MaxInflightAppends and SnapshotChunkBytes must be positive")
	default:
		return nil
	}
}

// Core is the consensus state of one member.
type Core struct {
	cfg Config

	role   Role
	term   uint64
	vote   uint64
	leader uint64
	// savedTerm and savedVote are the term and vote that the driver has saved.
	savedTerm uint64
	savedVote uint64

	log     *memoryLog
	members membershipHistory

	// ticks counts all ticks since New; the elapsed times below restart with
	// certain events.
	ticks           uint64
	electionElapsed int
	electionTimeout int
	heartbeatTimer  int

	votes    map[uint64]bool
	progress map[uint64]*progress // leader only; includes the leader
	transfer leadershipTransfer
	reads    readQueue
	incoming incomingSnapshot

	messages   []*statev1.Message
	readStates []ReadState
}

// Ready is the pending work of the driver: save, then send, then apply, then
// call Advance.
type Ready struct {
	// HardState is nil if it need not be saved.
	HardState *statev1.HardState
	// Entries replace any saved entries from the first one's index on.
	Entries []*statev1.LogEntry
	// Snapshot is a completely received snapshot that replaces the log. The
	// driver saves and restores it before anything else.
	Snapshot *statev1.Snapshot
	// Messages may be sent once the fields above are saved.
	Messages []*statev1.Message
	// Committed holds the entries to apply, in order.
	Committed []*statev1.LogEntry
	// ReadStates holds confirmed reads. Each may be served once its index is
	// applied.
	ReadStates []ReadState
}

// ReadState confirms a read: a state machine that has applied Index reflects
// every entry that was committed when ReadIndex was called.
type ReadState struct {
	Context uint64
	Index   uint64
}

// New returns a core with the state that was recovered from disk. The state is
// empty for a new member that waits to be added as a learner. The first members
// of a fleet start from the snapshot that Bootstrap returns.
func New(c Config, hs *statev1.HardState, snap *statev1.Snapshot, entries []*statev1.LogEntry) (*Core, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	l, err := newMemoryLog(snap, entries)
	if err != nil {
		return nil, err
	}
	if c.trailing == 0 {
		c.trailing = trailingEntries
	}
	core := &Core{
		cfg:       c,
		term:      hs.GetTerm(),
		vote:      hs.GetVote(),
		savedTerm: hs.GetTerm(),
		savedVote: hs.GetVote(),
		log:       l,
		members:   newMembershipHistory(snap),
	}
	if core.term < l.lastTerm() {
		core.term, core.vote = l.lastTerm(), 0
	}
	for _, e := range entries {
		if err := core.members.append(e); err != nil {
			return nil, err
		}
	}
	if hs.GetCommit() > l.lastIndex() {
		return nil, fmt.Errorf("raft: saved commit index %d is beyond the last entry %d: %w", hs.GetCommit(), l.lastIndex(), ErrLogLost)
	}
	l.commitTo(hs.GetCommit())
	core.reads.lastWireContext = uint64(c.Rand(math.MaxInt32))<<31 + uint64(c.Rand(math.MaxInt32)) + 1
	if c.faults.sequentialContexts {
		core.reads.lastWireContext = 0
	}
	core.becomeFollower(core.term, 0)
	return core, nil
}

// Bootstrap returns the snapshot from which the first members of a fleet start.
// Data is the state machine's initial state. All of the members must start from
// the same snapshot.
func Bootstrap(members []*statev1.Member, data []byte) (*statev1.Snapshot, error) {
	m := &statev1.Membership{Members: members}
	if len(voters(m)) == 0 {
		return nil, ErrNoVoters
	}
	return &statev1.Snapshot{Index: 1, Term: 1, Membership: m, Data: data}, nil
}

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed < c.electionTimeout {
		return
	}
	if !c.mayCampaign() {
		c.becomeFollower(c.term, 0)
		return
	}
	c.resetElectionTimer()
	if c.cfg.faults.noPreVote {
		c.campaign(false)
		return
	}
	c.preCampaign()
}

// Propose appends an entry if this member is the leader. The entry is committed
// once it appears in Ready.Committed with the same index and term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.canPropose(); err != nil {
		return 0, 0, err
	}
	e := c.appendEntry(statev1.EntryType_ENTRY_TYPE_NORMAL, data)
	return e.GetIndex(), e.GetTerm(), nil
}

func (c *Core) canPropose() error {
	switch {
	case c.role != Leader:
		return &NotLeaderError{Leader: c.leader}
	case c.transfer.target != 0:
		return ErrTransferring
	case c.log.uncommittedBytes() >= maxUncommittedBytes:
		return ErrBusy
	default:
		return nil
	}
}

// HasReady reports whether Ready would return anything.
func (c *Core) HasReady() bool {
	return c.log.pendingSnapshot != nil ||
		c.hardStateChanged() ||
		len(c.messages) > 0 ||
		len(c.readStates) > 0 ||
		c.log.stable < c.log.lastIndex() ||
		c.log.applied < c.log.commit
}

func (c *Core) hardStateChanged() bool {
	if c.cfg.faults.skipVoteSave {
		return false
	}
	return c.term != c.savedTerm || c.vote != c.savedVote
}

// Ready returns the pending work. Messages and read states are returned only
// once.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.sendPending()
	}
	r := Ready{
		Entries:    c.log.unstable(),
		Snapshot:   c.log.pendingSnapshot,
		Messages:   c.messages,
		Committed:  c.log.unapplied(),
		ReadStates: c.readStates,
	}
	c.messages = nil
	c.readStates = nil
	if c.hardStateChanged() || len(r.Entries) > 0 && !c.cfg.faults.skipVoteSave {
		// This Ready holds all unsaved entries, so that a commit index is never
		// saved without the entries that it covers.
		r.HardState = &statev1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	}
	return r
}

// Advance marks the work of r as done.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm = r.HardState.GetTerm()
		c.savedVote = r.HardState.GetVote()
	}
	if r.Snapshot != nil {
		c.log.markSnapshotSaved(r.Snapshot)
	}
	if n := len(r.Entries); n > 0 {
		c.log.markSaved(r.Entries[n-1])
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].GetIndex())
	}
	if c.role == Leader {
		c.acknowledgeSelf()
	}
}

// send queues a message for the next Ready. A zero term is replaced by the
// current term.
func (c *Core) send(m *statev1.Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Status is a snapshot of the core's state for its driver.
type Status struct {
	ID        uint64
	Role      Role
	Term      uint64
	Leader    uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// SnapshotIndex is the index of the newest snapshot.
	SnapshotIndex uint64
	// Membership is the newest membership in the log. It is in effect from the
	// moment its entry is appended, committed or not.
	Membership *statev1.Membership
	// MembershipIndex is the index of the entry that set Membership. The change
	// is committed once Commit reaches it.
	MembershipIndex uint64
	// Progress describes the other members. Only the leader has it.
	Progress map[uint64]MemberProgress
	// TransferTarget is the member that leadership is being transferred to, or
	// zero.
	TransferTarget uint64
}

// MemberProgress is the replication progress of another member as the leader
// knows it.
type MemberProgress struct {
	Match uint64
	Next  uint64
	// Active is set if the member responded within the last election timeout.
	Active bool
	// SilentTicks is the number of ticks since the member's last response, since
	// it was added, or since this leader was elected, whichever is latest.
	SilentTicks int
	// SendingSnapshot is set while a snapshot is being sent to the member.
	SendingSnapshot bool
	Learner         bool
}

// Status returns the state of the core.
func (c *Core) Status() Status {
	s := Status{
		ID:              c.cfg.ID,
		Role:            c.role,
		Term:            c.term,
		Leader:          c.leader,
		Commit:          c.log.commit,
		Applied:         c.log.applied,
		LastIndex:       c.log.lastIndex(),
		SnapshotIndex:   c.log.snapshot.GetIndex(),
		Membership:      c.members.current(),
		MembershipIndex: c.members.index(),
		TransferTarget:  c.transfer.target,
	}
	if c.role != Leader {
		return s
	}
	s.Progress = make(map[uint64]MemberProgress, len(c.progress))
	for id, p := range c.progress {
		if id == c.cfg.ID {
			continue
		}
		s.Progress[id] = MemberProgress{
			Match:           p.match,
			Next:            p.next,
			Active:          c.isActive(p),
			SilentTicks:     int(c.ticks - p.lastActive),
			SendingSnapshot: p.state == stateSnapshot,
			Learner:         !c.isVoter(id),
		}
	}
	return s
}

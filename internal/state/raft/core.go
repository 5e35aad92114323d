package raft

import (
	"errors"
	"fmt"
	"math"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Role is a member's part in the current term.
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
	// ElectionTicks is n where an election starts after [n, 2n) ticks of silence.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// Rand returns a number in [0, n).
	Rand func(n int) int
	// MaxBatchBytes bounds the entries of one append message; one entry always
	// fits.
	MaxBatchBytes int
	// MaxInflightAppends bounds the unacknowledged appends to one follower.
	MaxInflightAppends int
	// SnapshotChunkBytes is the size of a snapshot chunk.
	SnapshotChunkBytes int

	// trailing is how many entries before a snapshot stay in memory; zero means
	// trailingEntries. Tests set it to make snapshots necessary.
	trailing uint64
	// faults breaks single rules; only tests set it.
	faults faults
}

// faults switches single rules off, so that tests can show that they fail
// without them.
type faults struct {
	noPreVote       bool // campaign at once, with a higher term
	commitOldTerm   bool // count replicas of entries of earlier terms
	readWithoutAcks bool // answer reads without a heartbeat round
	readAnyTerm     bool // answer reads before an entry of the term is committed
	noCheckQuorum   bool // lead without acknowledgements
	forgetVote      bool // do not save term and vote
	truncateOnMatch bool // cut the log at each append, matching or not
	membershipEarly bool // change the membership before an entry of the term is committed
	plainContexts   bool // number forwarded reads from zero in each incarnation
	keepReads       bool // keep reads when the leader changes
	membershipTwice bool // change the membership while a change is uncommitted
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
		return errors.New("raft: no random source")
	case c.MaxBatchBytes < 1 || c.MaxInflightAppends < 1 || c.SnapshotChunkBytes < 1:
		return errors.New("raft: batch, inflight and chunk limits must be positive")
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
	// savedTerm and savedVote are those of the last Ready that was advanced.
	savedTerm uint64
	savedVote uint64

	log     *memoryLog
	members membershipHistory

	// ticks counts all ticks; the other times count since an event.
	ticks           uint64
	electionElapsed int
	electionTimeout int
	heartbeatTimer  int

	votes    map[uint64]bool
	progress map[uint64]*progress // leader only; includes the leader
	transfer transfer
	reads    readQueue
	incoming incomingSnapshot

	messages   []*statev1.Message
	readStates []ReadState
}

// Ready is what the driver has to do: persist, then send, then apply, then
// call Advance.
type Ready struct {
	// HardState is nil if it need not be saved.
	HardState *statev1.HardState
	// Entries replace any saved entries from the first one's index on.
	Entries []*statev1.LogEntry
	// Snapshot was received and is complete: persist and restore it before
	// anything else. It replaces the log.
	Snapshot *statev1.Snapshot
	// Messages may be sent once the fields above are saved.
	Messages []*statev1.Message
	// Committed entries are to be applied in order.
	Committed []*statev1.LogEntry
	// ReadStates are reads that are done once their index is applied.
	ReadStates []ReadState
}

// ReadState confirms a read: state applied up to Index or later holds every
// entry that was committed when ReadIndex was called.
type ReadState struct {
	Context uint64
	Index   uint64
}

// New returns a core with the state that was recovered from disk. All of it is
// empty for a member that waits to be added as a learner. A fleet starts from a
// snapshot of Bootstrap.
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
		return nil, fmt.Errorf("raft: saved commit index %d, last entry %d: %w", hs.GetCommit(), l.lastIndex(), ErrLogLost)
	}
	l.commitTo(hs.GetCommit())
	core.reads.nextWire = uint64(c.Rand(math.MaxInt32))<<31 + uint64(c.Rand(math.MaxInt32)) + 1
	if c.faults.plainContexts {
		core.reads.nextWire = 0
	}
	core.becomeFollower(core.term, 0)
	return core, nil
}

// Bootstrap returns the snapshot from which the first members of a fleet start.
// Data is the state machine's initial state. Each of the members must start
// from the same snapshot.
func Bootstrap(members []*statev1.Member, data []byte) (*statev1.Snapshot, error) {
	m := &statev1.Membership{Members: members}
	if len(voters(m)) == 0 {
		return nil, ErrNoVoters
	}
	return &statev1.Snapshot{Index: 1, Term: 1, Membership: m, Data: data}, nil
}

// Tick tells the core that one tick of time has passed.
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

// Propose appends an entry if this member leads. The entry is committed once
// it appears in Ready.Committed with the same index and term.
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
	if c.cfg.faults.forgetVote {
		return false
	}
	return c.term != c.savedTerm || c.vote != c.savedVote
}

// Ready returns the pending work and takes the messages and read states out of
// the core.
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
	if c.hardStateChanged() || len(r.Entries) > 0 && !c.cfg.faults.forgetVote {
		// A commit index is saved only with the log that it refers to.
		r.HardState = &statev1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	}
	return r
}

// Advance tells the core that the work of r is done.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm = r.HardState.GetTerm()
		c.savedVote = r.HardState.GetVote()
	}
	if r.Snapshot != nil {
		c.log.snapshotSaved(r.Snapshot)
	}
	if n := len(r.Entries); n > 0 {
		c.log.saved(r.Entries[n-1])
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = max(c.log.applied, r.Committed[n-1].GetIndex())
	}
	if c.role == Leader {
		c.acknowledgeSelf()
	}
}

// send queues a message; its term is the core's term unless it is set.
func (c *Core) send(m *statev1.Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Status is a copy of the core's state for its driver.
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
	// Membership is the newest in the log; it counts from its append on.
	Membership *statev1.Membership
	// MembershipIndex is the index of the entry that set Membership. The change
	// is committed when Commit has reached it.
	MembershipIndex uint64
	// Progress of the other members, on the leader only.
	Progress map[uint64]MemberProgress
	// Transferring is the member that leadership is being handed to.
	Transferring uint64
}

// MemberProgress is what the leader knows of another member.
type MemberProgress struct {
	Match uint64
	Next  uint64
	// Active says that the member answered within the last election timeout.
	Active bool
	// Snapshot says that a snapshot is being sent to the member.
	Snapshot bool
	Learner  bool
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
		Transferring:    c.transfer.target,
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
			Match:    p.match,
			Next:     p.next,
			Active:   c.isActive(p),
			Snapshot: p.state == stateSnapshot,
			Learner:  !c.isVoter(id),
		}
	}
	return s
}

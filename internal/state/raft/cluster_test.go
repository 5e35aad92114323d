package raft

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/wal"
	"github.com/radishloom/radishloom/internal/state/wal/faultfs"
)

const electionTicks = 6

// variant selects rules of the protocol and of the driver contract that a cluster
// violates.
type variant struct {
	faults         faults
	sendBeforeSync bool
	keepIdentity   bool // a member whose disk was wiped returns under its old identifier
	historyOnly    bool // detect stale reads only by checkHistory
}

// member is one position of the cluster: a disk and, while it runs, a core. Its
// identifier changes when the disk is wiped.
type member struct {
	position int
	id       uint64
	fs       *faultfs.FS
	log      *wal.Log
	core     *Core
	frozen   bool
	// lostID is the identifier that was lost with the disk, until it is removed
	// from the membership.
	lostID uint64

	applied      uint64
	value        uint64
	hash         uint64
	pendingReady *Ready                // not saved yet
	writes       map[uint64]*operation // by index
	reads        map[uint64]*operation // by context
	waiting      []ReadState
}

func (m *member) running() bool { return m.core != nil && !m.frozen }

// operation is one call on the register that the log replicates.
type operation struct {
	write     bool
	value     uint64
	term      uint64
	floor     uint64 // highest commit index anywhere when a read was called
	call, ret int64
}

type queuedMessage struct {
	due int
	m   *statev1.Message
}

// testReporter is the part of *testing.T and *rapid.T that a cluster needs.
type testReporter interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// cluster runs members over a simulated network and simulated disks. It checks
// that all members agree on leaders, committed entries and states.
type cluster struct {
	t          testReporter
	rand       *rand.Rand
	variant    variant
	members    []*member
	byID       map[uint64]*member
	network    []queuedMessage
	blocked    map[[2]int]bool // links by the positions of sender and receiver
	loss       int             // percent
	maxDelay   int             // maximum, in ticks
	batchBytes int
	slowDisk   int // probability in percent that a write to the disk is still running at the next event
	// crashOnCommit is the probability in percent that a leader crashes when it
	// commits.
	crashOnCommit   int
	now             int
	clock           int64
	lastReadContext uint64

	committed    map[uint64]string // formatted entry by index
	stateHashes  map[uint64]uint64 // state hash by index
	leaderByTerm map[uint64]uint64 // identifier of the leader by term
	maxCommit    uint64
	history      []*operation
}

func drawCluster(t *rapid.T, voters int, v variant) *cluster {
	seed := rapid.Uint64().Draw(t, "network")
	return newCluster(t, seed, voters, rapid.SampledFrom([]int{1, 100}).Draw(t, "batch"), v)
}

func newCluster(t testReporter, seed uint64, voters, batch int, v variant) *cluster {
	c := &cluster{
		t: t, variant: v, rand: rand.New(rand.NewPCG(seed, 0)), batchBytes: batch,
		byID: map[uint64]*member{}, blocked: map[[2]int]bool{},
		committed: map[uint64]string{}, stateHashes: map[uint64]uint64{}, leaderByTerm: map[uint64]uint64{},
	}
	var first []*statev1.Member
	for i := range voters {
		m := &member{position: i, fs: faultfs.New(c.rand.IntN)}
		c.members = append(c.members, m)
		c.open(m)
		first = append(first, &statev1.Member{Id: m.id})
	}
	snap, err := Bootstrap(first, encodeState(0, 0))
	c.check(err)
	for _, m := range c.members {
		c.check(m.log.SaveSnapshot(snap))
		c.crash(m)
		c.restart(m)
	}
	return c
}

func (c *cluster) check(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

func encodeState(value, hash uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, value)
	// The padding makes the snapshot several chunks long, each with different
	// content.
	for i := range uint64(30) {
		b = binary.BigEndian.AppendUint64(b, hash+i)
	}
	return b
}

// open recovers a member's disk and starts its core.
func (c *cluster) open(m *member) {
	m.fs.FailSync(1 << 30)
	m.fs.SetFreeBytes(1 << 30)
	l, r, err := wal.Open(m.fs, "data/raft", wal.Options{SegmentBytes: 4096, Random: randReader{c.rand}})
	c.check(err)
	if m.id == 0 || !c.variant.keepIdentity {
		m.id = r.MemberID
	}
	m.log = l
	c.byID[m.id] = m
	cfg := Config{
		ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: 1, Rand: c.rand.IntN,
		MaxBatchBytes: c.batchBytes, MaxInflightAppends: 4, SnapshotChunkBytes: 100,
		trailing: 4, faults: c.variant.faults,
	}
	m.core, err = New(cfg, r.HardState, r.Snapshot, r.Entries)
	c.check(err)
	m.frozen = false
	m.writes, m.reads, m.waiting, m.pendingReady = map[uint64]*operation{}, map[uint64]*operation{}, nil, nil
	m.applied, m.value, m.hash = 0, 0, 0
	if r.Snapshot != nil {
		c.restore(m, r.Snapshot)
	}
}

func hexValue(v uint64) string {
	return fmt.Sprintf("%016x", v)
}

type randReader struct{ r *rand.Rand }

func (r randReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.r.Uint32())
	}
	return len(p), nil
}

func (c *cluster) crash(m *member) {
	if m.core == nil {
		return
	}
	m.core = nil
	m.fs.Crash()
}

func (c *cluster) restart(m *member) {
	if m.core == nil {
		c.open(m)
	}
}

// wipe erases a member's disk and restarts it, under a new identifier unless
// keepIdentity is set.
func (c *cluster) wipe(m *member) {
	c.crash(m)
	m.fs.Wipe()
	old := m.id
	c.open(m)
	if m.id != old {
		m.lostID = old
		delete(c.byID, old)
	}
}

// tick advances time by one tick at all running members and delivers the messages
// that are due.
func (c *cluster) tick() {
	c.now++
	for _, m := range c.members {
		if m.running() {
			m.core.Tick()
			c.runReady(m)
		}
	}
	c.deliver()
	c.repair()
}

// deliver delivers the messages that are due, including responses that become due
// at once. The number of passes is bounded.
func (c *cluster) deliver() {
	for range 20 {
		due := c.network
		c.network = nil
		progress := false
		for _, f := range due {
			to := c.byID[f.m.GetTo()]
			switch {
			case to == nil || to.core == nil:
			case f.due > c.now || to.frozen:
				c.network = append(c.network, f)
			default:
				progress = true
				err := to.core.Step(f.m)
				if err != nil && !(c.variant.keepIdentity && errors.Is(err, ErrLogLost)) {
					c.t.Fatalf("step %v: %v", f.m, err)
				}
				c.runReady(to)
			}
		}
		if !progress {
			return
		}
	}
}

func (c *cluster) send(from *member, messages []*statev1.Message) {
	for _, m := range messages {
		to := c.byID[m.GetTo()]
		if to == nil || c.blocked[[2]int{from.position, to.position}] || c.rand.IntN(100) < c.loss {
			continue
		}
		f := queuedMessage{due: c.now, m: m}
		if c.maxDelay > 0 {
			f.due += c.rand.IntN(c.maxDelay + 1)
		}
		c.network = append(c.network, f)
		if c.loss > 0 && c.rand.IntN(10) == 0 {
			c.network = append(c.network, queuedMessage{due: c.now + c.rand.IntN(3*c.maxDelay+1), m: m})
		}
	}
}

// runReady carries out a member's pending work. On a slow disk the work may be
// left to the member's next event.
func (c *cluster) runReady(m *member) {
	for m.core != nil {
		if m.pendingReady == nil {
			if !m.core.HasReady() {
				return
			}
			r := m.core.Ready()
			m.pendingReady = &r
			if c.rand.IntN(100) < c.slowDisk {
				return
			}
		}
		r := *m.pendingReady
		m.pendingReady = nil
		c.handleReady(m, r)
	}
}

// handleReady saves, sends and applies one Ready. A failed write crashes the
// member.
func (c *cluster) handleReady(m *member, r Ready) {
	if c.variant.sendBeforeSync {
		c.send(m, r.Messages)
	}
	if r.Snapshot != nil {
		if m.log.SaveSnapshot(r.Snapshot) != nil {
			c.crash(m)
			return
		}
		c.restore(m, r.Snapshot)
	}
	if m.log.Append(r.HardState, r.Entries) != nil {
		c.crash(m)
		return
	}
	if !c.variant.sendBeforeSync {
		c.send(m, r.Messages)
	}
	for _, e := range r.Committed {
		c.apply(m, e)
	}
	m.waiting = append(m.waiting, r.ReadStates...)
	m.core.Advance(r)
	c.finishReads(m)
	if c.checkLeader(m) && c.rand.IntN(100) < c.crashOnCommit {
		c.crash(m)
		return
	}
	if m.applied < m.core.Status().SnapshotIndex+12 {
		return
	}
	snap, err := m.core.CreateSnapshot(m.applied, encodeState(m.value, m.hash))
	c.check(err)
	if m.log.SaveSnapshot(snap) != nil {
		c.crash(m)
	}
}

// apply applies a committed entry and checks that all members have the same entry
// and the same state at its index.
func (c *cluster) apply(m *member, e *statev1.LogEntry) {
	if e.GetIndex() != m.applied+1 {
		c.t.Fatalf("member %x applies entry %d after %d", m.id, e.GetIndex(), m.applied)
	}
	m.applied = e.GetIndex()
	entry := fmt.Sprintf("%d %v %x", e.GetTerm(), e.GetType(), e.GetData())
	if old, ok := c.committed[e.GetIndex()]; ok && old != entry {
		c.t.Fatalf("committed entry %d changed from %q to %q at member %x", e.GetIndex(), old, entry, m.id)
	}
	c.committed[e.GetIndex()] = entry
	h := fnv.New64a()
	fmt.Fprintf(h, "%x %s", m.hash, entry)
	m.hash = h.Sum64()
	if e.GetType() == statev1.EntryType_ENTRY_TYPE_NORMAL && len(e.GetData()) == 8 {
		m.value = binary.BigEndian.Uint64(e.GetData())
	}
	c.checkState(m)
	if op := m.writes[e.GetIndex()]; op != nil {
		if op.term == e.GetTerm() {
			c.clock++
			op.ret = c.clock
		}
		delete(m.writes, e.GetIndex())
	}
}

func (c *cluster) checkState(m *member) {
	if old, ok := c.stateHashes[m.applied]; ok && old != m.hash {
		c.t.Fatalf("state at %d differs at member %x", m.applied, m.id)
	}
	c.stateHashes[m.applied] = m.hash
}

func (c *cluster) restore(m *member, s *statev1.Snapshot) {
	m.applied = s.GetIndex()
	m.value = binary.BigEndian.Uint64(s.GetData())
	m.hash = binary.BigEndian.Uint64(s.GetData()[8:])
	if !bytes.Equal(s.GetData(), encodeState(m.value, m.hash)) {
		c.t.Fatalf("the snapshot at %d is damaged at member %x", s.GetIndex(), m.id)
	}
	c.checkState(m)
}

func (c *cluster) finishReads(m *member) {
	m.waiting = slices.DeleteFunc(m.waiting, func(r ReadState) bool {
		if r.Index > m.applied {
			return false
		}
		op := m.reads[r.Context]
		if op == nil {
			return true
		}
		delete(m.reads, r.Context)
		if r.Index < op.floor && !c.variant.historyOnly {
			c.t.Fatalf("member %x confirms a read at %d, but %d was committed before", m.id, r.Index, op.floor)
		}
		c.clock++
		op.value, op.ret = m.value, c.clock
		c.history = append(c.history, op)
		return true
	})
}

// checkLeader checks that each term has at most one leader, and reports whether
// the member is the leader and just committed.
func (c *cluster) checkLeader(m *member) bool {
	s := m.core.Status()
	committed := s.Commit > c.maxCommit
	c.maxCommit = max(c.maxCommit, s.Commit)
	if s.Role != Leader {
		return false
	}
	if old, ok := c.leaderByTerm[s.Term]; ok && old != m.id {
		c.t.Fatalf("term %d has the leaders %x and %x", s.Term, old, m.id)
	}
	c.leaderByTerm[s.Term] = m.id
	return committed
}

// leader returns the running leader of the highest term, or nil.
func (c *cluster) leader() *member {
	var best *member
	for _, m := range c.members {
		if m.running() && m.core.Status().Role == Leader && (best == nil || m.core.Status().Term > best.core.Status().Term) {
			best = m
		}
	}
	return best
}

func (c *cluster) write(m *member) {
	if !m.running() {
		return
	}
	c.clock++
	op := &operation{write: true, value: uint64(c.clock), call: c.clock}
	index, term, err := m.core.Propose(binary.BigEndian.AppendUint64(nil, op.value))
	if err != nil {
		return
	}
	op.term = term
	m.writes[index] = op
	c.history = append(c.history, op)
}

func (c *cluster) read(m *member) {
	if !m.running() {
		return
	}
	c.clock++
	c.lastReadContext++
	m.reads[c.lastReadContext] = &operation{floor: c.maxCommit, call: c.clock}
	_ = m.core.ReadIndex(c.lastReadContext)
	c.runReady(m)
}

func (c *cluster) proposeMembership(m *member, op statev1.MembershipOp, id uint64) {
	if !m.running() {
		return
	}
	_, _, _ = m.core.ProposeMembership(&statev1.MembershipChange{Op: op, Member: &statev1.Member{Id: id}})
	c.runReady(m)
}

// repair takes the next step to replace each member that lost its disk: it adds
// the new identifier as a learner, promotes it, and removes the old identifier.
func (c *cluster) repair() {
	for _, m := range c.members {
		l := c.leader()
		if m.lostID == 0 || l == nil {
			continue
		}
		s := l.core.Status()
		x := findMember(s.Membership, m.id)
		switch {
		case s.MembershipIndex > s.Commit:
		case x == nil:
			c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_ADD_LEARNER, m.id)
		case x.GetLearner():
			c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_PROMOTE, m.id)
		case findMember(s.Membership, m.lostID) != nil:
			c.proposeMembership(l, statev1.MembershipOp_MEMBERSHIP_OP_REMOVE, m.lostID)
		default:
			m.lostID = 0
		}
	}
}

// repaired reports whether the cluster may lose another disk.
func (c *cluster) repaired() bool {
	return !slices.ContainsFunc(c.members, func(m *member) bool { return m.lostID != 0 })
}

// heal ends all faults.
func (c *cluster) heal() {
	c.blocked = map[[2]int]bool{}
	c.loss, c.maxDelay, c.slowDisk, c.crashOnCommit = 0, 0, 0, 0
	for _, m := range c.members {
		c.restart(m)
		m.frozen = false
		m.fs.FailSync(1 << 30)
		m.fs.SetFreeBytes(1 << 30)
	}
}

// mustProgress requires that, within a number of ticks, a new entry is committed,
// lost disks are repaired and all members of the membership have applied every
// committed entry.
func (c *cluster) mustProgress(ticks int) {
	start := c.maxCommit
	for range ticks {
		c.tick()
		if l := c.leader(); l != nil {
			if l.core.Status().LastIndex <= start+1 {
				c.write(l)
				c.runReady(l)
				c.deliver()
			}
			if c.maxCommit > start && c.repaired() && c.converged(l) {
				return
			}
		}
	}
	var all strings.Builder
	for _, m := range c.members {
		fmt.Fprintf(&all, "\nmember %x replaces %x, applied %d: %+v", m.id, m.lostID, m.applied, m.core.Status())
	}
	c.t.Fatalf("no progress beyond %d within %d ticks%s", start, ticks, all.String())
}

func (c *cluster) converged(l *member) bool {
	for _, x := range l.core.Status().Membership.GetMembers() {
		m := c.byID[x.GetId()]
		if m == nil || m.core == nil || m.applied < c.maxCommit {
			return false
		}
	}
	return true
}

package raft

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxSnapshotBytes bounds what a message can make a follower allocate.
const maxSnapshotBytes = 1 << 30

// outgoingSnapshot is a snapshot on its way to one follower. One chunk is
// unacknowledged at a time.
type outgoingSnapshot struct {
	snapshot *statev1.Snapshot
	offset   uint64
	// sentAt is the tick at which the chunk at offset was sent.
	sentAt uint64
}

// incomingSnapshot collects the chunks of one leader's snapshot.
type incomingSnapshot struct {
	term  uint64 // of the leader that sends it
	index uint64
	size  uint64
	data  []byte
}

// CreateSnapshot makes data the state up to an applied index and compacts the
// log. The driver saves the returned snapshot before it deletes log files.
func (c *Core) CreateSnapshot(index uint64, data []byte) (*statev1.Snapshot, error) {
	if index > c.log.applied || index <= c.log.snapshot.GetIndex() {
		return nil, fmt.Errorf("snapshot at %d, applied %d, newest %d: %w",
			index, c.log.applied, c.log.snapshot.GetIndex(), ErrSnapshotIndex)
	}
	term, _ := c.log.termOf(index)
	s := &statev1.Snapshot{Index: index, Term: term, Membership: c.members.at(index), Data: data}
	c.log.compact(s, c.cfg.trailing)
	c.members.compact(index)
	return s, nil
}

// startSnapshot begins to send the newest snapshot to an active follower.
func (c *Core) startSnapshot(id uint64, p *progress) {
	if !c.isActive(p) {
		return
	}
	p.state = stateSnapshot
	p.inflight = nil
	p.outgoing = outgoingSnapshot{snapshot: c.log.snapshot}
	c.sendChunk(id, p)
}

func (c *Core) sendChunk(id uint64, p *progress) {
	s := p.outgoing.snapshot
	size := uint64(len(s.GetData()))
	end := min(p.outgoing.offset+uint64(c.cfg.SnapshotChunkBytes), size)
	c.send(&statev1.Message{
		Type: statev1.MessageType_MESSAGE_TYPE_SNAPSHOT,
		To:   id,
		Snapshot: &statev1.Snapshot{
			Index:      s.GetIndex(),
			Term:       s.GetTerm(),
			Membership: s.GetMembership(),
			Data:       s.GetData()[p.outgoing.offset:end],
		},
		SnapshotOffset: p.outgoing.offset,
		SnapshotSize:   size,
	})
	p.outgoing.sentAt = c.ticks
}

// resendSnapshots repeats chunks that active followers did not answer for an
// election timeout.
func (c *Core) resendSnapshots() {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.state == stateSnapshot && c.isActive(p) && c.ticks-p.outgoing.sentAt >= uint64(c.cfg.ElectionTicks) {
			c.sendChunk(id, p)
		}
	}
}

// handleSnapshotResponse continues at the offset that the follower has. A
// follower that lost its part, for example by a restart, reports zero.
func (c *Core) handleSnapshotResponse(m *statev1.Message) {
	p := c.progress[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.lastActive = c.ticks
	size := uint64(len(p.outgoing.snapshot.GetData()))
	if p.state != stateSnapshot || m.GetIndex() != p.outgoing.snapshot.GetIndex() || m.GetSnapshotOffset() > size {
		return
	}
	if m.GetSnapshotOffset() == p.outgoing.offset {
		// A repeated answer. If the chunk at this offset is lost, it is sent
		// again after an election timeout.
		return
	}
	p.outgoing.offset = m.GetSnapshotOffset()
	c.sendChunk(m.GetFrom(), p)
}

func (c *Core) handleSnapshot(m *statev1.Message) error {
	s := m.GetSnapshot()
	chunk := uint64(len(s.GetData()))
	if s.GetIndex() == 0 || m.GetSnapshotSize() > maxSnapshotBytes || m.GetSnapshotOffset() > m.GetSnapshotSize() ||
		chunk > m.GetSnapshotSize()-m.GetSnapshotOffset() {
		return fmt.Errorf("snapshot chunk %d+%d of %d: %w", m.GetSnapshotOffset(), chunk, m.GetSnapshotSize(), ErrMessage)
	}
	if s.GetIndex() <= c.log.commit || c.log.matches(s.GetIndex(), s.GetTerm()) {
		// The log already has what the snapshot would bring.
		c.log.commitTo(s.GetIndex())
		c.incoming = incomingSnapshot{}
		c.acknowledgeSnapshot(m.GetFrom(), c.log.commit)
		return nil
	}
	in := &c.incoming
	if in.term != m.GetTerm() || in.index != s.GetIndex() || in.size != m.GetSnapshotSize() {
		*in = incomingSnapshot{term: m.GetTerm(), index: s.GetIndex(), size: m.GetSnapshotSize()}
	}
	if uint64(len(in.data)) == m.GetSnapshotOffset() {
		in.data = append(in.data, s.GetData()...)
	}
	if uint64(len(in.data)) < in.size {
		c.send(&statev1.Message{
			Type:           statev1.MessageType_MESSAGE_TYPE_SNAPSHOT_RESPONSE,
			To:             m.GetFrom(),
			Index:          in.index,
			SnapshotOffset: uint64(len(in.data)),
		})
		return nil
	}
	c.installSnapshot(&statev1.Snapshot{
		Index:      s.GetIndex(),
		Term:       s.GetTerm(),
		Membership: s.GetMembership(),
		Data:       in.data,
	})
	c.acknowledgeSnapshot(m.GetFrom(), s.GetIndex())
	return nil
}

// acknowledgeSnapshot answers a snapshot that is complete. The driver sends
// the answer after the snapshot is saved.
func (c *Core) acknowledgeSnapshot(to, index uint64) {
	c.send(&statev1.Message{
		Type:  statev1.MessageType_MESSAGE_TYPE_APPEND_RESPONSE,
		To:    to,
		Index: index,
	})
}

func (c *Core) installSnapshot(s *statev1.Snapshot) {
	c.incoming = incomingSnapshot{}
	c.log.restore(s)
	c.members = newMembershipHistory(s)
}

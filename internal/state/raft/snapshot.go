package raft

import (
	"fmt"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// maxSnapshotBytes bounds the memory that a snapshot message can make a follower
// allocate.
const maxSnapshotBytes = 1 << 30

// outgoingSnapshot is a snapshot that is being sent to one follower, one
// unacknowledged chunk at a time.
type outgoingSnapshot struct {
	snapshot *statev1.Snapshot
	offset   uint64
	// sentAt is the tick at which the chunk at offset was sent.
	sentAt uint64
}

// incomingSnapshot collects the chunks of one leader's snapshot.
type incomingSnapshot struct {
	term  uint64 // term of the leader that sends it
	index uint64
	size  uint64
	data  []byte
}

// CreateSnapshot compacts the log and returns a snapshot with data, the state of
// the state machine at an applied index. The driver saves the snapshot before it
// deletes log files.
func (c *Core) CreateSnapshot(index uint64, data []byte) (*statev1.Snapshot, error) {
	if index > c.log.applied || index <= c.log.snapshot.GetIndex() {
		return nil, fmt.Errorf("snapshot at index %d, applied index %d, newest snapshot %d: %w",
			index, c.log.applied, c.log.snapshot.GetIndex(), ErrSnapshotIndex)
	}
	term, _ := c.log.termOf(index)
	s := &statev1.Snapshot{Index: index, Term: term, Membership: c.members.at(index), Data: data}
	c.log.compact(s, c.cfg.trailing)
	c.members.compact(index)
	return s, nil
}

// startSnapshot starts to send the newest snapshot to a follower if it is active.
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

// resendSnapshots resends chunks that active followers have not acknowledged
// within an election timeout.
func (c *Core) resendSnapshots() {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.state == stateSnapshot && c.isActive(p) && c.ticks-p.outgoing.sentAt >= uint64(c.cfg.ElectionTicks) {
			c.sendChunk(id, p)
		}
	}
}

// handleSnapshotResponse continues at the offset that the follower has reached.
// A follower that lost the received chunks, for example in a restart, reports
// zero.
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
		// A duplicate response. If the chunk at this offset is lost,
		// resendSnapshots sends it again after an election timeout.
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
		return fmt.Errorf("snapshot chunk at offset %d with %d bytes, snapshot size %d: %w", m.GetSnapshotOffset(), chunk, m.GetSnapshotSize(), ErrInvalidMessage)
	}
	if s.GetIndex() <= c.log.commit || c.log.matches(s.GetIndex(), s.GetTerm()) {
		// The log already has the entries that the snapshot covers.
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

// acknowledgeSnapshot queues the response to a complete snapshot. The driver
// sends it after the snapshot is saved.
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

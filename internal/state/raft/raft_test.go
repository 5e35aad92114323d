package raft

import (
	"math/rand/v2"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

func testConfig(id uint64) Config {
	return Config{
		ID:                 id,
		ElectionTicks:      6,
		HeartbeatTicks:     1,
		Rand:               rand.New(rand.NewPCG(id, 0)).IntN,
		MaxBatchBytes:      1 << 16,
		MaxInflightAppends: 8,
		SnapshotChunkBytes: 1 << 10,
	}
}

// Guards against a single voter that waits for responses of other members and so
// never commits or confirms a read.
func TestSingleVoter(t *testing.T) {
	snap, err := Bootstrap([]*statev1.Member{{Id: 1}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(testConfig(1), nil, snap, nil)
	if err != nil {
		t.Fatal(err)
	}
	for c.Status().Role != Leader {
		c.Tick()
	}
	if _, _, err := c.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := c.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	reads := 0
	for c.HasReady() {
		r := c.Ready()
		reads += len(r.ReadStates)
		c.Advance(r)
	}
	if s := c.Status(); s.Applied != 3 || reads != 1 {
		t.Fatalf("applied %d and %d reads, want 3 and 1", s.Applied, reads)
	}
}

// follower returns a follower with entries of term 2 up to index 3, and a
// function that passes it an append of a leader of term 3 with entries of the
// given terms.
func follower(t *testing.T) (*Core, func(index, logTerm, commit uint64, terms ...uint64)) {
	snap, err := Bootstrap([]*statev1.Member{{Id: 1}, {Id: 2}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	old := []*statev1.LogEntry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}
	c, err := New(testConfig(1), &statev1.HardState{Term: 2}, snap, old)
	if err != nil {
		t.Fatal(err)
	}
	return c, func(index, logTerm, commit uint64, terms ...uint64) {
		m := &statev1.Message{
			Type: statev1.MessageType_MESSAGE_TYPE_APPEND, To: 1, From: 2, Term: 3,
			Index: index, LogTerm: logTerm, Commit: commit,
		}
		for i, term := range terms {
			m.Entries = append(m.Entries, &statev1.LogEntry{Index: index + uint64(i) + 1, Term: term})
		}
		if err := c.Step(m); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against marking entries as saved that replaced the saved entries between
// Ready and Advance.
func TestReplacedBeforeAdvance(t *testing.T) {
	c, step := follower(t)
	step(3, 2, 0, 2, 2)
	r := c.Ready()
	step(3, 2, 0, 3, 3)
	c.Advance(r)
	if got := c.Ready().Entries; len(got) != 2 || got[0].GetTerm() != 3 {
		t.Fatalf("entries to save: %v, want those of term 3", got)
	}
}

// Guards against a commit of entries beyond the append, which have not been
// compared with the leader's log.
func TestCommitBeyondAppend(t *testing.T) {
	c, step := follower(t)
	step(1, 1, 3, 2)
	if got := c.Status().Commit; got != 2 {
		t.Fatalf("commit index %d after an append up to 2", got)
	}
}

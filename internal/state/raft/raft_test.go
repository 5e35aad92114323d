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

// Guards against a single-voter group that waits for answers nobody sends.
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

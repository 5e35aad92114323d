package raft

import (
	"fmt"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/wal"
)

// BenchmarkProposals measures the throughput of 256-byte proposals, in batches
// of 64 as under load, with all cores in one process and no disk or network.
func BenchmarkProposals(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newBenchGroup(b, voters)
			data := make([]byte, 256)
			for i := 0; i < b.N; i++ {
				if _, _, err := g[1].Propose(data); err != nil {
					b.Fatal(err)
				}
				if i%64 == 63 || i == b.N-1 {
					g.deliverAll(b)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

type benchGroup map[uint64]*Core

func newBenchGroup(b *testing.B, voters int) benchGroup {
	var members []*statev1.Member
	for i := range voters {
		members = append(members, &statev1.Member{Id: uint64(i) + 1})
	}
	snap, err := Bootstrap(members, nil)
	if err != nil {
		b.Fatal(err)
	}
	g := benchGroup{}
	for _, m := range members {
		if g[m.GetId()], err = New(testConfig(m.GetId()), nil, snap, nil); err != nil {
			b.Fatal(err)
		}
	}
	for g[1].Status().Role != Leader {
		g[1].Tick()
		g.deliverAll(b)
	}
	return g
}

// deliverAll delivers messages until no core has pending work, and compacts the
// logs.
func (g benchGroup) deliverAll(b *testing.B) {
	for again := true; again; {
		again = false
		for id := uint64(1); id <= uint64(len(g)); id++ {
			for g[id].HasReady() {
				r := g[id].Ready()
				for _, m := range r.Messages {
					if err := g[m.GetTo()].Step(m); err != nil {
						b.Fatal(err)
					}
				}
				g[id].Advance(r)
				again = true
			}
		}
	}
	for _, c := range g {
		if c.log.applied >= c.log.snapshot.GetIndex()+4096 {
			if _, err := c.CreateSnapshot(c.log.applied, nil); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkRestart measures the recovery of a member after a number of
// configuration changes of 1 KiB, with a snapshot of 64 KiB after every 4,096
// entries as in the control role.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []uint64{10, 1000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			dir := b.TempDir()
			l, _, err := wal.Open(wal.OS{}, dir, wal.Options{})
			if err != nil {
				b.Fatal(err)
			}
			snap := &statev1.Snapshot{Index: 1, Term: 1, Data: make([]byte, 64<<10)}
			for i := uint64(1); i <= changes; i++ {
				if i%4096 == 1 {
					snap = &statev1.Snapshot{Index: i, Term: 1, Data: snap.GetData()}
					err = l.SaveSnapshot(snap)
				}
				if err == nil {
					err = l.Append(nil, []*statev1.LogEntry{{Term: 1, Index: i + 1, Data: make([]byte, 1024)}})
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			if err := l.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				l, r, err := wal.Open(wal.OS{}, dir, wal.Options{})
				if err != nil {
					b.Fatal(err)
				}
				c, err := New(testConfig(r.MemberID), r.HardState, r.Snapshot, r.Entries)
				if err != nil || c.Status().LastIndex != changes+1 {
					b.Fatal(err, c.Status().LastIndex)
				}
				if err := l.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

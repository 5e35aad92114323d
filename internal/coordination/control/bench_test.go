package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
	"github.com/radishloom/radishloom/internal/state/raft"
)

// newBenchCore returns the core of one member of a fleet of three.
func newBenchCore(b *testing.B) *raft.Core {
	b.Helper()
	var members []*statev1.Member
	for i := range uint64(3) {
		members = append(members, &statev1.Member{Id: 1<<63 + i, Vm: fmt.Sprintf("vm-north-%d-01", i), Address: "10.20.30.40:7443", DataCentre: "north-1"})
	}
	s, err := raft.Bootstrap(members, nil)
	if err != nil {
		b.Fatal(err)
	}
	core, err := raft.New((&loop{cfg: Config{Rand: rand.IntN}}).raftConfig(1<<63), nil, s, nil)
	if err != nil {
		b.Fatal(err)
	}
	return core
}

// BenchmarkSyncBytes reports the encoded sizes of the request and response of a
// Sync: idle, with the usage of 20 customers, and with a delta of one changed key.
func BenchmarkSyncBytes(b *testing.B) {
	l := &loop{machine: fleet.New(), core: newBenchCore(b)}
	c := &statev1.Config{Profiles: []*statev1.Profile{{Name: "chat", DeadlineMs: 30_000, SilenceMs: 5_000}}}
	for i := range 20 {
		c.Customers = append(c.Customers, &statev1.Customer{Name: fmt.Sprintf("customer-%02d", i), RateTokensPerSecond: 60_000, BurstTokens: 600_000})
	}
	change := func(ch *statev1.ConfigChange) {
		ch.AnyBase = true
		if r := l.machine.Apply(1, &statev1.Command{Op: &statev1.Command_ConfigChange{ConfigChange: ch}}); r.GetCode() != 0 {
			b.Fatal(r)
		}
	}
	change(&statev1.ConfigChange{Replace: c})
	change(&statev1.ConfigChange{Upserts: &statev1.Config{Keys: []*statev1.Key{{Id: "abcdefghijklmnop", Customer: "customer-01", SecretSha256: make([]byte, 32)}}}})

	idle := &peerv1.SyncRequest{Entry: &statev1.EntrySync{Session: &statev1.Session{Vm: "vm-north-1-07", Incarnation: "0123456789abcdef", DataCentre: "north-1"}}, ConfigVersion: 2, HoldMs: 1000}
	busy := proto.CloneOf(idle)
	busy.Entry.Seq = 1
	for i := range 20 {
		busy.Entry.Usage = append(busy.Entry.Usage, &statev1.TokenUsage{Customer: fmt.Sprintf("customer-%02d", i), Charged: 1500, Want: 3000})
	}
	behind := proto.CloneOf(idle)
	behind.ConfigVersion = 1
	for _, one := range []struct {
		name    string
		request *peerv1.SyncRequest
	}{{"Idle", idle}, {"Usage20", busy}, {"OneKeyChanged", behind}} {
		b.Run(one.name, func(b *testing.B) {
			r := l.machine.Apply(3, &statev1.Command{Op: &statev1.Command_SyncBatch{SyncBatch: &statev1.SyncBatch{Entries: []*statev1.EntrySync{one.request.GetEntry()}}}})
			var answer *peerv1.SyncResponse
			for b.Loop() {
				var err error
				if answer, err = l.syncResponse(one.request, r.GetSyncs()[0]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(one.request)), "request-bytes")
			b.ReportMetric(float64(proto.Size(answer)), "response-bytes")
		})
	}
}

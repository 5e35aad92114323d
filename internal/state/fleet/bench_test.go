package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Size of the target fleet.
const (
	benchModels    = 470
	benchEndpoints = 890
	benchKeys      = 10_000
	benchClaims    = 100_000
	benchEntries   = 420
	benchCustomers = 20
)

func largeDocument() *statev1.Config {
	c := &statev1.Config{Profiles: []*statev1.Profile{{Name: "chat", DeadlineMs: 30_000, SilenceMs: 5_000}}}
	for i := range benchCustomers {
		c.Customers = append(c.Customers, &statev1.Customer{Name: fmt.Sprintf("c%02d", i), RateTokensPerSecond: 60_000, BurstTokens: 600_000})
	}
	for i := range benchModels {
		c.Models = append(c.Models, &statev1.Model{Name: fmt.Sprintf("model-%03d", i), Version: "1", MemoryMb: 30_000})
		c.Routes = append(c.Routes, &statev1.Route{Name: fmt.Sprintf("model-%03d", i), Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: fmt.Sprintf("model-%03d", i), Profile: "chat"})
	}
	for i := range benchEndpoints {
		c.Endpoints = append(c.Endpoints, &statev1.Endpoint{
			Name: fmt.Sprintf("e%03d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1), MemoryMb: 640_000, Slots: 64, DataCentre: "dc1", Accelerators: 8, AcceleratorType: "a",
		})
	}
	for i := range benchKeys {
		c.Keys = append(c.Keys, &statev1.Key{Id: fmt.Sprintf("key%05d", i), Customer: c.Customers[i%benchCustomers].GetName(), SecretSha256: make([]byte, 32)})
	}
	return c
}

func largeMachine(b *testing.B) *Machine {
	b.Helper()
	m := New()
	if r := m.Apply(1, replace("", 0, largeDocument())); r.GetCode() != 0 {
		b.Fatal(r)
	}
	m.Apply(2, batchCommand(1, 0))
	m.Apply(3, &statev1.Command{Op: &statev1.Command_TakeOwnership{TakeOwnership: &statev1.TakeOwnership{Owner: 1}}})
	return m
}

func entrySession(i int) *statev1.Session {
	return &statev1.Session{Vm: fmt.Sprintf("vm%03d", i), Incarnation: "0123456789abcdef", DataCentre: "dc1"}
}

func batchCommand(seq, fleetMs uint64) *statev1.Command {
	batch := &statev1.SyncBatch{}
	for i := range benchEntries {
		e := &statev1.EntrySync{Session: entrySession(i), Seq: seq, ConfigVersion: 1}
		for k := range benchCustomers {
			e.Usage = append(e.Usage, &statev1.TokenUsage{Customer: fmt.Sprintf("c%02d", k), Charged: 100, Want: 140})
		}
		batch.Entries = append(batch.Entries, e)
	}
	return &statev1.Command{FleetTimeMs: fleetMs, Op: &statev1.Command_SyncBatch{SyncBatch: batch}}
}

func beginCommand(i int) *statev1.Command {
	return &statev1.Command{Op: &statev1.Command_ClaimBegin{ClaimBegin: &statev1.ClaimBegin{
		Key:        &statev1.ClaimKey{Customer: fmt.Sprintf("c%02d", i%benchCustomers), Route: "ledger", IdempotencyKey: fmt.Sprintf("key-%036d", i)},
		BodySha256: make([]byte, 32), Session: entrySession(i % benchEntries), Attempt: fmt.Sprintf("attempt-%08d", i),
	}}}
}

func finishCommand(i int, body []byte) *statev1.Command {
	begin := beginCommand(i).GetClaimBegin()
	return &statev1.Command{Op: &statev1.Command_ClaimFinish{ClaimFinish: &statev1.ClaimFinish{
		Key: begin.GetKey(), Attempt: begin.GetAttempt(), Outcome: statev1.ClaimOutcome_CLAIM_OUTCOME_RAN,
		Answer: &statev1.StoredAnswer{Status: 200, Body: body},
	}}}
}

// BenchmarkApply measures each command kind on a machine of the target size.
func BenchmarkApply(b *testing.B) {
	key := func(i int) *statev1.Config {
		return &statev1.Config{Keys: []*statev1.Key{{Id: fmt.Sprintf("key%05d", i%benchKeys), Customer: "c00", Note: fmt.Sprint(i), SecretSha256: make([]byte, 32)}}}
	}
	order := func(i int, kind statev1.OrderKind) *statev1.Command {
		return &statev1.Command{Op: &statev1.Command_OrderIssue{OrderIssue: &statev1.OrderIssue{
			FencingToken: 3, Endpoint: fmt.Sprintf("e%03d", i%benchEndpoints), Kind: kind, Model: "model-001", Version: "1", MemoryMb: 30_000, LifetimeMs: 30_000,
		}}}
	}
	cases := []struct {
		name    string
		command func(i int) *statev1.Command
	}{
		{"Stamp", func(i int) *statev1.Command {
			return &statev1.Command{FleetTimeMs: uint64(i), Op: &statev1.Command_Stamp{Stamp: &statev1.Stamp{}}}
		}},
		{"ConfigChange", func(i int) *statev1.Command { return upsert("", 0, true, key(i)) }},
		{"Rollback", func(i int) *statev1.Command { return rollbackTo("", uint64(i+1), uint64(i+1)) }},
		{"ClaimBegin", beginCommand},
		{"ClaimBeginFinish", func(i int) *statev1.Command {
			if i%2 == 0 {
				return beginCommand(i / 2)
			}
			return finishCommand(i/2, nil)
		}},
		{"TakeOwnership", func(int) *statev1.Command {
			return &statev1.Command{Op: &statev1.Command_TakeOwnership{TakeOwnership: &statev1.TakeOwnership{Owner: 1}}}
		}},
		{"OrderIssue", func(i int) *statev1.Command { return order(i, statev1.OrderKind_ORDER_KIND_UNLOAD_MODEL) }},
		{"OrderResolve", func(i int) *statev1.Command {
			return &statev1.Command{Op: &statev1.Command_OrderResolve{OrderResolve: &statev1.OrderResolve{OrderId: uint64(i), Outcome: statev1.OrderOutcome_ORDER_OUTCOME_DONE}}}
		}},
		{"EndpointObserved", func(i int) *statev1.Command {
			return &statev1.Command{Op: &statev1.Command_EndpointObserved{EndpointObserved: &statev1.EndpointObserved{
				FencingToken: 3, Endpoint: fmt.Sprintf("e%03d", i%benchEndpoints), AskedAtMs: uint64(i), Resident: []*statev1.ResidentModel{{Model: "model-001", Version: "1", MemoryMb: 30_000}},
			}}}
		}},
		{"SuspectReport", func(i int) *statev1.Command {
			return &statev1.Command{Op: &statev1.Command_SuspectReport{SuspectReport: &statev1.SuspectReport{Endpoint: "e001", Crash: fmt.Sprint(i), Fingerprints: [][]byte{fmt.Append(nil, i%100)}}}}
		}},
		{"SyncBatch420x20", func(i int) *statev1.Command { return batchCommand(uint64(i+2), uint64(i)*20) }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			m := largeMachine(b)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				b.StopTimer()
				command := c.command(i)
				b.StartTimer()
				m.Apply(uint64(i+4), command)
				i++
			}
		})
	}
}

// BenchmarkSyncBatchBytes reports the encoded size of a full batch and of its
// result.
func BenchmarkSyncBatchBytes(b *testing.B) {
	m := largeMachine(b)
	command := batchCommand(2, 20)
	var data []byte
	for b.Loop() {
		data, _ = proto.Marshal(command)
	}
	b.ReportMetric(float64(len(data)), "command-bytes")
	b.ReportMetric(float64(proto.Size(m.Apply(4, command))), "result-bytes")
}

// BenchmarkSnapshot reports the time and size of a snapshot at the target size,
// with empty and with small stored answers of claims.
func BenchmarkSnapshot(b *testing.B) {
	for _, body := range []int{0, 512} {
		m := largeMachine(b)
		for i := range benchClaims {
			m.Apply(uint64(2*i+4), beginCommand(i))
			m.Apply(uint64(2*i+5), finishCommand(i, make([]byte, body)))
		}
		if n, _ := m.ClaimStats(); n != benchClaims {
			b.Fatalf("%d claims", n)
		}
		var data []byte
		b.Run(fmt.Sprintf("Save/answer=%d", body), func(b *testing.B) {
			for b.Loop() {
				var err error
				if data, err = m.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("Capture/answer=%d", body), func(b *testing.B) {
			for b.Loop() {
				m.Capture()
			}
		})
		b.Run(fmt.Sprintf("Restore/answer=%d", body), func(b *testing.B) {
			for b.Loop() {
				if err := New().Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

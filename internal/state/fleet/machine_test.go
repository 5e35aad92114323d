package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func document() *statev1.Config {
	return &statev1.Config{
		Profiles:  []*statev1.Profile{{Name: "chat", DeadlineMs: 30_000, SilenceMs: 5_000}},
		Customers: []*statev1.Customer{{Name: "acme", RateTokensPerSecond: 100, BurstTokens: 5_000}},
		Models:    []*statev1.Model{{Name: "m1", MemoryMb: 30}, {Name: "m2", MemoryMb: 30}, {Name: "m3", MemoryMb: 40}},
		Endpoints: []*statev1.Endpoint{
			{Name: "e1", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "10.0.0.1:80", MemoryMb: 100, Slots: 8},
		},
		Routes: []*statev1.Route{{Name: "m1", Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: "m1", Profile: "chat"}},
	}
}

func replace(id string, base uint64, c *statev1.Config) *statev1.Command {
	return &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{BaseVersion: base, Replace: c}}}
}

func upsert(id string, base uint64, anyBase bool, up *statev1.Config, removed ...*statev1.ResourceName) *statev1.Command {
	return &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: base, AnyBase: anyBase, Upserts: up, Removed: removed,
	}}}
}

func rollbackTo(id string, base, to uint64) *statev1.Command {
	return &statev1.Command{RequestId: id, Op: &statev1.Command_Rollback{Rollback: &statev1.Rollback{BaseVersion: base, ToVersion: to}}}
}

func key(id string) *statev1.Key {
	return &statev1.Key{Id: id, Customer: "acme", SecretSha256: make([]byte, 32)}
}

func expect(t testing.TB, r *statev1.Result, code resultcode.Code, version uint64) {
	t.Helper()
	if r.GetCode() != uint32(code) || r.GetConfigVersion() != version {
		t.Fatalf("result %v, want code %d and version %d", r, code, version)
	}
}

// restored returns a machine that was restored from m's snapshot. The test fails
// if the snapshot of the restored machine differs.
func restored(t testing.TB, m *Machine) *Machine {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	other.faults = m.faults
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatal("the snapshot of the restored machine differs")
	}
	if !proto.Equal(m.Config(), other.Config()) {
		t.Fatalf("restored configuration %v, want %v", other.Config(), m.Config())
	}
	return other
}

// Guards against a rollback that restores a withdrawn key, and against a repeated
// request that is executed against the current version instead of getting its
// first result.
func TestRollbackKeepsPresentKeysAndRepeatsGetFirstAnswer(t *testing.T) {
	m := New()
	expect(t, m.Apply(1, replace("r1", 0, document())), resultcode.OK, 1)
	expect(t, m.Apply(2, upsert("r2", 0, true, &statev1.Config{Keys: []*statev1.Key{key("k1")}})), resultcode.OK, 2)
	gone := &statev1.ResourceName{Kind: statev1.ResourceKind_RESOURCE_KIND_KEY, Name: "k1"}
	expect(t, m.Apply(3, upsert("r3", 0, true, nil, gone)), resultcode.OK, 3)
	expect(t, m.Apply(4, upsert("r4", 0, true, nil, gone)), resultcode.ResourceUnknown, 3)
	expect(t, m.Apply(5, rollbackTo("r5", 3, 2)), resultcode.OK, 4)
	if n := len(m.Config().GetKeys()); n != 0 {
		t.Fatalf("%d keys after the rollback", n)
	}
	r := m.Apply(6, upsert("r6", 2, false, &statev1.Config{}))
	expect(t, r, resultcode.ConfigConflict, 4)
	if r.GetConflict().GetRequestId() != "r5" {
		t.Fatalf("conflict names %v, want request r5", r.GetConflict())
	}
	m = restored(t, m)
	expect(t, m.Apply(7, replace("r1", 0, document())), resultcode.OK, 1)
	expect(t, m.Apply(8, rollbackTo("r7", 4, 99)), resultcode.VersionUnknown, 4)
}

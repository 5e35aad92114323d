package config

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

func valid() *statev1.Config {
	return &statev1.Config{
		Profiles:  []*statev1.Profile{{Name: "chat", DeadlineMs: 30_000, SilenceMs: 5_000, FirstTokenMs: 1_800}},
		Customers: []*statev1.Customer{{Name: "acme", RateTokensPerSecond: 100, BurstTokens: 1_000}},
		Models: []*statev1.Model{
			{Name: "large", MemoryMb: 60, MinReplicas: 1},
			{Name: "small", MemoryMb: 30, MinReplicas: 2},
		},
		Endpoints: []*statev1.Endpoint{
			{Name: "e1", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "10.0.0.1:80", MemoryMb: 100, Slots: 8},
			{Name: "e2", Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "10.0.0.2:80", MemoryMb: 50, Slots: 8},
			{Name: "s1", Kind: statev1.EndpointKind_ENDPOINT_KIND_SERVICE, Address: "10.0.0.3:80", Pool: "ledger", Slots: 8},
		},
		Routes: []*statev1.Route{
			{Name: "ledger", Kind: statev1.RouteKind_ROUTE_KIND_SERVICE, Pool: "ledger", PathPrefix: "/ledger", Profile: "chat"},
			{Name: "small", Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: "small", Profile: "chat", Idempotent: true},
		},
		Keys: []*statev1.Key{{Id: "k1", Customer: "acme", SecretSha256: make([]byte, 32)}},
	}
}

// Guards against an invalid document that is accepted, and against a fault that
// names the wrong field.
func TestValidateNamesEveryFault(t *testing.T) {
	if faults := Validate(valid()); len(faults) != 0 {
		t.Fatalf("valid document has faults: %v", faults)
	}
	cases := []struct {
		field  string
		change func(c *statev1.Config)
	}{
		{"profiles[#0].name", func(c *statev1.Config) { c.Profiles[0].Name = "Chat" }},
		{"profiles[chat].deadline_ms", func(c *statev1.Config) { c.Profiles[0].DeadlineMs = 0 }},
		{"profiles[chat].silence_ms", func(c *statev1.Config) { c.Profiles[0].SilenceMs = 0 }},
		{"profiles[chat].reserved_share_percent", func(c *statev1.Config) { c.Profiles[0].ReservedSharePercent = 91 }},
		{"profiles[chat].name", func(c *statev1.Config) { c.Profiles = append(c.Profiles, c.Profiles[0]) }},
		{"customers[acme].rate_tokens_per_second", func(c *statev1.Config) { c.Customers[0].RateTokensPerSecond = 0 }},
		{"customers[acme].burst_tokens", func(c *statev1.Config) { c.Customers[0].BurstTokens = 0 }},
		{"customers[#0].name", func(c *statev1.Config) { c.Customers[0].Name = strings.Repeat("a", 65) }},
		{"models[large].memory_mb", func(c *statev1.Config) { c.Models[0].MemoryMb = 101 }},
		{"models[large].memory_mb", func(c *statev1.Config) { c.Models[0].AcceleratorTypes = []string{"other"} }},
		{"models[small].min_replicas", func(c *statev1.Config) { c.Models[1].MinReplicas = 3 }},
		{"models[small].min_replicas", func(c *statev1.Config) { c.Models[0].MemoryMb = 80 }},
		{"endpoints[e2].pinned_models", func(c *statev1.Config) { c.Endpoints[1].PinnedModels = []string{"large"} }},
		{"endpoints[e2].pinned_models", func(c *statev1.Config) {
			c.Endpoints[1].PinnedModels = []string{"small", "third"}
			c.Models = append(c.Models, &statev1.Model{Name: "third", MemoryMb: 30})
		}},
		{"endpoints[e1].address", func(c *statev1.Config) { c.Endpoints[0].Address = "host:80" }},
		{"endpoints[e2].address", func(c *statev1.Config) { c.Endpoints[1].Address = "10.0.0.1:80" }},
		{"endpoints[s1].pool", func(c *statev1.Config) { c.Endpoints[2].Pool = "" }},
		{"endpoints[e1].slots", func(c *statev1.Config) { c.Endpoints[0].Slots = 0 }},
		{"routes[ledger].pool", func(c *statev1.Config) { c.Routes[0].Pool = "none" }},
		{"routes[ledger].profile", func(c *statev1.Config) { c.Routes[0].Profile = "none" }},
		{"routes[small].model", func(c *statev1.Config) { c.Routes[1].Model = "none" }},
		{"routes[ledger].path_prefix", func(c *statev1.Config) { c.Routes[0].PathPrefix = "" }},
		{"routes[ledger].path_prefix", func(c *statev1.Config) { c.Routes[0].PathPrefix = "/" }},
		{"routes[ledger].path_prefix", func(c *statev1.Config) { c.Routes[0].PathPrefix = "/v1" }},
		{"routes[ledger].path_prefix", func(c *statev1.Config) { c.Routes[0].PathPrefix = "/healthz/x" }},
		{"routes[ledger].path_prefix", func(c *statev1.Config) { c.Routes[0].PathPrefix = "/a/../b" }},
		{"routes[small].path_prefix", func(c *statev1.Config) { c.Routes[1].PathPrefix = "/ledger/" }},
		{"routes[small].require_idempotency_key", func(c *statev1.Config) { c.Routes[1].RequireIdempotencyKey = true }},
		{"keys[k1].customer", func(c *statev1.Config) { c.Keys[0].Customer = "none" }},
		{"keys[k1].secret_sha256", func(c *statev1.Config) { c.Keys[0].SecretSha256 = nil }},
	}
	for _, tc := range cases {
		c := valid()
		tc.change(c)
		faults := Validate(c)
		if !slices.ContainsFunc(faults, func(f Fault) bool { return f.Field == tc.field && f.Allowed != "" }) {
			t.Errorf("want a fault in %s, got %v", tc.field, faults)
		}
	}
}

// Guards against deltas that lose a change, and against a document that differs
// between applying the changes one by one and applying their delta.
func TestDeltaLeadsToTheSameDocument(t *testing.T) {
	proptest.Check(t, 500, 1, func(t *rapid.T) {
		old := valid()
		old.Version = 1
		sortAll(old)
		next := old
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			next = ApplyChange(next, drawChange(t))
		}
		got, err := ApplyDelta(old, Delta(old, next))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, next) {
			t.Fatalf("delta leads to\n%v\nwant\n%v", got, next)
		}
		selected, err := ApplyDelta(old, DeltaForResources(next, old.GetVersion(), ChangedResources(Delta(old, next))))
		if err != nil || !proto.Equal(selected, next) {
			t.Fatalf("delta for the changed resources leads to %v (%v), want %v", selected, err, next)
		}
		if !proto.Equal(old, func() *statev1.Config { c := valid(); c.Version = 1; sortAll(c); return c }()) {
			t.Fatal("the old document was modified")
		}
	})
}

func drawChange(t *rapid.T) *statev1.ConfigChange {
	name := rapid.SampledFrom([]string{"a", "acme", "b", "large", "small", "e1", "k1"}).Draw(t, "name")
	ch := &statev1.ConfigChange{Upserts: &statev1.Config{}}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		ch.Upserts.Customers = []*statev1.Customer{{Name: name, BurstTokens: rapid.Uint64Range(1, 9).Draw(t, "burst")}}
	case 1:
		ch.Upserts.Models = []*statev1.Model{{Name: name, MemoryMb: rapid.Uint64Range(1, 9).Draw(t, "memory")}}
	case 2:
		ch.Upserts.Keys = []*statev1.Key{{Id: name, Customer: "acme", SecretSha256: []byte{1}}}
	case 3:
		ch.Upserts.Platform = &statev1.Platform{StoreParallelLoads: rapid.Uint32Range(1, 3).Draw(t, "loads")}
	case 4:
		kind := rapid.IntRange(1, 6).Draw(t, "resource")
		ch.Removed = []*statev1.ResourceName{{Kind: statev1.ResourceKind(kind), Name: name}}
	default:
		ch.Replace = valid()
		ch.Replace.Customers[0].Weight = rapid.Uint32Range(0, 3).Draw(t, "weight")
		ch.Replace.Keys = nil
		ch.Replace.Platform = &statev1.Platform{StoreParallelLoads: 7}
	}
	return ch
}

// Guards against keys that are lost when a document that was read without hashes
// or without keys is applied again.
func TestReplaceKeepsKeysAndHashes(t *testing.T) {
	old := valid()
	read := valid()
	read.Keys[0].SecretSha256 = nil
	got := ApplyChange(old, &statev1.ConfigChange{Replace: read})
	if len(got.GetKeys()) != 1 || len(got.GetKeys()[0].GetSecretSha256()) != 32 {
		t.Fatalf("keys after replace: %v", got.GetKeys())
	}
	read.Keys = nil
	if got := ApplyChange(old, &statev1.ConfigChange{Replace: read}); len(got.GetKeys()) != 1 {
		t.Fatalf("keys after replace without keys: %v", got.GetKeys())
	}
}

// Guards against a key that is accepted for a different secret, and against a
// route whose prefix matches only part of a path segment.
func TestIndex(t *testing.T) {
	secret, key, err := NewKey(bytes.NewReader(bytes.Repeat([]byte{7}, 64)), "acme", "note")
	if err != nil {
		t.Fatal(err)
	}
	c := valid()
	c.Keys = append(c.Keys, key)
	x := NewIndex(c)
	if got, ok := x.Authenticate(secret); !ok || got.GetId() != key.GetId() {
		t.Fatalf("key not accepted: %v %v", got, ok)
	}
	for _, wrong := range []string{"", "rl_", "rl_k1_", secret + "a", secret[:len(secret)-1], "rl_k1_x"} {
		if _, ok := x.Authenticate(wrong); ok {
			t.Errorf("key %q accepted", wrong)
		}
	}
	for path, want := range map[string]string{"/ledger": "ledger", "/ledger/": "ledger", "/ledger/a/b": "ledger", "/ledgers": "", "/": "", "": ""} {
		if got := x.RouteForPath(path).GetName(); got != want {
			t.Errorf("route for %q is %q, want %q", path, got, want)
		}
	}
	if x.RouteForModel("small").GetName() != "small" || x.RouteForModel("large") != nil || len(x.Engines()) != 2 || len(x.Pool("ledger")) != 1 {
		t.Error("look-up tables are incomplete")
	}
}

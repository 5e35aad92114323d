package fleet

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

// sent is an operator's command with its first result.
type sent struct {
	command *statev1.Command
	result  *statev1.Result
}

// operators simulates operators who change the configuration concurrently. The
// model is a map from versions to customer weights, the set of created keys and
// the set of withdrawn ones.
type operators struct {
	machine     *Machine
	reference   *Machine // applies the same log but is never restored from a snapshot
	index       uint64
	versions    map[uint64]map[string]uint32
	version     uint64
	keys        map[string]bool
	withdrawn   map[string]bool
	sent        []sent
	entryConfig *statev1.Config // the configuration of an entry, updated by deltas
}

func configProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		o := &operators{
			machine: New(), reference: New(),
			versions: map[uint64]map[string]uint32{0: {}},
			keys:     map[string]bool{}, withdrawn: map[string]bool{},
			entryConfig: &statev1.Config{},
		}
		o.machine.faults, o.reference.faults = f, f
		o.apply(t, replace("first", 0, document()), true, map[string]uint32{"acme": 0})
		for range 10 + proptest.IntN(t, 60) {
			o.step(t)
			o.check(t)
		}
		o.compareReference(t)
	}
}

// base returns the version that an operator bases a change on, often an outdated
// one.
func (o *operators) base(t *rapid.T) uint64 {
	return o.version - uint64(proptest.IntN(t, min(3, int(o.version)+1)))
}

func (o *operators) step(t *rapid.T) {
	id := fmt.Sprint("r", o.index)
	switch proptest.IntN(t, 8) {
	case 0, 1, 2:
		base := o.base(t)
		name := []string{"a", "b", "c"}[proptest.IntN(t, 3)]
		next := maps.Clone(o.versions[o.version])
		next[name] = uint32(o.index)
		up := &statev1.Config{Customers: []*statev1.Customer{{Name: name, RateTokensPerSecond: 1, BurstTokens: 1, Weight: uint32(o.index)}}}
		o.apply(t, upsert(id, base, false, up), base == o.version, next)
	case 3:
		base, to := o.base(t), 1+uint64(proptest.IntN(t, int(o.version)))
		o.apply(t, rollbackTo(id, base, to), base == o.version, o.versions[to])
	case 4:
		k := fmt.Sprint("k", o.index)
		o.apply(t, upsert(id, 0, true, &statev1.Config{Keys: []*statev1.Key{key(k)}}), true, o.versions[o.version])
		o.keys[k] = true
	case 5:
		for _, k := range o.machine.Config().GetKeys() {
			o.apply(t, upsert(id, 0, true, nil, &statev1.ResourceName{Kind: statev1.ResourceKind_RESOURCE_KIND_KEY, Name: k.GetId()}), true, o.versions[o.version])
			o.withdrawn[k.GetId()] = true
			break
		}
	case 6:
		s := o.sent[proptest.IntN(t, len(o.sent))]
		got := o.applyBoth(s.command)
		if got.GetIndex() != s.result.GetIndex() || got.GetCode() != s.result.GetCode() || got.GetConfigVersion() != s.result.GetConfigVersion() {
			t.Fatalf("repeated request %s: got result %v, want the first result %v", s.command.GetRequestId(), got, s.result)
		}
	default:
		data, err := o.machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		f := o.machine.faults
		o.machine = New()
		o.machine.faults = f
		if err := o.machine.Restore(data); err != nil {
			t.Fatal(err)
		}
	}
}

func (o *operators) applyBoth(c *statev1.Command) *statev1.Result {
	o.index++
	o.reference.Apply(o.index, c)
	return o.machine.Apply(o.index, c)
}

func (o *operators) apply(t *rapid.T, c *statev1.Command, succeeds bool, next map[string]uint32) {
	r := o.applyBoth(c)
	o.sent = append(o.sent, sent{c, r})
	switch {
	case succeeds && r.GetCode() == 0:
		o.version++
		o.versions[o.version] = next
	case succeeds || r.GetCode() != uint32(resultcode.ConfigConflict):
		t.Fatalf("%v: got result %v, want success: %v", c, r, succeeds)
	}
}

func weights(c *statev1.Config) map[string]uint32 {
	out := map[string]uint32{}
	for _, cu := range c.GetCustomers() {
		out[cu.GetName()] = cu.GetWeight()
	}
	return out
}

func (o *operators) check(t *rapid.T) {
	c := o.machine.Config()
	if c.GetVersion() != o.version || !maps.Equal(weights(c), o.versions[o.version]) {
		t.Fatalf("version %d with weights %v, want version %d with weights %v", c.GetVersion(), weights(c), o.version, o.versions[o.version])
	}
	present := map[string]bool{}
	for _, k := range c.GetKeys() {
		present[k.GetId()] = true
		if o.withdrawn[k.GetId()] {
			t.Fatalf("withdrawn key %s is present again", k.GetId())
		}
	}
	for k := range o.keys {
		if !present[k] && !o.withdrawn[k] {
			t.Fatalf("key %s is missing", k)
		}
	}
	if proptest.IntN(t, 3) == 0 {
		return // the entry misses this version
	}
	if d := o.machine.DeltaSince(o.entryConfig.GetVersion()); d != nil {
		next, err := config.ApplyDelta(o.entryConfig, d)
		if err != nil {
			t.Fatal(err)
		}
		o.entryConfig = next
	}
	if len(config.ChangedResources(config.Delta(o.entryConfig, c))) != 0 || o.entryConfig.GetVersion() != c.GetVersion() {
		t.Fatalf("configuration of the entry is %v, that of the machine %v", o.entryConfig, c)
	}
}

func (o *operators) compareReference(t *rapid.T) {
	a, errA := o.machine.Snapshot()
	b, errB := o.reference.Snapshot()
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Fatalf("the same log led to different snapshots (errors: %v, %v)", errA, errB)
	}
}

// Guards against lost or reverted changes, conflicting changes that both succeed,
// repeated requests that are executed twice, withdrawn keys that reappear, deltas
// that miss a change, and states that depend on restores.
func TestConfigChangesMatchModel(t *testing.T) {
	proptest.Check(t, 500, 1, configProperty(faults{}))
}

// Shows that the same property detects forgotten request identifiers.
func TestForgottenRequestsAreDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{forgetRequests: true}))
}

// Shows that the same property detects keys that a rollback restores.
func TestRestoredKeysAreDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{rollbackRestoresKeys: true}))
}

// Shows that the same property detects conflicting changes that both succeed.
func TestIgnoredBaseIsDetected(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{ignoreBase: true}))
}

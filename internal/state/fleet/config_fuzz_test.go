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

// sent is a command of an operator with the result that it got first.
type sent struct {
	command *statev1.Command
	result  *statev1.Result
}

// operators race on one machine. The oracle is a map of versions to customer
// weights, and the set of keys with those that were ever withdrawn.
type operators struct {
	machine   *Machine
	twin      *Machine // applies the same log without restores
	index     uint64
	versions  map[uint64]map[string]uint32
	version   uint64
	keys      map[string]bool
	withdrawn map[string]bool
	sent      []sent
	entry     *statev1.Config // an entry's copy, kept current by deltas
}

func configProperty(f faults) func(t *rapid.T) {
	return func(t *rapid.T) {
		o := &operators{
			machine: New(), twin: New(),
			versions: map[uint64]map[string]uint32{0: {}},
			keys:     map[string]bool{}, withdrawn: map[string]bool{},
			entry: &statev1.Config{},
		}
		o.machine.faults, o.twin.faults = f, f
		o.apply(t, replace("first", 0, document()), true, map[string]uint32{"acme": 0})
		for range 10 + proptest.Choose(t, 60) {
			o.step(t)
			o.check(t)
		}
		o.compareTwin(t)
	}
}

// base is the version that an operator works on: often not the last one.
func (o *operators) base(t *rapid.T) uint64 {
	return o.version - uint64(proptest.Choose(t, min(3, int(o.version)+1)))
}

func (o *operators) step(t *rapid.T) {
	id := fmt.Sprint("r", o.index)
	switch proptest.Choose(t, 8) {
	case 0, 1, 2:
		base := o.base(t)
		name := []string{"a", "b", "c"}[proptest.Choose(t, 3)]
		next := maps.Clone(o.versions[o.version])
		next[name] = uint32(o.index)
		up := &statev1.Config{Customers: []*statev1.Customer{{Name: name, RateTokensPerSecond: 1, BurstTokens: 1, Weight: uint32(o.index)}}}
		o.apply(t, upsert(id, base, false, up), base == o.version, next)
	case 3:
		base, to := o.base(t), 1+uint64(proptest.Choose(t, int(o.version)))
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
		s := o.sent[proptest.Choose(t, len(o.sent))]
		got := o.both(s.command)
		if got.GetIndex() != s.result.GetIndex() || got.GetCode() != s.result.GetCode() || got.GetConfigVersion() != s.result.GetConfigVersion() {
			t.Fatalf("the repeated request %s got %v, first it got %v", s.command.GetRequestId(), got, s.result)
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

func (o *operators) both(c *statev1.Command) *statev1.Result {
	o.index++
	o.twin.Apply(o.index, c)
	return o.machine.Apply(o.index, c)
}

func (o *operators) apply(t *rapid.T, c *statev1.Command, wins bool, next map[string]uint32) {
	r := o.both(c)
	o.sent = append(o.sent, sent{c, r})
	switch {
	case wins && r.GetCode() == 0:
		o.version++
		o.versions[o.version] = next
	case wins || r.GetCode() != uint32(resultcode.ConfigConflict):
		t.Fatalf("%v got %v; it should win: %v", c, r, wins)
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
		t.Fatalf("version %d with %v, want version %d with %v", c.GetVersion(), weights(c), o.version, o.versions[o.version])
	}
	present := map[string]bool{}
	for _, k := range c.GetKeys() {
		present[k.GetId()] = true
		if o.withdrawn[k.GetId()] {
			t.Fatalf("the withdrawn key %s is back", k.GetId())
		}
	}
	for k := range o.keys {
		if !present[k] && !o.withdrawn[k] {
			t.Fatalf("the key %s is gone", k)
		}
	}
	if proptest.Choose(t, 3) == 0 {
		return // the entry falls behind
	}
	if d := o.machine.DeltaSince(o.entry.GetVersion()); d != nil {
		next, err := config.ApplyDelta(o.entry, d)
		if err != nil {
			t.Fatal(err)
		}
		o.entry = next
	}
	if len(config.Changed(config.Delta(o.entry, c))) != 0 || o.entry.GetVersion() != c.GetVersion() {
		t.Fatalf("the entry has %v, the fleet %v", o.entry, c)
	}
}

func (o *operators) compareTwin(t *rapid.T) {
	a, errA := o.machine.Snapshot()
	b, errB := o.twin.Snapshot()
	if errA != nil || errB != nil || string(a) != string(b) {
		t.Fatalf("the same log leads to different states (%v, %v)", errA, errB)
	}
}

// Guards against lost or reverted changes, two winners of a race, repeated
// requests that act twice, withdrawn keys that return, deltas that miss a
// change, and states that depend on restores.
func TestConfigurationAgainstAMapOfVersions(t *testing.T) {
	proptest.Check(t, 500, 1, configProperty(faults{}))
}

// Shows that the same test notices a missing memory of request identifiers.
func TestForgottenRequestsAreNoticed(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{forgetRequests: true}))
}

// Shows that the same test notices keys that a rollback restores.
func TestRolledBackKeysAreNoticed(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{rollbackKeys: true}))
}

// Shows that the same test notices two winners of one race.
func TestIgnoredBaseIsNoticed(t *testing.T) {
	proptest.MustFail(t, 500, 1, configProperty(faults{ignoreBase: true}))
}

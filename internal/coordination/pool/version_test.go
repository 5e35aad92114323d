package pool

import (
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// versioned returns an engine with a software version.
func versioned(id, version string, slots int, models ...string) Endpoint {
	e := engineWith(id, slots, models...)
	e.SoftwareVersion = version
	return e
}

// versionQuery is a request for the model m that is restricted to a software version.
func versionQuery(version string) *Query {
	return &Query{Service: "models", Model: "m", PromptTokens: 1, HeldTokens: 1, SoftwareVersion: version}
}

// Guards against a broker that grants an endpoint of another software version than the
// one that a request is restricted to.
func TestGrantsHaveTheSoftwareVersion(t *testing.T) {
	f := newFleet(3, []Endpoint{versioned("e1", "v1", 4, "m"), versioned("e2", "v2", 4, "m"), versioned("e3", "v1.1", 4, "m")})
	for _, name := range f.names {
		var got Outcome
		f.request(name, versionQuery("v1"), time.Second, time.Second, func(o Outcome) { got = o })
		f.run(20 * time.Millisecond)
		if got.Grant == nil || got.Grant.EndpointID != "e1" {
			t.Fatalf("outcome %+v, want a slot at e1", got)
		}
	}
}

// Guards against a request that waits, or that loads its model somewhere, although no
// endpoint with the software version may be used.
func TestUnservedSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	leaving := versioned("e1", "v1", 4, "m")
	leaving.Leaving = true
	q := versionQuery("v1")
	q.Exclude = []string{"e1"}
	for name, test := range map[string]struct {
		query *Query
		list  []Endpoint
	}{
		"other version": {versionQuery("v1"), []Endpoint{versioned("e2", "v2", 4, "m")}},
		"no endpoint":   {versionQuery("v1"), nil},
		"leaving":       {versionQuery("v1"), []Endpoint{leaving, versioned("e2", "v2", 4, "m")}},
		"tried":         {q, []Endpoint{versioned("e1", "v1", 4, "m"), versioned("e2", "v2", 4, "m")}},
	} {
		f := newFleet(3, test.list)
		var got Outcome
		f.request(f.names[0], test.query, time.Second, 2*time.Second, func(o Outcome) { got = o })
		f.run(10 * time.Millisecond)
		if got.Refusal != resultcode.NoEndpoint || got.RetryAfter != 0 {
			t.Errorf("%s: outcome %+v, want an immediate refusal", name, got)
		}
		for _, e := range f.entries {
			if missing := e.TakeMissingModels(); len(missing) > 0 {
				t.Errorf("%s: asks to load %v", name, missing)
			}
		}
		explained := f.entries[f.names[0]].Explain(f.now, test.query, f.now+time.Second, f.now+2*time.Second, &Queue{})
		if explained.Refusal != resultcode.NoEndpoint {
			t.Errorf("%s: explained as %+v", name, explained)
		}
	}
}

// Guards against a stream that is given up, or continued elsewhere, because the only
// endpoint of its software version with its model or adapter has gone.
func TestMissingModelIsLoadedAtTheSoftwareVersion(t *testing.T) {
	adapter := versionQuery("v1")
	adapter.Adapter = "a"
	for name, test := range map[string]struct {
		query  *Query
		before Endpoint
		want   MissingModel
	}{
		"model":   {versionQuery("v1"), versioned("e1", "v1", 4, "n"), MissingModel{Service: "models", Model: "m", SoftwareVersion: "v1"}},
		"adapter": {adapter, versioned("e1", "v1", 4, "m"), MissingModel{Service: "models", Model: "m", Adapter: "a", SoftwareVersion: "v1"}},
	} {
		other := versioned("e2", "v2", 4, "m")
		other.Models[0].Adapters = []string{"a"}
		f := newFleet(3, []Endpoint{test.before, other})
		var got Outcome
		f.request(f.names[0], test.query, time.Second, 2*time.Second, func(o Outcome) { got = o })
		f.run(10 * time.Millisecond)
		var missing []MissingModel
		for _, e := range f.entries {
			missing = append(missing, e.TakeMissingModels()...)
		}
		if got != (Outcome{}) || len(missing) != 1 || missing[0] != test.want {
			t.Fatalf("%s: outcome %+v, asks to load %+v, want %+v", name, got, missing, test.want)
		}
		loaded := versioned("e1", "v1", 4, "m")
		loaded.Models[0].Adapters = []string{"a"}
		for _, e := range f.entries {
			e.SetEndpoints(f.now, []Endpoint{loaded, other})
		}
		f.run(20 * time.Millisecond)
		if got.Grant == nil || got.Grant.EndpointID != "e1" {
			t.Errorf("%s: outcome %+v, want a slot at e1", name, got)
		}
	}
}

// Guards against a request that waits for its model although no endpoint of its software
// version can load it, or although the model will be ready too late.
func TestModelThatIsNotLoadedInTimeAtTheSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	for want, set := range map[resultcode.Code]func(f *fleet, e *Entry, m MissingModel){
		resultcode.NoEndpoint:   func(f *fleet, e *Entry, m MissingModel) { e.SetUnavailable(f.now, m) },
		resultcode.ModelLoading: func(f *fleet, e *Entry, m MissingModel) { e.SetReady(f.now, m, f.now+5*time.Second) },
	} {
		f := newFleet(3, []Endpoint{versioned("e1", "v1", 4, "n"), versioned("e2", "v2", 4, "n")})
		var got, other Outcome
		f.request(f.names[0], versionQuery("v1"), time.Second, 2*time.Second, func(o Outcome) { got = o })
		f.request(f.names[0], versionQuery("v2"), time.Second, 2*time.Second, func(o Outcome) { other = o })
		f.run(10 * time.Millisecond)
		for _, e := range f.entries {
			for _, m := range e.TakeMissingModels() {
				if m.SoftwareVersion == "v1" {
					set(f, e, m)
				}
			}
		}
		for _, name := range f.names {
			f.sendMessages(name)
		}
		f.run(10 * time.Millisecond)
		if got.Refusal != want || other != (Outcome{}) {
			t.Errorf("outcomes %+v and, for another version, %+v; want refusal %d and none", got, other, want)
		}
	}
}

// Guards against a request that is refused although the endpoints of its version are
// only full.
func TestFullSoftwareVersionIsAwaited(t *testing.T) {
	f := newFleet(3, []Endpoint{versioned("e1", "v1", 1, "m"), versioned("e2", "v2", 8, "m")})
	var first, second Outcome
	f.request(f.names[0], versionQuery("v1"), time.Second, time.Second, func(o Outcome) { first = o })
	f.run(20 * time.Millisecond)
	f.request(f.names[1], versionQuery("v1"), time.Second, time.Second, func(o Outcome) { second = o })
	f.run(300 * time.Millisecond)
	if second != (Outcome{}) {
		t.Fatalf("outcome %+v, want the request to wait", second)
	}
	f.release(f.names[0], first.Grant, Succeeded)
	f.run(20 * time.Millisecond)
	if second.Grant == nil || second.Grant.EndpointID != "e1" {
		t.Fatalf("outcome %+v, want a slot at e1", second)
	}
}

// Guards against requests for the full endpoints of one version that keep others from
// the free endpoints of another.
func TestFullSoftwareVersionHoldsUpNoOther(t *testing.T) {
	f := newFleet(1, []Endpoint{versioned("e1", "v1", 1, "m"), versioned("e2", "v2", 8, "m")})
	for range 2 * maxFullPerDispatch {
		f.request(f.names[0], versionQuery("v1"), time.Second, time.Second, func(Outcome) {})
	}
	var got Outcome
	f.request(f.names[0], versionQuery("v2"), time.Second, time.Second, func(o Outcome) { got = o })
	f.run(20 * time.Millisecond)
	if got.Grant == nil {
		t.Fatalf("outcome %+v, want a slot at e2", got)
	}
}

// Guards against a stream of a plain service that goes on at another version, or that
// waits although no endpoint has its version.
func TestPlainServiceKeepsTheSoftwareVersion(t *testing.T) {
	endpoint := func(id, version string) Endpoint {
		return Endpoint{Endpoint: directory.Endpoint{ID: id, Service: "plain", Address: id + ":1", Slots: 1, SoftwareVersion: version}}
	}
	table, queue := NewTable(), &Queue{}
	table.Update([]Endpoint{endpoint("p1", "v1"), endpoint("p2", "v2")})
	granted, refused := map[string]int{}, 0
	request := func(version string) {
		queue.Add(&Waiter{
			Query: &Query{Service: "plain", SoftwareVersion: version}, Target: time.Second, Deadline: time.Second,
			Granted: func(r *Reservation) { granted[r.EndpointID]++ }, Refused: func() { refused++ },
		})
		queue.Dispatch(0, table)
		queue.RefuseFutile(0, table)
	}
	request("v2")
	request("v2")
	if granted["p2"] != 1 || granted["p1"] != 0 || refused != 0 || queue.Len() != 1 {
		t.Errorf("granted %v, %d refused, %d wait, want one at p2 and one that waits", granted, refused, queue.Len())
	}
	request("v3")
	if refused != 1 {
		t.Errorf("%d refused, want 1", refused)
	}
}

// Guards against requests for the endpoints of one version that count as a queue in front
// of those for another.
func TestWaitBehindOtherSoftwareVersionsIsNotExpected(t *testing.T) {
	table := NewTable()
	table.Update([]Endpoint{versioned("e1", "v1", 1, "m"), versioned("e2", "v2", 1, "m")})
	counts := newAheadCounts(0, table)
	for range 3 {
		counts.add(versionQuery("v1"))
	}
	counts.add(versionQuery(""))
	for version, want := range map[string]int{"v1": 4, "v2": 1, "": 1} {
		if got := counts.ahead(versionQuery(version)); got != want {
			t.Errorf("version %q: %d requests in front, want %d", version, got, want)
		}
	}
}

// Guards against a stream that is refused while the only endpoint of its version is ejected
// for a moment, although a new one waits in the same situation.
func TestEjectedEndpointOfTheSoftwareVersionIsAwaited(t *testing.T) {
	tried := versionQuery("v1")
	tried.Exclude = []string{"e3"}
	for name, q := range map[string]*Query{"first attempt": versionQuery("v1"), "another one failed": tried} {
		f := newFleet(3, []Endpoint{versioned("e1", "v1", 4, "m"), versioned("e2", "v2", 4, "m"), versioned("e3", "v1", 4, "m")})
		for _, e := range f.entries {
			e.Table.endpoints["e1"].ejectedUntil = f.now + ejectTime
			e.Table.endpoints["e3"].ejectedUntil = f.now + maxEjectTime
		}
		var got Outcome
		f.request(f.names[0], q, time.Second, 2*time.Second, func(o Outcome) { got = o })
		f.run(ejectTime / 2)
		if got != (Outcome{}) {
			t.Errorf("%s: outcome %+v, want the request to wait", name, got)
		}
		f.run(ejectTime)
		if got.Grant == nil || got.Grant.EndpointID != "e1" {
			t.Errorf("%s: outcome %+v, want a slot at e1", name, got)
		}
	}
}

// Guards against a stream that waits although all endpoints of its version are ejected for
// longer than it can wait.
func TestSoftwareVersionThatIsEjectedForLongIsRefusedAtOnce(t *testing.T) {
	f := newFleet(3, []Endpoint{versioned("e1", "v1", 4, "m"), versioned("e2", "v2", 4, "m")})
	for _, e := range f.entries {
		e.Table.endpoints["e1"].ejectedUntil = f.now + maxEjectTime
	}
	var got Outcome
	f.request(f.names[0], versionQuery("v1"), time.Second, 2*time.Second, func(o Outcome) { got = o })
	f.run(10 * time.Millisecond)
	if got.Refusal != resultcode.NoEndpoint || got.RetryAfter != 0 {
		t.Errorf("outcome %+v, want an immediate refusal", got)
	}
}

// Guards against a stream of a plain service that is refused while the only endpoint of its
// version is ejected for a moment, or that waits for one that is ejected for longer.
func TestEjectedPlainEndpointOfTheSoftwareVersionIsAwaited(t *testing.T) {
	table, queue := NewTable(), &Queue{}
	table.Update([]Endpoint{
		{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Slots: 1, SoftwareVersion: "v1"}},
		{Endpoint: directory.Endpoint{ID: "p2", Service: "plain", Address: "p2:1", Slots: 1, SoftwareVersion: "v2"}},
	})
	table.endpoints["p1"].ejectedUntil = ejectTime
	granted, refused := "", 0
	request := func(deadline time.Duration) {
		queue.Add(&Waiter{
			Query: &Query{Service: "plain", SoftwareVersion: "v1"}, Target: time.Second, Deadline: deadline,
			Granted: func(r *Reservation) { granted = r.EndpointID }, Refused: func() { refused++ },
		})
		queue.Dispatch(0, table)
		queue.RefuseFutile(0, table)
	}
	request(ejectTime / 2)
	if refused != 1 {
		t.Errorf("%d refused, want the request that cannot wait long enough", refused)
	}
	request(2 * ejectTime)
	queue.Dispatch(ejectTime, table)
	if granted != "p1" || refused != 1 {
		t.Errorf("granted %q, %d refused, want p1 after the ejection and no further refusal", granted, refused)
	}
}

// Guards against a request that waits until its deadline since its broker still keeps it
// from an endpoint that its entry avoided for a moment when the request arrived.
func TestWaitingRequestIsToldOnceAnEndpointIsNoLongerAvoided(t *testing.T) {
	for _, version := range []string{"", "v1"} {
		f := newFleet(3, []Endpoint{versioned("e1", "v1", 4, "m")})
		for _, e := range f.entries {
			e.client.avoidUntil["e1"] = f.now + avoidTime/2
		}
		var got Outcome
		f.request(f.names[0], versionQuery(version), time.Second, 2*time.Second, func(o Outcome) { got = o })
		f.run(avoidTime/2 + resendInterval + 50*time.Millisecond)
		if got.Grant == nil || got.Grant.EndpointID != "e1" {
			t.Errorf("version %q: outcome %+v, want a slot at e1", version, got)
		}
	}
}

package directory

import (
	"log/slog"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// warmUpFixture plays lists and reports to WarmUps.
type warmUpFixture struct {
	*testing.T
	w   *WarmUps
	now time.Duration
}

func warmUpService(name string) *catalog.Service {
	if name != "slow" {
		return &catalog.Service{Name: name}
	}
	return &catalog.Service{Name: name, WarmUpTime: 10 * time.Second, WarmUpRate: 2}
}

func (f *warmUpFixture) list(took time.Duration, list ...Endpoint) {
	f.w.SetList(f.now, f.now-took, list, warmUpService)
}

// check fails unless exactly the endpoints warm up after a time.
func (f *warmUpFixture) check(after time.Duration, ids ...string) {
	f.Helper()
	f.now += after
	f.w.Changes(f.now, warmUpService)
	if f.w.Count() != len(ids) {
		f.Errorf("at %v: %d endpoints warm up, want %v", f.now, f.w.Count(), ids)
	}
	for _, id := range ids {
		if !f.w.Warming(id) {
			f.Errorf("at %v: %s does not warm up", f.now, id)
		}
	}
}

func slowEndpoint(id string, left time.Duration) Endpoint {
	return Endpoint{ID: id, Service: "slow", Address: id + ":1", DataCentre: "a", WarmUpLeft: left}
}

// Guards against requests at full rate to an endpoint that has just started, and
// against limits where nothing warms up: each case is one way in which endpoints start.
func TestWarmUps(t *testing.T) {
	old := slowEndpoint("old", 0)
	cases := map[string]func(f *warmUpFixture){
		"a new leader trusts its first list": func(f *warmUpFixture) {
			f.list(0, old, slowEndpoint("new", 4*time.Second))
			f.check(0, "new")
			f.check(4 * time.Second)
		},
		"listed for the first time": func(f *warmUpFixture) {
			f.list(0, old)
			f.list(0, old, slowEndpoint("new", 0), Endpoint{ID: "fast", Service: "fast"})
			f.check(9999*time.Millisecond, "new")
			f.check(time.Millisecond)
		},
		"the time in the list counts for a new endpoint": func(f *warmUpFixture) {
			f.list(0, old)
			f.list(0, old, slowEndpoint("new", 3*time.Second))
			f.check(0, "new")
			f.check(3 * time.Second)
		},
		"back after a silence": func(f *warmUpFixture) {
			f.list(0, old)
			f.list(0)
			f.list(0, old)
			f.check(0, "old")
		},
		"same identifier at another address": func(f *warmUpFixture) {
			f.list(0, old)
			moved := old
			moved.Address = "other:1"
			f.list(0, moved)
			f.check(0, "old")
		},
		"restarted while the list lags": func(f *warmUpFixture) {
			f.list(0, old)
			f.w.SetStarted(f.now, "old", 100, warmUpService("slow"))
			f.check(0)
			f.w.SetStarted(f.now, "old", 200, warmUpService("slow"))
			f.list(0, old)
			f.check(9*time.Second, "old")
			f.check(time.Second)
		},
		"a data centre is back at once": func(f *warmUpFixture) {
			f.list(0, old)
			f.list(0, old, slowEndpoint("b1", 0), slowEndpoint("b2", 0), slowEndpoint("b3", time.Second))
			f.check(0, "b1", "b2", "b3")
		},
		"an evacuation ended": func(f *warmUpFixture) {
			other := slowEndpoint("other", 0)
			other.DataCentre = "b"
			f.list(0, old, other)
			f.now += time.Second
			f.w.EvacuationEnded(f.now, "a")
			f.check(0, "old")
			f.now += 3 * time.Second
			f.list(1001*time.Millisecond, old, other)
			f.check(0, "old")
			f.list(time.Second, old, other)
			f.check(0)
		},
		"an evacuation ended before the first list": func(f *warmUpFixture) {
			f.w.EvacuationEnded(f.now, "a")
			f.now += 2 * time.Second
			f.list(time.Second, old)
			f.check(0, "old")
			f.list(0, old)
			f.check(0)
		},
		"a service without a warm-up": func(f *warmUpFixture) {
			f.list(0, Endpoint{ID: "fast", Service: "fast", DataCentre: "a", WarmUpLeft: time.Minute})
			f.w.EvacuationEnded(f.now, "a")
			f.check(0)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) { play(&warmUpFixture{T: t, w: NewWarmUps(), now: time.Second}) })
	}
}

// Guards against entries that learn late that an endpoint warms up: the flag is part of
// the version that is published at once. Guards as well against a new version for each
// list while the remaining time passes.
func TestWarmUpIsPublishedAtOnceAndOnce(t *testing.T) {
	s := New(Config{Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler)})
	s.mu.index = catalog.NewIndex(&catalog.Catalog{Services: []catalog.Service{*warmUpService("slow")}})
	s.setTermLocked(1)
	left := time.Hour
	for range 3 {
		s.setList(1, []Endpoint{slowEndpoint("e1", left)}, 0, nil)
		left -= time.Second
	}
	u, err := s.mu.published.since(1, 1)
	if err != nil || len(u.changed) != 1 || !u.changed[0].GetWarmingUp() || u.version != 2 {
		t.Fatalf("published: %+v, %v", u, err)
	}
}

type noMetrics struct{}

func (noMetrics) EngineOrder(string)   {}
func (noMetrics) WarmingEndpoints(int) {}
func (noMetrics) RecordedStreams(int)  {}
func (noMetrics) StreamAnswer(string)  {}

// Guards against a planner that counts a slow engine as a whole replica, so that the
// demand for its models stays there, and against one that takes such models for
// unreachable.
func TestWarmingEngineIsAPartOfAReplica(t *testing.T) {
	p := NewPlanner(0)
	p.SetEndpoints([]Endpoint{{ID: "e1", Service: "slow", Address: "e1:1", Models: []Resident{{Model: "m"}}}})
	service := warmUpService("slow")
	service.Engine = &catalog.Engine{MemoryMB: 1000, Models: []catalog.Model{{Name: "m", MemoryMB: 100}}}
	p.setWarming("e1", true)
	p.RequestModel(0, "m", "")
	r := p.newPlan(0, service)
	if got := r.capacityOf("m"); got != warmingReplica {
		t.Errorf("%v replicas, want %v", got, warmingReplica)
	}
	if names := r.unreachable(); len(names) != 0 {
		t.Errorf("unreachable: %v", names)
	}
}

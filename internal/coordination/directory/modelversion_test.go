package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// versionEngine is an engine of a software version with its resident models.
type versionEngine struct {
	version string
	models  []string
}

// newVersionFleet returns a fleet whose engines are named a, b and so on and carry out
// every order.
func newVersionFleet(t rapid.TB, service *catalog.Service, engines ...versionEngine) *simFleet {
	f := &simFleet{t: t, service: service, planner: NewPlanner(0), now: 5 * time.Second}
	var list []Endpoint
	for i, in := range engines {
		e := &simEngine{id: fmt.Sprintf("%c", 'a'+i), models: map[string]map[string]bool{}, onDisk: map[string]bool{}, started: 1}
		for _, m := range in.models {
			e.models[m] = map[string]bool{}
		}
		f.engines = append(f.engines, e)
		list = append(list, Endpoint{ID: e.id, Service: "s", Address: e.id, Slots: 8, SoftwareVersion: in.version})
	}
	f.planner.SetEndpoints(list)
	return f
}

// run plans for a time and returns the orders. Each of the requests is repeated in every
// round.
func (f *simFleet) run(duration time.Duration, requests ...versionedModel) []string {
	var orders []string
	for end := f.now + duration; f.now < end; f.now += 100 * time.Millisecond {
		for _, e := range f.engines {
			f.finishLoad(e)
			f.planner.RecordReport(f.now, f.now, e.id, e.report())
		}
		for _, r := range requests {
			f.planner.RequestModel(f.now, r.model, r.version)
		}
		for _, d := range f.planner.Plan(f.now, f.service) {
			orders = append(orders, fmt.Sprintf("%s %s %s", d.Engine.ID, d.Order.Operation, d.Order.Model))
			f.planner.RecordOutcome(f.now, d, f.execute(f.engine(d.Engine.ID), d.Order), true, f.service)
		}
	}
	return orders
}

// demand records a request for each of the models.
func (f *simFleet) demand(models ...string) {
	for _, m := range models {
		f.planner.RecordDemand(f.now, "entry", m, 1, 3000, 0)
	}
}

func wantOrders(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("orders %q, want %q", got, want)
	}
}

// Guards against take-ups that are refused since the only engine of their version with the
// model has crashed, against loads at other versions, and against more than one load.
func TestModelIsLoadedOnceAtRequestedVersion(t *testing.T) {
	f := newVersionFleet(t, testService(4), versionEngine{"v2", []string{"m0"}}, versionEngine{"v2", []string{"m3"}}, versionEngine{"v1", []string{"m3"}}, versionEngine{"v1", []string{"m3"}})
	wantOrders(t, f.run(4*time.Second, versionedModel{"m0", "v1"}), "c load m0")
	starts := f.planner.TakeReplicaStarts()
	if len(starts) != 1 || starts[0].SoftwareVersion != "v1" || starts[0].RequestedVersion != "v1" {
		t.Errorf("replica starts for the log: %+v", starts)
	}
}

// Guards against two loads of a model that no engine holds and that is requested both for a
// version and for any.
func TestOneLoadServesRequestsWithAndWithoutVersion(t *testing.T) {
	for _, requests := range [][]versionedModel{{{"m0", ""}, {"m0", "v1"}}, {{"m0", "v1"}, {"m0", ""}}} {
		f := newVersionFleet(t, testService(4), versionEngine{"v2", []string{"m1"}}, versionEngine{"v1", []string{"m1"}}, versionEngine{"v2", []string{"m1"}})
		wantOrders(t, f.run(3*time.Second, requests...), "b load m0")
	}
}

// Guards against a request for a version that still causes a load after its caller has gone.
func TestRequestForVersionExpires(t *testing.T) {
	f := newVersionFleet(t, testService(4), versionEngine{"v2", []string{"m0"}}, versionEngine{"v1", []string{"m1"}})
	f.planner.RequestModel(f.now-requestWindow, "m0", "v1")
	wantOrders(t, f.run(2*time.Second))
}

// Guards against a load for a version that evicts the last replica of a model in demand, and
// against one that evicts nothing although another replica would remain.
func TestLoadForVersionKeepsLastReplicaInDemand(t *testing.T) {
	held := []versionEngine{{"v1", []string{"m0", "m1"}}, {"v2", []string{"m3"}}, {"v2", []string{"m0"}}}
	f := newVersionFleet(t, testService(4), held[:2]...)
	f.demand("m0", "m1")
	wantOrders(t, f.run(3*time.Second, versionedModel{"m3", "v1"}))
	f = newVersionFleet(t, testService(4), held...)
	f.demand("m0", "m1")
	wantOrders(t, f.run(3*time.Second, versionedModel{"m3", "v1"}), "a unload m0", "a load m3")
}

// Guards against two models that evict each other at the only engine of a version, so that
// neither is there when its take-ups arrive again.
func TestModelsOfVersionDoNotEvictEachOther(t *testing.T) {
	s := testService(3)
	s.Engine.MemoryMB = 100 // one model
	f := newVersionFleet(t, s, versionEngine{version: "v1"}, versionEngine{"v2", []string{"m0", "m1"}})
	wantOrders(t, f.run(time.Second, versionedModel{"m0", "v1"}), "a load m0")
	for range 10 {
		wantOrders(t, f.run(time.Second, versionedModel{"m1", "v1"}, versionedModel{"m0", "v1"}))
	}
	wantOrders(t, f.run(2*time.Second, versionedModel{"m1", "v1"}))
	wantOrders(t, f.run(7*time.Second, versionedModel{"m1", "v1"}), "a unload m0", "a load m1")
}

// Guards against take-ups of many models that load more from the weight store than its rate
// allows, or that leave most of the rate unused.
func TestLoadsForVersionKeepStoreRate(t *testing.T) {
	const models = 30
	all := versionEngine{version: "v2"}
	engines := make([]versionEngine, models, models+1)
	var requests []versionedModel
	for i := range engines {
		engines[i] = versionEngine{"v1", []string{"m0"}}
	}
	s := testService(models)
	for _, m := range s.Engine.Models {
		all.models = append(all.models, m.Name)
		requests = append(requests, versionedModel{m.Name, "v1"})
	}
	s.Engine.MemoryMB = 10_000
	f := newVersionFleet(t, s, append(engines, all)...)
	f.run(15*time.Second, requests...)
	f.checkStoreRate()
	if n := len(f.storeLoads); n < 12 {
		t.Errorf("%d loads in 15 s at a rate of 1 per second", n)
	}
}

// Guards against an estimate from an engine of another version, or from one that will not
// get the load.
func TestReadyTimeIsThatOfTheVersion(t *testing.T) {
	f := newVersionFleet(t, testService(2), versionEngine{"v1", []string{"m1"}}, versionEngine{"v1", []string{"m1"}}, versionEngine{"v2", []string{"m1"}})
	f.engines[2].onDisk["m0"] = true
	f.run(100 * time.Millisecond)
	check := func(version string, want time.Duration) {
		t.Helper()
		if got := f.planner.EstimateReady(f.now, f.service, "m0", version); got != want {
			t.Errorf("version %q: ready in %v, want %v", version, got, want)
		}
	}
	check("v1", drainDelay+2*time.Second)
	check("v2", drainDelay+time.Second)
	f.planner.engines["a"].report.OnDisk = []string{"m0"}
	check("v1", drainDelay+time.Second)
	b := f.planner.engines["b"]
	b.loading, b.orderInFlight = "m0", true
	check("v1", 2*time.Second)
	b.orderInFlight, b.loadReadyAt = false, f.now+1900*time.Millisecond
	check("v1", 1900*time.Millisecond)
	check("v2", drainDelay+time.Second)
	b.Leaving = true
	check("v1", drainDelay+time.Second)
}

// Guards against an adapter that is loaded, or found, at another version than requested.
func TestAdapterIsLoadedAtRequestedVersion(t *testing.T) {
	f := newVersionFleet(t, testService(2), versionEngine{"v2", []string{"m0"}}, versionEngine{"v1", []string{"m0"}})
	f.engines[0].models["m0"]["x"] = true
	f.run(100 * time.Millisecond)
	if d, on := f.planner.PlanAdapter(f.now, f.service, "m0", "x", "v1"); d == nil || d.Engine.ID != "b" || d.Order.Adapter != "x" {
		t.Errorf("order %+v, held by %q, want a load at b", d, on)
	}
	if d, on := f.planner.PlanAdapter(f.now, f.service, "m0", "x", "v2"); d != nil || on != "a" {
		t.Errorf("order %+v, held by %q, want held by a", d, on)
	}
	if d, on := f.planner.PlanAdapter(f.now, f.service, "m0", "x", "v3"); d != nil || on != "" {
		t.Errorf("order %+v, held by %q at a version without engines", d, on)
	}
}

// Guards against a take-up that waits until its deadline although no engine of its version
// can be used, and against one that is refused although the model or adapter can be loaded
// later.
func TestLoadForUnusableVersionIsRefusedAtOnce(t *testing.T) {
	s, _ := newVersionLeader(t, 1, nil)
	s.mu.index = catalog.NewIndex(&catalog.Catalog{Services: []catalog.Service{*testService(2)}})
	check := func(version, adapter string, want resultcode.Code) {
		t.Helper()
		_, err := s.Load(t.Context(), &peerv1.LoadRequest{Model: "m0", Adapter: adapter, SoftwareVersion: version})
		if got := resultcode.Of(err); got != want {
			t.Errorf("version %q, adapter %q: code %v, want %v", version, adapter, got, want)
		}
	}
	check("v1", "", resultcode.OK) // the endpoints are not known yet
	endpoints := endpointsAt("v1", "v2", "v3", "v4")
	endpoints[1].Leaving, endpoints[2].Evacuated = true, true
	s.mu.listed = true
	s.mu.planner.SetEndpoints(endpoints)
	s.mu.planner.RecordReport(time.Second, time.Second, "e3", Report{Leaving: true})
	check("v1", "", resultcode.OK)
	check("v1", "x", resultcode.ModelLoading)
	for _, version := range []string{"v2", "v3", "v4", "gone"} {
		check(version, "", resultcode.NoEndpoint)
		check(version, "x", resultcode.NoEndpoint)
	}
	check("", "", resultcode.OK)
	check("", "x", resultcode.NoEndpoint)
}

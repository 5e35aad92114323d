package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// resumableRoute returns a route of the host h to services with the same weights.
func resumableRoute(prefix string, services ...string) catalog.Route {
	r := catalog.Route{
		Name: "route " + prefix, Host: "h", Prefix: prefix, Kind: catalog.Streaming, Resumable: true,
		Timeout: 5 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2,
	}
	for _, s := range services {
		r.Splits = append(r.Splits, catalog.Split{Service: s, Weight: 1})
	}
	return r
}

// catalogOf returns a catalog with resumable routes to the services models and other, in
// place of that of the test catalog.
func catalogOf(version uint64, routes ...catalog.Route) *catalog.Index {
	c := testCatalog()
	c.Version = version
	other := c.Services[1]
	other.Name = "other"
	c.Services = append(c.Services, other)
	c.Routes = slices.DeleteFunc(c.Routes, func(r catalog.Route) bool { return r.Name == "resumed" })
	c.Routes = append(c.Routes, routes...)
	return catalog.NewIndex(c)
}

// Guards against streams that are refused for a minute after a catalog changed other
// routes of their host.
func TestStreamGoesOnAfterAChangeOfOtherRoutes(t *testing.T) {
	own := resumableRoute("/resumed/", "models")
	below := resumableRoute("/resumed/longer/", "other")
	changes := map[string][]catalog.Route{
		"added":        {own, resumableRoute("/more/", "models")},
		"moved":        {own, resumableRoute("/other/", "models")},
		"removed":      {own},
		"below":        {own, resumableRoute("/other/", "other"), below},
		"own and same": {own, resumableRoute("/resumed/x", "models")},
	}
	for name, routes := range changes {
		t.Run(name, func(t *testing.T) {
			leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
			withLeader(t, leader, versionedEndpoints("v1", "v2"), func(t *testing.T, e *ledEntry) {
				e.server.SetCatalog(catalogOf(2, own, resumableRoute("/other/", "other")))
				time.Sleep(2 * streamMemory)
				e.server.SetCatalog(catalogOf(3, routes...))
				if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
					t.Errorf("status %d, result %s", status, code)
				}
			})
		})
	}
}

// Guards against a history that forgets, or makes up, a service which a path was given.
func TestRouteHistoryNamesTheServicesOfAPath(t *testing.T) {
	h := routeHistory{}
	want := func(now time.Duration, path string, services ...string) {
		t.Helper()
		if got, complete := h.services(now, "H", path); !slices.Equal(got, services) || !complete {
			t.Errorf("at %v: services of %s are %v, complete: %t, want %v", now, path, got, complete, services)
		}
	}
	h.set(0, catalogOf(1, resumableRoute("/a/", "models")))
	want(0, "/a/x", "models")
	want(0, "/b/x")
	h.set(time.Second, catalogOf(2, resumableRoute("/a/", "models"), resumableRoute("/a/b/", "other")))
	want(time.Second, "/a/x", "models")
	want(time.Second, "/a/b/x", "models", "other")
	h.set(2*time.Second, catalogOf(3, resumableRoute("/a/", "models", "other")))
	want(2*time.Second, "/a/x", "models", "other")
	want(2*time.Second+streamMemory, "/a/b/x", "models", "other")
	h.set(3*time.Second, catalogOf(4, resumableRoute("/a/", "other")))
	want(3*time.Second, "/a/x", "models", "other")
	want(4*time.Second+streamMemory, "/a/x", "other")
}

// Guards against a history that grows with each change, and names the services of the
// changes that it has dropped as all there were.
func TestRouteHistoryIsBounded(t *testing.T) {
	h := routeHistory{}
	for i := range 3 * maxReplacedRoutes {
		h.set(0, catalogOf(uint64(i+1), resumableRoute(fmt.Sprint("/", i, "/"), "models")))
	}
	if _, complete := h.services(0, "h", "/0/"); complete || len(h.replaced) > maxReplacedRoutes {
		t.Errorf("complete: %t with %d earlier tables", complete, len(h.replaced))
	}
	if _, complete := h.services(streamMemory+1, "h", "/0/"); !complete {
		t.Error("still incomplete after the time of a stream")
	}
}

// Guards against an entry that started into a catalog, and asks the leader as if it knew
// that no earlier one gave the path to another service.
func TestEntryTellsTheLeaderWhichCatalogsItKnows(t *testing.T) {
	leader := &streamLeader{only: map[string]string{"models": "v1"}}
	withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		want := func(earlierUnknown bool, service string) {
			t.Helper()
			e.forget()
			e.do("/resumed/x", takeUp(), restOfStream())
			q := e.leader.firstQuery()
			if q.GetCatalogVersion() != e.server.Index().Version() || q.GetEarlierRoutesUnknown() != earlierUnknown || q.GetService() != service {
				t.Errorf("the leader is asked %v, want the service %q, earlier routes unknown %t", q, service, earlierUnknown)
			}
		}
		want(false, "models")
		e.startLate()
		want(true, "models")
		time.Sleep(streamMemory + 1)
		want(false, "models")
		e.server.SetCatalog(catalogOf(3, resumableRoute("/resumed/", "other")))
		want(false, "")
	})
}

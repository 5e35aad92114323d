package catalog

import (
	"slices"
	"testing"
)

func streamRoutesOf(routes ...Route) StreamRoutes {
	return NewStreamRoutes(NewIndex(&Catalog{Version: 1, Routes: routes}))
}

func streamRouteOf(host, prefix string, splits ...Split) Route {
	return Route{Host: host, Prefix: prefix, Kind: Streaming, Resumable: true, Splits: splits}
}

// Guards against a digest that hides a change of the services which begin the streams of a
// path, or that tells of one where there is none.
func TestDigestOfStreamRoutesTellsWhetherTheyDiffer(t *testing.T) {
	a, b := Split{"a", 1}, Split{"b", 1}
	route := streamRouteOf("h", "/x/", a)
	plain := route
	plain.Prefix, plain.Resumable = "/y/", false
	moved, split := streamRouteOf("h", "/x/", b), streamRouteOf("h", "/x/", a, b)
	base := streamRoutesOf(route, plain)
	for name, same := range map[string]StreamRoutes{
		"order":          streamRoutesOf(plain, route),
		"case of a host": streamRoutesOf(streamRouteOf("H", "/x/", a)),
		"weights":        streamRoutesOf(streamRouteOf("h", "/x/", Split{"a", 5}, Split{"b", 0})),
	} {
		if !base.Equal(same) || base.Digest() != same.Digest() {
			t.Errorf("%s: the same routes differ", name)
		}
	}
	for name, other := range map[string]StreamRoutes{
		"none":          streamRoutesOf(plain),
		"moved":         streamRoutesOf(moved),
		"split":         streamRoutesOf(split),
		"other host":    streamRoutesOf(streamRouteOf("h2", "/x/", a)),
		"longer prefix": streamRoutesOf(route, streamRouteOf("h", "/x/z/", b)),
		"joined names":  streamRoutesOf(streamRouteOf("h", "/x/", Split{`a" "b`, 1})),
	} {
		if base.Equal(other) || base.Digest() == other.Digest() {
			t.Errorf("%s: different routes are the same", name)
		}
	}
	if base.Digest() == 0 || streamRoutesOf().Digest() == 0 {
		t.Error("a digest is zero, which stands for an unknown one")
	}
}

// Guards against a path that is given to the services of a shorter prefix.
func TestLongestPrefixNamesTheServicesOfAStream(t *testing.T) {
	routes := streamRoutesOf(streamRouteOf("h", "/", Split{"c", 1}), streamRouteOf("h", "/x/", Split{"b", 1}, Split{"a", 1}, Split{"d", 0}))
	for path, want := range map[string][]string{"/x/1": {"a", "b"}, "/x": {"c"}} {
		if got := routes.Services("H", path); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", path, got, want)
		}
	}
}

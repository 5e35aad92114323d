package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// StreamRoutes has the routes with resumable streams of one catalog by host, the longest
// prefix first. It tells which services can begin a stream.
type StreamRoutes map[string][]streamRoute

// streamRoute is a route with resumable streams, and the services that begin them.
type streamRoute struct {
	prefix   string
	services []string // sorted
}

func (r streamRoute) equal(other streamRoute) bool {
	return r.prefix == other.prefix && slices.Equal(r.services, other.services)
}

// NewStreamRoutes returns the routes with resumable streams of the indexed catalog.
func NewStreamRoutes(x *Index) StreamRoutes {
	out := StreamRoutes{}
	for host, routes := range x.routes {
		for _, r := range routes {
			if services := r.Services(); r.Resumable && len(services) > 0 {
				out[host] = append(out[host], streamRoute{r.Prefix, services})
			}
		}
	}
	return out
}

// Services returns the sorted services that begin streams of a path.
func (t StreamRoutes) Services(host, path string) []string {
	for _, r := range t[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.services
		}
	}
	return nil
}

// Equal reports whether both catalogs give each path of streams to the same services.
func (t StreamRoutes) Equal(other StreamRoutes) bool {
	return maps.EqualFunc(t, other, func(a, b []streamRoute) bool { return slices.EqualFunc(a, b, streamRoute.equal) })
}

// Digest returns a hash that is the same for equal routes, and never zero.
func (t StreamRoutes) Digest() uint64 {
	h := xxhash.New()
	for _, host := range slices.Sorted(maps.Keys(t)) {
		for _, r := range t[host] {
			_, _ = fmt.Fprintf(h, "%q %q %q\n", host, r.prefix, r.services) // never fails
		}
	}
	return cmp.Or(h.Sum64(), 1)
}

package forward

import (
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// maxReplacedRoutes bounds the tables of a routeHistory. Each replaced one costs a lookup
// for a stream that is taken up.
const maxReplacedRoutes = 64

// replacedRoutes are the routes of an earlier catalog.
type replacedRoutes struct {
	routes catalog.StreamRoutes
	at     time.Duration // when they were replaced
}

// routeHistory has the routes with resumable streams of the current catalog, and those of
// the catalogs that were replaced within streamMemory: another service than that of the
// current route may have begun a stream which is taken up now.
type routeHistory struct {
	current  catalog.StreamRoutes
	replaced []replacedRoutes // the oldest first
	// forgotten is when the newest table beyond the bound was replaced, if hasForgotten.
	forgotten    time.Duration
	hasForgotten bool
	// start is when this entry got its first catalog. It knows no earlier ones.
	start time.Duration
}

// set records the routes of the next catalog. It reports whether they differ.
func (h *routeHistory) set(now time.Duration, x *catalog.Index) (changed bool) {
	next := catalog.NewStreamRoutes(x)
	first := h.current == nil
	if first {
		h.start = now
	}
	if !first && h.current.Equal(next) {
		return false
	}
	h.replaced = slices.DeleteFunc(h.replaced, func(r replacedRoutes) bool { return now-r.at > streamMemory })
	if !first {
		h.replaced = append(h.replaced, replacedRoutes{h.current, now})
	}
	if len(h.replaced) > maxReplacedRoutes {
		h.forgotten, h.hasForgotten = h.replaced[0].at, true
		h.replaced = slices.Delete(h.replaced, 0, 1)
	}
	h.current = next
	return true
}

// services returns the services that may have begun a stream of a path within
// streamMemory. complete is false if there may be others.
func (h *routeHistory) services(now time.Duration, host, path string) (services []string, complete bool) {
	out := slices.Clone(h.current.Services(host, path))
	for _, r := range h.replaced {
		if now-r.at <= streamMemory {
			out = append(out, r.routes.Services(host, path)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out), !h.hasForgotten || now-h.forgotten > streamMemory
}

// young reports whether there may have been catalogs within streamMemory that this entry
// does not know.
func (h *routeHistory) young(now time.Duration) bool { return now-h.start <= streamMemory }

// settled reports whether no catalog can have changed the routes within streamMemory.
func (h *routeHistory) settled(now time.Duration) bool {
	last := h.start
	if n := len(h.replaced); n > 0 {
		last = h.replaced[n-1].at
	}
	return now-last > streamMemory
}

// clear reports whether every entry, also one that starts now, can tell by the path which
// service began a stream.
func (h *routeHistory) clear(now time.Duration, host, path string) bool {
	return h.settled(now) && len(h.current.Services(host, path)) == 1
}

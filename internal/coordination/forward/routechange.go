package forward

import (
	"maps"
	"strings"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

// streamRoute identifies a service of a route with resumable streams.
type streamRoute struct{ prefix, service string }

// routeChanges has, by host, when the services of routes with resumable streams changed.
// For streamMemory after that, another service than that of a route may have begun a
// stream which is taken up there.
type routeChanges map[string]time.Duration

// note records the changes of a catalog against the one before, which is nil at the start.
func (r routeChanges) note(now time.Duration, before, after *catalog.Index) {
	if before == nil {
		return
	}
	maps.DeleteFunc(r, func(_ string, at time.Duration) bool { return now-at > streamMemory })
	old, current := streamRoutes(before), streamRoutes(after)
	for host, routes := range old {
		if !maps.Equal(routes, current[host]) {
			r[host] = now
		}
	}
	for host := range current {
		if old[host] == nil {
			r[host] = now
		}
	}
}

// recent reports whether services of a host's routes changed lately.
func (r routeChanges) recent(now time.Duration, host string) bool {
	at, changed := r[strings.ToLower(host)]
	return changed && now-at <= streamMemory
}

// streamRoutes returns, by host, the services of routes with resumable streams that begin
// streams.
func streamRoutes(x *catalog.Index) map[string]map[streamRoute]bool {
	out := map[string]map[streamRoute]bool{}
	for _, r := range x.Catalog().Routes {
		for _, split := range r.Splits {
			if !r.Resumable || split.Weight <= 0 {
				continue
			}
			host := strings.ToLower(r.Host)
			if out[host] == nil {
				out[host] = map[streamRoute]bool{}
			}
			out[host][streamRoute{r.Prefix, split.Service}] = true
		}
	}
	return out
}

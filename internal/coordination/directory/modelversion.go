package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// requestWindow is how long a request for a model counts; entries repeat it while
	// requests wait.
	requestWindow = time.Second
	// versionRequestMemory is how long a request for a model at a software version is
	// remembered. The load that it causes begins within that time, also after a drain.
	versionRequestMemory = 30 * time.Second
)

// versionedModel is a model on engines of a software version, which is empty for any
// version.
type versionedModel struct{ model, version string }

// requestVersion records a request for the model at a software version.
func (d *modelDemand) requestVersion(now time.Duration, version string) {
	if d.versionRequestedAt == nil {
		d.versionRequestedAt = map[string]time.Duration{}
	}
	maps.DeleteFunc(d.versionRequestedAt, func(_ string, at time.Duration) bool { return now-at >= versionRequestMemory })
	d.versionRequestedAt[version] = now
}

// hasVersion reports whether an engine has a software version; any engine has the empty
// one.
func (e *engine) hasVersion(version string) bool {
	return version == "" || e.SoftwareVersion == version
}

// VersionUsable reports whether any engine of a service that has a software version is
// neither leaving nor evacuated.
func (p *Planner) VersionUsable(s *catalog.Service, version string) bool {
	for _, e := range p.engines {
		if e.Service == s.Name && e.hasVersion(version) && !e.outOfUse() && !e.report.Leaving {
			return true
		}
	}
	return false
}

// requiredLoads lists the loads that are needed because no engine, or none of a requested
// software version, holds a model in demand or is about to load it. Those with the most
// demand come first. A load for a version comes before one of the same model for any
// version, which it also serves.
func (r *plan) requiredLoads() []versionedModel {
	var out []versionedModel
	for _, model := range r.unreachable() {
		out = append(out, versionedModel{model: model})
	}
	for model := range r.models {
		for version, at := range r.demand[model].versionRequestedAt {
			if l := (versionedModel{model, version}); r.now-at < requestWindow && !r.holds(l) {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, func(a, b versionedModel) int {
		return cmp.Or(r.compareDemand(a.model, b.model), cmp.Compare(b.version, a.version))
	})
	return out
}

// holds reports whether an engine holds the model at the version, or is about to load it.
func (r *plan) holds(l versionedModel) bool {
	return slices.ContainsFunc(r.pools[l.model], func(e *engine) bool {
		return l.version == "" || (e.SoftwareVersion == l.version && !e.report.Leaving)
	})
}

// keptForVersion reports whether an engine keeps a model since it was requested for the
// engine's software version: two models that are requested in turn for a version with room
// for one would otherwise evict each other before they are used.
func (r *plan) keptForVersion(e *engine, model string) bool {
	d := r.demand[model]
	if d == nil {
		return false
	}
	requestedAt, requested := d.versionRequestedAt[e.SoftwareVersion]
	return requested && r.now-max(requestedAt, e.loadAcceptedAt[model]) < r.loadTimeOf(model)+minReplicaUse
}

package fleet

import (
	"maps"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// putRecentVersions replaces the recent software versions. The first declaration of a term
// adds to those of earlier terms instead: its leader may not know all of them yet. One
// without services removes none, since a leader repeats it while it does not know whether
// it has begun its term. A declaration of an earlier term is refused, so that its leader
// does not rely on it.
func (m *Machine) putRecentVersions(p *statev1.PutRecentVersions) *statev1.Result {
	current := m.recentVersions.GetTerm()
	if p.GetTerm() < current {
		return refuse(resultcode.FencingTokenOld, "a leader of term %d has declared recent software versions, the term of this declaration is %d", current, p.GetTerm())
	}
	if p.GetTerm() > current || len(p.GetServices()) == 0 {
		p = &statev1.PutRecentVersions{Term: p.GetTerm(), Services: mergeVersions(m.recentVersions.GetServices(), p.GetServices())}
	}
	m.recentVersions = p
	return &statev1.Result{}
}

// mergeVersions returns the versions of both lists, ordered by name.
func mergeVersions(a, b []*statev1.ServiceVersions) []*statev1.ServiceVersions {
	services := map[string]map[string]bool{}
	for _, s := range slices.Concat(a, b) {
		versions := services[s.GetService()]
		if versions == nil {
			versions = map[string]bool{}
			services[s.GetService()] = versions
		}
		for _, v := range s.GetVersions() {
			versions[v] = true
		}
	}
	out := make([]*statev1.ServiceVersions, 0, len(services))
	for _, service := range slices.Sorted(maps.Keys(services)) {
		out = append(out, &statev1.ServiceVersions{Service: service, Versions: slices.Sorted(maps.Keys(services[service]))})
	}
	return out
}

// RecentVersions returns the software versions of endpoints that are, or lately were, in
// use. They are shared and never modified.
func (m *Machine) RecentVersions() []*statev1.ServiceVersions { return m.recentVersions.GetServices() }

package fleet

import statev1 "github.com/radishloom/radishloom/api/state/v1"

// putCatalog replaces the catalog by one with a higher version. A repeated or
// competing catalog of the same version is ignored.
func (m *Machine) putCatalog(p *statev1.PutCatalog) {
	c := p.GetCatalog()
	if c.GetVersion() <= m.catalog.GetVersion() {
		return
	}
	next := &statev1.StreamRoutes{Digest: p.GetStreamRoutes(), ChangedBy: c.GetVersion(), ChangedMs: m.now}
	switch {
	case m.catalog == nil:
		next.ChangedBy, next.ChangedMs = 0, 0
	case next.GetDigest() != 0 && next.GetDigest() == m.streamRoutes.GetDigest():
		next.ChangedBy, next.ChangedMs = m.streamRoutes.GetChangedBy(), m.streamRoutes.GetChangedMs()
	}
	m.catalog, m.streamRoutes = c, next
}

// restoreCatalog takes over the catalog of a snapshot. The routes with resumable streams of
// a catalog that an earlier release stored count as changed just now.
func (m *Machine) restoreCatalog(s *statev1.MachineSnapshot) {
	m.catalog, m.streamRoutes = s.GetCatalog(), s.GetStreamRoutes()
	if m.catalog != nil && m.streamRoutes == nil {
		m.streamRoutes = &statev1.StreamRoutes{ChangedBy: m.catalog.GetVersion(), ChangedMs: m.now}
	}
}

// Catalog returns the current catalog, which is shared and never modified, or nil
// if there is none yet.
func (m *Machine) Catalog() *statev1.Catalog { return m.catalog }

// StreamRoutes tells since when the routes with resumable streams are the present ones. It
// is shared and never modified, and nil without a catalog.
func (m *Machine) StreamRoutes() *statev1.StreamRoutes { return m.streamRoutes }

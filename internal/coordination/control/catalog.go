package control

import (
	"context"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/state/fleet"
)

// PutCatalog proposes a catalog. It returns nil once this catalog, or one with
// the same or a higher version, is committed.
func (s *Server) PutCatalog(ctx context.Context, p *statev1.PutCatalog) error {
	return s.proposeCommand(ctx, &statev1.Command{Op: &statev1.Command_PutCatalog{PutCatalog: p}})
}

// StreamRoutesChanged returns the version of the catalog that last replaced other routes
// with resumable streams, or zero, and how long ago that was. It fails on a VM that does
// not lead.
func (s *Server) StreamRoutesChanged(ctx context.Context) (catalogVersion uint64, ago time.Duration, err error) {
	_, err = callLoop(ctx, s, noLeader("the change of the routes was not read before the deadline"), func(done func(struct{}, error)) {
		if !s.loop.leading() {
			done(struct{}{}, noLeader("this control VM is not the leader"))
			return
		}
		routes := s.loop.machine.StreamRoutes()
		catalogVersion = routes.GetChangedBy()
		ago = time.Duration(s.loop.fleetTime()-routes.GetChangedMs()) * time.Millisecond
		done(struct{}{}, nil)
	})
	return catalogVersion, ago, err
}

// ReadCatalog returns the newest committed catalog.
func (s *Server) ReadCatalog(ctx context.Context) (*statev1.Catalog, error) {
	var c *statev1.Catalog
	err := s.Read(ctx, true, func(m *fleet.Machine) { c = m.Catalog() })
	if err != nil {
		return nil, err
	}
	if c == nil {
		return nil, noLeader("no catalog has been committed yet")
	}
	return c, nil
}

// Catalog returns the newest catalog that this member has applied, or nil, and
// the control VMs.
func (s *Server) Catalog(ctx context.Context) (c *statev1.Catalog, members []*statev1.Member, err error) {
	_, err = callLoop(ctx, s, noLeader("the catalog was not read before the deadline"), func(done func(struct{}, error)) {
		c = s.loop.machine.Catalog()
		members = s.loop.core.Status().Membership.GetMembers()
		done(struct{}{}, nil)
	})
	return c, members, err
}

// Leader returns the address of the leader that this member knows, or "" if it
// knows none, and the control VMs.
func (s *Server) Leader(ctx context.Context) (address string, members []*statev1.Member, err error) {
	_, err = callLoop(ctx, s, noLeader("the leader was not read before the deadline"), func(done func(struct{}, error)) {
		status := s.loop.core.Status()
		members = status.Membership.GetMembers()
		if m := s.loop.lookup(status.Leader); m != nil {
			address = m.GetAddress()
		}
		done(struct{}{}, nil)
	})
	return address, members, err
}

// CatalogChanged returns a channel that is closed when a catalog newer than the
// version may have been applied. Other changes can close the channel too, so the
// caller must check the version again.
func (s *Server) CatalogChanged(version uint64) <-chan struct{} {
	v, changed := s.changes.watch()
	if v.catalog > version {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return changed
}

// ConfirmOwnership returns the fencing token for the orders of this VM, after a
// quorum has confirmed that this VM leads. It fails on a VM that lost the
// ownership of the orders to another one while it was suspended or partitioned.
func (s *Server) ConfirmOwnership(ctx context.Context) (fencingToken uint64, err error) {
	owned := false
	err = s.Read(ctx, true, func(m *fleet.Machine) {
		owner, token, _ := m.Orders().Owner()
		owned = s.loop.leading() && owner == s.loop.member.GetId()
		fencingToken = token
	})
	if err == nil && !owned {
		err = noLeader("this control VM is not the leader that owns the orders")
	}
	return fencingToken, err
}

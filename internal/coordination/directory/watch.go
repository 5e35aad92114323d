package directory

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func notLeading() error {
	return resultcode.New(resultcode.NoLeader, "this control VM is not the leader")
}

// redirect returns the address of the leader to an entry. The entry may have no
// other way to find it, since its settings name only some of the control VMs.
func (s *Server) redirect(ctx context.Context) (*peerv1.WatchResponse, error) {
	leader, members, err := s.cfg.Leadership.Leader(ctx)
	if err != nil {
		return nil, err
	}
	return &peerv1.WatchResponse{NotLeading: true, Leader: leader, Members: members}, nil
}

// Watch records the report of an entry and answers once there is a change for the
// entry, at the latest after the hold time.
func (s *Server) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	if !s.recordReport(r) {
		return s.redirect(ctx)
	}
	holdTimer := time.NewTimer(time.Duration(r.GetHoldMs()) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		s.mu.Lock()
		term, version, changed, listed := s.mu.term, s.mu.version, s.mu.changed, s.mu.listed
		s.mu.Unlock()
		if term == 0 {
			return s.redirect(ctx)
		}
		catalogChanged := s.cfg.Leadership.CatalogChanged(r.GetCatalogVersion())
		hasChanges := listed && (r.GetEpoch() != term || r.GetEndpointsVersion() != version)
		select {
		case <-catalogChanged:
			hasChanges = true
		default:
		}
		if hasChanges {
			return s.response(ctx, r)
		}
		select {
		case <-changed:
		case <-catalogChanged:
		case <-holdTimer.C:
			return s.response(ctx, r)
		case <-ctx.Done():
			return nil, notLeading()
		}
	}
}

// recordReport records what an entry reports. It returns false if another VM leads.
func (s *Server) recordReport(r *peerv1.WatchRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return false
	}
	entry, now := r.GetEntry().GetVm(), s.now()
	usage := make(map[string]Usage, len(r.GetUsage()))
	for _, u := range r.GetUsage() {
		usage[u.GetCustomer()] = Usage{Requested: float64(u.GetTokens()), Spent: float64(u.GetSpent())}
	}
	s.mu.shares.RecordUsage(now, entry, usage)
	s.mu.shares.SetAddress(entry, r.GetLoadAddress())
	reported := make(map[string]bool, len(r.GetDemand()))
	for _, d := range r.GetDemand() {
		reported[d.GetModel()] = true
		s.mu.planner.RecordDemand(now, entry, d.GetModel(), int(d.GetRequests()), int(d.GetTokens()), int(d.GetWaiting()))
	}
	s.mu.planner.ClearWaiting(entry, reported)
	for _, l := range r.GetLost() {
		s.mu.suspects.RecordLoss(now, l.GetFingerprint(), l.GetEndpoint())
	}
	return true
}

func (s *Server) response(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	c, members, err := s.cfg.Leadership.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	out := &peerv1.WatchResponse{Members: members}
	if c.GetVersion() > r.GetCatalogVersion() {
		out.Catalog = c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return nil, notLeading()
	}
	out.Suspects = s.mu.suspects.List(s.now())
	out.LiveEntries = uint32(s.mu.shares.EntryCount())
	if peers, version := s.mu.shares.Addresses(s.now()); version+s.mu.term<<32 != r.GetPeersVersion() {
		out.Peers, out.PeersVersion = peers, version+s.mu.term<<32
	}
	if s.mu.index != nil {
		customers := s.mu.index.Catalog().Customers
		for name, share := range s.mu.shares.ForEntry(s.now(), r.GetEntry().GetVm(), customers) {
			out.Shares = append(out.Shares, &peerv1.CustomerShare{Customer: name, Millionths: uint32(share.Fraction * 1e6), Level: int64(share.Level)})
		}
	}
	if !s.mu.listed {
		return out, nil
	}
	return out, s.addEndpointsLocked(out, r)
}

// addEndpointsLocked adds the changes of the list since the version that the entry
// has, or the whole list if they are not known any more.
func (s *Server) addEndpointsLocked(out *peerv1.WatchResponse, r *peerv1.WatchRequest) error {
	out.Epoch, out.EndpointsVersion = s.mu.term, s.mu.version
	known := r.GetEndpointsVersion()
	if r.GetEpoch() == s.mu.term && known >= s.mu.minDeltaVersion {
		out.Partial = true
		if known != s.mu.version {
			out.Endpoints, out.Gone = s.changedSinceLocked(known), s.removedSinceLocked(known)
		}
		return nil
	}
	p, err := s.packLocked()
	out.EndpointsVersion, out.Packed = p.version, p.data
	return err
}

package directory

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func notLeading() error {
	return resultcode.New(resultcode.NoLeader, "this control VM does not lead")
}

// elsewhere tells an entry who leads. The entry may know no other way: its
// settings name some of the control VMs only.
func (s *Server) elsewhere(ctx context.Context) (*peerv1.WatchResponse, error) {
	leader, members, err := s.cfg.Leadership.Leader(ctx)
	if err != nil {
		return nil, err
	}
	return &peerv1.WatchResponse{NotLeading: true, Leader: leader, Members: members}, nil
}

// Watch answers an entry once there is something new for it.
func (s *Server) Watch(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	if !s.report(r) {
		return s.elsewhere(ctx)
	}
	hold := time.NewTimer(time.Duration(r.GetHoldMs()) * time.Millisecond)
	defer hold.Stop()
	for {
		s.mu.Lock()
		term, version, changed, listed := s.mu.term, s.mu.version, s.mu.changed, s.mu.listed
		s.mu.Unlock()
		if term == 0 {
			return s.elsewhere(ctx)
		}
		catalogChanged := s.cfg.Leadership.CatalogChanged(r.GetCatalogVersion())
		news := listed && (r.GetEpoch() != term || r.GetEndpointsVersion() != version)
		select {
		case <-catalogChanged:
			news = true
		default:
		}
		if news {
			return s.answer(ctx, r)
		}
		select {
		case <-changed:
		case <-catalogChanged:
		case <-hold.C:
			return s.answer(ctx, r)
		case <-ctx.Done():
			return nil, notLeading()
		}
	}
}

// report takes over what an entry says; false means that another VM leads.
func (s *Server) report(r *peerv1.WatchRequest) bool {
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
	named := make(map[string]bool, len(r.GetDemand()))
	for _, d := range r.GetDemand() {
		named[d.GetModel()] = true
		s.mu.planner.Asked(now, entry, d.GetModel(), int(d.GetRequests()), int(d.GetTokens()), int(d.GetWaiting()))
	}
	s.mu.planner.Silent(entry, named)
	for _, l := range r.GetLost() {
		s.mu.suspects.Lost(now, l.GetFingerprint(), l.GetEndpoint())
	}
	return true
}

func (s *Server) answer(ctx context.Context, r *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
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

// addEndpointsLocked adds what an entry does not know of the list.
func (s *Server) addEndpointsLocked(out *peerv1.WatchResponse, r *peerv1.WatchRequest) error {
	out.Epoch, out.EndpointsVersion = s.mu.term, s.mu.version
	known := r.GetEndpointsVersion()
	if r.GetEpoch() == s.mu.term && known >= s.mu.complete {
		out.Partial = true
		if known != s.mu.version {
			out.Endpoints, out.Gone = s.sinceLocked(known), s.goneSinceLocked(known)
		}
		return nil
	}
	p, err := s.packLocked()
	out.EndpointsVersion, out.Packed = p.version, p.data
	return err
}

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

// Follow records what a control VM reports for its entries and answers once there is
// a change, at the latest after the hold time.
func (s *Server) Follow(ctx context.Context, r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	if !s.recordReport(r) {
		return &peerv1.FollowResponse{NotLeading: true}, nil
	}
	holdTimer := time.NewTimer(time.Duration(r.GetHoldMs()) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		s.mu.Lock()
		term, changed := s.mu.term, s.mu.changed
		if s.frozenLocked() {
			term = 0
		}
		hasChanges := s.publishableLocked() && (r.GetEpoch() != term || r.GetEndpointsVersion() != s.mu.published.version)
		hasChanges = hasChanges || r.GetSuspects().GetVersion() != s.suspectsVersionLocked()
		s.mu.Unlock()
		if term == 0 {
			return &peerv1.FollowResponse{NotLeading: true}, nil
		}
		if hasChanges {
			return s.response(r)
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			return s.response(r)
		case <-ctx.Done():
			return nil, notLeading()
		}
	}
}

// recordReport records what a control VM reports. It returns false if another VM
// leads.
func (s *Server) recordReport(r *peerv1.FollowRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return false
	}
	vm, now := r.GetVm(), s.now()
	demand, spent := decodeDemand(r.GetCustomers())
	for _, removed := range s.mu.levels.RecordReport(now, vm, demand, spent) {
		s.mu.watchers.remove(removed)
		s.mu.planner.ClearWaiting(removed, nil)
	}
	if set := r.GetEntries(); set != nil {
		addresses := make(map[string]string, len(set.GetEntries()))
		for _, e := range set.GetEntries() {
			addresses[e.GetVm()] = e.GetLoadAddress()
		}
		s.mu.watchers.set(vm, set.GetVersion(), addresses)
	}
	reported := make(map[string]bool, len(r.GetDemand()))
	for _, d := range r.GetDemand() {
		reported[d.GetModel()] = true
		s.mu.planner.RecordDemand(now, vm, d.GetModel(), int(d.GetRequests()), int(d.GetTokens()), int(d.GetWaiting()))
	}
	s.mu.planner.ClearWaiting(vm, reported)
	for _, e := range r.GetSlowdowns() {
		s.mu.planner.RecordSlowdown(now, e.GetEndpoint(), e.GetPercent())
	}
	s.takeOverSuspectsLocked(r.GetSuspects())
	return true
}

func decodeDemand(in []*peerv1.CustomerDemand) (demand, spent map[string]float64) {
	demand, spent = make(map[string]float64, len(in)), make(map[string]float64, len(in))
	for _, c := range in {
		demand[c.GetCustomer()], spent[c.GetCustomer()] = float64(c.GetDemand()), float64(c.GetSpent())
	}
	return demand, spent
}

func (s *Server) response(r *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 || s.frozenLocked() {
		return &peerv1.FollowResponse{NotLeading: true}, nil
	}
	now := s.now()
	out := &peerv1.FollowResponse{
		LiveEntries: uint32(s.mu.watchers.count), EntriesVersion: s.mu.watchers.setVersion(r.GetVm()),
		Moved: s.mu.watchers.moved(r.GetVm()),
	}
	if version := s.suspectsVersionLocked(); r.GetSuspects().GetVersion() != version {
		out.Suspects = encodeSuspects(now, version, s.mu.listedSuspects)
	}
	if r.GetPeersVersion() == 0 || now-s.mu.termStart >= peersDelay {
		if peers, version := s.mu.watchers.list(now); version+s.mu.term<<32 != r.GetPeersVersion() {
			out.Peers, out.PeersVersion = peers, version+s.mu.term<<32
		}
	}
	if s.mu.index != nil {
		out.CatalogVersion = s.mu.index.Version()
		for _, l := range s.mu.levels.List(now, s.mu.index.Catalog().Customers) {
			out.Levels = append(out.Levels, &peerv1.CustomerLevel{
				Customer: l.Customer, Rate: float32(l.Rate), Burst: float32(l.Burst), Demand: float32(l.Demand), Level: int64(l.Tokens),
			})
		}
	}
	if !s.publishableLocked() {
		return out, nil
	}
	u, err := s.mu.published.since(r.GetEpoch(), r.GetEndpointsVersion())
	out.Epoch, out.EndpointsVersion, out.Partial = u.epoch, u.version, u.partial
	out.Endpoints, out.Gone, out.Packed = u.changed, u.gone, u.packed
	return out, err
}

package control

import (
	"context"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Join performs the next step of a membership change that adds the new member as
// a voter and removes the member that it replaces. A request without a new member
// only removes. The response has code zero once the whole change is committed,
// and MembershipBusy if the caller must send the request again. A response
// without a membership comes from a VM that belongs to no fleet.
func (s *Server) Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := validateJoin(r); err != nil {
		return nil, err
	}
	m, err := s.Members(ctx)
	if err != nil {
		return nil, err
	}
	if len(m.GetMembership().GetMembers()) == 0 {
		return &peerv1.JoinResponse{Code: uint32(resultcode.NoLeader), Message: "this VM belongs to no fleet"}, nil
	}
	resp, err := callLoop(ctx, s, unconfirmed("the membership change was not committed before the time-out"), func(done func(*peerv1.JoinResponse, error)) {
		s.loop.join(r, done)
	})
	if err == nil {
		return resp, nil
	}
	to, retry, err := s.redirect(ctx, err, r.GetForwarded())
	if retry {
		return &peerv1.JoinResponse{Membership: m.GetMembership(), Code: uint32(resultcode.MembershipBusy), Message: "a leader was elected during the call; send the request again"}, nil
	}
	if to == nil {
		return nil, err
	}
	resp, err = s.cfg.Transport.Join(ctx, to, &peerv1.JoinRequest{Member: r.GetMember(), Replaces: r.GetReplaces(), Forwarded: true})
	return resp, forwardedError(err)
}

func validateJoin(r *peerv1.JoinRequest) error {
	m := r.GetMember()
	switch {
	case m == nil && r.GetReplaces() == 0:
		return resultcode.New(resultcode.BadRequest, "the join request names neither a member to add nor a member to remove")
	case m != nil && (m.GetId() == 0 || m.GetVm() == "" || m.GetAddress() == ""):
		return resultcode.New(resultcode.BadRequest, "the joining member needs an identifier, a VM name and an address")
	case m != nil && m.GetId() == r.GetReplaces():
		return resultcode.New(resultcode.BadRequest, "a member cannot replace itself")
	default:
		return nil
	}
}

// RemoveMember removes a member and returns once the removal is committed.
func (s *Server) RemoveMember(ctx context.Context, id uint64) (*statev1.Membership, error) {
	return s.joinUntilDone(ctx, &peerv1.JoinRequest{Replaces: id})
}

// AddMember adds a member as a voter, removes the member that it replaces, and
// returns once the last step is committed. If replaces is zero, a member with the
// same VM name is replaced, if there is one.
func (s *Server) AddMember(ctx context.Context, member *statev1.Member, replaces uint64) (*statev1.Membership, error) {
	return s.joinUntilDone(ctx, &peerv1.JoinRequest{Member: member, Replaces: replaces})
}

// joinUntilDone repeats Join until the membership change is committed or refused,
// also across changes of the leader.
func (s *Server) joinUntilDone(ctx context.Context, r *peerv1.JoinRequest) (*statev1.Membership, error) {
	for {
		resp, err := s.Join(ctx, r)
		code := resultcode.Code(resp.GetCode())
		switch {
		case resultcode.Of(err) == resultcode.BadRequest:
			return nil, err
		case err == nil && code == resultcode.OK:
			return resp.GetMembership(), nil
		case err == nil && code != resultcode.MembershipBusy:
			return resp.GetMembership(), resultcode.New(code, "%s", resp.GetMessage())
		}
		if !s.pause(ctx, tickInterval) {
			return nil, resultcode.Wrap(resultcode.MembershipBusy, err, "the membership change is not finished; send the request again")
		}
	}
}

// pause waits for d and returns true, or returns false if ctx ends or the server
// stops first.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

// SetPeers replaces the control VMs from the settings.
func (s *Server) SetPeers(peers []*statev1.Member) { s.peers.Store(&peers) }

// joinFleet makes this member part of a fleet: it sends join requests to its peers
// while loop.mustJoin says so.
func (s *Server) joinFleet(ctx context.Context) {
	for {
		must, err := callLoop(ctx, s, noLeader("stopped"), func(done func(bool, error)) {
			done(s.loop.mustJoin(), nil)
		})
		if err == nil && must {
			s.requestJoin(ctx)
		}
		if !s.pause(ctx, joinInterval) {
			return
		}
	}
}

// joinTargets returns the control VMs from the settings and the members that the
// log names. The one that answered the last request comes first: a peer that does
// not answer would hold up each step of the join until its time-out.
func (s *Server) joinTargets(ctx context.Context) []*statev1.Member {
	targets := s.knownVMs(ctx)
	last := slices.IndexFunc(targets, func(m *statev1.Member) bool { return m.GetAddress() == s.joinAnswerer })
	if last > 0 {
		targets[0], targets[last] = targets[last], targets[0]
	}
	return targets
}

// knownVMs returns the control VMs from the settings, then the other members.
func (s *Server) knownVMs(ctx context.Context) []*statev1.Member {
	out := slices.Clone(*s.peers.Load())
	m, err := s.Members(ctx)
	if err != nil {
		return out
	}
	known := make(map[string]bool, len(out))
	for _, p := range out {
		known[p.GetAddress()] = true
	}
	for _, x := range m.GetMembership().GetMembers() {
		if !known[x.GetAddress()] {
			out = append(out, x)
		}
	}
	return out
}

// requestJoin sends a join request to one peer after the other until one that
// belongs to a fleet responds.
func (s *Server) requestJoin(ctx context.Context) {
	request := &peerv1.JoinRequest{Member: s.loop.member, Replaces: s.cfg.Replaces}
	for _, peer := range s.joinTargets(ctx) {
		if peer.GetAddress() == s.cfg.Member.GetAddress() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		resp, err := s.cfg.Transport.Join(callCtx, peer, request)
		cancel()
		if err != nil || len(resp.GetMembership().GetMembers()) == 0 {
			continue
		}
		s.joinAnswerer = peer.GetAddress()
		_ = s.post(ctx, func() { s.loop.addKnownMembers(resp.GetMembership()) })
		return
	}
}

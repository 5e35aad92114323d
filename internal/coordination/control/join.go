package control

import (
	"context"
	"slices"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Join takes one step towards a membership with the new member as a voter and
// without the one that it replaces; without a new member it only removes. The
// code of the answer is zero when all of it is committed, and MembershipBusy if
// the caller has to ask again. An answer without a membership comes from a VM
// that belongs to no fleet.
func (s *Server) Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := checkJoin(r); err != nil {
		return nil, err
	}
	m, err := s.Members(ctx)
	if err != nil {
		return nil, err
	}
	if len(m.GetMembership().GetMembers()) == 0 {
		return &peerv1.JoinResponse{Code: uint32(resultcode.NoLeader), Message: "this VM belongs to no fleet"}, nil
	}
	answer, err := ask(ctx, s, unconfirmed("the step was not committed in time"), func(done func(*peerv1.JoinResponse, error)) {
		s.loop.join(r, done)
	})
	if err == nil {
		return answer, nil
	}
	to, again, err := s.elsewhere(ctx, err, r.GetForwarded())
	if again {
		return &peerv1.JoinResponse{Membership: m.GetMembership(), Code: uint32(resultcode.MembershipBusy), Message: "a leader was just elected"}, nil
	}
	if to == nil {
		return nil, err
	}
	answer, err = s.cfg.Transport.Join(ctx, to, &peerv1.JoinRequest{Member: r.GetMember(), Replaces: r.GetReplaces(), Forwarded: true})
	return answer, remote(err)
}

func checkJoin(r *peerv1.JoinRequest) error {
	m := r.GetMember()
	switch {
	case m == nil && r.GetReplaces() == 0:
		return resultcode.New(resultcode.BadRequest, "the request names no member")
	case m != nil && (m.GetId() == 0 || m.GetVm() == "" || m.GetAddress() == ""):
		return resultcode.New(resultcode.BadRequest, "the member needs an identifier, a VM name and an address")
	case m != nil && m.GetId() == r.GetReplaces():
		return resultcode.New(resultcode.BadRequest, "a member cannot replace itself")
	default:
		return nil
	}
}

// RemoveMember removes a member and returns when that is committed.
func (s *Server) RemoveMember(ctx context.Context, id uint64) (*statev1.Membership, error) {
	return s.untilJoined(ctx, &peerv1.JoinRequest{Replaces: id})
}

// AddMember adds a member as a voter, removes the one that it replaces, and
// returns when the last step is committed. Zero replaces a member with the same
// VM name, if there is one.
func (s *Server) AddMember(ctx context.Context, member *statev1.Member, replaces uint64) (*statev1.Membership, error) {
	return s.untilJoined(ctx, &peerv1.JoinRequest{Member: member, Replaces: replaces})
}

// untilJoined repeats Join until it is finished or refused, across changes of
// the leader.
func (s *Server) untilJoined(ctx context.Context, r *peerv1.JoinRequest) (*statev1.Membership, error) {
	for {
		answer, err := s.Join(ctx, r)
		code := resultcode.Code(answer.GetCode())
		switch {
		case resultcode.Of(err) == resultcode.BadRequest:
			return nil, err
		case err == nil && code == resultcode.OK:
			return answer.GetMembership(), nil
		case err == nil && code != resultcode.MembershipBusy:
			return answer.GetMembership(), resultcode.New(code, "%s", answer.GetMessage())
		}
		if !s.pause(ctx, tickInterval) {
			return nil, resultcode.Wrap(resultcode.MembershipBusy, err, "the change is not finished; ask again")
		}
	}
}

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

// SetPeers replaces the control VMs that the settings name.
func (s *Server) SetPeers(peers []*statev1.Member) { s.peers.Store(&peers) }

// joinFleet makes this member part of a fleet: it bootstraps one if it may, and
// otherwise asks its peers until its own log says that it votes and that the
// member that it replaces is gone. From then on it asks again whenever no leader
// is known for long: it may have been removed while it was away, and its own
// log does not say so.
func (s *Server) joinFleet(ctx context.Context) {
	leaderless := 0
	for {
		state, err := ask(ctx, s, noLeader("stopped"), func(done func(joinState, error)) {
			done(s.loop.joinState(), nil)
		})
		if state.leader {
			leaderless = 0
		} else {
			leaderless++
		}
		if err == nil && (!state.joined || leaderless >= rejoinRounds) {
			s.askPeers(ctx)
		}
		if !s.pause(ctx, joinInterval) {
			return
		}
	}
}

// peersToAsk are the VMs of the settings and the members that the log names.
func (s *Server) peersToAsk(ctx context.Context) []*statev1.Member {
	peers := *s.peers.Load()
	m, err := s.Members(ctx)
	if err != nil {
		return peers
	}
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.GetAddress()] = true
	}
	out := slices.Clone(peers)
	for _, x := range m.GetMembership().GetMembers() {
		if !known[x.GetAddress()] {
			out = append(out, x)
		}
	}
	return out
}

// askPeers asks each peer once. A peer without a fleet counts for bootstrapping;
// one that does not answer may belong to a fleet, so it prevents it.
func (s *Server) askPeers(ctx context.Context) {
	fleetless := 0
	request := &peerv1.JoinRequest{Member: s.loop.member, Replaces: s.cfg.Replaces}
	for _, peer := range s.peersToAsk(ctx) {
		if peer.GetAddress() == s.cfg.Member.GetAddress() {
			fleetless++
			continue
		}
		calling, cancel := context.WithTimeout(ctx, joinTimeout)
		answer, err := s.cfg.Transport.Join(calling, peer, request)
		cancel()
		switch {
		case err != nil:
		case len(answer.GetMembership().GetMembers()) == 0:
			fleetless++
		default:
			_ = s.post(ctx, func() { s.loop.learnContacts(answer.GetMembership()) })
			return
		}
	}
	if s.mayBootstrap() && fleetless == len(*s.peers.Load()) {
		_ = s.post(ctx, func() {
			if err := s.loop.bootstrap(); err != nil {
				s.loop.fatal = err
			}
		})
	}
}

// mayBootstrap reports whether this is the one VM that starts the fleet. All
// VMs can have the same settings: the first address decides.
func (s *Server) mayBootstrap() bool {
	peers := *s.peers.Load()
	first := len(peers) == 0 || peers[0].GetAddress() == s.cfg.Member.GetAddress()
	return s.cfg.Bootstrap && first
}

package control

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Sync answers an entry with what changed since the versions that it names. A
// call with an entry's part is answered by the leader: the commit of that part
// confirms the state. A call without one is answered by any member after a
// confirmed read. The call is held open while nothing changed, unless it carried
// usage, whose grants the entry waits for.
func (s *Server) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.GetEntry().GetSession() == nil {
		if err := s.confirm(ctx); err != nil {
			return nil, err
		}
		return s.hold(ctx, r, nil)
	}
	for {
		result, err := s.syncEntry(ctx, r)
		if err == nil {
			return s.hold(ctx, r, result)
		}
		to, again, err := s.elsewhere(ctx, err, r.GetForwarded())
		switch {
		case again:
			continue
		case to == nil:
			return nil, err
		}
		answer, err := s.cfg.Transport.Sync(ctx, to, forwarded(r))
		return answer, remote(err)
	}
}

func forwarded(r *peerv1.SyncRequest) *peerv1.SyncRequest {
	return &peerv1.SyncRequest{
		Entry:            r.GetEntry(),
		ConfigVersion:    r.GetConfigVersion(),
		SuspectsVersion:  r.GetSuspectsVersion(),
		ResidencyVersion: r.GetResidencyVersion(),
		HoldMs:           r.GetHoldMs(),
		Demand:           r.GetDemand(),
		Forwarded:        true,
	}
}

func (s *Server) confirm(ctx context.Context) error {
	_, err := ask(ctx, s, noLeader("the read was not confirmed in time"), func(done func(struct{}, error)) {
		s.loop.read(func(err error) { done(struct{}{}, err) })
	})
	return err
}

// syncEntry commits the entry's part together with those of other entries.
func (s *Server) syncEntry(ctx context.Context, r *peerv1.SyncRequest) (*statev1.EntrySyncResult, error) {
	e := &statev1.EntrySync{
		Session:       r.GetEntry().GetSession(),
		Seq:           r.GetEntry().GetSeq(),
		Usage:         r.GetEntry().GetUsage(),
		Closing:       r.GetEntry().GetClosing(),
		ConfigVersion: r.GetConfigVersion(),
	}
	result, err := ask(ctx, s, unconfirmed("the sync was not confirmed in time"), func(done func(*statev1.EntrySyncResult, error)) {
		s.loop.syncEntry(e, done)
	})
	if err == nil && s.cfg.ObserveDemand != nil && len(r.GetDemand()) != 0 {
		s.cfg.ObserveDemand(e.GetSession(), r.GetDemand())
	}
	return result, err
}

// hold waits until there is something new for the entry and answers.
func (s *Server) hold(ctx context.Context, r *peerv1.SyncRequest, result *statev1.EntrySyncResult) (*peerv1.SyncResponse, error) {
	limit := min(time.Duration(r.GetHoldMs())*time.Millisecond, maxHold)
	e := r.GetEntry()
	if limit > 0 && len(e.GetUsage()) == 0 && !e.GetClosing() && !result.GetSessionEnded() {
		waiting, cancel := context.WithTimeout(ctx, limit)
		s.changes.wait(waiting, s.stopped, func(v view) bool {
			return v.config != r.GetConfigVersion() || v.suspects != r.GetSuspectsVersion() ||
				v.residency > r.GetResidencyVersion()
		})
		cancel()
	}
	// The answer is due even if the caller's deadline ended while it was held.
	answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxHold)
	defer cancel()
	return ask(answering, s, unconfirmed("the answer was not built in time"), func(done func(*peerv1.SyncResponse, error)) {
		done(s.loop.syncResponse(r, result))
	})
}

// syncResponse describes what is new for an entry. An entry with a version that
// the fleet does not have must not be told that it is current: the fleet lost
// its log.
func (l *loop) syncResponse(r *peerv1.SyncRequest, result *statev1.EntrySyncResult) (*peerv1.SyncResponse, error) {
	version := l.machine.Config().GetVersion()
	if r.GetConfigVersion() > version {
		return nil, resultcode.New(resultcode.NoFreshState, "the entry has version %d, the fleet has %d", r.GetConfigVersion(), version)
	}
	out := &peerv1.SyncResponse{
		Delta:            l.machine.DeltaSince(r.GetConfigVersion()),
		ConfigVersion:    version,
		Entry:            result,
		LeaseMs:          uint32(freshnessLease / time.Millisecond),
		LiveEntries:      uint32(l.machine.LiveSessions()),
		ResidencyVersion: r.GetResidencyVersion(),
		Members:          l.core.Status().Membership.GetMembers(),
	}
	out.SuspectsVersion = l.machine.SuspectsVersion()
	if out.GetSuspectsVersion() != r.GetSuspectsVersion() {
		_, out.Suspects = l.machine.Suspects()
	}
	// A new leader has published nothing yet, or what it published in an earlier
	// term; entries keep what they have until it does.
	if l.residency.version > r.GetResidencyVersion() {
		out.ResidencyVersion = l.residency.version
		out.Residency, out.ResidencyPartial = l.residency.since(r.GetResidencyVersion())
	}
	return out, nil
}

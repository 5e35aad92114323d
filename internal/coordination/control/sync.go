package control

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Sync returns to an entry what changed since the versions in the request. A
// request with an entry's part is served by the leader: the commit of that part
// confirms that the state is current. A request without one is served by any
// member after a linearizable read. The call is a long poll: it waits for a
// change, unless it reports usage, since the entry is then waiting for token
// grants.
func (s *Server) Sync(ctx context.Context, r *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.GetEntry().GetSession() == nil {
		if err := s.confirmRead(ctx); err != nil {
			return nil, err
		}
		return s.respond(ctx, r, nil)
	}
	for {
		result, err := s.commitSync(ctx, r)
		if err == nil {
			return s.respond(ctx, r, result)
		}
		to, retry, err := s.redirect(ctx, err, r.GetForwarded())
		switch {
		case retry:
			continue
		case to == nil:
			return nil, err
		}
		resp, err := s.cfg.Transport.Sync(ctx, to, forwardedSync(r))
		return resp, forwardedError(err)
	}
}

func forwardedSync(r *peerv1.SyncRequest) *peerv1.SyncRequest {
	return &peerv1.SyncRequest{
		Entry:            r.GetEntry(),
		ConfigVersion:    r.GetConfigVersion(),
		SuspectsVersion:  r.GetSuspectsVersion(),
		ResidencyVersion: r.GetResidencyVersion(),
		HoldMs:           r.GetHoldMs(),
		Demand:           r.GetDemand(),
		Forwarded:        true,

		EvacuationsVersion: r.GetEvacuationsVersion(),
	}
}

// confirmRead waits for a linearizable read, which confirms that the state of this
// member is current.
func (s *Server) confirmRead(ctx context.Context) error {
	_, err := callLoop(ctx, s, noLeader("the read was not confirmed before the time-out"), func(done func(struct{}, error)) {
		s.loop.read(func(err error) { done(struct{}{}, err) })
	})
	return err
}

// commitSync commits the entry's part of a request in one batch with those of
// other entries.
func (s *Server) commitSync(ctx context.Context, r *peerv1.SyncRequest) (*statev1.EntrySyncResult, error) {
	e := &statev1.EntrySync{
		Session:       r.GetEntry().GetSession(),
		Seq:           r.GetEntry().GetSeq(),
		Usage:         r.GetEntry().GetUsage(),
		Closing:       r.GetEntry().GetClosing(),
		ConfigVersion: r.GetConfigVersion(),
	}
	result, err := callLoop(ctx, s, unconfirmed("the sync was not committed before the time-out"), func(done func(*statev1.EntrySyncResult, error)) {
		s.loop.queueSync(e, done)
	})
	if err == nil && s.cfg.ObserveDemand != nil && len(r.GetDemand()) != 0 {
		s.cfg.ObserveDemand(e.GetSession(), r.GetDemand())
	}
	return result, err
}

// respond builds the response of a Sync. If nothing is new for the entry, it first
// waits for a change, at most as long as the request allows.
func (s *Server) respond(ctx context.Context, r *peerv1.SyncRequest, result *statev1.EntrySyncResult) (*peerv1.SyncResponse, error) {
	limit := min(time.Duration(r.GetHoldMs())*time.Millisecond, maxLongPoll)
	e := r.GetEntry()
	if limit > 0 && len(e.GetUsage()) == 0 && !e.GetClosing() && !result.GetSessionEnded() {
		waitCtx, cancel := context.WithTimeout(ctx, limit)
		s.changes.wait(waitCtx, s.stopped, func(v watchedState) bool {
			return v.config != r.GetConfigVersion() || v.suspects != r.GetSuspectsVersion() ||
				v.residency > r.GetResidencyVersion() || v.evacuations != r.GetEvacuationsVersion()
		})
		cancel()
	}
	// The response is built even if the caller's deadline ended during the long
	// poll.
	respondCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxLongPoll)
	defer cancel()
	return callLoop(respondCtx, s, unconfirmed("the response to the sync was not built before the time-out"), func(done func(*peerv1.SyncResponse, error)) {
		done(s.loop.syncResponse(r, result))
	})
}

// syncResponse returns what is new for an entry. If the entry has a newer
// configuration than the fleet, the fleet has lost its log, and the call fails so
// that the entry does not treat its state as current.
func (l *loop) syncResponse(r *peerv1.SyncRequest, result *statev1.EntrySyncResult) (*peerv1.SyncResponse, error) {
	version := l.machine.Config().GetVersion()
	if r.GetConfigVersion() > version {
		return nil, resultcode.New(resultcode.NoFreshState, "the entry has configuration version %d, but the fleet is at version %d", r.GetConfigVersion(), version)
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
	out.EvacuationsVersion = l.machine.EvacuationsVersion()
	if out.GetEvacuationsVersion() != r.GetEvacuationsVersion() {
		_, records := l.machine.Evacuations()
		out.EvacuatedDataCentres = evacuatedDataCentres(records)
	}
	// A new leader has not published residency yet, or only in an earlier term. Its
	// version is then lower, and entries keep the list that they have.
	if l.residency.version > r.GetResidencyVersion() {
		out.ResidencyVersion = l.residency.version
		out.Residency, out.ResidencyPartial = l.residency.since(r.GetResidencyVersion())
	}
	return out, nil
}

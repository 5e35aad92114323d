package directory

import (
	"context"
	"errors"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/suspect"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// ErrEndpointGone is wrapped by the error of a call that was refused because the
// incarnation of the endpoint that was called no longer runs.
var ErrEndpointGone = errors.New("the endpoint no longer runs")

// errNotListed is returned by a new leader that cannot tell yet which endpoints a report
// is about. The entry reports again.
var errNotListed = resultcode.New(resultcode.NoLeader, "the leader does not have the platform's list yet")

// termBits is the position of the leader's term in the version of a list of
// suspects.
const termBits = 32

// Report records what an entry learned about requests that may crash endpoints.
func (s *Server) Report(_ context.Context, r *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return nil, notLeading()
	}
	if !s.mu.listed {
		return nil, errNotListed
	}
	now := s.now()
	for _, c := range r.GetCarried() {
		s.mu.suspects.RecordCarried(now-time.Duration(c.GetAgeMs())*time.Millisecond, suspect.Trait(c.GetTrait()))
	}
	for _, l := range r.GetLost() {
		s.recordLossLocked(now, l)
	}
	s.evaluateSuspectsLocked()
	return &peerv1.EvidenceResponse{}, nil
}

// recordLossLocked records a lost request. Whether its engine crashed is seen from a
// report that is asked for now; a plain service has no reports, so each loss there
// counts as a crash. Losses at endpoints that leave are no sign of a crash, nor are
// those in an evacuated data centre, which may have lost its power.
func (s *Server) recordLossLocked(now time.Duration, l *peerv1.LostRequest) {
	e := s.mu.planner.engines[l.GetEndpoint()]
	if e == nil || e.outOfUse() || e.report.Leaving {
		return
	}
	traits := []suspect.Trait{suspect.RequestTrait(l.GetFingerprint())}
	for _, part := range l.GetParts() {
		traits = append(traits, suspect.PartTrait(part))
	}
	s.mu.suspects.RecordLoss(now, now-time.Duration(l.GetAgeMs())*time.Millisecond, e.ID, traits)
	if !s.isEngineLocked(e.Endpoint) {
		s.mu.suspects.RecordCrash(e.ID)
		return
	}
	if s.mu.suspects.Pending(e.ID) {
		e.reportWanted = true
	}
}

func (s *Server) isEngineLocked(e Endpoint) bool {
	service := s.serviceLocked(e.Service)
	return service != nil && service.Engine != nil
}

// recordProbeLocked records what an answered or failed call for a report says about
// the losses at an engine. before is the start time in its last report, zero if there
// was none.
func (s *Server) recordProbeLocked(askedAt time.Duration, id string, before int64, r Report, err error) {
	if !s.mu.suspects.Pending(id) {
		return
	}
	switch {
	case errors.Is(err, ErrEndpointGone), err == nil && before != 0 && r.Started != before:
		s.mu.suspects.RecordCrash(id)
		s.evaluateSuspectsLocked()
		if e := s.mu.planner.engines[id]; e != nil {
			e.reportWanted = false
		}
	case err == nil:
		s.mu.suspects.RecordAlive(id, askedAt)
	}
}

// evaluateSuspectsLocked puts traits into quarantine for which the evidence
// suffices, and wakes the followers if the list has changed.
func (s *Server) evaluateSuspectsLocked() {
	now := s.now()
	for _, q := range s.mu.suspects.Evaluate(now) {
		s.cfg.Log.Warn("requests put into quarantine", "trait", q.Trait, "crashes", q.Crashes, "last_crash_ms", (now - q.Last).Milliseconds(), "term", s.mu.term)
	}
	list := s.mu.suspects.List()
	if sameSuspects(list, s.mu.listedSuspects) {
		return
	}
	for _, old := range s.mu.listedSuspects {
		if old.Quarantined && !quarantined(list, old.Trait) {
			s.cfg.Log.Warn("quarantine ended", "trait", old.Trait, "crashes", old.Crashes, "last_crash_ms", (now - old.Last).Milliseconds())
		}
	}
	s.mu.listedSuspects = list
	s.mu.suspectsVersion++
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

func sameSuspects(a, b []suspect.Suspect) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Trait != b[i].Trait || a[i].Quarantined != b[i].Quarantined || a[i].Held != b[i].Held {
			return false
		}
	}
	return true
}

func quarantined(list []suspect.Suspect, t suspect.Trait) bool {
	for _, s := range list {
		if s.Trait == t && s.Quarantined {
			return true
		}
	}
	return false
}

// suspectsVersionLocked returns the version of the list of suspects.
func (s *Server) suspectsVersionLocked() uint64 { return s.mu.term<<termBits + s.mu.suspectsVersion }

// SuspectsTerm returns the term of the leader whose list it is.
func SuspectsTerm(list *peerv1.SuspectList) uint64 { return list.GetVersion() >> termBits }

// takeOverSuspectsLocked adds what an earlier leader suspected or had put into
// quarantine, as a follower still knows it.
func (s *Server) takeOverSuspectsLocked(list *peerv1.SuspectList) {
	if list.GetVersion() == 0 || SuspectsTerm(list) == s.mu.term {
		return
	}
	now := s.now()
	s.mu.suspects.Merge(now, DecodeSuspects(now, list))
	s.evaluateSuspectsLocked()
}

// DecodeSuspects decodes a leader's list of suspects.
func DecodeSuspects(now time.Duration, list *peerv1.SuspectList) []suspect.Suspect {
	out := make([]suspect.Suspect, 0, len(list.GetSuspects()))
	for _, s := range list.GetSuspects() {
		out = append(out, suspect.Suspect{
			Trait: suspect.Trait(s.GetTrait()), Quarantined: s.GetQuarantined(), Held: s.GetHeld(), Crashes: int(s.GetCrashes()),
			Last: now - time.Duration(s.GetLastCrashMs())*time.Millisecond,
		})
	}
	return out
}

func encodeSuspects(now time.Duration, version uint64, list []suspect.Suspect) *peerv1.SuspectList {
	out := &peerv1.SuspectList{Version: version}
	for _, s := range list {
		out.Suspects = append(out.Suspects, &peerv1.CrashSuspect{
			Trait: string(s.Trait), Quarantined: s.Quarantined, Held: s.Held, Crashes: uint32(s.Crashes), LastCrashMs: uint64(max(0, now-s.Last).Milliseconds()),
		})
	}
	return out
}

// Suspects returns the traits with evidence against them, and the current time to
// which theirs relate. It fails on a VM that does not lead.
func (s *Server) Suspects() (now time.Duration, list []suspect.Suspect, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return 0, nil, notLeading()
	}
	return s.now(), s.mu.suspects.List(), nil
}

// LiftQuarantine ends the quarantine of a trait at the request of an operator. It
// reports whether the trait was in quarantine.
func (s *Server) LiftQuarantine(t suspect.Trait) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 {
		return false, notLeading()
	}
	lifted := s.mu.suspects.Lift(s.now(), t)
	s.cfg.Log.Warn("operator lifts a quarantine", "trait", t, "was_quarantined", lifted)
	s.evaluateSuspectsLocked()
	return lifted, nil
}

package directory

import (
	"context"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// versionsRetryDelay is the pause after a save of the recent versions that failed. New
// endpoints wait for the save.
const versionsRetryDelay = 100 * time.Millisecond

// VersionStore keeps the recent software versions of endpoints in the replicated state.
type VersionStore interface {
	// RecentVersions returns what this VM has applied. After a PutRecentVersions of a
	// leader it has all that earlier leaders saved.
	RecentVersions(ctx context.Context) ([]*statev1.ServiceVersions, error)
	// PutRecentVersions saves the versions of the leader of a term, in place of those that
	// it saved before. The first save of a term adds to those of earlier terms, and one
	// without services removes none. It fails after a leader of a later term has saved some.
	PutRecentVersions(ctx context.Context, p *statev1.PutRecentVersions) error
}

// versionsSave is the state of the saves of one term.
type versionsSave struct {
	saveState
	// failing is set from a save that failed to the next one that succeeds.
	failing bool
}

// setVersionsLocked records the versions of the platform's list. It reports whether the
// recent versions changed.
func (s *Server) setVersionsLocked(list []Endpoint) bool {
	change := s.mu.versions.SetList(s.now(), list)
	if change.Empty() {
		return false
	}
	if len(change.Appeared)+len(change.Left) > 0 {
		s.cfg.Log.Info("software versions changed", "appeared", len(change.Appeared), "appeared_first", nameVersions(change.Appeared),
			"left", len(change.Left), "left_first", nameVersions(change.Left), "term", s.mu.term)
	}
	if change.ExcludedChanged {
		s.cfg.Log.Warn("software versions beyond the bound, their endpoints are not used", "versions", change.Excluded, "bound", maxRecentVersions)
	}
	return true
}

// maxNamedVersions bounds the versions that one log line names.
const maxNamedVersions = 8

func nameVersions(list []ServiceVersion) []string {
	out := []string{}
	for _, k := range list[:min(len(list), maxNamedVersions)] {
		out = append(out, k.Service+" "+k.Version)
	}
	return out
}

// saveVersions begins a save of the recent versions if one is due. The first one of a term
// declares none and reads what earlier leaders declared.
func (s *Server) saveVersions(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	save := &s.mu.versionsSave
	if s.cfg.Versions == nil || s.mu.term == 0 || !save.mayBegin(s.now()) {
		return
	}
	term := s.mu.term
	if !s.mu.versions.Opened() {
		save.begin()
		go s.openVersions(ctx, term)
		return
	}
	if s.mu.versions.Unsaved() {
		save.begin()
		go s.putVersions(ctx, term, s.mu.versions.BeginSave())
	}
}

func (s *Server) openVersions(ctx context.Context, term uint64) {
	err := s.declareVersions(ctx, &statev1.PutRecentVersions{Term: term})
	var stored []*statev1.ServiceVersions
	if err == nil {
		stored, err = s.cfg.Versions.RecentVersions(ctx)
	}
	s.versionsSaved(ctx, term, err, func() bool {
		s.mu.versions.Open(s.now(), decodeVersions(stored))
		s.cfg.Log.Info("recent software versions taken over", "versions", s.mu.versions.Committed(), "term", term)
		return true
	})
}

func (s *Server) putVersions(ctx context.Context, term uint64, versions []ServiceVersion) {
	err := s.declareVersions(ctx, &statev1.PutRecentVersions{Term: term, Services: encodeVersions(versions)})
	s.versionsSaved(ctx, term, err, func() bool {
		s.cfg.Log.Info("recent software versions saved", "versions", len(versions), "term", term)
		return s.mu.versions.Saved(versions)
	})
}

// declareVersions saves a declaration. It fails if this VM no longer leads in its term: a
// declaration that is forwarded may be applied elsewhere only.
func (s *Server) declareVersions(ctx context.Context, p *statev1.PutRecentVersions) error {
	if err := s.cfg.Versions.PutRecentVersions(ctx, p); err != nil {
		return err
	}
	if term, leading := s.cfg.Leadership.Leading(ctx); !leading || term != p.GetTerm() {
		return notLeading()
	}
	return nil
}

// versionsSaved records the outcome of a save with apply, which reports whether further
// endpoints may be published. They are published at once, and a change that came during
// the save is saved next.
func (s *Server) versionsSaved(ctx context.Context, term uint64, err error, apply func() bool) {
	s.mu.Lock()
	if s.mu.term != term {
		s.mu.Unlock()
		return
	}
	save := &s.mu.versionsSave
	save.end(s.now(), err, versionsRetryDelay)
	switch {
	case err != nil:
		s.mu.versions.SaveFailed()
		if !save.failing {
			s.cfg.Log.Warn("recent software versions not saved", "term", term, "error", err)
		}
	case apply() && s.mu.listed:
		s.publishLocked()
	}
	save.failing = err != nil
	s.mu.Unlock()
	s.saveVersions(ctx)
}

func decodeVersions(in []*statev1.ServiceVersions) []ServiceVersion {
	var out []ServiceVersion
	for _, s := range in {
		for _, version := range s.GetVersions() {
			out = append(out, ServiceVersion{s.GetService(), version})
		}
	}
	return out
}

// encodeVersions encodes versions that are ordered by service.
func encodeVersions(in []ServiceVersion) []*statev1.ServiceVersions {
	var out []*statev1.ServiceVersions
	for _, k := range in {
		if len(out) == 0 || out[len(out)-1].GetService() != k.Service {
			out = append(out, &statev1.ServiceVersions{Service: k.Service})
		}
		last := out[len(out)-1]
		last.Versions = append(last.Versions, k.Version)
	}
	return out
}

// publishableLocked reports whether followers may get the list of endpoints.
func (s *Server) publishableLocked() bool { return s.mu.listed && s.mu.versions.Ready() }

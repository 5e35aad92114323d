package directory

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// startList requests the platform's list if it is due.
func (s *Server) startList(ctx context.Context) {
	s.mu.Lock()
	due := !s.mu.listInFlight && s.now() >= s.mu.nextList
	term := s.mu.term
	if due {
		s.mu.listInFlight = true
		s.mu.nextList = s.now() + s.listIntervalLocked()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	go func() {
		started := s.now()
		list, err := s.readList(ctx)
		took := s.now() - started
		if err != nil {
			s.cfg.Log.Warn("platform's list could not be read", "took_ms", took.Milliseconds(), "error", err)
		}
		s.setList(term, list, took, err)
		s.saveVersions(ctx) // at once: endpoints of new versions wait for it
	}()
}

// listIntervalLocked returns the pause until the next call of the platform's list.
func (s *Server) listIntervalLocked() time.Duration {
	if s.mu.planner.restartedLately(s.now()) {
		return restartListInterval
	}
	return listInterval
}

// readList reads the platform's list page by page. The time that it takes grows with
// the number of endpoints, so only the single pages have a time-out, and a page that
// failed is read again.
func (s *Server) readList(ctx context.Context) ([]Endpoint, error) {
	var out []Endpoint
	token := ""
	for range maxListPages {
		page, err := s.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Endpoints...)
		if len(out) > MaxListEndpoints {
			return nil, fmt.Errorf("the platform's list has more than %d endpoints", MaxListEndpoints)
		}
		if page.Next == "" {
			return out, nil
		}
		token = page.Next
	}
	return nil, fmt.Errorf("the platform's list has no end after %d pages", maxListPages)
}

// readPage reads one page, at most maxPageAttempts times.
func (s *Server) readPage(ctx context.Context, token string) (Page, error) {
	for attempt := 1; ; attempt++ {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := s.cfg.Platform.ListPage(pageCtx, token)
		cancel()
		if err == nil || attempt == maxPageAttempts || ctx.Err() != nil {
			return page, err
		}
		pause := time.NewTimer(pageRetryDelay)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

func (s *Server) setList(term uint64, list []Endpoint, took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term || term == 0 {
		return
	}
	s.mu.listInFlight = false
	if err != nil {
		return
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.markEvacuatedLocked(list)
	requestedAt := s.now() - took
	changed := !s.mu.listed || !slices.EqualFunc(list, s.mu.list, sameEndpoint)
	s.mu.listed = true
	s.logChanges(list, took)
	s.recordRemovedLocked(list)
	s.mu.list = list
	s.mu.reports.removeUnlisted(endpointIDs(list))
	s.mu.planner.SetEndpoints(list)
	s.mu.warmUps.SetList(s.now(), requestedAt, list, s.serviceLocked)
	changed = s.setVersionsLocked(list) || changed
	if s.applyWarmUpsLocked() || changed {
		s.publishLocked() // at once: a leaving endpoint must not get new requests
	}
}

// recordRemovedLocked records that the endpoints that are no longer listed have
// crashed, if requests were lost there: the platform lists an endpoint that leaves
// as leaving first.
func (s *Server) recordRemovedLocked(list []Endpoint) {
	listed := endpointIDs(list)
	for _, e := range s.mu.list {
		if !listed[e.ID] {
			s.mu.suspects.RecordCrash(e.ID)
		}
	}
}

func endpointIDs(list []Endpoint) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, e := range list {
		out[e.ID] = true
	}
	return out
}

// logChanges logs endpoints that were added, are leaving or were removed. For the
// first list of a term it logs only the number of endpoints and the time that the
// list took.
func (s *Server) logChanges(list []Endpoint, took time.Duration) {
	if s.mu.list == nil {
		s.cfg.Log.Info("endpoints listed", "endpoints", len(list), "term", s.mu.term, "took_ms", took.Milliseconds())
		return
	}
	old := map[string]Endpoint{}
	for _, e := range s.mu.list {
		old[e.ID] = e
	}
	for _, e := range list {
		before, known := old[e.ID]
		delete(old, e.ID)
		switch {
		case !known:
			s.cfg.Log.Info("endpoint added", "endpoint", e.ID, "service", e.Service, "address", e.Address, "leaving", e.Leaving)
		case e.SoftwareVersion != before.SoftwareVersion:
			s.cfg.Log.Info("endpoint's software version changed", "endpoint", e.ID, "service", e.Service, "version", e.SoftwareVersion, "before", before.SoftwareVersion)
		case e.Leaving && !before.Leaving:
			s.cfg.Log.Info("endpoint leaving", "endpoint", e.ID, "service", e.Service)
		}
	}
	for id, e := range old {
		s.cfg.Log.Info("endpoint removed", "endpoint", id, "service", e.Service)
	}
}

func sameEndpoint(a, b Endpoint) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving && a.Evacuated == b.Evacuated && a.Service == b.Service && a.Slots == b.Slots && a.SoftwareVersion == b.SoftwareVersion
}

// startReports requests reports from the engines for which they are due.
func (s *Server) startReports(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.index == nil {
		return
	}
	now := s.now()
	var engines []Endpoint
	for _, e := range s.mu.list {
		service := s.mu.index.Service(e.Service)
		if service != nil && service.Engine != nil && !e.Leaving {
			engines = append(engines, e)
		}
	}
	need := func(id string) reportNeed { return s.mu.planner.reportNeed(now, id) }
	for _, e := range s.mu.reports.due(now, engines, need) {
		go s.requestReport(ctx, s.mu.term, e, now)
	}
	if !s.mu.allPolled && len(engines) > 0 && len(s.mu.reports.lastPolled) >= len(engines) {
		s.mu.allPolled = true
		s.cfg.Log.Info("every engine was polled", "engines", len(engines), "term", s.mu.term, "since_term_ms", (now - s.mu.termStart).Milliseconds())
	}
}

func (s *Server) requestReport(ctx context.Context, term uint64, e Endpoint, requestedAt time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	r, err := s.cfg.Platform.Report(ctx, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term {
		return
	}
	s.mu.reports.answered()
	startedBefore := s.mu.planner.startedAt(e.ID)
	s.recordProbeLocked(requestedAt, e.ID, startedBefore, r, err)
	if err != nil {
		s.cfg.Log.Info("engine's report could not be read", "endpoint", e.ID, "error", err)
		return
	}
	before := s.describeLocked(e)
	s.mu.planner.RecordReport(s.now(), requestedAt, e.ID, r)
	s.mu.warmUps.SetStarted(s.now(), e.ID, r.Started, s.serviceLocked(e.Service))
	if s.applyWarmUpsLocked() {
		s.publishLocked()
	}
	if r.Started != startedBefore {
		s.mu.nextList = min(s.mu.nextList, s.now()+s.listIntervalLocked())
	}
	if engine := s.mu.planner.engines[e.ID]; engine != nil && s.mu.suspects.Pending(e.ID) {
		engine.reportWanted = true // the report was asked for before the last loss
	}
	if !proto.Equal(before, s.describeLocked(e)) {
		s.schedulePublishLocked()
	}
}

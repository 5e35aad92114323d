package directory

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// startList asks for the list when that is due.
func (s *Server) startList(ctx context.Context) {
	s.mu.Lock()
	due := !s.mu.listing && s.now() >= s.mu.nextList
	term := s.mu.term
	if due {
		s.mu.listing = true
		s.mu.nextList = s.now() + listInterval
	}
	s.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, listLimit)
		defer cancel()
		list, err := s.cfg.Platform.List(ctx)
		if err != nil {
			s.cfg.Log.Warn("list not read", "error", err)
		}
		s.setList(term, list, err)
	}()
}

func (s *Server) setList(term uint64, list []Endpoint, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term || term == 0 {
		return
	}
	s.mu.listing = false
	if err != nil {
		return
	}
	slices.SortFunc(list, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	changed := !s.mu.listed || !slices.EqualFunc(list, s.mu.list, sameEndpoint)
	s.mu.listed = true
	s.noteChanges(list)
	s.mu.list = list
	s.mu.reports.forgetOthers(identifiers(list))
	s.mu.planner.SetEndpoints(list)
	if changed {
		s.bumpLocked()
	}
}

func identifiers(list []Endpoint) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, e := range list {
		out[e.ID] = true
	}
	return out
}

// noteChanges logs endpoints that came, leave or went, and the number of those in
// the first list of a term.
func (s *Server) noteChanges(list []Endpoint) {
	if s.mu.list == nil {
		s.cfg.Log.Info("endpoints listed", "endpoints", len(list), "term", s.mu.term)
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
			s.cfg.Log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "leaving", e.Leaving)
		case e.Leaving && !before.Leaving:
			s.cfg.Log.Info("endpoint leaves", "endpoint", e.ID, "service", e.Service)
		}
	}
	for id, e := range old {
		s.cfg.Log.Info("endpoint gone", "endpoint", id, "service", e.Service)
	}
}

func sameEndpoint(a, b Endpoint) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Leaving == b.Leaving && a.Service == b.Service && a.Slots == b.Slots
}

// startReports asks the engines whose reports are due.
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
	interval := func(id string) time.Duration { return s.mu.planner.ReportInterval(now, id) }
	for _, e := range s.mu.reports.due(now, engines, interval) {
		go s.ask(ctx, s.mu.term, e, now)
	}
}

func (s *Server) ask(ctx context.Context, term uint64, e Endpoint, asked time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r, err := s.cfg.Platform.Report(ctx, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term != term {
		return
	}
	s.mu.reports.answered()
	if err != nil {
		s.cfg.Log.Info("report not read", "endpoint", e.ID, "error", err)
		return
	}
	before := s.describeLocked(e)
	s.mu.planner.Reported(s.now(), asked, e.ID, r)
	if !proto.Equal(before, s.describeLocked(e)) {
		s.bumpLocked()
	}
}

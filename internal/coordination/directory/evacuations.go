package directory

import (
	"context"
	"slices"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// EvacuationStore reads the evacuations of data centres from the replicated state.
type EvacuationStore interface {
	// Evacuations returns what this VM has applied. A leader has applied all that was
	// committed in earlier terms. The version grows with each change.
	Evacuations(ctx context.Context) (version uint64, records []*statev1.EvacuationRecord, err error)
	// FleetTime returns the fleet time of the last command that this VM has applied, in
	// milliseconds.
	FleetTime(ctx context.Context) (uint64, error)
}

// evacuations is the set of evacuated data centres at a version of the replicated state.
type evacuations struct {
	version   uint64
	evacuated map[string]bool
	// endedLately holds the data centres whose evacuation ended less than
	// evacuationListDelay ago: the platform's list may not show yet which of their
	// endpoints warm up.
	endedLately []string
}

// readEvacuations reads the evacuations from the replicated state.
func (s *Server) readEvacuations(ctx context.Context) (evacuations, error) {
	if s.cfg.Evacuations == nil {
		return evacuations{}, nil
	}
	fleetTime, err := s.cfg.Evacuations.FleetTime(ctx)
	if err != nil {
		return evacuations{}, err
	}
	version, records, err := s.cfg.Evacuations.Evacuations(ctx)
	out := evacuations{version: version, evacuated: make(map[string]bool, len(records))}
	for _, r := range records {
		if r.GetEvacuated() {
			out.evacuated[r.GetDataCentre()] = true
		} else if fleetTime < r.GetChangedMs()+uint64(evacuationListDelay.Milliseconds()) {
			out.endedLately = append(out.endedLately, r.GetDataCentre())
		}
	}
	return out, err
}

// updateEvacuations publishes the list of endpoints again if an evacuation has begun or
// ended. It does so at once, since a data centre may be about to lose power.
func (s *Server) updateEvacuations(ctx context.Context) {
	found, err := s.readEvacuations(ctx)
	if err != nil {
		s.cfg.Log.Warn("evacuations cannot be read", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.term == 0 || found.version == s.mu.evacuations.version {
		return
	}
	for dataCentre := range s.mu.evacuations.evacuated {
		if !found.evacuated[dataCentre] {
			s.mu.warmUps.EvacuationEnded(s.now(), dataCentre)
		}
	}
	s.mu.evacuations = found
	if !s.mu.listed {
		return // the first list is published with them
	}
	list := slices.Clone(s.mu.list)
	s.markEvacuatedLocked(list)
	s.mu.list = list
	s.mu.planner.SetEndpoints(list)
	s.applyWarmUpsLocked()
	s.publishLocked()
	s.cfg.Log.Info("evacuations published", "version", found.version, "data_centres", len(found.evacuated), "list", s.mu.published.version)
}

// markEvacuatedLocked sets Evacuated of each endpoint. The platform does not know it.
func (s *Server) markEvacuatedLocked(list []Endpoint) {
	for i := range list {
		list[i].Evacuated = s.mu.evacuations.evacuated[list[i].DataCentre]
	}
}

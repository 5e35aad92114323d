package directory

import (
	"cmp"
	"slices"

	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// warmingReplica is the capacity of a warming engine relative to another one. It is
	// an assumption, since engines do not state how slow they are meanwhile.
	warmingReplica = 0.5
	// maxWarmUpLogs bounds the log lines for endpoints that begin or end to warm up
	// together, for example those of a data centre.
	maxWarmUpLogs = 8
)

// serviceLocked returns a service of the catalog, or nil.
func (s *Server) serviceLocked(name string) *catalog.Service {
	if s.mu.index == nil {
		return nil
	}
	return s.mu.index.Service(name)
}

// updateWarmUps publishes the warm-ups that ended with time or changed with the catalog.
// The end of a warm-up is not urgent; its beginning is published at once.
func (s *Server) updateWarmUps() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mu.warmUps.Count()
	if !s.applyWarmUpsLocked() {
		return
	}
	if s.mu.warmUps.Count() > before {
		s.publishLocked()
		return
	}
	s.schedulePublishLocked()
}

// applyWarmUpsLocked passes the beginnings and ends of warm-ups on to the planner, the
// log and the metrics. It reports whether there are any.
func (s *Server) applyWarmUpsLocked() bool {
	changes := s.mu.warmUps.Changes(s.now(), s.serviceLocked)
	if len(changes) == 0 {
		return false
	}
	slices.SortFunc(changes, func(a, b WarmUpChange) int { return cmp.Compare(a.EndpointID, b.EndpointID) })
	for i, c := range changes {
		s.mu.planner.setWarming(c.EndpointID, c.Warming)
		if i < maxWarmUpLogs {
			s.cfg.Log.Info("endpoint's warm-up changed", "endpoint", c.EndpointID, "service", c.Service, "warming_up", c.Warming)
		}
	}
	if more := len(changes) - maxWarmUpLogs; more > 0 {
		s.cfg.Log.Info("warm-up of further endpoints changed", "endpoints", more)
	}
	s.cfg.Metrics.WarmingEndpoints(s.mu.warmUps.Count())
	return true
}

func (p *Planner) setWarming(id string, warming bool) {
	if e := p.engines[id]; e != nil {
		e.warming = warming
	}
}

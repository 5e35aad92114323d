package directory

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// schedulePublishLocked publishes a new version now or, if the last one was
// published a moment ago, after the rest of the interval.
func (s *Server) schedulePublishLocked() {
	if s.mu.publishScheduled {
		return
	}
	pause := s.mu.publishedAt + time.Duration(s.mu.watchers.count)*publishIntervalPerEntry - s.now()
	if pause <= 0 {
		s.publishLocked()
		return
	}
	s.mu.publishScheduled = true
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.publishScheduled = false
		s.publishLocked()
	})
}

// publishLocked publishes a new version with all changes since the last one. It has the
// listed endpoints whose software version is committed.
func (s *Server) publishLocked() {
	s.mu.publishedAt = s.now()
	endpoints := make([]*peerv1.DirectoryEndpoint, 0, len(s.mu.list))
	for _, e := range s.mu.list {
		if s.mu.versions.Published(versionOf(e)) {
			endpoints = append(endpoints, s.describeLocked(e))
		}
	}
	s.mu.published.publish(endpoints)
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

func (s *Server) describeLocked(e Endpoint) *peerv1.DirectoryEndpoint {
	out := &peerv1.DirectoryEndpoint{
		Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: uint32(e.Slots), Leaving: e.Leaving, Evacuated: e.Evacuated,
		WarmingUp:       s.mu.warmUps.Warming(e.ID),
		SoftwareVersion: e.SoftwareVersion, VersionsDiffer: s.mu.versions.Differ(e.Service),
	}
	p := s.mu.planner.engines[e.ID]
	if p == nil {
		return out
	}
	out.Leaving = out.Leaving || p.report.Leaving
	out.KvTotal = uint64(p.report.KVTotal)
	for _, m := range p.report.Models {
		_, draining := p.draining[m.Model]
		out.Models = append(out.Models, &peerv1.ResidentSet{Model: m.Model, Adapters: m.Adapters, Closing: draining})
	}
	return out
}

package directory

import (
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// published is an endpoint as entries are told of it.
type published struct {
	message *peerv1.DirectoryEndpoint
	version uint64
}

// bumpLocked makes a new version of what entries are told: what changed since
// the last one.
func (s *Server) bumpLocked() {
	s.mu.version++
	present := make(map[string]bool, len(s.mu.list))
	for _, e := range s.mu.list {
		present[e.ID] = true
		old := s.mu.published[e.ID]
		message := s.describeLocked(e)
		if old == nil || !proto.Equal(old.message, message) {
			s.mu.published[e.ID] = &published{message: message, version: s.mu.version}
		}
	}
	for id := range s.mu.published {
		if !present[id] {
			// A partial list cannot tell of an endpoint that is gone.
			delete(s.mu.published, id)
			s.mu.complete = s.mu.version
		}
	}
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

// sinceLocked returns what changed after a version, or everything.
func (s *Server) sinceLocked(version uint64, partial bool) []*peerv1.DirectoryEndpoint {
	var out []*peerv1.DirectoryEndpoint
	for _, e := range s.mu.list {
		if p := s.mu.published[e.ID]; p != nil && (!partial || p.version > version) {
			out = append(out, p.message)
		}
	}
	return out
}

func (s *Server) describeLocked(e Endpoint) *peerv1.DirectoryEndpoint {
	out := &peerv1.DirectoryEndpoint{
		Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: uint32(e.Slots), Leaving: e.Leaving,
	}
	p := s.mu.planner.engines[e.ID]
	if p == nil {
		return out
	}
	out.Leaving = out.Leaving || p.report.Leaving
	out.KvTotal = uint64(p.report.KVTotal)
	for _, m := range p.report.Models {
		_, closing := p.closing[m.Model]
		out.Models = append(out.Models, &peerv1.ResidentSet{Model: m.Model, Adapters: m.Adapters, Closing: closing})
	}
	return out
}

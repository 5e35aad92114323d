package directory

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// published is an endpoint as sent to entries, with the version of its last change.
type published struct {
	message *peerv1.DirectoryEndpoint
	version uint64
}

// schedulePublishLocked publishes a new version now or, if the last one was
// published a moment ago, after the rest of the interval.
func (s *Server) schedulePublishLocked() {
	if s.mu.publishScheduled {
		return
	}
	pause := s.mu.publishedAt + time.Duration(s.mu.shares.EntryCount())*publishIntervalPerEntry - s.now()
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

// publishLocked publishes a new version with all changes since the last one.
func (s *Server) publishLocked() {
	s.mu.version++
	s.mu.publishedAt = s.now()
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
			delete(s.mu.published, id)
			s.recordRemovedLocked(id)
		}
	}
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

// maxRemovedEndpoints bounds the removed endpoints that are remembered for deltas.
const maxRemovedEndpoints = 256

// removedEndpoint is an endpoint that was removed from the list at a version.
type removedEndpoint struct {
	id      string
	version uint64
}

// recordRemovedLocked remembers a removed endpoint for deltas to entries that still
// have it. Entries with a version older than the last removal that was dropped get
// the whole list.
func (s *Server) recordRemovedLocked(id string) {
	s.mu.removed = append(s.mu.removed, removedEndpoint{id, s.mu.version})
	if n := len(s.mu.removed) - maxRemovedEndpoints; n > 0 {
		s.mu.minDeltaVersion = s.mu.removed[n-1].version
		s.mu.removed = slices.Delete(s.mu.removed, 0, n)
	}
}

// removedSinceLocked returns the endpoints that were removed after a version,
// without those that are listed again.
func (s *Server) removedSinceLocked(version uint64) []string {
	var out []string
	for _, r := range s.mu.removed {
		if r.version > version && s.mu.published[r.id] == nil {
			out = append(out, r.id)
		}
	}
	return out
}

// changedSinceLocked returns the endpoints that changed after a version.
func (s *Server) changedSinceLocked(version uint64) []*peerv1.DirectoryEndpoint {
	var out []*peerv1.DirectoryEndpoint
	for _, e := range s.mu.list {
		if p := s.mu.published[e.ID]; p != nil && p.version > version {
			out = append(out, p.message)
		}
	}
	return out
}

// packedList is the whole list of endpoints at a version, encoded and compressed.
type packedList struct {
	version uint64
	data    []byte
}

// packLocked returns the packed list. The same one is used for up to packedVersions
// further versions: after a restart of all entries each of them requests it, and
// the next delta brings an older list up to date.
func (s *Server) packLocked() (packedList, error) {
	p := s.mu.packed
	if p.data != nil && p.version >= s.mu.minDeltaVersion && s.mu.version-p.version <= packedVersions {
		return p, nil
	}
	list := &peerv1.EndpointList{}
	for _, e := range s.mu.list {
		if published := s.mu.published[e.ID]; published != nil {
			list.Endpoints = append(list.Endpoints, published.message)
		}
	}
	data, err := proto.Marshal(list)
	if err != nil {
		return packedList{}, err
	}
	if data, err = catalog.Pack(data); err != nil {
		return packedList{}, err
	}
	s.mu.packed = packedList{version: s.mu.version, data: data}
	return s.mu.packed, nil
}

// packedVersions is how many versions old a packed list may be.
const packedVersions = 16

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
		_, draining := p.draining[m.Model]
		out.Models = append(out.Models, &peerv1.ResidentSet{Model: m.Model, Adapters: m.Adapters, Closing: draining})
	}
	return out
}

package directory

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// published is an endpoint as entries are told of it.
type published struct {
	message *peerv1.DirectoryEndpoint
	version uint64
}

// bumpLocked makes a new version of what entries are told, now or, if the last one
// was made a moment ago, a little later.
func (s *Server) bumpLocked() {
	if s.mu.publishing {
		return
	}
	pause := s.mu.publishedAt + time.Duration(s.mu.shares.EntryCount())*publishPerEntry - s.now()
	if pause <= 0 {
		s.publishLocked()
		return
	}
	s.mu.publishing = true
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.publishing = false
		s.publishLocked()
	})
}

// publishLocked finds what changed since the last version.
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
			s.noteGoneLocked(id)
		}
	}
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

// goneKept is how many endpoints that are gone are remembered for partial answers.
const goneKept = 256

// gone is an endpoint that left the list.
type gone struct {
	id      string
	version uint64
}

// noteGoneLocked remembers an endpoint for answers to entries that still have it.
// Entries older than the oldest that is remembered get the whole list.
func (s *Server) noteGoneLocked(id string) {
	s.mu.gone = append(s.mu.gone, gone{id, s.mu.version})
	if n := len(s.mu.gone) - goneKept; n > 0 {
		s.mu.complete = s.mu.gone[n-1].version
		s.mu.gone = slices.Delete(s.mu.gone, 0, n)
	}
}

// goneSinceLocked returns the endpoints that left the list after a version. Some
// of them may have come back.
func (s *Server) goneSinceLocked(version uint64) []string {
	var out []string
	for _, g := range s.mu.gone {
		if g.version > version && s.mu.published[g.id] == nil {
			out = append(out, g.id)
		}
	}
	return out
}

// sinceLocked returns what changed after a version.
func (s *Server) sinceLocked(version uint64) []*peerv1.DirectoryEndpoint {
	var out []*peerv1.DirectoryEndpoint
	for _, e := range s.mu.list {
		if p := s.mu.published[e.ID]; p != nil && p.version > version {
			out = append(out, p.message)
		}
	}
	return out
}

// packedList is the whole list of endpoints as of a version, ready to be sent.
type packedList struct {
	version uint64
	data    []byte
}

// packLocked returns the whole list, packed for at most packedVersions versions:
// after a restart of all entries each of them asks for it, and a list of a
// moment ago is brought up to date by what changed since.
func (s *Server) packLocked() (packedList, error) {
	p := s.mu.packed
	if p.data != nil && p.version >= s.mu.complete && s.mu.version-p.version <= packedVersions {
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
		_, closing := p.closing[m.Model]
		out.Models = append(out.Models, &peerv1.ResidentSet{Model: m.Model, Adapters: m.Adapters, Closing: closing})
	}
	return out
}

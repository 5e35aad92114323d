package directory

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// listReader applies the responses of a directory like an entry.
type listReader struct {
	epoch, version uint64
	endpoints      map[string]bool // identifier -> leaving
}

func (l *listReader) read(t *rapid.T, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &peerv1.WatchResponse{}
	if err := s.addEndpointsLocked(out, &peerv1.WatchRequest{Epoch: l.epoch, EndpointsVersion: l.version}); err != nil {
		t.Fatal(err)
	}
	changed := out.GetEndpoints()
	if !out.GetPartial() {
		data, err := catalog.Unpack(out.GetPacked())
		if err != nil {
			t.Fatal(err)
		}
		list := &peerv1.EndpointList{}
		if err := proto.Unmarshal(data, list); err != nil {
			t.Fatal(err)
		}
		l.endpoints, changed = map[string]bool{}, list.GetEndpoints()
	}
	for _, id := range out.GetGone() {
		delete(l.endpoints, id)
	}
	for _, e := range changed {
		l.endpoints[e.GetId()] = e.GetLeaving()
	}
	l.epoch, l.version = out.GetEpoch(), out.GetEndpointsVersion()
}

// Guards against entries whose list differs from the leader's: an endpoint that an
// entry keeps too long gets requests while it leaves. Entries get deltas, and a new
// entry gets a list that may be some versions old. Whenever an entry asks, and
// however much it missed, it must have exactly the leader's list after two
// responses.
func TestEntriesFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{Log: slog.New(slog.DiscardHandler)})
		s.setTerm(1)
		readers := []*listReader{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				s.setTerm(s.mu.term + uint64(rapid.IntRange(0, 1).Draw(t, "terms")))
			case 1, 2, 3, 4:
				var list []Endpoint
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 0, 400, rapid.ID[int]).Draw(t, "listed") {
					list = append(list, Endpoint{ID: fmt.Sprint(n), Leaving: rapid.IntRange(0, 9).Draw(t, "state") == 0})
				}
				s.setList(s.mu.term, list, nil)
				s.mu.Lock()
				s.publishLocked()
				s.mu.Unlock()
			default:
				r := rapid.SampledFrom(readers).Draw(t, "reader")
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					*r = listReader{}
				}
				r.read(t, s)
			}
		}
		for i, r := range readers {
			r.read(t, s)
			r.read(t, s)
			var got, want []string
			for id, leaving := range r.endpoints {
				got = append(got, fmt.Sprint(id, leaving))
			}
			for _, e := range s.mu.list {
				want = append(want, fmt.Sprint(e.ID, e.Leaving))
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("entry %d has %v, the list is %v", i, got, want)
			}
		}
	})
}

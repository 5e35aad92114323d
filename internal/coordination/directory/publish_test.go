package directory

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// listReader applies the list of a control VM like an entry.
type listReader struct {
	epoch, version uint64
	endpoints      map[string]string // identifier -> whether it is leaving and evacuated
}

func (l *listReader) read(t *rapid.T, from *endpointList) {
	if from.olderThan(l.epoch, l.version) {
		return
	}
	u, err := from.since(l.epoch, l.version)
	if err != nil {
		t.Fatal(err)
	}
	changed := u.changed
	if !u.partial {
		if changed, err = UnpackEndpoints(u.packed); err != nil {
			t.Fatal(err)
		}
		l.endpoints = map[string]string{}
	}
	for _, id := range u.gone {
		delete(l.endpoints, id)
	}
	for _, e := range changed {
		l.endpoints[e.GetId()] = fmt.Sprint(e.GetLeaving(), e.GetEvacuated())
	}
	l.epoch, l.version = u.epoch, u.version
}

// follow brings the copy of a control VM up to date with the leader's list.
func follow(t *rapid.T, list *endpointList, s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, err := s.mu.published.since(list.epoch, list.version)
	if err != nil {
		t.Fatal(err)
	}
	if err := list.apply(u); err != nil {
		t.Fatal(err)
	}
}

// Guards against entries whose list differs from the leader's: an endpoint that an
// entry keeps too long gets requests while it leaves or while its data centre is
// evacuated. Entries get deltas from a copy
// that a control VM holds, change from one control VM to another, which may be behind
// the first, and a new entry gets a list that may be some versions old. Whenever an
// entry asks, and however much it missed, it must have exactly the leader's list
// after two responses of a control VM that follows the leader.
func TestEntriesFollowTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeEvacuationStore{}
		s := New(Config{Log: slog.New(slog.DiscardHandler), Evacuations: store})
		setTerm(s, 1)
		copies := []*endpointList{newEndpointList(), newEndpointList(), s.mu.published}
		readers := []*listReader{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 13).Draw(t, "action") {
			case 0:
				setTerm(s, s.mu.term+uint64(rapid.IntRange(0, 1).Draw(t, "terms")))
			case 1, 2, 3, 4:
				var list []Endpoint
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 400), 0, 400, rapid.ID[int]).Draw(t, "listed") {
					list = append(list, Endpoint{ID: fmt.Sprint(n), DataCentre: fmt.Sprint(n % 3), Leaving: rapid.IntRange(0, 9).Draw(t, "state") == 0})
				}
				s.setList(s.mu.term, list, 0, nil)
				s.mu.Lock()
				s.publishLocked()
				s.mu.Unlock()
			case 5:
				store.set(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "data centre")), rapid.Bool().Draw(t, "evacuated"))
				s.updateEvacuations(t.Context())
			case 6, 7, 8:
				n := rapid.IntRange(0, 1).Draw(t, "control VM")
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					*copies[n] = *newEndpointList()
				}
				follow(t, copies[n], s)
			default:
				r := rapid.SampledFrom(readers).Draw(t, "reader")
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					*r = listReader{}
				}
				r.read(t, rapid.SampledFrom(copies).Draw(t, "copy"))
			}
		}
		for i, r := range readers {
			from := copies[i]
			follow(t, from, s)
			follow(t, from, s)
			r.read(t, from)
			r.read(t, from)
			var got, want []string
			for id, state := range r.endpoints {
				got = append(got, fmt.Sprint(id, " ", state))
			}
			for _, e := range s.mu.list {
				want = append(want, fmt.Sprint(e.ID, " ", fmt.Sprint(e.Leaving, store.evacuated(e.DataCentre))))
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("entry %d has %v, the list is %v", i, got, want)
			}
		}
	})
}

// Guards against an entry that starts after an evacuation, or after endpoints began to
// warm up or changed their software version, and gets an older packed list that does not
// say so.
func TestPackedListHasEvacuationsWarmUpsAndVersions(t *testing.T) {
	plain := &peerv1.DirectoryEndpoint{Id: "e"}
	for name, restricted := range map[string]*peerv1.DirectoryEndpoint{
		"evacuated":  {Id: "e", Evacuated: true},
		"warming up": {Id: "e", WarmingUp: true},
		"updated":    {Id: "e", SoftwareVersion: "v2"},
	} {
		leader, copied := newEndpointList(), newEndpointList()
		leader.begin(1, 0)
		leader.publish([]*peerv1.DirectoryEndpoint{plain})
		check := func(of string, l *endpointList, want *peerv1.DirectoryEndpoint) {
			u, err := l.since(0, 0)
			if err != nil {
				t.Fatal(err)
			}
			list, err := UnpackEndpoints(u.packed)
			if err != nil || len(list) != 1 || !proto.Equal(list[0], want) {
				t.Errorf("%s: the %s packs %v, error %v, want %v", name, of, list, err, want)
			}
		}
		update := func(epoch, version uint64) {
			u, err := leader.since(epoch, version)
			if err == nil {
				err = copied.apply(u)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		update(0, 0)
		check("leader", leader, plain)
		check("copy", copied, plain)
		leader.publish([]*peerv1.DirectoryEndpoint{restricted})
		update(copied.epoch, copied.version)
		check("leader", leader, restricted)
		check("copy", copied, restricted)
	}
}

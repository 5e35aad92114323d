package forward

import (
	"context"
	"log/slog"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// partitionedControl simulates control VMs in a network partition: only the last one
// leads, and the others do not know a leader.
type partitionedControl struct {
	members []*statev1.Member
	calls   map[string]int
}

func (s *partitionedControl) Watch(_ context.Context, address string, _ *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	s.calls[address]++
	leads := address == s.members[len(s.members)-1].GetAddress()
	return &peerv1.WatchResponse{NotLeading: !leads, Members: s.members}, nil
}

func (s *partitionedControl) Load(context.Context, string, *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	return &peerv1.LoadResponse{}, nil
}

func (s *partitionedControl) Report(context.Context, string, *peerv1.EvidenceReport) (*peerv1.EvidenceResponse, error) {
	return &peerv1.EvidenceResponse{}, nil
}

func (s *partitionedControl) Streams(context.Context, string, *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	return &peerv1.StreamsResponse{}, nil
}

// An entry whose first control VMs do not know a leader must call all others too: in
// a network partition the first ones may all be on the side without the leader.
func TestWatcherFindsLeaderAcrossPartition(t *testing.T) {
	control := &partitionedControl{calls: map[string]int{}}
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		control.members = append(control.members, &statev1.Member{Address: a})
	}
	w := NewWatcher(WatcherConfig{Directory: control, Session: &statev1.Session{}, Log: slog.New(slog.DiscardHandler)})
	w.SetSeeds([]string{"a", "b", "c"})
	s := newFixture(t).server
	for range 2 * len(control.members) {
		address, _ := w.controls.address(time.Now())
		if err := w.poll(context.Background(), s, address); err == nil {
			return
		}
		w.controls.next()
	}
	t.Fatalf("the leader was not called: %v", control.calls)
}

// behindControl simulates a control VM that has no list of endpoints, or an older one.
type behindControl struct{ partitionedControl }

func (*behindControl) Watch(context.Context, string, *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	return &peerv1.WatchResponse{Behind: true}, nil
}

// Guards against an entry that was frozen and sends by its old list of endpoints after
// the answer of a control VM that cannot know whether this list is current.
func TestControlVMWithoutListConfirmsNothing(t *testing.T) {
	w := NewWatcher(WatcherConfig{Directory: &behindControl{}, Session: &statev1.Session{}, Log: slog.New(slog.DiscardHandler)})
	s := newFixture(t).server
	s.mu.listState = listState{unconfirmed: true, confirmed: make(chan struct{})}
	if err := w.poll(t.Context(), s, "a"); err != nil {
		t.Fatal(err)
	}
	if unconfirmed, _ := s.listUnconfirmed(); !unconfirmed {
		t.Error("the list counts as confirmed")
	}
}

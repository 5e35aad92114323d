package forward

import (
	"context"
	"log/slog"
	"testing"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// splitControl answers like control VMs that are cut in two: only the last one
// leads, and the others know no leader.
type splitControl struct {
	members []*statev1.Member
	asked   map[string]int
}

func (s *splitControl) Watch(_ context.Context, address string, _ *peerv1.WatchRequest) (*peerv1.WatchResponse, error) {
	s.asked[address]++
	leads := address == s.members[len(s.members)-1].GetAddress()
	return &peerv1.WatchResponse{NotLeading: !leads, Members: s.members}, nil
}

func (s *splitControl) Load(context.Context, string, *peerv1.LoadRequest) (*peerv1.LoadResponse, error) {
	return &peerv1.LoadResponse{}, nil
}

// An entry that meets control VMs without a leader must ask every other one: in
// a split the first of them may all be on the wrong side.
func TestWatcherFindsTheLeaderOfTheOtherHalf(t *testing.T) {
	control := &splitControl{asked: map[string]int{}}
	for _, a := range []string{"a", "b", "c", "d", "e"} {
		control.members = append(control.members, &statev1.Member{Address: a})
	}
	w := &Watcher{Directory: control, Session: &statev1.Session{}, Log: slog.New(slog.DiscardHandler)}
	w.SetSeeds([]string{"a", "b", "c"})
	s := newWorld(t).server
	for range 2 * len(control.members) {
		address, _ := w.address()
		if err := w.once(context.Background(), s, address); err == nil {
			return
		}
		w.moveOn()
	}
	t.Fatalf("the leader was not asked: %v", control.asked)
}

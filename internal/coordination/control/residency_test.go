package control

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// Guards against an entry whose residency differs from the last published list. The
// entry applies partial lists to the list that it has, skips versions, and receives
// lists of different leaders.
func TestPartialResidencyUpdates(t *testing.T) {
	proptest.CheckSeeds(t, 200, func(t *rapid.T) {
		var leaders [2]residency
		term := uint64(1)
		entries := make([]struct {
			version uint64
			view    map[string]string
		}, 3)
		for range 30 {
			if proptest.IntN(t, 8) == 0 {
				term++
			}
			var list []*peerv1.EndpointResidency
			for e := range 3 + proptest.IntN(t, 3) {
				list = append(list, &peerv1.EndpointResidency{
					Endpoint: fmt.Sprint("e", e), ReadyModels: []string{fmt.Sprint("m", proptest.IntN(t, 3))},
				})
			}
			leader := &leaders[term%2]
			leader.publish(term, list)
			e := &entries[proptest.IntN(t, len(entries))]
			changed, partial := leader.since(e.version)
			if !partial {
				e.view = make(map[string]string)
			}
			for _, r := range changed {
				e.view[r.GetEndpoint()] = r.GetReadyModels()[0]
			}
			e.version = leader.version
			published := make(map[string]string)
			for _, r := range list {
				published[r.GetEndpoint()] = r.GetReadyModels()[0]
			}
			if fmt.Sprint(e.view) != fmt.Sprint(published) {
				t.Fatalf("the entry has residency %v, the last published list is %v", e.view, published)
			}
		}
	})
}

package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Guards against recent versions that do not reach the other control VMs, or are lost with
// the power of all of them, and against a deposed leader that takes its declaration for
// committed.
func TestRecentVersionsOutliveARestartOfAllControlVMs(t *testing.T) {
	n := &network{servers: map[string]*Server{}}
	var servers []*runningServer
	for i := range 3 {
		servers = append(servers, n.start(t, i, 3, newDisk()))
	}
	put := func(r *runningServer, term uint64, versions ...string) (err error) {
		eventually(t, "the declaration is answered", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err = r.PutRecentVersions(ctx, &statev1.PutRecentVersions{Term: term, Services: []*statev1.ServiceVersions{{Service: "s", Versions: versions}}})
			return err == nil || resultcode.Of(err) == resultcode.FencingTokenOld
		})
		return err
	}
	have := func(want ...string) {
		t.Helper()
		for i, r := range servers {
			eventually(t, fmt.Sprintf("control VM %d has %v", i, want), func() bool {
				got, err := r.RecentVersions(t.Context())
				return err == nil && len(got) == 1 && fmt.Sprint(got[0].GetVersions()) == fmt.Sprint(want)
			})
		}
	}
	if err := put(servers[0], 900, "v1"); err != nil {
		t.Fatal(err)
	}
	if err := put(servers[1], 901, "v2"); err != nil {
		t.Fatal(err)
	}
	have("v1", "v2")
	if err := put(servers[2], 900, "v3"); resultcode.Of(err) != resultcode.FencingTokenOld {
		t.Errorf("declaration of an earlier term: %v", err)
	}
	for _, r := range servers {
		r.cancel()
		<-r.ended
		r.disk.Crash()
	}
	for i, r := range servers {
		servers[i] = n.start(t, i, 3, r.disk)
	}
	have("v1", "v2")
}

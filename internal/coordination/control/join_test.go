package control

import (
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/virtualtime"
)

// Guards against a new control VM that waits for a frozen seed in each step of its
// way into the fleet.
func TestJoinWaitsForAFrozenSeedOnlyOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := &network{servers: map[string]*Server{}, hangs: "10.0.0.9:1"}
		founder := n.start(t, 0, 1, newDisk())
		added := &statev1.Member{Vm: "added", Address: "10.0.0.2:1"}
		peers := []*statev1.Member{{Vm: "frozen", Address: n.hangs}, {Vm: "vm0", Address: "10.0.0.1:1"}}
		time.Sleep(time.Second)
		joining := n.run(t, Config{Dir: "data", FS: newDisk(), Member: added, Peers: peers, Transport: n})
		time.Sleep(joinTimeout + 3*time.Second)
		if got := founder.voters(t); got != 2 {
			t.Errorf("%d voters %v after the start of the second VM, want 2", got, joinTimeout+3*time.Second)
		}
		for _, s := range []*runningServer{joining, founder} {
			s.cancel()
			if err := <-s.ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		}
	})
}

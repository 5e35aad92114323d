package forward

import (
	"fmt"
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// fiveDataCentres returns nine control VMs in five data centres.
func fiveDataCentres() []*statev1.Member {
	var out []*statev1.Member
	for i := range 9 {
		out = append(out, &statev1.Member{Address: fmt.Sprintf("c%d", i), DataCentre: fmt.Sprintf("dc%d", i%5)})
	}
	return out
}

// Guards against lists that cross to a data centre once for each of its entries, and
// against one control VM that serves all of them: entries watch a control VM of their
// own data centre, and are spread over those.
func TestEntriesWatchTheirDataCentre(t *testing.T) {
	watching := map[string]int{}
	for i := range 60 {
		c := &controlVMs{vm: fmt.Sprint("entry", i), dataCentre: "dc1"}
		c.setSeeds([]string{"c3", "c4"})
		c.set(fiveDataCentres(), "c3") // the first response came from a seed
		now := time.Now()
		if a, _ := c.address(now); a != "c3" {
			t.Fatalf("the address in use changed to %s without need", a)
		}
		a, _ := c.address(now.Add(returnDelay + returnSpread + time.Millisecond))
		watching[a]++
	}
	if watching["c1"]+watching["c6"] != 60 || watching["c1"] < 15 || watching["c6"] < 15 {
		t.Fatalf("entries of dc1, whose control VMs are c1 and c6, watch %v", watching)
	}
}

// Guards against an entry that loses the control VM in use by trying its preferred
// one, and against one that stays with a control VM that does not answer.
func TestFailedReturnKeepsTheControlVMInUse(t *testing.T) {
	c := &controlVMs{vm: "entry", dataCentre: "dc1"}
	c.setSeeds([]string{"c3"})
	c.set(fiveDataCentres(), "c3")
	later := time.Now().Add(returnDelay + returnSpread + time.Millisecond)
	if a, _ := c.address(time.Now()); a != "c3" {
		t.Fatal(a)
	}
	preferred, _ := c.address(later)
	c.next() // the preferred one did not answer
	if a, _ := c.address(later); a != "c3" || preferred == "c3" {
		t.Fatalf("after %s failed, %s is called instead of c3", preferred, a)
	}
	seen := map[string]bool{}
	for range 9 {
		a, _ := c.address(later)
		seen[a] = true
		c.next()
	}
	if len(seen) != 9 {
		t.Fatalf("only %v are called while none answers", seen)
	}
}

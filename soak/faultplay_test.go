package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// faultPlay is a play in which endpoints that are sound otherwise commit one fault.
type faultPlay struct {
	faults standin.Faults
	// count counts the fault.
	count   *atomic.Int64
	callers int
	// call sends requests of a worker until the end.
	call func(c *callers, end time.Time, worker int, r *rand.Rand)
}

// playFault plays and returns the number of requests by their status. It asks for requests
// that are served, and for none that waits until its deadline.
func (f *fleet) playFault(p faultPlay) map[int]int {
	const length = 4 * time.Second
	f.waitReady(startTimeout)
	for i, e := range f.servers {
		e.SetFaults(p.faults, uint64(f.run+i))
	}
	load := &callers{fleet: f}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range p.callers {
		wg.Go(func() { p.call(load, end, i, rand.New(rand.NewPCG(uint64(f.run), uint64(i)))) })
	}
	wg.Wait()
	served, statuses := f.checkOutcomes(load.outcomes)
	var longest time.Duration
	for _, o := range load.outcomes {
		longest = max(longest, o.took)
		if o.status == 0 {
			f.t.Logf("request %s to %s at %s got no answer after %v: %v", o.id, o.prefix, o.sent.Format(time.StampMilli), o.took, o.err)
		}
	}
	f.t.Logf("%d requests, %d served, %v by status, %d faults, longest %v", len(load.outcomes), served, statuses, p.count.Load(), longest)
	if served == 0 || p.count.Load() == 0 {
		f.t.Error("no request was served, or no answer had the fault")
	}
	if n := statuses[http.StatusGatewayTimeout]; n > 0 {
		f.t.Errorf("%d callers waited until their deadline", n)
	}
	return statuses
}

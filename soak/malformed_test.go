package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Guards against an answer that is no HTTP response, from an endpoint that is sound
// otherwise, of which a caller gets any part, whose statement that the request did not run
// is believed, or on which a caller waits until its deadline. Status 000 and names with a
// blank or a control byte count.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	const (
		seed, callerCount = 9048, 36
		rate              = 0.1
		length            = 4 * time.Second
	)
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 3})
	f.putFirstCatalog(standin.RouteTimeout)
	f.waitReady(startTimeout)
	for i, e := range f.servers {
		e.SetFaults(standin.Faults{Malformed: rate}, seed+uint64(i))
	}
	load := &callers{fleet: f}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { load.callUntil(end, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Wait()
	served, statuses := f.checkOutcomes(load.outcomes)
	malformed := f.endpoints.Counts.Malformed.Load()
	t.Logf("%d requests, %d served, %v by status, %d malformed answers", len(load.outcomes), served, statuses, malformed)
	if served == 0 || malformed == 0 {
		t.Error("no request was served, or no answer was malformed")
	}
	if n := statuses[http.StatusGatewayTimeout]; n > 0 {
		t.Errorf("%d callers waited until their deadline", n)
	}
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// callUntil sends requests of all kinds, on a connection to one entry that is kept.
func (c *callers) callUntil(end time.Time, worker int, r *rand.Rand) {
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixResumable}
	s := &session{address: c.fleet.entries[worker%len(c.fleet.entries)].callerAddress()}
	defer s.close()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.Int64N(int64(callerInterval))))
		c.record(c.send(s, prefixes[r.IntN(len(prefixes))], standin.Model, shape{deadline: callerDeadline}))
	}
}

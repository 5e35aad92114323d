package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// copyPlay is a play in which refusals are copied on their connections.
type copyPlay struct {
	name             string
	entries, callers int
	// repeats is how often a caller repeats a refused request, at one entry after the other.
	repeats int
	faults  standin.Faults
	work    time.Duration
	// rename is the time between two changes of an identifier; zero means none.
	rename time.Duration
	length time.Duration
}

// Guards against a copy of a refusal that is believed when the refused request is under way
// again on the same connection: it then runs twice, or although it is refused. It gets
// there again under another identifier of the endpoint, or since the caller repeats it. Also
// guards against a refusal that names no request and is believed.
func TestCopiedRefusalsAreNotBelieved(t *testing.T) {
	const seed = 9011
	refusals := standin.Faults{Refuse: 0.3, Early: 0.3, Copy: 1}
	plays := []copyPlay{
		{name: "endpoints change their identifier", entries: 1, callers: 40, faults: standin.Faults{Copy: 1}, work: 700 * time.Millisecond, rename: 900 * time.Millisecond, length: 4 * time.Second},
		{name: "callers repeat an identifier", entries: 1, callers: 4, repeats: 3, faults: refusals, work: standin.RequestTime, length: 1500 * time.Millisecond},
		{name: "callers repeat an identifier at two entries", entries: 2, callers: 4, repeats: 3, faults: refusals, work: standin.RequestTime, length: 2 * time.Second},
		{name: "refusals name no request", entries: 1, callers: 8, faults: standin.Faults{Refuse: 0.1, Repeat: 1, Unnamed: 1}, work: standin.RequestTime, length: time.Second},
	}
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 2})
	f.putFirstCatalog(standin.RouteTimeout)
	f.waitReady(startTimeout)
	c := &callers{fleet: f}
	for i, p := range plays {
		t.Run(p.name, func(t *testing.T) { p.run(t, c, uint64(seed+i)) })
	}
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// run plays at two plain endpoints; the others are leaving.
func (p *copyPlay) run(t *testing.T, c *callers, seed uint64) {
	f, copies := c.fleet, c.fleet.endpoints.Counts.Copies.Load()
	for i, e := range f.servers {
		e.SetLeaving(i > 1)
		e.SetWork(p.work)
		e.SetFaults(p.faults, seed+uint64(i))
	}
	c.outcomes = nil
	var wg sync.WaitGroup
	end := time.Now().Add(p.length)
	for i := range p.callers {
		wg.Go(func() { p.call(c, end, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	r := rand.New(rand.NewPCG(seed, 1000))
	for n := 0; p.rename > 0 && time.Now().Before(end); n++ {
		f.servers[n%2].Rename(fmt.Sprintf("e-%d_%d", n%2, n), time.Duration(r.Int64N(int64(p.rename/3))))
		time.Sleep(p.rename)
	}
	wg.Wait()
	for _, o := range c.outcomes {
		if violation := findViolation(f.endpoints, o); violation != "" {
			t.Errorf("request %s, number %d: %s", o.id, o.number, violation)
		}
	}
	copies = f.endpoints.Counts.Copies.Load() - copies
	t.Logf("%d requests, %d copies of refusals", len(c.outcomes), copies)
}

// call sends requests until the end, on one connection to each entry.
func (p *copyPlay) call(c *callers, end time.Time, r *rand.Rand) {
	sessions := make([]*session, p.entries)
	for i := range sessions {
		sessions[i] = &session{address: c.fleet.entries[i].callerAddress()}
		defer sessions[i].close()
	}
	for n := r.IntN(p.entries); time.Now().Before(end); n++ {
		time.Sleep(time.Duration(r.Int64N(int64(callerInterval))))
		of := shape{deadline: callerDeadline}
		if r.IntN(4) == 0 {
			of.bodySize = 100<<10 + r.IntN(1<<20)
		}
		o := c.send(sessions[n%p.entries], standin.PrefixNonIdempotent, "", of)
		c.record(o)
		for range p.repeats {
			if !promisesNotRun(o.status) {
				break
			}
			n++
			o.number++
			o = c.sendAgain(sessions[n%p.entries], o, "", of.deadline)
			c.record(o)
		}
	}
}

package soak

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/platform/standin"
)

// outcome is the result of one request as its caller sees it.
type outcome struct {
	id, prefix string
	// number tells requests with the same identifier apart. Each of them is a request of
	// its own for the guarantees, so two of them may run once each.
	number int
	sent   time.Time
	status int
	// code is the result code in the response, 0 without one.
	code resultcode.Code
	// retryAfter is when the caller may come back, 0 if the response does not say it.
	retryAfter time.Duration
	// answerID is the identifier in the response, which may be missing.
	answerID string
	// complete reports that the response ended normally; body is what was received.
	complete bool
	body     string
	// took is the time until the end of the response, or until the caller gave it up. err is
	// why there is no complete response, nil if there is one.
	took time.Duration
	err  error
	// malformed describes what in the received bytes is no HTTP response; it is empty for a
	// response, and if nothing arrived.
	malformed string
}

// key returns the key of the request among the runs of the endpoints.
func (o *outcome) key() string { return standin.RunKey(o.id, o.number) }

// callers send requests to the entries and record the outcomes.
type callers struct {
	fleet    *fleet
	stop     chan struct{}
	wg       sync.WaitGroup
	lastID   atomic.Int64
	mu       sync.Mutex
	outcomes []outcome
}

const (
	callerCount = 40
	// callerInterval is the time between two requests of a caller.
	callerInterval = 20 * time.Millisecond
	callerDeadline = 3 * time.Second
	// callerTimeout is the time after which a caller abandons a request. It exceeds the
	// deadline of most requests by callerGrace; one with a later deadline is not abandoned
	// earlier than that either.
	callerTimeout = callerDeadline + callerGrace
	callerGrace   = 3 * time.Second
	soakKey       = "key-1"
)

func startCallers(f *fleet, seed int) *callers {
	c := &callers{fleet: f, stop: make(chan struct{})}
	for i := range callerCount {
		c.wg.Go(func() {
			c.run(i, rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), rand.New(rand.NewPCG(uint64(seed), uint64(1000+i))))
		})
	}
	return c
}

// run sends requests on a connection that is kept until it ends, and then on one to the
// next entry. Half of the callers connect to the entry itself, so that they see what it
// sends while it stops.
func (c *callers) run(worker int, r, repeats *rand.Rand) {
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixNonIdempotent, standin.PrefixResumable}
	s := &session{}
	defer s.close()
	for i := worker; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * callerInterval)))):
		}
		if !s.open() {
			s.address = c.address(worker, worker+i)
		}
		model, of := c.model(i, r), drawShape(r)
		o := c.send(s, prefixes[i%len(prefixes)], model, of)
		c.record(o)
		c.repeat(o, s, worker, model, of, repeats)
	}
}

// address returns the address at which a worker connects to an entry.
func (c *callers) address(worker, entry int) string {
	entry %= len(c.fleet.entries)
	if worker%2 == 0 {
		return c.fleet.entries[entry].callerAddress()
	}
	return c.fleet.entryProxies[entry].Address()
}

func (c *callers) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// model returns the model of a request. Demand moves from one to the next, so that
// engines have to load and unload them.
func (c *callers) model(i int, r *rand.Rand) string {
	const requestsPerModel = 100
	all := standin.Models()
	if r.IntN(3) > 0 {
		return all[i/requestsPerModel%len(all)]
	}
	return all[r.IntN(len(all))]
}

// shape is what requests of one kind differ in. Zero sizes in bytes mean small ones.
type shape struct {
	bodySize, answerSize int
	deadline             time.Duration
}

// drawShape returns the shape of a caller's next request. Some requests have large
// bodies, some large answers, and some a deadline that may end in an endpoint's queue.
func drawShape(r *rand.Rand) shape {
	out := shape{deadline: callerDeadline}
	switch r.IntN(40) {
	case 0:
		out.bodySize = 100<<10 + r.IntN(2<<20)
	case 1, 2:
		out.answerSize = r.IntN(600 << 10)
	case 3, 4, 5:
		out.deadline = time.Duration(10+r.IntN(150)) * time.Millisecond
	}
	return out
}

// send sends one request with a new identifier.
func (c *callers) send(s *session, prefix, model string, of shape) outcome {
	return c.sendAgain(s, outcome{id: standin.RequestID(c.lastID.Add(1), of.bodySize, of.answerSize), prefix: prefix}, model, of.deadline)
}

// sendAgain sends one request with the identifier, prefix and number given.
func (c *callers) sendAgain(s *session, o outcome, model string, deadline time.Duration) outcome {
	o = outcome{id: o.id, prefix: o.prefix, number: o.number, sent: time.Now()}
	request, err := standin.NewRequest(s.address, o.prefix, o.id, soakKey, model, deadline)
	if err != nil {
		o.err = err
		return o
	}
	standin.SetNumber(request, o.number)
	s.exchange(request, &o, deadline)
	return o
}

func (c *callers) finish() []outcome {
	close(c.stop)
	c.wg.Wait()
	return c.outcomes
}

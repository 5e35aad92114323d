package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// refusedRepeats is how often a caller may repeat a refused request.
	refusedRepeats = 3
	// pairedEvery is how often a request is sent with one more at the same time.
	pairedEvery = 30
	// repeatPause is the longest pause before a refused request is repeated.
	repeatPause = 20 * time.Millisecond
)

// repeat sends requests with the identifier of an earlier one, as client libraries do:
// after a refusal, on the same connection, on another one, or at the next entry; and
// rarely two at the same time.
func (c *callers) repeat(o outcome, s *session, worker int, model string, of shape, r *rand.Rand) {
	for range refusedRepeats {
		if !promisesNotRun(o.status) {
			break
		}
		time.Sleep(time.Duration(r.Int64N(int64(repeatPause))))
		o.number++
		o = c.repeatAt(c.repeatSession(s, worker, r), s, o, model, of)
	}
	if r.IntN(pairedEvery) > 0 {
		return
	}
	pair := []outcome{o, o}
	var wg sync.WaitGroup
	for i := range pair {
		pair[i].number += 1 + i
		to := c.repeatSession(nil, worker, r)
		wg.Go(func() { c.repeatAt(to, s, pair[i], model, of) })
	}
	wg.Wait()
}

// repeatAt sends a repeated request and records its outcome. A connection other than that
// of the caller is closed.
func (c *callers) repeatAt(to, own *session, o outcome, model string, of shape) outcome {
	o = c.sendAgain(to, o, model, of.deadline)
	c.record(o)
	if to != own {
		to.close()
	}
	return o
}

// repeatSession returns the caller's own session, if there is one, or a new one.
func (c *callers) repeatSession(own *session, worker int, r *rand.Rand) *session {
	if own != nil && r.IntN(3) > 0 {
		return own
	}
	return &session{address: c.address(worker, r.IntN(len(c.fleet.entries)))}
}

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// place waits for an endpoint that takes the request.
func (c *call) place() (*Ticket, *resultcode.Error) {
	s := c.server
	s.mu.Lock()
	ticket, absence := s.mu.table.Pick(s.now(), &c.query)
	if ticket != nil {
		s.tellLoads(true)
		s.mu.Unlock()
		return ticket, nil
	}
	if err := c.hopeless(absence); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	wt := &waiter{query: &c.query, target: c.arrived + c.route.Target - firstEventReserve, deadline: c.waitUntil(s.now()), ready: make(chan *Ticket, 1)}
	s.mu.queue.add(wt)
	s.mu.Unlock()
	return c.wait(wt, absence)
}

// waitUntil is how long the request may wait for a place: later, its caller
// would leave before the first event, or get no whole answer.
func (c *call) waitUntil(now time.Duration) time.Duration {
	until := now + time.Duration(float64(c.deadline-now)*waitPart)
	if c.route.Kind == catalog.Streaming {
		patience := max(streamPatience, patienceTargets*c.route.Target, patiencePauses*c.route.MaxPause)
		until = min(until, c.arrived+patience-firstEventTime)
	}
	return until
}

// hopeless returns the refusal of a request that waiting does not help. Callers
// hold the server's lock.
func (c *call) hopeless(absence Absence) *resultcode.Error {
	s, now := c.server, c.server.now()
	if c.query.Model != "" && c.index.Model(c.query.Model) == nil {
		return resultcode.New(resultcode.ModelUnknown, "no model %q in version %d", c.query.Model, c.index.Version())
	}
	if ready := s.mu.ready[c.query.Model] - now; absence == NoModel && ready > 0 && now+ready > c.waitUntil(now) {
		err := resultcode.New(resultcode.ModelLoading, "model %q is resident in %d ms", c.query.Model, ready.Milliseconds())
		err.RetryAfter = ready
		return err
	}
	if len(c.query.Exclude) > 0 && absence == NoEndpoints {
		return resultcode.New(resultcode.NoEndpoint, "every endpoint of %q was tried", c.query.Service)
	}
	return nil
}

func (c *call) wait(wt *waiter, absence Absence) (*Ticket, *resultcode.Error) {
	s := c.server
	poll := time.NewTicker(loadPoll)
	defer poll.Stop()
	end := time.NewTimer(wt.deadline - s.now())
	defer end.Stop()
	for {
		c.askLoad(absence)
		select {
		case t := <-wt.ready:
			return t, nil
		case <-poll.C:
			var err *resultcode.Error
			if absence, err = c.reconsider(wt); err != nil {
				return nil, err
			}
			continue
		case <-end.C:
		case <-s.leaving:
		case <-c.ctx.Done():
		}
		s.mu.Lock()
		waiting := s.mu.queue.remove(wt)
		s.mu.Unlock()
		if !waiting {
			return <-wt.ready, nil
		}
		return nil, c.noPlace(absence)
	}
}

// reconsider gives out places and says why the request still has none. An error
// ends the wait.
func (c *call) reconsider(wt *waiter) (Absence, *resultcode.Error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
	_, absence := s.mu.table.peek(s.now(), &c.query)
	err := c.hopeless(absence)
	if err != nil && !s.mu.queue.remove(wt) {
		return absence, nil // it has just got a place
	}
	return absence, err
}

func (c *call) noPlace(absence Absence) *resultcode.Error {
	switch {
	case errors.Is(c.ctx.Err(), context.Canceled):
		return resultcode.New(resultcode.CallerGone, "the caller left while the request waited for %s", absence)
	case c.server.isLeaving():
		return resultcode.New(resultcode.Draining, "this VM stops before the request has a place")
	case absence == NoModel || absence == NoAdapter:
		return resultcode.New(resultcode.ModelLoading, "model %q with adapter %q was not resident in time", c.query.Model, c.query.Adapter)
	case absence == NoEndpoints:
		return resultcode.New(resultcode.NoEndpoint, "service %q has no endpoint that can be reached", c.query.Service)
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "no place at service %q in time", c.query.Service)
	}
}

// loadPause follows a call for a load that was not accepted: many entries wait
// for the same adapters, and the leader answers each call.
const loadPause = 600 * time.Millisecond

// askLoad asks the leader for what is resident nowhere, one call at a time for
// each model and adapter.
func (c *call) askLoad(absence Absence) {
	if absence != NoModel && absence != NoAdapter {
		return
	}
	model, adapter := c.query.Model, c.query.Adapter
	if absence == NoModel {
		adapter = ""
	}
	s, key := c.server, missingKey(model, adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.loading[key] {
		return
	}
	s.mu.loading[key] = true
	again := loadPoll
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ready, err := s.cfg.Loader.Load(ctx, model, adapter)
		if err != nil {
			again = loadPause
			s.log.Info("load not accepted", "model", model, "adapter", adapter, "error", err.Error())
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil && adapter == "" {
			s.mu.ready[model] = s.now() + ready
		}
		time.AfterFunc(again, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.mu.loading, key)
		})
	}()
}

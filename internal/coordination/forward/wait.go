package forward

import (
	"context"
	"errors"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// target is the endpoint to which a request is sent: a place at an engine, or a
// ticket at an endpoint of a plain service.
type target struct {
	ID, Address string
	place       *pool.Grant
	ticket      *pool.Reservation
}

// place waits for an endpoint that takes the request.
func (c *call) place() (*target, *resultcode.Error) {
	if c.query.Model != "" {
		return c.placeAtEngine()
	}
	return c.placeAtService()
}

// placeAtEngine asks the broker of the model for a place.
func (c *call) placeAtEngine() (*target, *resultcode.Error) {
	if c.index.Model(c.query.Model) == nil {
		return nil, resultcode.New(resultcode.ModelUnknown, "no model %q in version %d", c.query.Model, c.index.Version())
	}
	for {
		outcome, err := c.askBroker()
		if err != nil {
			return nil, err
		}
		if outcome.Grant == nil {
			return nil, c.refusedByBroker(outcome)
		}
		p := outcome.Grant
		if c.usable(p) {
			return &target{ID: p.EndpointID, Address: p.Address, place: p}, nil
		}
		c.query.Exclude = append(c.query.Exclude, p.EndpointID)
		c.server.step(func(now time.Duration, e *pool.Entry) { e.Release(now, p, pool.Unknown, true) })
	}
}

// usable says whether this entry knows nothing against the endpoint of a place.
// Its broker may have an older list.
func (c *call) usable(p *pool.Grant) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.mu.entry.Table.Usable(p.EndpointID)
}

// askBroker makes one request for a place. An error says why there is no outcome.
func (c *call) askBroker() (pool.Outcome, *resultcode.Error) {
	s := c.server
	expires := c.waitUntil(s.now())
	outcome := make(chan pool.Outcome, 1)
	var ask *pool.SlotRequest
	s.step(func(now time.Duration, e *pool.Entry) {
		ask = e.RequestSlot(now, &c.query, c.lastTarget(), expires, func(o pool.Outcome) { outcome <- o })
	})
	end := time.NewTimer(expires - s.now() + refusalReserve)
	defer end.Stop()
	select {
	case o := <-outcome:
		return o, nil
	case <-end.C:
	case <-s.leaving:
	case <-c.ctx.Done():
	}
	var open bool
	s.step(func(now time.Duration, e *pool.Entry) { open = e.Cancel(now, ask) })
	if !open {
		return <-outcome, nil
	}
	return pool.Outcome{}, c.noPlace(ask.UnavailableReason())
}

// lastTarget is until when a place leads to an answer in time: the endpoint has to
// read the prompt first.
func (c *call) lastTarget() time.Duration {
	read := time.Duration(float64(c.query.PromptTokens) / readRate * float64(time.Millisecond))
	return c.arrived + c.route.Target - firstEventReserve - read
}

// refusedByBroker returns the refusal of a broker.
func (c *call) refusedByBroker(o pool.Outcome) *resultcode.Error {
	var err *resultcode.Error
	switch o.Refusal {
	case resultcode.ModelLoading:
		err = resultcode.New(o.Refusal, "model %q is resident in %d ms", c.query.Model, o.RetryAfter.Milliseconds())
	case resultcode.NoEndpoint:
		err = resultcode.New(o.Refusal, "every endpoint of %q was tried", c.query.Service)
	default:
		err = resultcode.New(o.Refusal, "no place at service %q in time: it waited for %s", c.query.Service, o.Reason)
	}
	err.RetryAfter = o.RetryAfter
	return err
}

// placeAtService waits for a place at an endpoint of a plain service. This entry
// gives it out by the endpoints' own counts.
func (c *call) placeAtService() (*target, *resultcode.Error) {
	s := c.server
	granted := make(chan *pool.Reservation, 1)
	w := &pool.Waiter{Query: &c.query, Target: c.lastTarget(), Deadline: c.waitUntil(s.now()), Granted: func(t *pool.Reservation) { granted <- t }}
	var absence pool.UnavailableReason
	s.step(func(now time.Duration, e *pool.Entry) {
		s.mu.queue.Add(w)
		s.mu.queue.Dispatch(now, e.Table)
		absence = w.UnavailableReason()
		if absence == pool.NoEndpoints && len(c.query.Exclude) > 0 {
			s.mu.queue.Remove(w)
		}
	})
	if absence == pool.NoEndpoints && len(c.query.Exclude) > 0 {
		return nil, resultcode.New(resultcode.NoEndpoint, "every endpoint of %q was tried", c.query.Service)
	}
	end := time.NewTimer(w.Deadline - s.now())
	defer end.Stop()
	select {
	case t := <-granted:
		return &target{ID: t.EndpointID, Address: t.Address, ticket: t}, nil
	case <-end.C:
	case <-s.leaving:
	case <-c.ctx.Done():
	}
	s.mu.Lock()
	waiting := s.mu.queue.Remove(w)
	s.mu.Unlock()
	if !waiting {
		t := <-granted
		return &target{ID: t.EndpointID, Address: t.Address, ticket: t}, nil
	}
	return nil, c.noPlace(w.UnavailableReason())
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

func (c *call) noPlace(absence pool.UnavailableReason) *resultcode.Error {
	switch {
	case errors.Is(c.ctx.Err(), context.Canceled):
		return resultcode.New(resultcode.CallerGone, "the caller left while the request waited for %s", absence)
	case c.server.isLeaving():
		return resultcode.New(resultcode.Draining, "this VM stops before the request has a place")
	case absence == pool.NoModel || absence == pool.NoAdapter:
		return resultcode.New(resultcode.ModelLoading, "model %q with adapter %q was not resident in time", c.query.Model, c.query.Adapter)
	case absence == pool.NoEndpoints:
		return resultcode.New(resultcode.NoEndpoint, "service %q has no endpoint that can be reached", c.query.Service)
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "no place at service %q in time", c.query.Service)
	}
}

// done gives a place back and lets waiting requests have it.
func (s *Server) done(t *target, r pool.Result, leaving bool) {
	s.step(func(now time.Duration, e *pool.Entry) {
		if t.place != nil {
			e.Release(now, t.place, r, leaving)
			return
		}
		e.Table.Release(now, t.ticket, r, "", "")
		s.mu.queue.Dispatch(now, e.Table)
	})
}

// loadLocked asks the leader for what is resident nowhere, one call at a time for
// each model and adapter.
func (s *Server) loadLocked(n pool.MissingModel) {
	if s.mu.loading[n] {
		return
	}
	s.mu.loading[n] = true
	go func() {
		pause := s.load(n)
		time.AfterFunc(pause, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.mu.loading, n)
		})
	}()
}

// load makes one call and returns the pause before the next.
func (s *Server) load(n pool.MissingModel) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), loadLimit)
	defer cancel()
	ready, err := s.cfg.Loader.Load(ctx, n.Model, n.Adapter)
	if err != nil {
		s.log.Info("load not accepted", "model", n.Model, "adapter", n.Adapter, "error", err.Error())
		return loadPause
	}
	if n.Adapter == "" {
		s.step(func(now time.Duration, e *pool.Entry) { e.SetReady(now, n.Service, n.Model, now+ready) })
	}
	return loadPoll
}

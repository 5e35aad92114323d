package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// slot is a slot at the endpoint to which a request is sent: granted by a broker
// for an engine, or reserved by this entry at an endpoint of a plain service.
type slot struct {
	EndpointID, Address string
	grant               *pool.Grant
	reservation         *pool.Reservation
	// version is the software version of the endpoint when the request is sent, at sentAt.
	version string
	sentAt  time.Duration
	// unreachable is set if no connection to the endpoint could be opened.
	unreachable bool
}

// acquireSlot waits for a slot for the request.
func (c *call) acquireSlot() (*slot, *resultcode.Error) {
	if c.query.Model != "" {
		return c.acquireEngineSlot()
	}
	return c.acquireServiceSlot()
}

// acquireEngineSlot requests a slot from the broker of the model.
func (c *call) acquireEngineSlot() (*slot, *resultcode.Error) {
	if c.index.Model(c.query.Model) == nil {
		return nil, resultcode.New(resultcode.ModelUnknown, "no model %q in catalog version %d", c.query.Model, c.index.Version())
	}
	for {
		outcome, err := c.requestSlot()
		if err != nil {
			return nil, err
		}
		if outcome.Grant == nil {
			return nil, c.brokerRefusal(outcome)
		}
		grant := outcome.Grant
		usable, leaving, paused := c.grantState(grant)
		if usable && !paused {
			return &slot{EndpointID: grant.EndpointID, Address: grant.Address, grant: grant}, nil
		}
		if !usable {
			c.query.Exclude = append(c.query.Exclude, grant.EndpointID)
		}
		c.server.step(func(now time.Duration, e *pool.Entry) { e.Release(now, grant, pool.Unknown, leaving) })
	}
}

// grantState reports what this entry knows about the endpoint of a grant, since the
// broker may know an older state: whether it may be used and has the software version of
// the stream, whether it is leaving, which the broker is told, and whether it wants no
// requests from this entry. An evacuated endpoint is not reported as leaving, since it
// gets requests again once the evacuation ends. The broker learns of the evacuation from
// its own list.
func (c *call) grantState(grant *pool.Grant) (usable, leaving, paused bool) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now, table := s.now(), s.mu.entry.Table
	inUse := table.Usable(now, grant.EndpointID)
	usable = inUse && s.fitsVersionLocked(&c.query, grant.EndpointID)
	return usable, !inUse && !table.Evacuated(grant.EndpointID), table.Paused(now, grant.EndpointID)
}

// requestSlot makes one slot request to the broker and waits for its outcome. It
// returns an error if there is no outcome in time.
func (c *call) requestSlot() (pool.Outcome, *resultcode.Error) {
	s := c.server
	expires := c.queueDeadline(s.now())
	outcome := make(chan pool.Outcome, 1)
	var request *pool.SlotRequest
	s.step(func(now time.Duration, e *pool.Entry) {
		request = e.RequestSlot(now, &c.query, c.grantTarget(), expires, func(o pool.Outcome) { outcome <- o })
	})
	end := time.NewTimer(expires - s.now() + refusalGrace)
	defer end.Stop()
	select {
	case o := <-outcome:
		return o, nil
	case <-end.C:
	case <-s.draining:
	case <-c.ctx.Done():
	}
	var cancelled bool
	s.step(func(now time.Duration, e *pool.Entry) { cancelled = e.Cancel(now, request) })
	if !cancelled {
		return <-outcome, nil
	}
	return pool.Outcome{}, c.noSlotError(request.UnavailableReason())
}

// grantTarget returns the time by which a slot has to be granted for the first
// event to meet the route's target: the engine has to prefill the prompt first.
func (c *call) grantTarget() time.Duration {
	prefill := time.Duration(float64(c.query.PromptTokens) / prefillRate * float64(time.Millisecond))
	return c.arrived + c.route.Target - targetReserve - prefill
}

// brokerRefusal returns the error for a slot request that a broker refused.
func (c *call) brokerRefusal(o pool.Outcome) *resultcode.Error {
	var err *resultcode.Error
	switch o.Refusal {
	case resultcode.ModelLoading:
		err = resultcode.New(o.Refusal, "model %q is not loaded; expected to be ready in %d ms", c.query.Model, o.RetryAfter.Milliseconds())
	case resultcode.NoEndpoint:
		if o.RetryAfter > 0 {
			err = c.evacuatedError()
			break
		}
		err = resultcode.New(o.Refusal, "all endpoints of service %q have been tried", c.query.Service)
	default:
		err = resultcode.New(o.Refusal, "no free slot at service %q in time: waited for %s", c.query.Service, o.Reason)
	}
	err.RetryAfter = o.RetryAfter
	if o.Refusal == resultcode.DeadlineTooClose && o.RetryAfter > 0 {
		err.RetryAfter = pool.RetryWithin(o.RetryAfter, c.deadline-c.server.now(), rand.Float64())
	}
	return err
}

// acquireServiceSlot waits for a slot at an endpoint of a plain service. This
// entry grants it by itself, based on the request counts that the endpoints
// report.
func (c *call) acquireServiceSlot() (*slot, *resultcode.Error) {
	s := c.server
	granted := make(chan *pool.Reservation, 1)
	refused := make(chan struct{}, 1)
	w := &pool.Waiter{
		Query: &c.query, Target: c.grantTarget(), Deadline: c.queueDeadline(s.now()),
		Granted: func(t *pool.Reservation) { granted <- t },
		Refused: func() { refused <- struct{}{} },
	}
	allTried := false
	s.step(func(now time.Duration, e *pool.Entry) {
		s.mu.queue.Add(w)
		s.dispatchLocked(now, e.Table)
		allTried = w.UnavailableReason() == pool.NoEndpoints && len(c.query.Exclude) > 0 &&
			(c.query.SoftwareVersion == "" || w.UnservedVersion(now, e.Table))
		if allTried {
			s.mu.queue.Remove(w)
		}
	})
	if allTried {
		return nil, resultcode.New(resultcode.NoEndpoint, "all endpoints of service %q have been tried", c.query.Service)
	}
	end := time.NewTimer(w.Deadline - s.now())
	defer end.Stop()
	select {
	case t := <-granted:
		return &slot{EndpointID: t.EndpointID, Address: t.Address, reservation: t}, nil
	case <-refused:
		return nil, c.futileError(w)
	case <-end.C:
	case <-s.draining:
	case <-c.ctx.Done():
	}
	s.mu.Lock()
	waiting := s.mu.queue.Remove(w)
	s.mu.Unlock()
	if !waiting {
		select {
		case t := <-granted:
			return &slot{EndpointID: t.EndpointID, Address: t.Address, reservation: t}, nil
		case <-refused:
			return nil, c.futileError(w)
		}
	}
	return nil, c.noSlotError(w.UnavailableReason())
}

// futileError returns the error for a request to a plain service that waits in vain.
func (c *call) futileError(w *pool.Waiter) *resultcode.Error {
	switch w.UnavailableReason() {
	case pool.NoEndpoints:
		return c.noEndpointError()
	case pool.Limited:
		return c.limitedError()
	}
	err := resultcode.New(resultcode.DeadlineTooClose, "no slot at service %q is expected before the queue deadline", c.query.Service)
	err.RetryAfter = pool.RetryWithin(w.RetryAfter, c.deadline-c.server.now(), rand.Float64())
	return err
}

// noEndpointError returns the error for a request to a plain service that has no endpoint
// to use, because of an evacuation or because none has the software version of the stream.
func (c *call) noEndpointError() *resultcode.Error {
	s := c.server
	s.mu.Lock()
	evacuated := s.mu.entry.Table.ServiceEvacuated(s.now(), c.query.Service)
	s.mu.Unlock()
	if evacuated {
		return c.evacuatedError()
	}
	return resultcode.New(resultcode.NoEndpoint, "service %q has no endpoint that the request may use", c.query.Service)
}

func (c *call) evacuatedError() *resultcode.Error {
	err := resultcode.New(resultcode.NoEndpoint, "service %q has no endpoint outside of evacuated data centres", c.query.Service)
	err.RetryAfter = evacuatedRetryAfter + rand.N(evacuatedRetrySpread)
	return err
}

func (c *call) limitedError() *resultcode.Error {
	err := resultcode.New(resultcode.EndpointLimited, "the endpoints of service %q take no request in time, by what they state", c.query.Service)
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if at := s.mu.entry.Table.AvailableAt(now, &c.query); at-now < pool.MaxPause {
		err.RetryAfter = at - now
	}
	return err
}

// queueDeadline returns the time until which the request may wait for a slot. With
// a later one, the caller would give up before the first event, or the time left
// would not suffice for the complete response.
func (c *call) queueDeadline(now time.Duration) time.Duration {
	ratio := queueTimeRatio
	if c.query.SoftwareVersion != "" {
		ratio = streamQueueTimeRatio
	}
	until := now + time.Duration(float64(c.deadline-now)*ratio)
	if c.route.Kind == catalog.Streaming {
		callerTimeout := max(minCallerTimeout, callerTimeoutTargets*c.route.Target, callerTimeoutPauses*c.route.MaxEventGap)
		until = min(until, c.arrived+callerTimeout-firstEventReserve)
	}
	return until
}

// noSlotError returns the error for a request that got no slot.
func (c *call) noSlotError(reason pool.UnavailableReason) *resultcode.Error {
	switch {
	case errors.Is(c.ctx.Err(), context.Canceled):
		return resultcode.New(resultcode.CallerGone, "the caller disconnected while the request waited for %s", reason)
	case c.server.isDraining():
		return drainingError("this VM is draining; the request was still waiting for a slot")
	case reason == pool.NoModel || reason == pool.NoAdapter:
		return resultcode.New(resultcode.ModelLoading, "model %q with adapter %q was not loaded before the queue deadline", c.query.Model, c.query.Adapter)
	case reason == pool.NoEndpoints:
		return resultcode.New(resultcode.NoEndpoint, "service %q has no reachable endpoint", c.query.Service)
	case reason == pool.Limited:
		return c.limitedError()
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "no free slot at service %q before the queue deadline", c.query.Service)
	}
}

// dispatchLocked grants slots at endpoints of plain services to waiting requests, and
// refuses those that wait in vain.
func (s *Server) dispatchLocked(now time.Duration, t *pool.Table) {
	s.mu.queue.Dispatch(now, t)
	s.mu.queue.RefuseFutile(now, t)
}

// releaseSlot releases a slot, which may then be granted to a waiting request.
func (s *Server) releaseSlot(to *slot, r pool.Result, leaving bool) {
	s.step(func(now time.Duration, e *pool.Entry) {
		if to.unreachable {
			s.mu.doubtful.noteUnreachable(now, to.EndpointID)
		} else if r == pool.Succeeded {
			s.mu.doubtful.noteSucceeded(to.sentAt, to.EndpointID)
		}
		if to.grant != nil {
			e.Release(now, to.grant, r, leaving)
			return
		}
		e.Table.Release(now, to.reservation, r, "", "")
		s.dispatchLocked(now, e.Table)
	})
}

// loadLocked asks the leader, in the background, to load a model or adapter that no
// endpoint has. There is at most one call at a time for each model and adapter.
func (s *Server) loadLocked(n pool.MissingModel) {
	if s.mu.loading[n] {
		return
	}
	s.mu.loading[n] = true
	go func() {
		delay := s.load(n)
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.mu.loading, n)
		})
	}()
}

// load makes one call to the leader and returns the delay before the next one.
func (s *Server) load(n pool.MissingModel) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	ready, err := s.cfg.Loader.Load(ctx, n)
	if err != nil {
		s.log.Info("load request failed", "model", n.Model, "adapter", n.Adapter, "software_version", n.SoftwareVersion, "error", err.Error())
	}
	switch {
	case n.SoftwareVersion != "" && resultcode.Of(err) == resultcode.NoEndpoint:
		s.step(func(now time.Duration, e *pool.Entry) { e.SetUnavailable(now, n) })
		return loadPollInterval
	case err != nil:
		return loadRetryDelay
	case n.Adapter == "":
		s.step(func(now time.Duration, e *pool.Entry) { e.SetReady(now, n, now+ready) })
	}
	return loadPollInterval
}

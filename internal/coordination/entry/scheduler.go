package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/admission"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// modelPool is the pool of all models, which share one queue. Each service pool has
// its own queue.
const modelPool = "models"

// scheduler assigns requests to endpoints. It owns the queues and the endpoint
// table.
type scheduler struct {
	now func() time.Duration

	mu             sync.Mutex
	table          *routing.Table
	pools          map[string]*pool
	reservedShares admission.ReservedShares
	limiter        *admission.Limiter
	serviceTimes   *admission.ServiceTimes
	maxQueue       int // bound of each queue
	nextID         uint64
	// fifo is Baseline.FIFO.
	fifo  bool
	ticks int
}

// pool is a queue and the number of waiting requests by group and class.
type pool struct {
	queue   *admission.Queue
	classes map[string]map[string]int
}

// waiter is a request that waits for an endpoint. It is the Value of its item.
type waiter struct {
	pool     string
	query    routing.Query
	item     admission.Item
	queued   bool // guarded by scheduler.mu
	assigned chan assignment
}

// assignment is the result of waiting: a reserved slot or an error.
type assignment struct {
	reservation *routing.Reservation
	err         error
}

func newScheduler(now func() time.Duration, random func(n int) int, maxOpen, maxQueue int) *scheduler {
	return &scheduler{
		now:          now,
		table:        routing.New(random),
		pools:        make(map[string]*pool),
		limiter:      admission.NewLimiter(maxOpen),
		serviceTimes: admission.NewServiceTimes(),
		maxQueue:     maxQueue,
	}
}

// startRequest counts an open request, or returns the code of its refusal. Each
// successful call must be followed by one of endRequest.
func (s *scheduler) startRequest(customer string, limit int, priority int32) resultcode.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Acquire(customer, limit, s.reservedShares.Urgent(priority))
}

func (s *scheduler) endRequest(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release(customer)
}

// estimatedTime estimates how long a request of the route takes.
func (s *scheduler) estimatedTime(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTimes.Estimate(route)
}

// acquire waits for an endpoint and reserves a slot there. If it returns an error,
// the request has not been sent.
func (s *scheduler) acquire(ctx context.Context, w *waiter) (*routing.Reservation, error) {
	w.assigned = make(chan assignment, 1)
	if err := s.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case a := <-w.assigned:
		return a.reservation, a.err
	case <-ctx.Done():
		return nil, s.abandon(ctx, w)
	}
}

func (s *scheduler) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if w.item.LatestStart < now {
		return resultcode.New(resultcode.DeadlineTooClose, "the deadline is too close for the estimated service time")
	}
	if w.pool != modelPool && !s.table.HasGroup(w.query.Group) {
		return resultcode.New(resultcode.NoEndpoint, "the pool has no endpoint")
	}
	if s.evacuated(w.pool, w.query.Group) {
		return evacuatedError()
	}
	p := s.pools[w.pool]
	if p == nil {
		p = &pool{queue: admission.NewQueue(s.maxQueue), classes: make(map[string]map[string]int)}
		if s.fifo {
			p.queue.OrderByArrival()
		}
		s.pools[w.pool] = p
	}
	s.nextID++
	w.query.ID, w.item.ID = s.nextID, s.nextID
	w.query.Limit = s.limitFor(w.item.Priority)
	w.query.HoldUntil = w.item.LatestStart
	w.item.Value = w
	w.queued = true
	p.count(w, 1)
	if evicted := p.queue.Push(&w.item); evicted != nil {
		s.finish(evicted.Value.(*waiter), assignment{err: resultcode.New(resultcode.VMOverloaded, "evicted from the full queue of this VM")})
	}
	s.dispatch(w.pool, []string{w.query.Group})
	return nil
}

func (s *scheduler) limitFor(priority int32) func(int) int {
	return func(window int) int { return s.reservedShares.Limit(window, priority) }
}

// count adds n to the number of waiting requests in the class of w.
func (p *pool) count(w *waiter, n int) {
	group, class := w.query.Group, w.item.Class
	if p.classes[group] == nil {
		p.classes[group] = make(map[string]int)
	}
	p.classes[group][class] += n
	if p.classes[group][class] > 0 {
		return
	}
	delete(p.classes[group], class)
	if len(p.classes[group]) == 0 {
		delete(p.classes, group)
	}
}

// finish delivers the result to a waiter that has been removed from its queue.
func (s *scheduler) finish(w *waiter, a assignment) {
	w.queued = false
	s.pools[w.pool].count(w, -1)
	if w.query.Exclusive {
		s.table.ReleaseHolds(w.query.Group, w.query.ID)
	}
	w.assigned <- a
}

// abandon removes a request whose context has ended.
func (s *scheduler) abandon(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queued {
		s.pools[w.pool].queue.Remove(&w.item)
		s.finish(w, assignment{})
		return s.waitError(w, ctx)
	}
	if a := <-w.assigned; a.reservation != nil {
		s.releaseSlot(a.reservation, routing.Neutral)
	}
	return s.waitError(w, ctx)
}

// waitError returns the reason why a request was not dispatched in time. ctx is nil
// if the request expired in the queue.
func (s *scheduler) waitError(w *waiter, ctx context.Context) error {
	switch {
	case ctx != nil && ctx.Err() == context.Canceled:
		return resultcode.New(resultcode.CallerGone, "the caller disconnected while the request was queued")
	case s.table.HasAlternative(w.query.Group, nil):
		return resultcode.New(resultcode.DeadlineTooClose, "no endpoint had a free slot before the deadline")
	case w.pool == modelPool:
		return resultcode.New(resultcode.ModelLoading, "the model is not resident on any endpoint")
	default:
		return resultcode.New(resultcode.NoEndpoint, "all endpoints of the pool are leaving")
	}
}

// dispatch assigns waiting requests of the groups to endpoints until no more slots
// are available to them.
func (s *scheduler) dispatch(poolName string, groups []string) {
	p := s.pools[poolName]
	if p == nil || p.queue.Len() == 0 {
		return
	}
	var classes []string
	for _, g := range groups {
		for class := range p.classes[g] {
			classes = append(classes, class)
		}
	}
	full := make(map[string]bool)
	for taken := true; taken; {
		taken = false
		classes = slices.DeleteFunc(classes, func(class string) bool { return full[class] })
		for _, it := range p.queue.Heads(classes) {
			w := it.Value.(*waiter)
			reservation := s.table.Pick(s.now(), w.query)
			if reservation == nil {
				full[it.Class] = true
				continue
			}
			p.queue.Take(it)
			s.finish(w, assignment{reservation: reservation})
			taken = true // this may have changed the order of the others
			break
		}
	}
}

// dispatchAll calls dispatch for all groups with waiting requests.
func (s *scheduler) dispatchAll() {
	for name, p := range s.pools {
		groups := make([]string, 0, len(p.classes))
		for g := range p.classes {
			groups = append(groups, g)
		}
		s.dispatch(name, groups)
	}
}

// tick expires requests that have waited too long. Every fourth call also tries to
// dispatch the others, because an ejected endpoint may be due for a probe, or an
// exclusive hold may have expired.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticks++
	now := s.now()
	for _, p := range s.pools {
		for _, it := range p.queue.Expire(now) {
			w := it.Value.(*waiter)
			s.finish(w, assignment{err: s.waitError(w, nil)})
		}
	}
	if s.ticks%4 == 0 {
		s.dispatchAll()
	}
}

// firstByte records that the response to a request has begun.
func (s *scheduler) firstByte(r *routing.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.FirstByte(r) {
		s.dispatchAll()
	}
}

// release returns the slot of a finished attempt. A success also updates the
// estimate of the route's service time. In the model queue, the customer is charged
// the actual tokens in place of the estimate.
func (s *scheduler) release(r *routing.Reservation, w *waiter, o routing.Outcome, route string, took time.Duration, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o == routing.Success {
		s.serviceTimes.Observe(route, took)
	}
	if w.pool == modelPool {
		s.pools[w.pool].queue.AdjustCharge(&w.item, tokens)
	}
	s.releaseSlot(r, o)
}

func (s *scheduler) releaseSlot(r *routing.Reservation, o routing.Outcome) {
	groups := s.table.Groups(r.Endpoint)
	s.table.Done(s.now(), r, o)
	for name := range s.pools {
		s.dispatch(name, groups)
	}
}

// hasAlternative reports whether the group has an endpoint left for a retry.
func (s *scheduler) hasAlternative(group string, exclude []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasAlternative(group, exclude)
}

// configure replaces the endpoints and the reserved shares.
func (s *scheduler) configure(specs []routing.Spec, live, adapterLoads int, shares []admission.ReservedShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedShares = admission.NewReservedShares(shares)
	s.table.Configure(specs, live, adapterLoads)
	s.refuseEvacuated()
	s.dispatchAll()
}

// report applies a load report, which may be nil, and cache events of an endpoint.
func (s *scheduler) report(name string, l *engine.Load, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CacheEvents(name, events)
	if l == nil {
		return
	}
	s.table.Report(s.now(), name, l)
	for pool := range s.pools {
		s.dispatch(pool, s.table.Groups(name))
	}
}

func (s *scheduler) cacheSeq(name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CacheSeq(name)
}

func (s *scheduler) setLeaving(leaving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, is := range leaving {
		s.table.SetLeaving(name, routing.FromPlatform, is)
	}
}

func (s *scheduler) othersRunning(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OthersRunning(s.now(), name)
}

func (s *scheduler) status() []routing.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Status()
}

// waiting returns the number of waiting requests of each model, by group.
func (s *scheduler) waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	p := s.pools[modelPool]
	if p == nil {
		return out
	}
	for group, classes := range p.classes {
		for _, n := range classes {
			out[group] += n
		}
	}
	return out
}

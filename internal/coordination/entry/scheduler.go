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

// modelPool is the queue that all models share; each service pool has its own.
const modelPool = "models"

// scheduler assigns requests to endpoints. It is the only user of the queues
// and the endpoint table.
type scheduler struct {
	now func() time.Duration

	mu      sync.Mutex
	table   *routing.Table
	pools   map[string]*pool
	reserve admission.ReservedShares
	gate    *admission.Limiter
	times   *admission.ServiceTimes
	limit   int // items in each queue
	nextID  uint64
	// byArrival is Baseline.ByArrival.
	byArrival bool
	ticks     int
}

// pool is a queue with the classes that wait in it, by group.
type pool struct {
	queue   *admission.Queue
	classes map[string]map[string]int
}

// waiter is one request in a queue. It is the Value of its item.
type waiter struct {
	pool     string
	query    routing.Query
	item     admission.Item
	queued   bool // under scheduler.mu
	assigned chan assignment
}

type assignment struct {
	ticket *routing.Reservation
	err    error
}

func newScheduler(now func() time.Duration, random func(n int) int, maxOpen, maxQueue int) *scheduler {
	return &scheduler{
		now:   now,
		table: routing.New(random),
		pools: make(map[string]*pool),
		gate:  admission.NewLimiter(maxOpen),
		times: admission.NewServiceTimes(),
		limit: maxQueue,
	}
}

// enter counts a request in, or returns the code of its refusal.
func (s *scheduler) enter(customer string, limit int, priority int32) resultcode.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Acquire(customer, limit, s.reserve.Urgent(priority))
}

func (s *scheduler) leave(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Release(customer)
}

// usualTime estimates how long a request of the route takes.
func (s *scheduler) usualTime(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Estimate(route)
}

// acquire waits for an endpoint. Its errors are true refusals: the request has
// not been sent.
func (s *scheduler) acquire(ctx context.Context, w *waiter) (*routing.Reservation, error) {
	w.assigned = make(chan assignment, 1)
	if err := s.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case a := <-w.assigned:
		return a.ticket, a.err
	case <-ctx.Done():
		return nil, s.abandon(ctx, w)
	}
}

func (s *scheduler) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if w.item.LatestStart < now {
		return resultcode.New(resultcode.DeadlineTooClose, "the deadline can no longer be met")
	}
	if w.pool != modelPool && !s.table.HasGroup(w.query.Group) {
		return resultcode.New(resultcode.NoEndpoint, "the pool has no endpoint")
	}
	p := s.pools[w.pool]
	if p == nil {
		p = &pool{queue: admission.NewQueue(s.limit), classes: make(map[string]map[string]int)}
		if s.byArrival {
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
		s.finish(evicted.Value.(*waiter), assignment{err: resultcode.New(resultcode.VMOverloaded, "the queue is full")})
	}
	s.dispatch(w.pool, []string{w.query.Group})
	return nil
}

func (s *scheduler) limitFor(priority int32) func(int) int {
	return func(window int) int { return s.reserve.Limit(window, priority) }
}

// count keeps the number of waiting items of each class.
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

// finish delivers the result of a waiter that is out of its queue.
func (s *scheduler) finish(w *waiter, a assignment) {
	w.queued = false
	s.pools[w.pool].count(w, -1)
	if w.query.Exclusive {
		s.table.ReleaseHolds(w.query.Group, w.query.ID)
	}
	w.assigned <- a
}

// abandon takes a request out whose context ended.
func (s *scheduler) abandon(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queued {
		s.pools[w.pool].queue.Remove(&w.item)
		s.finish(w, assignment{})
		return s.tooLate(w, ctx)
	}
	if a := <-w.assigned; a.ticket != nil {
		s.done(a.ticket, routing.Neutral)
	}
	return s.tooLate(w, ctx)
}

// tooLate names why a request was not dispatched in time.
func (s *scheduler) tooLate(w *waiter, ctx context.Context) error {
	switch {
	case ctx != nil && ctx.Err() == context.Canceled:
		return resultcode.New(resultcode.CallerGone, "the caller left while the request waited")
	case s.table.HasAlternative(w.query.Group, nil):
		return resultcode.New(resultcode.DeadlineTooClose, "no endpoint became free in time")
	case w.pool == modelPool:
		return resultcode.New(resultcode.ModelLoading, "the model is not resident on any endpoint")
	default:
		return resultcode.New(resultcode.NoEndpoint, "all endpoints of the pool are leaving")
	}
}

// dispatch assigns waiting requests of the groups for as long as endpoints can
// take them.
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
			ticket := s.table.Pick(s.now(), w.query)
			if ticket == nil {
				full[it.Class] = true
				continue
			}
			p.queue.Take(it)
			s.finish(w, assignment{ticket: ticket})
			taken = true // the order of the others may have changed
			break
		}
	}
}

// dispatchAll tries every waiting request.
func (s *scheduler) dispatchAll() {
	for name, p := range s.pools {
		groups := make([]string, 0, len(p.classes))
		for g := range p.classes {
			groups = append(groups, g)
		}
		s.dispatch(name, groups)
	}
}

// tick expires requests that waited too long. Every fourth time it also tries
// the others: endpoints may have become due for a probe, or reservations ended.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticks++
	now := s.now()
	for _, p := range s.pools {
		for _, it := range p.queue.Expire(now) {
			w := it.Value.(*waiter)
			s.finish(w, assignment{err: s.tooLate(w, nil)})
		}
	}
	if s.ticks%4 == 0 {
		s.dispatchAll()
	}
}

// firstByte notes that an answer began.
func (s *scheduler) firstByte(k *routing.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.FirstByte(k) {
		s.dispatchAll()
	}
}

// release gives an assignment back. A success also corrects the estimate of
// service times and the customer's share.
func (s *scheduler) release(k *routing.Reservation, w *waiter, o routing.Outcome, route string, took time.Duration, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o == routing.Success {
		s.times.Observe(route, took)
	}
	if w.pool == modelPool {
		s.pools[w.pool].queue.AdjustCharge(&w.item, tokens)
	}
	s.done(k, o)
}

func (s *scheduler) done(k *routing.Reservation, o routing.Outcome) {
	groups := s.table.Groups(k.Endpoint)
	s.table.Done(s.now(), k, o)
	for name := range s.pools {
		s.dispatch(name, groups)
	}
}

// another says whether a retry has an endpoint to go to.
func (s *scheduler) another(group string, exclude []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasAlternative(group, exclude)
}

// configure replaces the endpoints and reserved shares.
func (s *scheduler) configure(specs []routing.Spec, live, adapterLoads int, levels []admission.ReservedShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserve = admission.NewReservedShares(levels)
	s.table.Configure(specs, live, adapterLoads)
	s.dispatchAll()
}

// report takes a load report and cache events of one endpoint.
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

// waiting counts the waiting requests of each model.
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

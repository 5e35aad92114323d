package engine

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"time"
)

// run is one request in the engine. mu guards prefill and the fields below mu; it
// is locked after the engine's mu.
type run struct {
	id             string
	idempotencyKey string
	priority       int
	// prefill is the time that remains until the first token.
	prefill time.Duration
	target  int
	text    textFunc
	stream  bool
	chat    bool
	model   string

	mu         sync.Mutex
	changed    *sync.Cond
	generated  int
	started    bool
	finished   bool
	cancelled  bool
	finishedAt time.Time
}

// textFunc returns the text of one token.
type textFunc func(i int) string

func newRun(id string) *run {
	r := &run{id: id}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// stop cancels the run unless it has finished.
func (r *run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.finished {
		r.finished, r.cancelled, r.finishedAt = true, true, time.Now()
	}
	r.changed.Broadcast()
}

// wait blocks until more than n tokens are generated, the run finishes or ctx
// ends.
func (r *run) wait(ctx context.Context, n int) (generated int, finished bool) {
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})
	defer stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.generated <= n && !r.finished && ctx.Err() == nil {
		r.changed.Wait()
	}
	return r.generated, r.finished
}

// wasCancelled reports whether the run was stopped before its last token.
func (r *run) wasCancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

func (r *run) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// advance applies one batch step to the run: it shortens the prefill, or
// generates one token.
func (r *run) advance(step time.Duration) (finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return true
	}
	if r.prefill > 0 {
		r.prefill -= max(step, time.Microsecond)
		return false
	}
	r.generated++
	if r.generated >= r.target {
		r.finished, r.finishedAt = true, time.Now()
	}
	r.changed.Broadcast()
	return r.finished
}

// submit queues a run. It returns false if the queue is full. Callers hold mu.
func (e *Engine) submit(r *run) bool {
	if len(e.waiting) >= e.config.MaxWaiting {
		return false
	}
	e.dropExpiredRuns()
	e.runs[r.id] = r
	e.waiting = append(e.waiting, r)
	e.wake.Signal()
	return true
}

// dropExpiredRuns drops finished runs whose resume window has passed. Callers
// hold mu.
func (e *Engine) dropExpiredRuns() {
	// At most one sweep per second: a sweep per request took most of the CPU time
	// at a few thousand requests/s.
	if time.Since(e.lastSweep) < time.Second {
		return
	}
	e.lastSweep = time.Now()
	for id, r := range e.runs {
		r.mu.Lock()
		old := r.finished && time.Since(r.finishedAt) > e.config.ResumeWindow
		r.mu.Unlock()
		if old {
			delete(e.runs, id)
		}
	}
}

// loop runs one batch step after another.
func (e *Engine) loop() {
	for {
		batch, step, ok := e.nextBatch()
		if !ok {
			return
		}
		if step > 0 {
			time.Sleep(step)
		} else {
			runtime.Gosched()
		}
		e.finishStep(batch, step)
	}
}

// nextBatch waits for work and fills the free slots by priority. It returns the
// batch and the duration of its step, or false once the engine is closed.
func (e *Engine) nextBatch() ([]*run, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) == 0 && len(e.waiting) == 0 && !e.closed {
		e.wake.Wait()
	}
	if e.closed {
		return nil, 0, false
	}
	e.admit()
	others := float64(max(len(e.running)-1, 0))
	step := time.Duration(float64(e.config.TokenTime) * (1 + e.config.BatchSlowdown*others))
	return slices.Clone(e.running), step, true
}

// admit moves waiting runs into free slots, highest priority first. Callers hold
// mu.
func (e *Engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, (*run).isFinished)
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return b.priority - a.priority })
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		r.mu.Lock()
		r.started = true
		r.mu.Unlock()
		e.counters.count(r)
		e.running = append(e.running, r)
	}
	e.recordLoadReport()
}

// finishStep advances every run of the batch and frees the slots of those that
// finished.
func (e *Engine) finishStep(batch []*run, step time.Duration) {
	finished := make(map[*run]bool)
	for _, r := range batch {
		if r.advance(step) {
			finished[r] = true
		}
	}
	if len(finished) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return finished[r] })
	e.recordLoadReport()
}

// counters record what the engine executed; tests compare them with what callers
// saw. They survive a simulated crash. Callers hold the engine's mu.
type counters struct {
	byID      map[string]int
	byKey     map[string]int
	cancelled map[string]int
	received  map[string]int
	crashes   int
}

func newCounters() counters {
	return counters{
		byID: make(map[string]int), byKey: make(map[string]int),
		cancelled: make(map[string]int), received: make(map[string]int),
	}
}

func (c *counters) count(r *run) {
	c.byID[r.id]++
	if r.idempotencyKey != "" {
		c.byKey[r.idempotencyKey]++
	}
}

// Runs returns how often a request with this identifier was executed.
func (e *Engine) Runs(id string) int { return e.counter(func(c *counters) int { return c.byID[id] }) }

// RunsByKey returns how often a request with this idempotency key was executed.
func (e *Engine) RunsByKey(key string) int {
	return e.counter(func(c *counters) int { return c.byKey[key] })
}

// Cancelled returns how many DELETEs for this identifier arrived while its run was
// known.
func (e *Engine) Cancelled(id string) int {
	return e.counter(func(c *counters) int { return c.cancelled[id] })
}

// Received returns how many well-formed inference requests with this identifier
// arrived, whether or not they were executed.
func (e *Engine) Received(id string) int {
	return e.counter(func(c *counters) int { return c.received[id] })
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int { return e.counter(func(c *counters) int { return c.crashes }) }

func (e *Engine) counter(f func(*counters) int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return f(&e.counters)
}

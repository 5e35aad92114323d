package entry

import (
	"context"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/quota"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// tokenQueue queues requests that wait for tokens of their customer.
type tokenQueue struct {
	now     func() time.Duration
	replica Replica

	mu     sync.Mutex
	queue  *quota.WaitQueue
	nextID uint64
}

func newTokenQueue(now func() time.Duration, r Replica) *tokenQueue {
	return &tokenQueue{now: now, replica: r, queue: quota.NewWaitQueue()}
}

// hold reserves tokens for a request. If there are not enough, it waits in the order
// of the queue until w.LatestStart.
func (t *tokenQueue) hold(ctx context.Context, customer *statev1.Customer, w *quota.Waiter) error {
	limits := quota.Limits{RatePerSecond: customer.RateTokensPerSecond, Burst: customer.BurstTokens}
	if !quota.FitsBurst(w.Tokens, limits) {
		return resultcode.New(resultcode.LargerThanBurst, "the request needs %d tokens, more than the customer's burst of %d", w.Tokens, limits.Burst)
	}
	granted, err := t.holdOrQueue(w, limits)
	if err != nil || granted == nil {
		return err
	}
	timer := time.NewTimer(w.LatestStart - t.now())
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.abandon(ctx, w)
}

// holdOrQueue reserves the tokens at once if it can, and then returns a nil channel.
// Otherwise it queues the request and returns a channel that is closed when the
// tokens have been reserved.
func (t *tokenQueue) holdOrQueue(w *quota.Waiter, limits quota.Limits) (<-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queue.WouldBeFirst(w, t.now()) && t.replica.Hold(w.Customer, w.Tokens) {
		return nil, nil
	}
	if t.queue.WouldExpire(w, limits, t.now()) {
		return nil, rateExceeded(w.Tokens, limits)
	}
	t.nextID++
	w.ID = t.nextID
	granted := make(chan struct{})
	w.Value = granted
	t.queue.Add(w)
	t.replica.SetWanted(w.Customer, t.queue.WaitingTokens(w.Customer))
	return granted, nil
}

// abandon removes a waiter whose time or context has ended.
func (t *tokenQueue) abandon(ctx context.Context, w *quota.Waiter) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.queue.Remove(w) {
		return nil // granted meanwhile; later steps check the context
	}
	t.replica.SetWanted(w.Customer, t.queue.WaitingTokens(w.Customer))
	if ctx.Err() == context.Canceled {
		return resultcode.New(resultcode.CallerGone, "the caller disconnected while the request waited for tokens")
	}
	return rateExceeded(w.Tokens, quota.Limits{})
}

func rateExceeded(need uint64, l quota.Limits) *resultcode.Error {
	err := resultcode.New(resultcode.RateExceeded, "%d tokens are not available to the customer before the deadline", need)
	err.RetryAfter = time.Second
	if l.RatePerSecond > 0 {
		err.RetryAfter = max(time.Second, time.Duration(need)*time.Second/time.Duration(l.RatePerSecond))
	}
	return err
}

// grantWaiters grants tokens to waiting requests, as far as the leases allow.
func (t *tokenQueue) grantWaiters() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, customer := range t.queue.Customers() {
		hold := func(n uint64) bool { return t.replica.Hold(customer, n) }
		served := t.queue.Serve(customer, t.now(), hold)
		if len(served) == 0 {
			continue
		}
		t.replica.SetWanted(customer, t.queue.WaitingTokens(customer))
		for _, w := range served {
			close(w.Value.(chan struct{}))
		}
	}
}

// release ends a hold and returns its unused tokens.
func (t *tokenQueue) release(customer string, h *quota.Hold) {
	t.replica.Release(customer, h.Tokens, h.Charged)
	t.grantWaiters()
}

// run grants tokens to waiters whenever a lease grows, until ctx ends.
func (t *tokenQueue) run(ctx context.Context) {
	for {
		arrived := t.replica.TokensArrived()
		t.grantWaiters()
		select {
		case <-arrived:
		case <-ctx.Done():
			return
		}
	}
}

package entry

import (
	"context"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/quota"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// tokens lets requests wait for tokens of their customer.
type tokens struct {
	now     func() time.Duration
	replica Replica

	mu     sync.Mutex
	book   *quota.WaitQueue
	nextID uint64
}

func newTokens(now func() time.Duration, r Replica) *tokens {
	return &tokens{now: now, replica: r, book: quota.NewWaitQueue()}
}

// hold reserves tokens, waiting if need be: until the time in w, and behind
// others once it is no longer fresh.
func (t *tokens) hold(ctx context.Context, customer *statev1.Customer, w *quota.Waiter) error {
	limits := quota.Limits{RatePerSecond: customer.RateTokensPerSecond, Burst: customer.BurstTokens}
	if !quota.FitsBurst(w.Tokens, limits) {
		return resultcode.New(resultcode.LargerThanBurst, "%d tokens exceed the customer's burst of %d", w.Tokens, limits.Burst)
	}
	granted, err := t.begin(w, limits)
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
	return t.giveUp(ctx, w)
}

// begin returns a nil channel if the tokens were reserved at once.
func (t *tokens) begin(w *quota.Waiter, limits quota.Limits) (<-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.book.WouldBeFirst(w, t.now()) && t.replica.Hold(w.Customer, w.Tokens) {
		return nil, nil
	}
	if t.book.WouldExpire(w, limits, t.now()) {
		return nil, rateExceeded(w.Tokens, limits)
	}
	t.nextID++
	w.ID = t.nextID
	granted := make(chan struct{})
	w.Value = granted
	t.book.Add(w)
	t.replica.Want(w.Customer, t.book.WaitingTokens(w.Customer))
	return granted, nil
}

func (t *tokens) giveUp(ctx context.Context, w *quota.Waiter) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.book.Remove(w) {
		return nil // granted meanwhile; the caller notices its context itself
	}
	t.replica.Want(w.Customer, t.book.WaitingTokens(w.Customer))
	if ctx.Err() == context.Canceled {
		return resultcode.New(resultcode.CallerGone, "the caller left while the request waited")
	}
	return rateExceeded(w.Tokens, quota.Limits{})
}

func rateExceeded(need uint64, l quota.Limits) *resultcode.Error {
	err := resultcode.New(resultcode.RateExceeded, "no %d tokens before the deadline", need)
	err.RetryAfter = time.Second
	if l.RatePerSecond > 0 {
		err.RetryAfter = max(time.Second, time.Duration(need)*time.Second/time.Duration(l.RatePerSecond))
	}
	return err
}

// serve grants what the leases allow now.
func (t *tokens) serve() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, customer := range t.book.Customers() {
		hold := func(n uint64) bool { return t.replica.Hold(customer, n) }
		served := t.book.Serve(customer, t.now(), hold)
		if len(served) == 0 {
			continue
		}
		t.replica.Want(customer, t.book.WaitingTokens(customer))
		for _, w := range served {
			close(w.Value.(chan struct{}))
		}
	}
}

// release returns the rest of a hold.
func (t *tokens) release(customer string, h *quota.Hold) {
	t.replica.Release(customer, h.Tokens, h.Charged)
	t.serve()
}

// run serves waiters whenever leases grow, until ctx ends.
func (t *tokens) run(ctx context.Context) {
	for {
		arrived := t.replica.TokensArrived()
		t.serve()
		select {
		case <-arrived:
		case <-ctx.Done():
			return
		}
	}
}

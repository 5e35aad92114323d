// Package retry decides whether a failed attempt is retried, and keeps the retry
// budgets.
//
// It is deterministic and not safe for concurrent use. Times are durations
// since the start of the process.
package retry

import (
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// MaxRetries bounds the retries of one request.
	MaxRetries = 2
	// budgetPercent and budgetBase bound the retries of a customer and pool to
	// a tenth of its recent requests plus ten, so that a failing pool sees at
	// most 10% more load.
	budgetPercent = 10
	budgetBase    = 10
	// window is how long a request or retry counts towards the budget. Without
	// this bound, a long quiet period would accumulate budget for a retry storm.
	window     = 20 * time.Second
	buckets    = 10
	minBackoff = 10 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// BudgetKey identifies a retry budget.
type BudgetKey struct {
	Customer string
	Pool     string
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code resultcode.Code
	// Idempotent means that the request may be retried even if it may have run.
	Idempotent bool
	// Deduplicated means that a claim (deduplication record) protects the request
	// from running twice.
	Deduplicated bool
	// Started means that part of the response has reached the caller.
	Started bool
	// Retries is the number of retries of the request so far.
	Retries int
	// Deadline is that of the request, on the clock of the now argument of Decide.
	Deadline time.Duration
}

// Decision says what to do after a failed attempt. If Retry is false, Code is
// the result code for the caller.
type Decision struct {
	Retry   bool
	Backoff time.Duration
	Code    resultcode.Code
	// BudgetExhausted means that only the exhausted budget prevented a retry.
	BudgetExhausted bool
}

// Decider makes retry decisions.
type Decider struct {
	rand    func(n int) int
	budgets map[BudgetKey]*budget

	// unlimited ignores the budgets. Tests set it to prove that they detect it.
	unlimited bool
}

// budget counts requests and retries in buckets of the window.
type budget struct {
	bucket   int64 // number of the newest bucket
	requests [buckets]int
	retries  [buckets]int
}

// New returns a Decider. It draws jitter with rand(n), which returns a random
// number in [0, n).
func New(rand func(n int) int) *Decider {
	return &Decider{rand: rand, budgets: make(map[BudgetKey]*budget)}
}

// CountRequest counts a new request towards its budget.
func (d *Decider) CountRequest(now time.Duration, k BudgetKey) {
	b := d.budget(now, k)
	b.requests[b.bucket%buckets]++
}

func (d *Decider) budget(now time.Duration, k BudgetKey) *budget {
	b := d.budgets[k]
	if b == nil {
		b = &budget{}
		d.budgets[k] = b
	}
	b.advance(int64(now / (window / buckets)))
	return b
}

// advance clears the buckets that have left the window.
func (b *budget) advance(bucket int64) {
	for n := min(bucket-b.bucket, buckets); n > 0; n-- {
		b.bucket++
		b.requests[b.bucket%buckets] = 0
		b.retries[b.bucket%buckets] = 0
	}
	if bucket > b.bucket {
		b.requests, b.retries = [buckets]int{}, [buckets]int{}
		b.bucket = bucket
	}
}

// spend counts a retry, or returns false if the budget is exhausted.
func (b *budget) spend() bool {
	requests, retries := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries >= budgetBase+requests*budgetPercent/100 {
		return false
	}
	b.retries[b.bucket%buckets]++
	return true
}

// Eligible reports whether a failed attempt may be retried, regardless of the
// budget.
func Eligible(a Attempt) bool {
	if a.Started || a.Retries >= MaxRetries {
		return false
	}
	switch a.Code {
	case resultcode.EndpointUnreachable:
		return true
	case resultcode.EndpointRefused:
		return a.Idempotent || a.Deduplicated
	case resultcode.EndpointLost, resultcode.EndpointSilent, resultcode.AnswerIncomplete,
		resultcode.AnswerMismatch, resultcode.StreamBroken:
		return a.Idempotent
	default:
		return false
	}
}

// Decide reports whether a failed attempt is retried, and after which backoff.
func (d *Decider) Decide(now time.Duration, k BudgetKey, a Attempt) Decision {
	refuse := Decision{Code: a.Code}
	if !Eligible(a) {
		return refuse
	}
	backoff := minBackoff + time.Duration(d.rand(int(maxBackoff-minBackoff)+1))
	if now+backoff >= a.Deadline {
		return refuse
	}
	if !d.budget(now, k).spend() && !d.unlimited {
		refuse.BudgetExhausted = true
		if a.Code.Info().Run == resultcode.NotRun {
			refuse.Code = resultcode.RetryBudgetSpent
		}
		return refuse
	}
	return Decision{Retry: true, Backoff: backoff}
}

// Sweep drops budgets that have not been used for a whole window.
func (d *Decider) Sweep(now time.Duration) {
	bucket := int64(now / (window / buckets))
	for k, b := range d.budgets {
		if bucket-b.bucket >= buckets {
			delete(d.budgets, k)
		}
	}
}

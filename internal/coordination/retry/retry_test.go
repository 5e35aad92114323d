package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// budgetProperty checks each decision against a count over a list of all
// requests and retries.
func budgetProperty(unlimited bool) func(*rapid.T) {
	return func(t *rapid.T) {
		d := New(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "jitter") })
		d.unlimited = unlimited
		type event struct {
			bucket time.Duration
			retry  bool
		}
		events := map[BudgetKey][]event{}
		now := time.Duration(0)
		keys := rapid.SampledFrom([]BudgetKey{{"a", "m"}, {"b", "m"}})
		count := func(k BudgetKey) (requests, retries int) {
			for _, e := range events[k] {
				if e.bucket <= now/(2*time.Second)-10 {
					continue
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			return requests, retries
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					d.CountRequest(now, k)
					events[k] = append(events[k], event{now / (2 * time.Second), false})
				}
			},
			"retries": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				for range rapid.IntRange(1, 12).Draw(t, "n") {
					requests, retries := count(k)
					got := d.Decide(now, k, Attempt{Code: resultcode.EndpointLost, Idempotent: true, Deadline: now + time.Second})
					if want := retries < 10+requests/10; got.Retry != want || got.BudgetExhausted == want {
						t.Fatalf("retry allowed: %v, after %d retries and %d requests", got.Retry, retries, requests)
					}
					if got.Retry {
						if got.Backoff < 10*time.Millisecond || got.Backoff > 50*time.Millisecond {
							t.Fatalf("backoff %v is not between 10 and 50 ms", got.Backoff)
						}
						events[k] = append(events[k], event{now / (2 * time.Second), true})
					}
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 25000).Draw(t, "ms")) * time.Millisecond
				d.Sweep(now)
			},
		})
	}
}

// Guards against a budget that allows more or fewer retries than a tenth of the
// requests of the last 20 s plus ten, and against a backoff out of bounds.
func TestBudget(t *testing.T) {
	proptest.Check(t, 100, 1, budgetProperty(false))
	t.Run("unlimited", func(t *testing.T) { proptest.MustFail(t, 100, 1, budgetProperty(true)) })
}

// Guards against retries of requests that may have run and are not idempotent,
// more than two retries, and retries after the deadline.
func TestEligible(t *testing.T) {
	for _, info := range resultcode.All() {
		a := Attempt{Code: info.Code, Deadline: time.Hour}
		if Eligible(a) && info.Code != resultcode.EndpointUnreachable {
			t.Errorf("%v: request without a claim is retried", info.Code)
		}
		a.Deduplicated = true
		if Eligible(a) && info.Run != resultcode.NotRun {
			t.Errorf("%v: request may have run and is retried", info.Code)
		}
		a.Idempotent = true
		if Eligible(a) != (info.Code >= 4002 && info.Code <= 4007 || info.Code == 4010) {
			t.Errorf("%v: idempotent request: eligible is %v", info.Code, Eligible(a))
		}
		a.Started = true
		if Eligible(a) {
			t.Errorf("%v: request is retried after the response began", info.Code)
		}
	}
	d := New(func(int) int { return 0 })
	a := Attempt{Code: resultcode.EndpointLost, Idempotent: true, Retries: MaxRetries, Deadline: time.Hour}
	if d.Decide(0, BudgetKey{}, a).Retry {
		t.Error("a third retry was allowed")
	}
	a.Retries, a.Deadline = 0, 10*time.Millisecond
	if d.Decide(0, BudgetKey{}, a).Retry {
		t.Error("a retry after the deadline was allowed")
	}
}

package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// The retries of all entries together must stay within the bound of the fleet, for
// any sequence of requests and failures.
func TestRetryBudgetsStayWithinFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 58.0, 10 * time.Second
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		budgets := make([]*RetryBudget, entries)
		for i := range budgets {
			budgets[i] = NewRetryBudget(window, ratio, slack)
			budgets[i].SetEntries(entries)
		}
		requests, retries := 0, 0
		now := 5 * window
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, "s")
				requests++
			} else if b.Spend(now, "s") {
				retries++
			}
		}
		if float64(retries) > ratio*float64(requests)+slack {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

// All entries together must not spend more than the rate, the burst and the
// tolerance that the platform allows for the distance between entries.
func TestEntriesStayWithinCustomerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds, tick = 8, 50 * time.Millisecond
		customer := &catalog.Customer{Name: "c", Rate: 20_000, Burst: 20_000, ByTokens: true}
		names := []string{"e1", "e2", "e3", "e4", "e5"}
		// Each entry watches one of the control VMs, which report to the leader.
		levels := directory.NewLevels()
		relays := make([]*directory.Shares, rapid.IntRange(1, 3).Draw(t, "control VMs"))
		for i := range relays {
			relays[i] = directory.NewShares()
		}
		buckets := map[string]*Buckets{}
		for _, n := range names {
			buckets[n] = NewBuckets()
		}
		offered := rapid.IntRange(1, 8).Draw(t, "times the rate")
		skew := rapid.IntRange(0, len(names)-1).Draw(t, "favoured entry")
		spent := 0.0
		for step := range int(seconds * time.Second / tick) {
			now := time.Duration(step) * tick
			for i, r := range relays {
				if (step+i)%6 == 0 { // each control VM every 300 ms, at a different time
					demand, spent := r.TakeReport()
					levels.RecordReport(now, names[i], demand, spent)
					r.SetLevels(now, len(names), levels.List(now, []catalog.Customer{*customer}))
				}
			}
			for i, n := range names {
				if (step+i)%8 == 0 { // each entry every 400 ms, at a different time
					shares := relays[i%len(relays)]
					shares.RecordUsage(now, n, buckets[n].TakeUsage())
					buckets[n].SetShares(now, shares.ForEntry(now, n), shares.EntryCount())
				}
				count := offered * 20 * int(tick/time.Millisecond) / 1000 / len(names)
				if i == skew {
					count *= 2
				}
				for range max(1, count) {
					if ok, _ := buckets[n].Take(now, customer, 1000); ok {
						spent += 1000
					}
				}
			}
		}
		limit := (customer.Rate*seconds+customer.Burst)*1.1 + 11_000
		if spent > limit {
			t.Fatalf("spent %.0f tokens in %d s, the limit is %.0f", spent, seconds, limit)
		}
	})
}

// With nine entries, the share of a small customer's burst at each entry is smaller
// than a single request. The request must not be refused for that.
func TestRequestLargerThanBurstShareIsServed(t *testing.T) {
	levels, shares := directory.NewLevels(), directory.NewShares()
	customer := catalog.Customer{Name: "c", Rate: 2700, Burst: 2700, ByTokens: true}
	for _, n := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		shares.RecordUsage(0, n, nil)
	}
	levels.List(0, []catalog.Customer{customer})
	shares.SetLevels(2*time.Second, 9, levels.List(2*time.Second, []catalog.Customer{customer}))
	b := NewBuckets()
	b.SetShares(2*time.Second, shares.ForEntry(2*time.Second, "1"), 9)
	if ok, wait := b.Take(2*time.Second, &customer, 1500); !ok {
		t.Fatalf("refused, with a retry after %v", wait)
	}
}

// An entry that has lost contact with the leader must use less than its share of the
// rate: the leader may have given the share to other entries.
func TestDisconnectedEntryUsesLess(t *testing.T) {
	b := NewBuckets()
	customer := &catalog.Customer{Name: "c", Rate: 1000, Burst: 1000}
	b.SetShares(0, map[string]directory.Share{"c": {Fraction: 0.5, Level: 0}}, 4)
	if got := b.fraction(shareTTL, "c"); got != 0.5 {
		t.Fatalf("fraction %v before the share expires", got)
	}
	if got := b.fraction(shareTTL+1, customer.Name); got != disconnectedShare/4 {
		t.Fatalf("fraction %v after the share expired", got)
	}
}

package directory

import (
	"fmt"
	"testing"
	"time"
)

func enginesOf(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("e%04d", i)})
	}
	return out
}

// A leader that asked a thousand engines each second had no time left for its
// followers and lost its office again and again. The calls stay within their
// rate, and still reach every engine in turn, those that carry out an order
// first.
func TestReportCallsAreBounded(t *testing.T) {
	for _, n := range []int{12, 112, 300, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			engines := enginesOf(n)
			moving := engines[n-1].ID
			interval := func(id string) time.Duration {
				if id == moving {
					return movingReportInterval
				}
				return reportInterval
			}
			calls := newReportCalls(0)
			last := map[string]time.Duration{}
			total := 0
			const span = 30 * time.Second
			for now := time.Duration(0); now < span; now += workInterval {
				due := calls.due(now, engines, interval)
				if len(due) > reportBurst {
					t.Fatalf("%d calls at once", len(due))
				}
				for _, e := range due {
					if age := now - last[e.ID]; age > reportAge(n) {
						t.Fatalf("%s is asked after %v, when its report is too old", e.ID, age)
					}
					last[e.ID] = now
					calls.answered()
				}
				total += len(due)
			}
			if limit := int(span.Seconds()*reportsPerSecond) + reportBurst; total > limit {
				t.Errorf("%d calls, %d are allowed", total, limit)
			}
			if len(last) != n {
				t.Errorf("%d of %d engines were asked", len(last), n)
			}
			if age := span - last[moving]; age > 2*movingReportInterval+time.Duration(n)*time.Second/reportsPerSecond/4 {
				t.Errorf("the engine that carries out an order was asked %v ago", age)
			}
		})
	}
}

// Engines that never answer must not take all calls.
func TestDarkEnginesLeaveCallsForOthers(t *testing.T) {
	engines := enginesOf(112)
	calls := newReportCalls(0)
	dark := func(id string) bool { return id < "e0028" }
	var pending []time.Duration
	asked := map[string]int{}
	for now := time.Duration(0); now < 20*time.Second; now += workInterval {
		for len(pending) > 0 && pending[0] <= now {
			pending = pending[1:]
			calls.answered()
		}
		for _, e := range calls.due(now, engines, func(string) time.Duration { return reportInterval }) {
			asked[e.ID]++
			if dark(e.ID) {
				pending = append(pending, now+callLimit)
			} else {
				calls.answered()
			}
		}
	}
	for _, e := range engines {
		if !dark(e.ID) && asked[e.ID] < 10 {
			t.Fatalf("%s was asked %d times in 20 s", e.ID, asked[e.ID])
		}
	}
}

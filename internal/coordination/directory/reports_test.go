package directory

import (
	"fmt"
	"testing"
	"time"
)

func newEngines(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprintf("e%04d", i)})
	}
	return out
}

// Guards against a leader that spends its time on polling: when it polled a
// thousand engines each second, it had no time left for its followers and lost its
// leadership again and again. The calls must stay within their rate and still reach
// every engine in turn, first those that carry out an order.
func TestReportCallsAreBounded(t *testing.T) {
	for _, n := range []int{12, 112, 300, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			engines := newEngines(n)
			busy := engines[n-1].ID
			need := func(id string) reportNeed {
				if id == busy {
					return reportNeed{interval: busyReportInterval, urgent: true}
				}
				return reportNeed{interval: reportInterval}
			}
			scheduler := newReportScheduler(0)
			last := map[string]time.Duration{}
			total := 0
			const span = 30 * time.Second
			for now := time.Duration(0); now < span; now += workInterval {
				due := scheduler.due(now, engines, need)
				if len(due) > reportBurst {
					t.Fatalf("%d calls at once, want at most reportBurst", len(due))
				}
				for _, e := range due {
					if age := now - last[e.ID]; age > maxReportAge(n) {
						t.Fatalf("%s is polled after %v, when its report is too old", e.ID, age)
					}
					last[e.ID] = now
					scheduler.answered()
				}
				total += len(due)
			}
			if limit := int(span.Seconds()*reportsPerSecond) + reportBurst; total > limit {
				t.Errorf("%d calls, want at most %d", total, limit)
			}
			if len(last) != n {
				t.Errorf("%d of %d engines were polled", len(last), n)
			}
			if age := span - last[busy]; age > 2*busyReportInterval+time.Duration(n)*time.Second/reportsPerSecond/4 {
				t.Errorf("the engine that carries out an order was last polled %v ago", age)
			}
		})
	}
}

// Guards against engines that never answer and take up all calls.
func TestUnresponsiveEnginesLeaveCallsForOthers(t *testing.T) {
	engines := newEngines(112)
	scheduler := newReportScheduler(0)
	unresponsive := func(id string) bool { return id < "e0028" }
	var pending []time.Duration
	polls := map[string]int{}
	for now := time.Duration(0); now < 20*time.Second; now += workInterval {
		for len(pending) > 0 && pending[0] <= now {
			pending = pending[1:]
			scheduler.answered()
		}
		for _, e := range scheduler.due(now, engines, func(string) reportNeed { return reportNeed{interval: reportInterval} }) {
			polls[e.ID]++
			if unresponsive(e.ID) {
				pending = append(pending, now+engineCallTimeout)
			} else {
				scheduler.answered()
			}
		}
	}
	for _, e := range engines {
		if !unresponsive(e.ID) && polls[e.ID] < 10 {
			t.Fatalf("%s was polled %d times in 20 s, want at least 10", e.ID, polls[e.ID])
		}
	}
}

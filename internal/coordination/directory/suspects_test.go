package directory

import (
	"fmt"
	"testing"
	"time"
)

// Guards against requests that crash one endpoint after another, and against
// innocent requests among the suspects. A request is suspect after two endpoints
// that it crashed; requests that shared an endpoint with it, and those that lost
// the same endpoint twice, are not.
func TestRequestsThatCrashEndpointsAreSuspect(t *testing.T) {
	s := NewSuspects()
	const crashing = 1
	for i := range 3 {
		endpoint := fmt.Sprint("e", i)
		s.RecordLoss(time.Duration(i)*time.Second, crashing, endpoint)
		for other := range 12 {
			s.RecordLoss(time.Duration(i)*time.Second, uint64(100*(i+1)+other), endpoint)
		}
		s.RecordLoss(time.Duration(i)*time.Second, 7, "e0")
		got := s.List(time.Duration(i) * time.Second)
		if want := i+1 >= lossesToSuspect; want != (len(got) == 1 && got[0] == crashing) || (!want && len(got) != 0) {
			t.Fatalf("after %d crashes the suspects are %v", i+1, got)
		}
	}
	if got := s.List(3*time.Second + suspectTime); len(got) != 0 {
		t.Fatalf("%v are still suspect after suspectTime", got)
	}
}

// Guards against losses of many different requests that use up the leader's memory.
func TestSuspectsAreBounded(t *testing.T) {
	s := NewSuspects()
	for i := range 3 * maxTrackedRequests {
		s.RecordLoss(0, uint64(i), "a")
		s.RecordLoss(0, uint64(i), "b")
	}
	if len(s.requests) > maxTrackedRequests || len(s.List(0)) > maxListedSuspects {
		t.Fatalf("%d requests are tracked, %d listed", len(s.requests), len(s.List(0)))
	}
	s.RecordLoss(2*suspectTime, 1<<40, "a")
	if len(s.requests) != 1 {
		t.Fatalf("%d requests are tracked after the old ones expired, want 1", len(s.requests))
	}
}

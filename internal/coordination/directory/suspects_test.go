package directory

import (
	"fmt"
	"testing"
	"time"
)

// A request that crashes the endpoints that run it is suspect after two of them;
// requests that shared an endpoint with it, and those that met one broken
// connection twice, are not.
func TestRequestsThatCrashEndpointsAreSuspect(t *testing.T) {
	s := NewSuspects()
	const poison = 1
	for i := range 3 {
		endpoint := fmt.Sprint("e", i)
		s.Lost(time.Duration(i)*time.Second, poison, endpoint)
		for company := range 12 {
			s.Lost(time.Duration(i)*time.Second, uint64(100*(i+1)+company), endpoint)
		}
		s.Lost(time.Duration(i)*time.Second, 7, "e0")
		got := s.List(time.Duration(i) * time.Second)
		if want := i+1 >= lossesToSuspect; want != (len(got) == 1 && got[0] == poison) || (!want && len(got) != 0) {
			t.Fatalf("after %d crashes the suspects are %v", i+1, got)
		}
	}
	if got := s.List(3*time.Second + suspectTime); len(got) != 0 {
		t.Fatalf("%v are suspect for ever", got)
	}
}

// Losses of many different requests must not use up the leader's memory.
func TestSuspectsAreBounded(t *testing.T) {
	s := NewSuspects()
	for i := range 3 * suspectsKept {
		s.Lost(0, uint64(i), "a")
		s.Lost(0, uint64(i), "b")
	}
	if len(s.requests) > suspectsKept || len(s.List(0)) > suspectsTold {
		t.Fatalf("%d requests are followed, %d told", len(s.requests), len(s.List(0)))
	}
	s.Lost(2*suspectTime, 1<<40, "a")
	if len(s.requests) != 1 {
		t.Fatalf("%d old requests are kept", len(s.requests))
	}
}

package virtualtime

import (
	"sync"
	"testing"
	"time"
)

const (
	dueTimerBubbles    = 8
	dueTimerGoroutines = 64
	dueTimerRounds     = 200
)

// Guards against a crash of the race detector when timers that are already due run
// beside timers that the bubble's clock fires.
func TestDueTimersDoNotCorruptTheRaceDetector(t *testing.T) {
	for range dueTimerBubbles {
		Test(t, func(*testing.T) {
			var running sync.WaitGroup
			for range dueTimerGoroutines {
				running.Go(waitForDueTimers)
				running.Go(waitForCallbacks)
			}
			running.Wait()
		})
	}
}

func waitForDueTimers() {
	for range dueTimerRounds {
		time.Sleep(time.Millisecond)
		<-time.After(0)
	}
}

func waitForCallbacks() {
	for range dueTimerRounds {
		called := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() { close(called) })
		<-called
	}
}

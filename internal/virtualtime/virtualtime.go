// Package virtualtime runs tests whose clock advances only while every goroutine
// waits. Only tests import it.
//
// It wraps testing/synctest because of a fault in Go 1.26: with the race detector, all
// timers of a bubble share one race context, and a timer that is due when it is
// created runs on the thread that creates it. Two threads that run timers at the same
// time corrupt the race detector's state and the test binary crashes. With one thread
// for Go code, timers run one after the other.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble, with one thread for Go code until f and its
// goroutines have ended.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

package forward

import (
	"testing"
	"time"
)

// Guards against a register that keeps every stream of a busy minute.
func TestRegisterIsBounded(t *testing.T) {
	r := NewStreamRegister()
	for i := range 2 * maxStreams {
		r.Began(time.Second, uint64(i+1), "s", "e", "v")
	}
	if len(r.order) > maxStreams || len(r.byKey) > maxStreams {
		t.Errorf("%d streams are kept, want at most %d", len(r.byKey), maxStreams)
	}
	if _, found := r.Version(time.Second+streamMemory+1, 2*maxStreams); found {
		t.Error("a stream is known after its time")
	}
}

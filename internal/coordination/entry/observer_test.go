package entry

import (
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Guards against a first token or a stream that misses its target but counts as
// attained. Operators judge profiles by this figure.
func TestAttained(t *testing.T) {
	profile := &statev1.Profile{FirstTokenMs: 100, TokenGapMs: 10}
	for _, test := range []struct {
		name        string
		first, last time.Duration
		events      int
		attained    bool
	}{
		{"in time", 100 * time.Millisecond, 200 * time.Millisecond, 11, true},
		{"late first token", 101 * time.Millisecond, 200 * time.Millisecond, 11, false},
		{"slow tokens", 50 * time.Millisecond, 200 * time.Millisecond, 11, false},
		{"not streamed", 0, 0, 0, true},
	} {
		c := &call{profile: profile, events: test.events, firstEvent: test.first, lastEvent: test.last}
		if got := c.attained(); got != test.attained {
			t.Errorf("%s: attained is %v", test.name, got)
		}
	}
}

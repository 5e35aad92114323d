package entry

import (
	"testing"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Guards against attainment that counts slow first tokens or slow streams, the
// figure that operators judge profiles by.
func TestAttained(t *testing.T) {
	profile := &statev1.Profile{FirstTokenMs: 100, TokenGapMs: 10}
	for _, one := range []struct {
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
		c := &call{profile: profile, events: one.events, firstEvent: one.first, lastEvent: one.last}
		if got := c.attained(); got != one.attained {
			t.Errorf("%s: attained is %v", one.name, got)
		}
	}
}

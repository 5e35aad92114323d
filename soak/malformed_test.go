package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Guards against an answer that is no HTTP response, from an endpoint that is sound
// otherwise, of which a caller gets any part, whose statement that the request did not run
// is believed, or on which a caller waits until its deadline. Status 000 and names with a
// blank or a control byte count.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	const seed = 9048
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 3})
	f.putFirstCatalog(standin.RouteTimeout)
	f.playFault(faultPlay{
		faults: standin.Faults{Malformed: 0.1}, count: &f.endpoints.Counts.Malformed,
		callers: 36, call: (*callers).callUntil,
	})
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// callUntil sends requests of all kinds, on a connection to one entry that is kept.
func (c *callers) callUntil(end time.Time, worker int, r *rand.Rand) {
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixResumable}
	s := &session{address: c.fleet.entries[worker%len(c.fleet.entries)].callerAddress()}
	defer s.close()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.Int64N(int64(callerInterval))))
		c.record(c.send(s, prefixes[r.IntN(len(prefixes))], standin.Model, shape{deadline: callerDeadline}))
	}
}

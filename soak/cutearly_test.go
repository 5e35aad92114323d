package soak

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// uploadDeadline is the deadline of a request with a large body. The time that a busy machine
// takes to send it is not what the test checks.
const uploadDeadline = 4 * callerDeadline

// Guards against part of an answer that a caller gets as a whole one, and against a caller
// that gets no answer: endpoints answer long requests early, with each kind of framing, and
// reset the connection anywhere in the answer while the request is being sent.
func TestAnswersCutEarlyAreNotWhole(t *testing.T) {
	first, count := envInt(t, "SOAK_FIRST", 9054), envInt(t, "SOAK_SEEDS", 1)
	binary := buildDaemon(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { playEarlyCuts(t, binary, seed) })
	}
}

func playEarlyCuts(t *testing.T, binary string, seed int) {
	f := newFleet(t, seed, binary, size{control: 3, entries: 3, direct: true})
	f.putFirstCatalog(uploadDeadline)
	statuses := f.playFault(faultPlay{
		faults: standin.Faults{CutEarly: 0.25}, count: &f.endpoints.Counts.CutEarly,
		callers: 16, call: (*callers).uploadUntil,
	})
	if n := statuses[0]; n > 0 {
		t.Errorf("%d callers got no answer", n)
	}
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// uploadUntil sends requests of all kinds with large bodies. One caller in four uses
// HTTP/1.0.
func (c *callers) uploadUntil(end time.Time, worker int, r *rand.Rand) {
	const minUpload, maxUpload = 64 << 10, 4 << 20 // bytes
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixResumable}
	s := &session{address: c.fleet.entries[worker%len(c.fleet.entries)].callerAddress(), http10: worker%4 == 0}
	defer s.close()
	for time.Now().Before(end) {
		of := shape{bodySize: minUpload + r.IntN(maxUpload-minUpload), answerSize: r.IntN(64 << 10), deadline: uploadDeadline}
		c.record(c.send(s, prefixes[r.IntN(len(prefixes))], standin.Model, of))
	}
}

package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// outOfStep is longer than control VMs take to answer, shorter than a freeze that an entry
// notices, and shorter than versionLag.
const outOfStep = 2600 * time.Millisecond

// restOverNewConnection is the rest of a stream over a connection that shows nothing of the
// endpoint's age.
func restOverNewConnection() reply {
	out := restOfStream()
	out.connectedAt = time.Now()
	return out
}

// withStaleList calls f with an entry that remembers the stream of the attempt id-0 at v1, and
// has not heard from control VMs for the time outOfStep.
func withStaleList(t *testing.T, list []pool.Endpoint, f func(t *testing.T, e *ledEntry)) {
	t.Helper()
	withLeader(t, &streamLeader{}, list, func(t *testing.T, e *ledEntry) {
		time.Sleep(2 * versionLag)
		e.server.confirmList(e.server.now(), minHold)
		e.server.mu.streams.Began(e.server.now(), streamOf("id-0"), modelsAt("v1"), "e0", false)
		time.Sleep(outOfStep)
		f(t, e)
	})
}

// Guards against a stream that goes on at another version since the entry, which was cut off
// or stood still, uses the list that it had before: an endpoint may have restarted in place.
func TestStreamIsNotContinuedByAStaleList(t *testing.T) {
	withStaleList(t, versionedEndpoints("v1"), expectNoContinuation)
}

// expectNoContinuation takes the stream up just before the next list, in which the only
// endpoint has another version.
func expectNoContinuation(t *testing.T, e *ledEntry) {
	t.Helper()
	time.AfterFunc(20*time.Millisecond, func() {
		e.server.SetEndpoints(versionedEndpoints("v2"))
		e.server.confirmList(e.server.now(), minHold)
	})
	status, code, _ := e.do("/resumed/x", takeUp(), restOverNewConnection())
	if status != 503 || code != "4013" || len(e.sentTo()) != 0 {
		t.Errorf("status %d, result %s, sent to %v, want a refusal without a send", status, code, e.sentTo())
	}
}

// Guards against a stream that is refused, or waits long, although the list is confirmed a
// moment later.
func TestStreamGoesOnOnceTheListIsConfirmed(t *testing.T) {
	withStaleList(t, versionedEndpoints("v2", "v1"), func(t *testing.T, e *ledEntry) {
		time.AfterFunc(20*time.Millisecond, func() { e.server.confirmList(e.server.now(), minHold) })
		status, code, took := e.do("/resumed/x", takeUp(), restOverNewConnection())
		if status != 200 || !slices.Equal(e.sentTo(), []string{"e2"}) || took > 20*time.Millisecond+2*pool.TickInterval {
			t.Errorf("status %d, result %s, sent to %v after %v", status, code, e.sentTo(), took)
		}
	})
}

// Guards against an answer to a call from before the entry stood still that makes its list
// count as current.
func TestAnswerFromBeforeAFreezeRefreshesNoList(t *testing.T) {
	withStaleList(t, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		e.server.confirmList(e.server.now()-outOfStep+time.Millisecond, minHold)
		expectNoContinuation(t, e)
	})
}

// Guards against a stream that goes on over a new connection while no control VM answers,
// and against one that waits so long that its caller gives up.
func TestStreamWaitsForAStaleListOnlyOnce(t *testing.T) {
	withStaleList(t, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		for _, longest := range []time.Duration{staleListWait + 2*pool.TickInterval, 2 * pool.TickInterval} {
			e.endpoints.replies = nil
			status, code, took := e.do("/resumed/x", takeUp(), restOverNewConnection())
			if status == 200 || took > longest {
				t.Errorf("status %d, result %s after %v, want a broken stream within %v", status, code, took, longest)
			}
		}
	})
}

// Guards against new streams that wait, or whose version counts as unknown, while control VMs
// do not answer for a moment.
func TestStreamBeginsWithAStaleList(t *testing.T) {
	withStaleList(t, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		status, code, took := e.do("/resumed/x", map[string]string{"Id": "id-2"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1, connectedAt: time.Now()})
		if v, _ := e.server.mu.streams.Origin(e.server.now(), streamOf("id-2")); status != 200 || took > pool.TickInterval || v != modelsAt("v1") {
			t.Errorf("status %d, result %s after %v, origin %v", status, code, took, v)
		}
	})
}

package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Guards against a stream that goes on at an endpoint which has restarted in place with
// another version before the list shows it, also while control VMs do not answer.
func TestStreamStaysAwayFromAnEndpointThatMayHaveRestarted(t *testing.T) {
	leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
	withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		e.do("/stream/x", nil, reply{err: errNoConnection})
		for range 3 {
			if status, code, _ := e.do("/resumed/x", takeUp()); status != 503 || code != "4013" || len(e.sentTo()) != 1 {
				t.Errorf("status %d, result %s, sent to %v, want a refusal", status, code, e.sentTo())
			}
			time.Sleep(versionLag)
		}
		e.endpoints.replies = nil
		e.server.confirmList(e.server.now(), minHold)
		if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 || !slices.Equal(e.sentTo(), []string{"e1", "e1"}) {
			t.Errorf("status %d, result %s, sent to %v, want e1 once its version is confirmed", status, code, e.sentTo())
		}
	})
}

var errNoConnection = resultcode.New(resultcode.EndpointUnreachable, "no connection")

// Guards against streams that are refused for seconds after a reset of connections, which
// is no sign of a restart.
func TestLostConnectionLeavesTheVersionKnown(t *testing.T) {
	for name, failure := range map[string]reply{
		"connection lost": {err: errMayHaveRun},
		"model missing":   {status: 421, header: sealed()},
	} {
		leader := &streamLeader{versions: map[uint64]string{streamOf("id-0"): "v1"}}
		withLeader(t, leader, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
			e.do("/stream/x", nil, failure)
			time.Sleep(time.Second) // the endpoint counts as without the model for a moment
			e.endpoints.replies = nil
			if status, code, _ := e.do("/resumed/x", takeUp(), restOfStream()); status != 200 {
				t.Errorf("%s: status %d, result %s, sent to %v", name, status, code, e.sentTo())
			}
		})
	}
}

// Guards against a stream that counts as begun at the version which its endpoint had
// before a restart.
func TestStreamThatBeginsAfterARestartInPlaceIsUnknown(t *testing.T) {
	withLeader(t, &streamLeader{}, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
		e.do("/stream/x", nil, reply{err: errNoConnection})
		e.do("/resumed/x", map[string]string{"Id": "id-0"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1})
		if v, found := e.server.mu.streams.Origin(e.server.now(), streamOf("id-0")); v.version != "" || !found {
			t.Errorf("the stream began at %v, want it to be unknown", v)
		}
	})
}

// Guards against streams that are refused because an endpoint that has not restarted broke
// off another one.
func TestEndpointWithAnOlderAnswerHasNotRestarted(t *testing.T) {
	for sentAt, want := range map[time.Duration]bool{time.Second: false, 3 * time.Second: true} {
		d := doubtfulEndpoints{}
		d.noteUnreachable(2*time.Second, "e1")
		d.noteSucceeded(sentAt, "e1")
		if d.has("e1") != want {
			t.Errorf("sent at %v: doubtful %v, want %v", sentAt, d.has("e1"), want)
		}
	}
}

// Guards against a stream that an entry without control continues, or records, at the
// version that an endpoint had before it restarted, and against an end of all
// continuations while there is no control.
func TestVersionWithoutControlIsThatOfAnOldConnection(t *testing.T) {
	for name, test := range map[string]struct {
		connected time.Duration // after the list was confirmed
		served    bool
	}{"before the list": {-versionLag, true}, "since": {time.Second, false}} {
		withLeader(t, &streamLeader{}, versionedEndpoints("v1"), func(t *testing.T, e *ledEntry) {
			time.Sleep(2 * versionLag)
			e.server.confirmList(e.server.now(), minHold)
			connectedAt := time.Now().Add(test.connected)
			e.server.mu.streams.Began(e.server.now(), streamOf("id-0"), modelsAt("v1"), "e0", false)
			time.Sleep(versionLag + time.Second)
			rest := restOfStream()
			rest.connectedAt = connectedAt
			status, code, _ := e.do("/resumed/x", takeUp(), rest)
			if (status == 200) != test.served {
				t.Errorf("%s: status %d, result %s, served wanted: %v", name, status, code, test.served)
			}
			e.endpoints.replies = nil
			e.do("/resumed/x", map[string]string{"Id": "id-2"}, reply{status: 200, header: sealed(), body: firstEvent, length: -1, connectedAt: connectedAt})
			if v, found := e.server.mu.streams.Origin(e.server.now(), streamOf("id-2")); !found || (v.version != "") != test.served {
				t.Errorf("%s: a new stream began at %v", name, v)
			}
		})
	}
}

package forward

import (
	"net/http"
	"strings"
	"testing"
)

// When a stream is resumed at another endpoint and that responds with an error, the
// error's body must not be passed on as part of the stream, and the end of that
// body must not count as the end of the stream.
func TestResumedStreamRejectsErrorResponse(t *testing.T) {
	for _, body := range []string{"", "broken\n\n"} {
		w := newFixture(t,
			reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\nid: 2\nda", truncated: true, length: -1},
			reply{status: 500, header: sealed(), body: body, length: int64(len(body))},
		)
		_, _, got, err := w.do("/resumed/x", map[string]string{"Model": "m"})
		if err == nil {
			t.Errorf("body %q: the stream looks complete: %q", body, got)
		}
		if strings.Contains(got, "broken") {
			t.Errorf("body %q: the stream contains the body of the error: %q", body, got)
		}
	}
}

// Guards against the answer of the next endpoint, whatever it is, that appears in the
// middle of a stream that has begun, or that makes the stream look complete.
func TestBrokenStreamShowsNothingOfTheNextAnswer(t *testing.T) {
	notRun := http.Header{"Not-Run": {"1"}, "Id": {"id-1"}}
	events := sealed()
	events.Set("Content-Type", "text/event-stream")
	for name, next := range map[string][]reply{
		"server error":            {{status: 500, header: sealed(), body: "error\n\n", length: 7}},
		"gateway timeout":         {{status: 504, header: sealed(), body: "error\n\n", length: 7}},
		"client error":            {{status: 404, header: sealed(), body: "error\n\n", length: 7}},
		"no content":              {{status: 204, header: sealed(), length: 0}},
		"redirect":                {{status: 307, header: sealed(), body: "error\n\n", length: 7}},
		"refused everywhere":      {{status: 503, header: notRun, body: "error\n\n", length: 7}, {status: 503, header: notRun, body: "error\n\n", length: 7}},
		"misdirected":             {{status: 421, header: notRun, body: "error\n\n", length: 7}},
		"without a seal":          {{status: 200, header: http.Header{"Id": {"id-1"}}, body: "error\n\n", length: 7}},
		"no answer":               {{err: errMayHaveRun}},
		"text in place of events": {{status: 200, header: sealed(), body: "error\n\n", length: 7}},
	} {
		for kind, first := range map[string]reply{
			"between events":  {status: 200, header: events, body: "id: 1\ndata: a\n\n", truncated: true, length: -1},
			"within an event": {status: 200, header: events, body: "id: 1\ndata: a\n\nid: 2\nda", truncated: true, length: -1},
		} {
			w := newFixture(t, append([]reply{first}, next...)...)
			_, _, got, err := w.do("/resumed/x", map[string]string{"Model": "m"})
			if err == nil {
				t.Errorf("%s, %s: the stream looks complete: %q", name, kind, got)
			}
			if got != "id: 1\ndata: a\n\n" {
				t.Errorf("%s, %s: the stream is %q", name, kind, got)
			}
		}
	}
}

// A resumable stream must be resumed after its last complete event, so that the
// caller receives each event once and none in part.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	w := newFixture(t,
		reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\nid: 2\nda", truncated: true, length: -1},
		reply{status: 200, header: sealed(), body: "id: 2\ndata: b\n\n", length: -1},
	)
	status, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"})
	if err != nil || status != 200 || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
	if got := w.endpoints.sends()[1].Header.Get("Resume"); got != "1" {
		t.Fatalf("resumed after %q, want 1", got)
	}
}

// Guards against a stream with CRLF line ends whose events are never recognised as
// complete.
func TestStreamWithCRLFResumesAfterLastCompleteEvent(t *testing.T) {
	w := newFixture(t,
		reply{status: 200, header: sealed(), body: "id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", truncated: true, length: -1},
		reply{status: 200, header: sealed(), body: "id: 2\r\ndata: b\r\n\r\n", length: -1},
	)
	status, _, body, err := w.do("/resumed/x", map[string]string{"Model": "m"})
	if err != nil || status != 200 || body != "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
	if got := w.endpoints.sends()[1].Header.Get("Resume"); got != "1" {
		t.Fatalf("resumed after %q, want 1", got)
	}
}

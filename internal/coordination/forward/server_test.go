package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// testCodec uses headers of its own, so that these tests know no platform.
type testCodec struct{}

func (testCodec) DecodeRequest(r *http.Request) *Request {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req := &Request{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: path,
		Header: r.Header, Key: r.Header.Get("Key"), Model: r.Header.Get("Model"), LastEventID: r.Header.Get("Resume"),
	}
	if w, err := time.ParseDuration(r.Header.Get("Wait")); err == nil {
		req.Timeout = w
	}
	return req
}

func (testCodec) AttemptHeader(r *Request, a Attempt) http.Header {
	return http.Header{"Id": {r.ID}, "Endpoint": {a.EndpointID}, "Customer": {a.Customer}, "Resume": {a.ResumeAfter}}
}

func (testCodec) DecodeResponse(status int, h http.Header) ResponseHead {
	return ResponseHead{Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

func (testCodec) MatchesRequest(h http.Header, id string) bool {
	return h.Get("Id") == id || h.Get("Id") == ""
}

func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// reply is what an endpoint does with one request.
type reply struct {
	status int
	header http.Header
	body   string
	// cut ends the body with an error; err replaces the answer.
	cut bool
	err error
	// length is the announced length; -1 for chunks.
	length int64
}

// testBody ends as its reply says.
type testBody struct {
	io.Reader
	cut bool
}

func (b *testBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.cut {
		err = resultcode.New(resultcode.AnswerIncomplete, "cut by the test")
	}
	return n, err
}
func (b *testBody) Close() error { return nil }
func (b *testBody) Finish()      {}
func (b *testBody) Discard()     {}

// fakeEndpoints answers with the replies in their order and records the sends.
type fakeEndpoints struct {
	mu      sync.Mutex
	replies []reply
	sent    []*exchange.Request
}

func (f *fakeEndpoints) Do(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, r)
	if len(f.replies) == 0 {
		return nil, resultcode.New(resultcode.EndpointLost, "the test has no further reply")
	}
	next := f.replies[0]
	f.replies = f.replies[1:]
	if next.err != nil {
		return nil, next.err
	}
	h := next.header.Clone()
	if h == nil {
		h = http.Header{}
	}
	return &exchange.Response{Status: next.status, Header: h, ContentLength: next.length, Body: &testBody{strings.NewReader(next.body), next.cut}}, nil
}

func (f *fakeEndpoints) sends() []*exchange.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

type noMetrics struct{}

func (noMetrics) Refusal(resultcode.Code) {}
func (noMetrics) Retry(string)            {}
func (noMetrics) OpenRequests(int)        {}

func (noMetrics) Answered(time.Duration)                {}
func (noMetrics) Streamed(time.Duration, time.Duration) {}

// fakeLoader expects every model after a fixed time.
type fakeLoader struct{ ready time.Duration }

func (l fakeLoader) Load(context.Context, string, string) (time.Duration, error) { return l.ready, nil }

func testCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 1,
		Services: []catalog.Service{
			{Name: "plain"},
			{Name: "models", Engine: &catalog.Engine{Slots: 8, Models: []catalog.Model{{Name: "m"}, {Name: "absent"}}}},
		},
		Routes: []catalog.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: catalog.NonIdempotent, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 1, Splits: []catalog.Split{{Service: "plain", Weight: 1}}},
			{Name: "often", Host: "h", Prefix: "/often/", Kind: catalog.Idempotent, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2, Splits: []catalog.Split{{Service: "plain", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: catalog.Streaming, Timeout: 5 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 1, Splits: []catalog.Split{{Service: "models", Weight: 1}}},
			{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: catalog.Streaming, Resumable: true, Timeout: 5 * time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2, Splits: []catalog.Split{{Service: "models", Weight: 1}}},
		},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"k"}, Rate: 1000, Burst: 1000}},
	}
}

// world is an entry with two endpoints of each service.
type world struct {
	t         *testing.T
	endpoints *fakeEndpoints
	server    *Server
	http      *httptest.Server
	log       *bytes.Buffer
}

func newWorld(t *testing.T, replies ...reply) *world {
	w := &world{t: t, endpoints: &fakeEndpoints{replies: replies}, log: &bytes.Buffer{}}
	w.server = New(Config{
		Codec: testCodec{}, Client: w.endpoints, Loader: fakeLoader{ready: time.Minute}, Metrics: noMetrics{},
		Self: pool.Sender{Address: "self"}, Send: func(to string, _ *peerv1.PlaceMessage) { t.Errorf("a datagram to %q", to) },
		Log: slog.New(slog.DiscardHandler), RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 100,
	})
	w.server.SetCatalog(catalog.NewIndex(testCatalog()))
	models := []directory.Resident{{Model: "m"}}
	w.server.SetEndpoints([]pool.Endpoint{
		{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Slots: 4}},
		{Endpoint: directory.Endpoint{ID: "p2", Service: "plain", Address: "p2:1", Slots: 4}},
		{Endpoint: directory.Endpoint{ID: "e1", Service: "models", Address: "e1:1", Slots: 4, Models: models}},
		{Endpoint: directory.Endpoint{ID: "e2", Service: "models", Address: "e2:1", Slots: 4, Models: models}},
	})
	w.server.SetShares(map[string]directory.Share{"c": {Fraction: 1, Level: 1000}}, 1)
	w.http = httptest.NewServer(w.server)
	t.Cleanup(w.http.Close)
	return w
}

// do sends one request. The error is that of reading the answer's body.
func (w *world) do(path string, header map[string]string) (status int, h http.Header, body string, err error) {
	w.t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.http.URL+path, strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

func sealed() http.Header { return http.Header{"Seal": {"s"}, "Id": {"id-1"}} }

var errMayHaveRun = resultcode.New(resultcode.EndpointLost, "the connection broke")

// A stream that is resumed must not take an error for its rest: neither its body
// nor its end belong to the stream.
func TestResumedStreamDoesNotTakeAnError(t *testing.T) {
	for _, body := range []string{"", "broken\n\n"} {
		w := newWorld(t,
			reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\nid: 2\nda", cut: true, length: -1},
			reply{status: 500, header: sealed(), body: body, length: int64(len(body))},
		)
		_, _, got, err := w.do("/resumed/x", map[string]string{"Model": "m"})
		if err == nil {
			t.Errorf("body %q: the answer looks complete: %q", body, got)
		}
		if strings.Contains(got, "broken") {
			t.Errorf("body %q: the stream holds the body of an error: %q", body, got)
		}
	}
}

// A resumable stream goes on after its last whole event, and a caller sees no
// joint.
func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	w := newWorld(t,
		reply{status: 200, header: sealed(), body: "id: 1\ndata: a\n\nid: 2\nda", cut: true, length: -1},
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

// A stream that may not be resumed ends visibly broken after one send.
func TestPlainStreamIsCutVisibly(t *testing.T) {
	w := newWorld(t, reply{status: 200, header: sealed(), body: "id: 1\n", cut: true, length: -1})
	_, _, _, err := w.do("/stream/x", map[string]string{"Model": "m"})
	if err == nil || len(w.endpoints.sends()) != 1 {
		t.Fatalf("error %v after %d sends", err, len(w.endpoints.sends()))
	}
}

// A request that is not idempotent is sent once if it may have run, and its
// refusal must not claim that it did not.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, first := range map[string]reply{
		"lost":               {err: errMayHaveRun},
		"unsealed success":   {status: 200, header: http.Header{"Id": {"id-1"}}, body: "x", length: 1},
		"503 without a word": {status: 503, header: sealed(), body: "x", length: 1},
		"cut":                {status: 200, header: sealed(), body: "x", length: 5, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, first, reply{status: 200, header: sealed(), body: "second", length: 6})
			status, _, _, err := w.do("/once/x", nil)
			if err != nil || status != http.StatusBadGateway {
				t.Fatalf("status %d, error %v", status, err)
			}
			if n := len(w.endpoints.sends()); n != 1 {
				t.Fatalf("%d sends", n)
			}
		})
	}
}

// A request that an endpoint certainly did not run goes to another one.
func TestNotRunGoesElsewhere(t *testing.T) {
	notRun := http.Header{"Not-Run": {"1"}}
	for name, first := range map[string]reply{
		"refused":     {status: 503, header: notRun, length: 0},
		"misdirected": {status: 421, header: http.Header{}, length: 0},
		"unreachable": {err: resultcode.New(resultcode.EndpointSilentNotRun, "no connection")},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, first, reply{status: 200, header: sealed(), body: "ok", length: 2})
			status, _, body, err := w.do("/once/x", nil)
			if err != nil || status != 200 || body != "ok" {
				t.Fatalf("status %d, body %q, error %v", status, body, err)
			}
			sends := w.endpoints.sends()
			if len(sends) != 2 || sends[0].Address == sends[1].Address {
				t.Fatalf("sends: %v", sends)
			}
		})
	}
}

// A refusal that says "not run" after an attempt that may have run would be
// false.
func TestRefusalAfterAPossibleRunIsNoPromise(t *testing.T) {
	w := newWorld(t, reply{err: errMayHaveRun}, reply{status: 503, header: http.Header{"Not-Run": {"1"}}, length: 0},
		reply{status: 503, header: http.Header{"Not-Run": {"1"}}, length: 0})
	status, _, _, err := w.do("/often/x", nil)
	if err != nil || status != http.StatusBadGateway {
		t.Fatalf("status %d, error %v", status, err)
	}
}

// A model that cannot be resident before the caller leaves is refused at once,
// with the time at which it will be.
func TestAbsentModelIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	started := time.Now()
	status, h, _, err := w.do("/stream/x", map[string]string{"Model": "absent"})
	if err != nil || status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Fatalf("status %d, Retry-After %q, error %v", status, h.Get("Retry-After"), err)
	}
	if d := time.Since(started); d > time.Second {
		t.Fatalf("refused after %v", d)
	}
	if len(w.endpoints.sends()) != 0 {
		t.Fatal("the request was sent")
	}
}

// A request that crashes its endpoints comes again and again. Each loss of an
// endpoint is reported with the same fingerprint, a failure that is none is not,
// and once the leader knows the request it is sent nowhere.
func TestSuspectRequestIsNotSent(t *testing.T) {
	w := newWorld(t, reply{err: errMayHaveRun}, reply{status: 500, header: sealed(), body: "x", length: 1},
		reply{status: 200, header: sealed(), body: "ok", length: 2}, reply{status: 200, header: sealed(), body: "ok", length: 2})
	if status, _, _, err := w.do("/once/x", nil); err != nil || status != http.StatusBadGateway {
		t.Fatalf("status %d, error %v", status, err)
	}
	lost := w.server.takeLost()
	if len(lost) != 1 || lost[0].endpoint == "" {
		t.Fatalf("losses: %+v", lost)
	}
	if status, _, _, err := w.do("/often/x", nil); err != nil || status != 200 {
		t.Fatalf("status %d, error %v", status, err)
	}
	if other := w.server.takeLost(); len(other) != 0 {
		t.Fatalf("an answer counts as a loss: %+v", other)
	}
	w.server.setSuspects([]uint64{lost[0].fingerprint})
	before := len(w.endpoints.sends())
	if status, h, _, err := w.do("/once/x", nil); err != nil || status != http.StatusBadGateway || h.Get(resultcode.Header) != "4008" {
		t.Fatalf("status %d, code %s, error %v", status, h.Get(resultcode.Header), err)
	}
	if status, _, _, err := w.do("/often/x", nil); err != nil || status != 200 {
		t.Fatalf("another request: status %d, error %v", status, err)
	}
	if sent := len(w.endpoints.sends()) - before; sent != 1 {
		t.Fatalf("%d sends", sent)
	}
}

// Requests without a valid key, route or catalog get their own status.
func TestOwnRefusals(t *testing.T) {
	w := newWorld(t)
	for name, c := range map[string]struct {
		path   string
		key    string
		status int
	}{
		"unknown key":   {"/once/x", "other", http.StatusUnauthorized},
		"unknown route": {"/nowhere/", "k", http.StatusNotFound},
	} {
		status, _, _, err := w.do(c.path, map[string]string{"Key": c.key})
		if err != nil || status != c.status {
			t.Errorf("%s: status %d, error %v", name, status, err)
		}
	}
	w.server.index.Store(nil)
	if status, _, _, err := w.do("/once/x", nil); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("no catalog: status %d, error %v", status, err)
	}
}

// A stopping entry refuses requests that wait, so that none is cut at its end.
func TestLeavingRefusesWaitingRequests(t *testing.T) {
	w := newWorld(t)
	w.server.SetEndpoints(nil)
	done := make(chan int, 1)
	go func() {
		status, _, _, _ := w.do("/stream/x", map[string]string{"Model": "m"})
		done <- status
	}()
	for {
		waiting := 0
		w.server.step(func(_ time.Duration, e *pool.Entry) { e.ForEachWaiting(func(*pool.Query) { waiting++ }) })
		if waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	w.server.Drain()
	if status := <-done; status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	if w.server.Ready() {
		t.Fatal("a leaving entry is ready")
	}
}

package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// testCodec uses headers of its own, so that the tests do not depend on a platform.
type testCodec struct{}

func (testCodec) DecodeRequest(r *http.Request) *Request {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req := &Request{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: path,
		Header: r.Header, Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Resume"), Resumes: r.Header.Get("Resumes"),
	}
	req.Model, req.Adapter, _ = strings.Cut(r.Header.Get("Model"), "/")
	for _, id := range strings.Split(r.Header.Get("Parts"), ",") {
		if id != "" {
			req.Prefix = append(req.Prefix, PromptPart{ID: id, Tokens: 10})
		}
	}
	if n, err := fmt.Sscanf(r.Header.Get("Tokens"), "%d,%d,%d", &req.PromptTokens, &req.OutputTokens, &req.ExpectedOutput); n >= 2 || err == nil {
		req.HasTokens = true
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
	head := ResponseHead{Identified: h.Get("Id") != "", Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	if n, err := strconv.Atoi(h.Get("Slowdown")); err == nil {
		head.Load, head.HasLoad = pool.Load{Slots: 4, SlowdownPercent: n}, true
	}
	head.Advice.Leaving = h.Get("Leaves") != ""
	head.Advice.Pause, _ = time.ParseDuration(h.Get("Pause")) // zero if it is absent
	return head
}

func (testCodec) MatchesRequest(h http.Header, id string) bool {
	return h.Get("Id") == id || h.Get("Id") == ""
}

func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// reply is the response of an endpoint to one request.
type reply struct {
	status int
	header http.Header
	body   string
	// truncated ends the body with an error. err, if set, is returned instead of a
	// response.
	truncated bool
	err       error
	// stalls makes the body wait for more until the exchange is cancelled. endless
	// repeats the body without end.
	stalls, endless bool
	// length is the announced length; -1 for a chunked body.
	length int64
	// connectedAt is when the connection was open; long ago if it is zero.
	connectedAt time.Time
	// reused is set for a response on a connection that carried an earlier request.
	reused bool
}

// testBody ends as the reply says.
type testBody struct {
	io.Reader
	truncated bool
	stalled   context.Context // if set, the body waits for its end
}

func (b *testBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.stalled != nil {
		<-b.stalled.Done()
		return n, b.stalled.Err()
	}
	if errors.Is(err, io.EOF) && b.truncated {
		err = resultcode.New(resultcode.AnswerIncomplete, "truncated by the test")
	}
	return n, err
}
func (b *testBody) Close() error { return nil }
func (b *testBody) Finish()      {}
func (b *testBody) Discard()     {}

// fakeEndpoints returns the replies in order and records the requests.
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
		return nil, resultcode.New(resultcode.EndpointLost, "the test has no more replies")
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
	body := &testBody{Reader: strings.NewReader(next.body), truncated: next.truncated}
	if next.stalls {
		body.stalled = ctx
	}
	if next.endless {
		body.Reader = &repeatingReader{text: next.body}
	}
	connectedAt := next.connectedAt
	if connectedAt.IsZero() {
		connectedAt = time.Unix(1, 0)
	}
	return &exchange.Response{Status: next.status, Header: h, ContentLength: next.length, Body: body, Reused: next.reused, ConnectedAt: connectedAt}, nil
}

// repeatingReader repeats a text without end.
type repeatingReader struct{ text string }

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := 0
	for n+len(r.text) <= len(p) {
		n += copy(p[n:], r.text)
	}
	return n, nil
}

func (f *fakeEndpoints) sends() []*exchange.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

type noMetrics struct{}

func (noMetrics) Refusal(resultcode.Code) {}
func (noMetrics) Retry(string)            {}
func (noMetrics) SkippedResponses(int)    {}
func (noMetrics) OpenRequests(int)        {}

func (noMetrics) EntryWarmingEndpoints(int) {}

func (noMetrics) ResponseTime(time.Duration)               {}
func (noMetrics) StreamTimes(time.Duration, time.Duration) {}
func (noMetrics) OutputEstimate(int, int)                  {}
func (noMetrics) SlotDecisions(string, uint64)             {}
func (noMetrics) SlotWaits(string, uint64)                 {}
func (noMetrics) TakeUp(string)                            {}
func (noMetrics) ResumptionRefused()                       {}

// fakeLoader returns a fixed time until a model is ready.
type fakeLoader struct{ ready time.Duration }

func (l fakeLoader) Load(context.Context, pool.MissingModel) (time.Duration, error) {
	return l.ready, nil
}

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
			{Name: "often-marked", Host: "h", Prefix: "/often-marked/", Kind: catalog.Idempotent, Resumable: true, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2, Splits: []catalog.Split{{Service: "plain", Weight: 1}}},
			{Name: "once-marked", Host: "h", Prefix: "/once-marked/", Kind: catalog.NonIdempotent, Resumable: true, Timeout: time.Second, Target: 100 * time.Millisecond, MaxAttempts: 2, Splits: []catalog.Split{{Service: "plain", Weight: 1}}},
		},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"k"}, Rate: 1000, Burst: 1000}},
	}
}

// fixture is an entry with two endpoints for each service.
type fixture struct {
	t         *testing.T
	endpoints *fakeEndpoints
	server    *Server
	url       string
	// transport is the fixture's own: the close of another test's server closes the idle
	// connections of http.DefaultTransport.
	transport *http.Transport
	log       *bytes.Buffer
}

// testEndpoints returns two endpoints for each service.
func testEndpoints() []pool.Endpoint {
	models := []directory.Resident{{Model: "m"}}
	return []pool.Endpoint{
		{Endpoint: directory.Endpoint{ID: "p1", Service: "plain", Address: "p1:1", Slots: 4, SoftwareVersion: "v1"}},
		{Endpoint: directory.Endpoint{ID: "p2", Service: "plain", Address: "p2:1", Slots: 4, SoftwareVersion: "v1"}},
		{Endpoint: directory.Endpoint{ID: "e1", Service: "models", Address: "e1:1", Slots: 4, SoftwareVersion: "v1", Models: models}},
		{Endpoint: directory.Endpoint{ID: "e2", Service: "models", Address: "e2:1", Slots: 4, SoftwareVersion: "v1", Models: models}},
	}
}

func newFixture(t *testing.T, replies ...reply) *fixture {
	w := &fixture{t: t, endpoints: &fakeEndpoints{replies: replies}, transport: &http.Transport{}, log: &bytes.Buffer{}}
	w.server = newServer(t, w.endpoints)
	server := httptest.NewServer(w.server)
	t.Cleanup(server.Close)
	t.Cleanup(w.transport.CloseIdleConnections)
	w.url = server.URL
	return w
}

// newServer returns the Server of an entry that knows the test's endpoints.
func newServer(t *testing.T, endpoints *fakeEndpoints) *Server {
	s := New(Config{
		Codec: testCodec{}, Client: endpoints, Loader: fakeLoader{ready: time.Minute}, Metrics: noMetrics{},
		Self: pool.Sender{Address: "self"}, Send: func(to string, _ *peerv1.PlaceMessage) { t.Errorf("unexpected datagram to %q", to) },
		Log: slog.New(slog.DiscardHandler), RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 100,
	})
	s.SetCatalog(catalog.NewIndex(testCatalog()))
	s.mu.routeHistory.start = -2 * streamMemory // the entry has had the catalog for long
	s.SetEndpoints(testEndpoints())
	s.SetShares(map[string]directory.Share{"c": {Fraction: 1, Level: 1000}}, 1)
	return s
}

// do sends one request. The error is that of the exchange or of reading the body.
func (w *fixture) do(path string, header map[string]string) (status int, h http.Header, body string, err error) {
	w.t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.url+path, strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := w.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

func sealed() http.Header { return http.Header{"Seal": {"s"}, "Id": {"id-1"}} }

var errMayHaveRun = resultcode.New(resultcode.EndpointLost, "the connection broke")

package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// fakePorts fakes an engine, a service and the platform, and injects faults. It
// counts how often requests really ran, and records every violation that an endpoint
// can observe.
type fakePorts struct {
	engine.Engine // methods that the entry must not call are nil and panic
	replica       *fakeReplica
	mu            sync.Mutex
	rng           *rand.Rand
	faults        []string        // one is drawn for each attempt; "" means success
	streamFaults  []string        // one is drawn for each event
	runsByBody    map[string]int  // number of runs by body
	runsByRequest map[string]int  // number of runs by request identifier
	nonIdempotent map[string]bool // by attempt identifier
	deadUntil     map[string]time.Time
	leaving       map[string]bool
	violations    []string
	runTime       time.Duration // duration of one run
}

func newFakePorts(r *fakeReplica, seed uint64) *fakePorts {
	return &fakePorts{
		replica: r, rng: rand.New(rand.NewPCG(seed, 1)), runsByBody: map[string]int{}, runsByRequest: map[string]int{}, nonIdempotent: map[string]bool{},
		deadUntil: map[string]time.Time{}, leaving: map[string]bool{}, runTime: 10 * time.Millisecond,
	}
}

func (f *fakePorts) draw(list []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(list) == 0 {
		return ""
	}
	return list[f.rng.IntN(len(list))]
}

// attemptFault draws the fault of an attempt that begins now.
func (f *fakePorts) attemptFault() string {
	f.mu.Lock()
	list := f.faults
	f.mu.Unlock()
	return f.draw(list)
}

// setFaults replaces the faults of the attempts that begin from now on.
func (f *fakePorts) setFaults(faults ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakePorts) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *fakePorts) alive(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().After(f.deadUntil[endpoint])
}

// run runs one attempt. Bodies have the form "customer:text"; those of open routes
// start with a colon.
func (f *fakePorts) run(ctx context.Context, to engine.Target, id string, body []byte, idleTimeout time.Duration, freshConnection bool, parts ...string) (string, error) {
	for _, p := range append(parts, string(body), id) {
		if strings.Contains(p, "key-secret") {
			f.violation("key text in %q", p)
		}
	}
	customer, text, _ := strings.Cut(string(body), ":")
	nonIdempotent := strings.HasPrefix(text, "pay") || strings.HasPrefix(text, "once")
	if nonIdempotent && !freshConnection {
		f.violation("non-idempotent %s was sent on an open connection", body)
	}
	if customer != "" && !withLock(f.replica, func() bool { return f.replica.mayServe(customer) }) {
		f.violation("%s was sent without a valid key or freshness lease", body)
	}
	fault := f.attemptFault()
	if !f.alive(to.Name) || fault == "unreachable" {
		return "", resultcode.New(resultcode.EndpointUnreachable, "connection refused")
	}
	if fault == "refuse" {
		return "", resultcode.New(resultcode.EndpointRefused, "refused")
	}
	request, _, _ := strings.Cut(id, ".")
	f.mu.Lock()
	f.runsByBody[string(body)]++
	f.runsByRequest[request]++
	f.nonIdempotent[id] = nonIdempotent
	if fault == "crash" {
		f.deadUntil[to.Name] = time.Now().Add(3 * time.Second)
	}
	f.mu.Unlock()
	runTime := f.runTime
	switch fault {
	case "late":
		runTime = idleTimeout * 3 / 4
	case "hang":
		runTime = idleTimeout
	}
	select {
	case <-time.After(runTime):
	case <-ctx.Done():
		if nonIdempotent {
			f.violation("%s was cancelled", body)
		}
		return "", resultcode.Wrap(resultcode.EndpointSilent, ctx.Err(), "cancelled")
	}
	switch {
	case fault == "crash" || fault == "reset":
		return "", resultcode.New(resultcode.EndpointLost, "connection reset")
	case fault == "mismatch":
		return "", resultcode.New(resultcode.AnswerMismatch, "another request's answer")
	case fault == "hang":
		return "", resultcode.New(resultcode.EndpointSilent, "silent")
	}
	return fault, nil
}

func (f *fakePorts) Do(ctx context.Context, to engine.Target, r engine.Request) (*engine.Response, error) {
	fault, err := f.run(ctx, to, r.ID, r.Body, r.IdleTimeout, r.FreshConnection, r.Path)
	if err != nil {
		return nil, err
	}
	if fault == "cut" {
		return nil, resultcode.New(resultcode.AnswerIncomplete, "cut")
	}
	return &engine.Response{Status: 200, Header: http.Header{}, Body: append([]byte("re:"), r.Body...), Tokens: 5}, nil
}

func (f *fakePorts) Open(ctx context.Context, to engine.Target, r engine.Request) (engine.Stream, error) {
	s := &fakeStream{f: f, to: to, body: string(r.Body), next: r.ResumeFrom}
	if r.ResumeFrom > 0 {
		if r.Incarnation != s.Incarnation() {
			f.violation("%s is resumed without the incarnation of its first part", r.Body)
		}
		if !f.alive(to.Name) || f.attemptFault() == "refuse" {
			return nil, resultcode.New(resultcode.EndpointRefused, "not known")
		}
		if f.draw([]string{"", "repeat"}) == "repeat" {
			s.next-- // sends the last event again
		}
		return s, nil
	}
	_, err := f.run(ctx, to, r.ID, r.Body, r.IdleTimeout, r.FreshConnection, r.Path)
	return s, err
}

// streamEvents is the number of events of each stream.
const streamEvents = 5

type fakeStream struct {
	f    *fakePorts
	to   engine.Target
	body string
	next int
}

func (s *fakeStream) Next(ctx context.Context) (engine.Event, error) {
	fault := s.f.draw(s.f.streamFaults)
	pause := 20 * time.Millisecond
	if fault == "silent" {
		pause = time.Second
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
		return engine.Event{}, resultcode.Wrap(resultcode.EndpointSilent, ctx.Err(), "cancelled")
	}
	switch {
	case fault == "silent":
		return engine.Event{}, resultcode.New(resultcode.EndpointSilent, "silent")
	case fault == "cut" || !s.f.alive(s.to.Name):
		return engine.Event{}, resultcode.New(resultcode.StreamBroken, "cut")
	case fault == "end":
		return engine.Event{}, io.EOF
	case fault == "gap":
		s.next++
	}
	e := engine.Event{Seq: s.next, Data: fmt.Appendf(nil, "%s#%d", s.body, s.next), Tokens: 2}
	if s.next >= streamEvents {
		e = engine.Event{Seq: s.next, Final: true}
	}
	s.next++
	return e, nil
}
func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Incarnation() string { return "of " + s.to.Name }

func (f *fakePorts) Load(_ context.Context, to engine.Target) (*engine.Load, error) {
	if !f.alive(to.Name) {
		return nil, errors.New("connection refused")
	}
	return &engine.Load{Slots: 2}, nil
}

func (f *fakePorts) CacheEvents(context.Context, engine.Target, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (f *fakePorts) Cancel(_ context.Context, _ engine.Target, id string) error {
	f.mu.Lock()
	nonIdempotent := f.nonIdempotent[id]
	f.mu.Unlock()
	if nonIdempotent {
		f.violation("non-idempotent %s was cancelled at its engine", id)
	}
	return nil
}

func (f *fakePorts) List(context.Context) (list []engine.VMState, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, leaving := range f.leaving {
		list = append(list, engine.VMState{Address: address, Leaving: leaving})
	}
	return list, nil
}

// fakeService is the service side of fakePorts.
type fakeService struct{ *fakePorts }

func (f fakeService) Do(ctx context.Context, to engine.Target, r engine.ServiceRequest) (*engine.ServiceResponse, error) {
	fault, err := f.run(ctx, to, r.ID, r.Body, r.IdleTimeout, r.FreshConnection, r.Path, r.RawQuery, fmt.Sprint(r.Header))
	if err != nil {
		return nil, err
	}
	text := append([]byte("re:"), r.Body...)
	a := &engine.ServiceResponse{Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(bytes.NewReader(text))}
	if fault == "long" {
		a.Length = -1
	}
	if fault == "cut" {
		a.Body = io.NopCloser(io.MultiReader(bytes.NewReader(text[:2]), cutReader{}))
	}
	return a, nil
}

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) {
	return 0, resultcode.New(resultcode.AnswerIncomplete, "cut")
}

// recorder is a ResponseWriter that records what was written.
type recorder struct {
	status int
	body   bytes.Buffer
	events []string
}

func (w *recorder) Start(status int, _ http.Header) error { w.status = status; return nil }
func (w *recorder) Event(data []byte) error               { w.events = append(w.events, string(data)); return nil }
func (w *recorder) Write(p []byte) error                  { w.body.Write(p); return nil }

// complete reports whether the complete response to a request with the body was
// written, and isPrefix whether what was written is a beginning of that response.
func (w *recorder) complete(body string, stream bool) bool {
	return w.isPrefix(body, stream) && (stream && len(w.events) == streamEvents || !stream && w.body.Len() == len(body)+3)
}

func (w *recorder) isPrefix(body string, stream bool) bool {
	for i, e := range w.events {
		if !stream || e != fmt.Sprintf("%s#%d", body, i) {
			return false
		}
	}
	return strings.HasPrefix("re:"+body, w.body.String())
}

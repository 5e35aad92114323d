package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// fakePorts is an engine, a service and a platform list. It counts the runs of
// each body and looks for key text in everything it is sent.
type fakePorts struct {
	engine.Engine // methods that the entry must not call panic
	mu            sync.Mutex
	runs          map[string]int
	sent          []string // attempt identifiers, in order
	leaks         []string
	// fault decides what happens to an attempt; "" answers it.
	fault func(endpoint, id string) string
	list  []engine.VMState
	// events is the number of events of each stream.
	events int
	hold   chan struct{} // if set, an answer waits for it
}

func newFakePorts() *fakePorts {
	return &fakePorts{runs: map[string]int{}, events: 3, fault: func(string, string) string { return "" }}
}

// arrive records an attempt and returns the fault it meets.
func (f *fakePorts) arrive(to engine.Target, id string, body []byte, parts ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, id)
	for _, p := range append(parts, string(body), id) {
		if strings.Contains(p, "key-secret") {
			f.leaks = append(f.leaks, p)
		}
	}
	fault := f.fault(to.Name, id)
	if fault != "refuse" && fault != "unreachable" {
		f.runs[string(body)]++
	}
	return fault
}

// fail turns a fault before the answer into the error of the port.
func (f *fakePorts) fail(ctx context.Context, fault string) error {
	switch fault {
	case "refuse":
		return resultcode.New(resultcode.EndpointRefused, "refused")
	case "unreachable":
		return resultcode.New(resultcode.EndpointSilentNotRun, "connection refused")
	case "crash":
		return resultcode.New(resultcode.EndpointLost, "connection reset")
	case "mismatch":
		return resultcode.New(resultcode.AnswerMismatch, "another request's answer")
	case "hang":
		<-ctx.Done()
		return resultcode.Wrap(resultcode.EndpointSilent, ctx.Err(), "silent")
	case "silent":
		return resultcode.New(resultcode.EndpointSilent, "silent")
	}
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
			return resultcode.Wrap(resultcode.EndpointSilent, ctx.Err(), "silent")
		}
	}
	return nil
}

func (f *fakePorts) Do(ctx context.Context, to engine.Target, r engine.Request) (*engine.Answer, error) {
	fault := f.arrive(to, r.ID, r.Body, r.Path)
	if err := f.fail(ctx, fault); err != nil {
		return nil, err
	}
	if fault == "cut" {
		return nil, resultcode.New(resultcode.AnswerIncomplete, "cut")
	}
	return &engine.Answer{Status: 200, Header: http.Header{}, Body: append([]byte("re:"), r.Body...), Tokens: 5}, nil
}

func (f *fakePorts) Open(ctx context.Context, to engine.Target, r engine.Request) (engine.Stream, error) {
	var fault string
	if r.ResumeFrom == 0 {
		fault = f.arrive(to, r.ID, r.Body, r.Path)
	} else {
		f.mu.Lock()
		fault = f.fault(to.Name, r.ID)
		f.mu.Unlock()
	}
	if err := f.fail(ctx, fault); err != nil {
		return nil, err
	}
	return &fakeStream{f: f, body: string(r.Body), next: r.ResumeFrom, cut: fault == "cut", ctx: ctx}, nil
}

type fakeStream struct {
	f    *fakePorts
	body string
	next int
	cut  bool
	ctx  context.Context
}

func (s *fakeStream) Next(ctx context.Context) (engine.Event, error) {
	if err := ctx.Err(); err != nil {
		return engine.Event{}, resultcode.Wrap(resultcode.EndpointSilent, err, "cancelled")
	}
	if s.cut && s.next > 0 {
		return engine.Event{}, resultcode.New(resultcode.StreamBroken, "cut")
	}
	e := engine.Event{Seq: s.next, Data: []byte(fmt.Sprintf("%s#%d", s.body, s.next)), Tokens: 2}
	if s.next == s.f.events {
		e = engine.Event{Seq: s.next, Final: true}
	}
	if s.next > s.f.events {
		return engine.Event{}, io.EOF
	}
	s.next++
	return e, nil
}
func (s *fakeStream) Close() error { return nil }

func (f *fakePorts) Load(context.Context, engine.Target) (*engine.Load, error) {
	return &engine.Load{Slots: 2}, nil
}

func (f *fakePorts) CacheEvents(context.Context, engine.Target, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (f *fakePorts) Cancel(context.Context, engine.Target, string) error { return nil }

func (f *fakePorts) List(context.Context) ([]engine.VMState, error) { return f.list, nil }

// fakeService is the service side of fakePorts.
type fakeService struct{ *fakePorts }

func (f fakeService) Do(ctx context.Context, to engine.Target, r engine.ServiceRequest) (*engine.ServiceAnswer, error) {
	fault := f.arrive(to, r.ID, r.Body, r.Path, r.RawQuery, fmt.Sprint(r.Header))
	if err := f.fail(ctx, fault); err != nil {
		return nil, err
	}
	text := append([]byte("re:"), r.Body...)
	a := &engine.ServiceAnswer{Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: closer{bytes.NewReader(text)}}
	if fault == "cut" {
		a.Body = closer{io.MultiReader(bytes.NewReader(text[:2]), errorReader{})}
	}
	return a, nil
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) {
	return 0, resultcode.New(resultcode.AnswerIncomplete, "cut")
}

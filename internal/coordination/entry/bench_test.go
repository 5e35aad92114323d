package entry

import (
	"context"
	"fmt"
	"io"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
)

// size is the size of a fleet. sizes returns the present one and the target.
type size struct{ models, endpoints, keys int }

func sizes() []size {
	return []size{{20, 21, 100}, {20, 21, 10000}, {470, 890, 100}, {470, 890, 10000}}
}

func (z size) String() string {
	return fmt.Sprintf("models=%d/endpoints=%d/keys=%d", z.models, z.endpoints, z.keys)
}

func (z size) config() *statev1.Config {
	c := testConfig()
	c.Keys, c.Models, c.Endpoints, c.Routes = nil, nil, nil, nil
	for i := range z.keys {
		k := testKey(fmt.Sprint("k", i))
		k.Customer = []string{"a", "b"}[i%2]
		c.Keys = append(c.Keys, k)
	}
	for i := range z.models {
		name := fmt.Sprint("m", i)
		c.Models = append(c.Models, &statev1.Model{Name: name})
		c.Routes = append(c.Routes, &statev1.Route{Name: name, Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: name, Idempotent: true})
	}
	for i := range z.endpoints {
		e := &statev1.Endpoint{Name: fmt.Sprint("e", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 1000}
		for k := range 3 {
			e.PinnedModels = append(e.PinnedModels, fmt.Sprint("m", (i*3+k)%z.models))
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	return c
}

// instantEngine is an engine that responds immediately.
type instantEngine struct {
	engine.Engine
}

func (instantEngine) Do(context.Context, engine.Target, engine.Request) (*engine.Response, error) {
	return &engine.Response{Status: 200, Body: []byte("answer"), Tokens: 100}, nil
}

func (instantEngine) Open(context.Context, engine.Target, engine.Request) (engine.Stream, error) {
	return &instantStream{}, nil
}

type instantStream struct{ next int }

func (s *instantStream) Next(context.Context) (engine.Event, error) {
	s.next++
	if s.next > 100 {
		return engine.Event{Seq: s.next - 1, Final: true}, nil
	}
	return engine.Event{Seq: s.next - 1, Data: []byte("token"), Tokens: 1}, nil
}
func (s *instantStream) Close() error        { return nil }
func (s *instantStream) Incarnation() string { return "" }

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ recorder }

func (discardWriter) Event([]byte) error   { return nil }
func (discardWriter) Write(p []byte) error { _, err := io.Discard.Write(p); return err }

func benchServer(b *testing.B, z size) (*Server, []*Request) {
	replica := newFakeReplica(z.config())
	replica.level = map[string]uint64{"a": 1 << 40, "b": 1 << 40}
	s, err := New(Config{VM: "vm", Engine: instantEngine{}, Service: fakeService{}, Replica: replica})
	if err != nil {
		b.Fatal(err)
	}
	requests := make([]*Request, 1024)
	for i := range requests {
		requests[i] = &Request{
			ID: "r", Route: s.Index().Route(fmt.Sprint("m", i%z.models)), Key: secretOf(fmt.Sprint("k", i%z.keys)),
			Body: make([]byte, 2048), PromptTokens: 400, MaxTokens: 200,
		}
	}
	return s, requests
}

// BenchmarkDecision measures admission and the choice of an endpoint, without a send.
func BenchmarkDecision(b *testing.B) {
	for _, z := range sizes() {
		b.Run(z.String(), func(b *testing.B) {
			s, requests := benchServer(b, z)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c, err := s.admit(requests[i%len(requests)])
				if err != nil {
					b.Fatal(err)
				}
				w := s.waiterFor(c)
				reservation, err := s.schedule.acquire(b.Context(), w)
				if err != nil {
					b.Fatal(err)
				}
				s.schedule.release(reservation, w, routing.Success, c.route.Name, 1, 600)
				s.endCall(c)
			}
		})
	}
}

// BenchmarkRefresh measures the update of the scheduler with the residency, which
// runs once per second.
func BenchmarkRefresh(b *testing.B) {
	for _, z := range sizes() {
		b.Run(z.String(), func(b *testing.B) {
			s, _ := benchServer(b, z)
			for b.Loop() {
				s.reconfigure()
			}
		})
	}
}

// BenchmarkServe measures complete requests against an engine that responds
// immediately.
func BenchmarkServe(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("stream=%v", stream), func(b *testing.B) {
			s, requests := benchServer(b, size{470, 890, 10000})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					r := *requests[i%len(requests)]
					r.Stream = stream
					if err := s.Serve(context.Background(), &r, &discardWriter{}); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

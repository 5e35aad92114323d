package entry

import (
	"context"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

func testServer(t *testing.T, c *statev1.Config) (*Server, *fakeReplica, *fakePorts) {
	t.Helper()
	replica := newFakeReplica(c)
	replica.level["a"], replica.level["b"] = 1000, 1000
	ports := newFakePorts()
	s, err := New(Config{VM: "vm", Engine: ports, Service: fakeService{ports}, Platform: ports, Replica: replica, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return s, replica, ports
}

func route(s *Server, name string) *statev1.Route { return s.Index().Route(name) }

// Guards the plain path: keys checked, tokens charged and returned, the right
// code for each refusal.
func TestServe(t *testing.T) {
	s, replica, ports := testServer(t, testConfig())
	w := &recorder{}
	r := &Request{ID: "1", Route: route(s, "chat"), Key: secretOf("a"), Body: []byte("x"), Stream: true, PromptTokens: 10, MaxTokens: 20}
	if err := s.Serve(context.Background(), r, w); err != nil {
		t.Fatal(err)
	}
	if len(w.events) != 3 || w.events[2] != "x#2" || replica.charged["a"] != 16 || replica.level["a"] != 984 {
		t.Fatalf("events %v, charged %d, level %d", w.events, replica.charged["a"], replica.level["a"])
	}
	w = &recorder{}
	if err := s.Serve(context.Background(), &Request{ID: "2", Route: route(s, "open"), Body: []byte("y")}, w); err != nil || w.body.String() != "re:y" {
		t.Fatal(err, w.body.String())
	}
	refused := func(want resultcode.Code, r *Request) {
		t.Helper()
		before := len(ports.sent)
		w := &recorder{}
		if err := s.Serve(context.Background(), r, w); resultcode.Of(err) != want || w.status != 0 || len(ports.sent) != before {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	refused(resultcode.KeyMissing, &Request{Route: route(s, "chat")})
	refused(resultcode.KeyUnknown, &Request{Route: route(s, "chat"), Key: "other"})
	refused(resultcode.LargerThanBurst, &Request{Route: route(s, "chat"), Key: secretOf("a"), MaxTokens: 2000})
	refused(resultcode.NoRoute, &Request{Route: &statev1.Route{Name: "gone"}})
	s.Drain(true)
	refused(resultcode.Draining, &Request{Route: route(s, "open")})
	s.Drain(false)
	replica.fresh = false
	refused(resultcode.NoFreshState, &Request{Route: route(s, "chat"), Key: secretOf("a")})
}

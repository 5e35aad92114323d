package inference

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/protocol/refusal"
)

// goodKey is the only key that the fake routes know.
const goodKey = "rl_k1_SECRETSECRETSECRET"

// fakeRoutes implements Routes by linear search in a configuration.
type fakeRoutes struct{ config *statev1.Config }

func (f *fakeRoutes) Config() *statev1.Config { return f.config }

func (f *fakeRoutes) Model(name string) *statev1.Model {
	for _, m := range f.config.Models {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *fakeRoutes) Route(name string) *statev1.Route {
	for _, r := range f.config.Routes {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (f *fakeRoutes) RouteForPath(path string) *statev1.Route {
	var best *statev1.Route
	for _, r := range f.config.Routes {
		if _, ok := cutPathPrefix(path, r.PathPrefix); ok && r.PathPrefix != "" && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

func (f *fakeRoutes) RouteForModel(model string) *statev1.Route {
	for _, r := range f.config.Routes {
		if r.Kind == statev1.RouteKind_ROUTE_KIND_MODEL && r.Model == model {
			return r
		}
	}
	return nil
}

func (f *fakeRoutes) Authenticate(secret string) (*statev1.Key, bool) {
	return &statev1.Key{Id: "k1", Customer: "c1"}, secret == goodKey
}

func testRoutes() *fakeRoutes {
	model, service := statev1.RouteKind_ROUTE_KIND_MODEL, statev1.RouteKind_ROUTE_KIND_SERVICE
	return &fakeRoutes{config: &statev1.Config{
		Models: []*statev1.Model{{Name: "m1", Adapters: []string{"a1"}}, {Name: "m2"}, {Name: "unrouted"}},
		Routes: []*statev1.Route{
			{Name: "chat", Kind: model, Model: "m1", KeyHeaders: []string{"X-Api-Key"}, KeyQueryParams: []string{"api_key"}, KeyCookies: []string{"session_key"}},
			{Name: "urgent", Kind: model, Model: "m1", PathPrefix: "/urgent"},
			{Name: "open", Kind: model, Model: "m2", Open: true},
			{
				Name: "ledger", Kind: service, Pool: "p", PathPrefix: "/ledger", StripPrefix: true, MaxBodyBytes: 1000,
				KeyHeaders: []string{"X-Api-Key", "api-token"}, KeyQueryParams: []string{"api_key", "k"}, KeyCookies: []string{"session_key"},
			},
			{Name: "admin", Kind: service, Pool: "p", PathPrefix: "/ledger/admin"},
			{Name: "status", Kind: service, Pool: "p", PathPrefix: "/status", Open: true, KeyCookies: []string{"c"}},
		},
	}}
}

// fakeServer records the last request and responds with a function.
type fakeServer struct {
	last  *entry.Request
	calls int
	serve func(ctx context.Context, r *entry.Request, w entry.ResponseWriter) error
}

func (f *fakeServer) Serve(ctx context.Context, r *entry.Request, w entry.ResponseWriter) error {
	f.last = r
	f.calls++
	if f.serve != nil {
		return f.serve(ctx, r, w)
	}
	if err := w.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}); err != nil {
		return err
	}
	return w.Write([]byte("fine"))
}

// directServer is a Server that sends every request to one endpoint.
type directServer struct {
	engine  engine.Engine
	service engine.Service
	to      engine.Target
}

func (p *directServer) Serve(ctx context.Context, r *entry.Request, w entry.ResponseWriter) error {
	if r.Route.Kind == statev1.RouteKind_ROUTE_KIND_SERVICE {
		return p.serveService(ctx, r, w)
	}
	req := engine.Request{ID: r.ID, Path: r.Path, Body: r.Body, Stream: r.Stream}
	if !r.Stream {
		a, err := p.engine.Do(ctx, p.to, req)
		if err != nil {
			return err
		}
		if err := w.Start(a.Status, a.Header); err != nil {
			return err
		}
		return w.Write(a.Body)
	}
	s, err := p.engine.Open(ctx, p.to, req)
	if err != nil {
		return err
	}
	defer s.Close() // never fails
	if err := w.Start(http.StatusOK, nil); err != nil {
		return err
	}
	for {
		ev, err := s.Next(ctx)
		if err != nil || ev.Final {
			return err
		}
		if err := w.Event(ev.Data); err != nil {
			return err
		}
	}
}

func (p *directServer) serveService(ctx context.Context, r *entry.Request, w entry.ResponseWriter) error {
	a, err := p.service.Do(ctx, p.to, engine.ServiceRequest{ID: r.ID, Method: r.Method, Path: r.Path, RawQuery: r.RawQuery, Header: r.Header, Body: r.Body})
	if err != nil {
		return err
	}
	defer a.Body.Close() // never fails
	if err := w.Start(a.Status, a.Header); err != nil {
		return err
	}
	buf := make([]byte, 4096)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// serve starts a handler over HTTP.
func serve(t testing.TB, o Options) (*Handler, *httptest.Server) {
	t.Helper()
	if o.Routes == nil {
		o.Routes = func() Routes { return testRoutes() }
	}
	h := New(o)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, server
}

// send sends one raw request, without the corrections that an HTTP client would
// make, and returns the head and the body of the response.
func send(t testing.TB, server *httptest.Server, raw string) (head, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() // the test is over
	raw = strings.ReplaceAll(raw, "\n", "\r\n")
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(c)
	head, body, _ = strings.Cut(string(all), "\r\n\r\n")
	return head, body, err
}

func get(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\nHost: x\nConnection: close\n" + strings.Join(append(lines, "", ""), "\n")
}

func post(path, body string, lines ...string) string {
	lines = append(lines, "Content-Type: application/json", "Content-Length: "+itoa(len(body)))
	return strings.Replace(get(path, lines...), "GET ", "POST ", 1) + body
}

func itoa(n int) string { b, _ := json.Marshal(n); return string(b) }

// codeIn returns the code number of a JSON error body.
func codeIn(t *testing.T, body string) uint32 {
	t.Helper()
	var doc refusal.Document
	start := strings.IndexByte(body, '{')
	if start < 0 || json.NewDecoder(bytes.NewReader([]byte(body[start:]))).Decode(&doc) != nil {
		t.Fatalf("no error document in %q", body)
	}
	return doc.Error.Code
}

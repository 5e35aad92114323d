package inference

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/protocol/enginehttp"
	"github.com/radishloom/radishloom/internal/protocol/servicehttp"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
	standinservice "github.com/radishloom/radishloom/internal/standin/service"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// shown is a request that shows secrets in several places.
type shown struct {
	method, path string
	query        []string
	lines        []string
	secrets      []string
}

func (s *shown) secret() string {
	out := fmt.Sprintf("SECRET%dx", len(s.secrets))
	s.secrets = append(s.secrets, out)
	return out
}

func drawShown(t *rapid.T, path string) *shown {
	s := &shown{method: "POST", path: path}
	sources := map[string]func(){
		"authorization": func() {
			s.lines = append(s.lines, rapid.SampledFrom([]string{"Authorization: Bearer ", "authorization: bearer  ", "AUTHORIZATION: Basic "}).Draw(t, "scheme")+s.secret())
		},
		"header": func() {
			name := rapid.SampledFrom([]string{"X-Api-Key", "x-api-key", "API-TOKEN"}).Draw(t, "header")
			s.lines = append(s.lines, name+": "+s.secret())
		},
		"connection": func() { s.lines = append(s.lines, "Connection: X-Api-Key, Cookie, Idempotency-Key, X-Other") },
		"query": func() {
			name := rapid.SampledFrom([]string{"api_key", "API_KEY", "api%5fkey", "k", "K"}).Draw(t, "param")
			s.query = append(s.query, name+"="+s.secret())
		},
		"cookie": func() {
			name := rapid.SampledFrom([]string{"session_key", "SESSION_KEY", "session_key "}).Draw(t, "cookie")
			value := rapid.SampledFrom([]string{"%s", `"%s"`, " %s"}).Draw(t, "quote")
			s.lines = append(s.lines, "Cookie: a=b;"+name+"="+fmt.Sprintf(value, s.secret())+"; c=d")
		},
		"other": func() { s.query = append(s.query, "page=2"); s.lines = append(s.lines, "X-Other: kept") },
	}
	names := []string{"authorization", "header", "connection", "query", "cookie", "other"}
	for range rapid.IntRange(1, 8).Draw(t, "sources") {
		sources[rapid.SampledFrom(names).Draw(t, "source")]()
	}
	if len(s.secrets) > 0 && rapid.Bool().Draw(t, "referer") {
		s.lines = append(s.lines, "Referer: http://caller/?x="+s.secrets[0])
	}
	return s
}

func (s *shown) raw(separator, body string) string {
	target := s.path
	if len(s.query) > 0 {
		target += "?" + strings.Join(s.query, separator)
	}
	return post(target, body, s.lines...)
}

// leakFinder sends requests to both kinds of endpoints and searches what
// arrived there.
type leakFinder struct {
	test    *testing.T
	faults  faults
	engine  *standinengine.Engine
	service *standinservice.Service
	pass    passOn
}

func newLeakFinder(t *testing.T, f faults) *leakFinder {
	e, err := standinengine.Start("127.0.0.1:0", standinengine.Config{
		Models: []standinengine.Model{{Name: "m1", Adapters: []string{"a1"}}}, Resident: []string{"m1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	s, err := standinservice.Start("127.0.0.1:0", standinservice.Config{})
	if err != nil {
		t.Fatal(err)
	}
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(func() { client.Close(); e.Close(); s.Close() })
	return &leakFinder{test: t, faults: f, engine: e, service: s, pass: passOn{engine: enginehttp.New(client), service: servicehttp.New(client)}}
}

func (l *leakFinder) property(t *rapid.T) {
	toService := rapid.Bool().Draw(t, "service")
	path, body := pathChat, chatBody
	pass := l.pass
	pass.to = engine.Target{Name: "e", Address: l.engine.Addr()}
	if toService {
		path, body = "/ledger/pay", "amount=1"
		pass.to.Address = l.service.Addr()
	}
	s := drawShown(t, path)
	h, server := serve(l.test, Options{Server: &pass})
	h.faults = l.faults
	defer server.Close()
	_, answer, err := send(l.test, server, s.raw(rapid.SampledFrom([]string{"&", ";"}).Draw(t, "separator"), body))
	if err != nil {
		t.Fatalf("answer: %v", err)
	}
	arrived := strings.Join(l.engine.Seen(), "\n")
	for _, r := range l.service.Requests() {
		arrived += fmt.Sprint(r.Target, r.Header, string(r.Body))
	}
	for _, secret := range s.secrets {
		if strings.Contains(arrived, secret) || strings.Contains(answer, secret) {
			t.Fatalf("%s reached an endpoint or came back: %q %q", secret, arrived, answer)
		}
	}
}

// Guards against a key that reaches an endpoint (promise P4). The defect
// keepKeys must be found under the same seed.
func TestFuzzNoSecretReachesEndpoints(t *testing.T) {
	const seed, checks = 7, 150
	proptest.Check(t, checks, seed, newLeakFinder(t, faults{}).property)
	proptest.MustFail(t, checks, seed, newLeakFinder(t, faults{keepKeys: true}).property)
}

// Guards against lost fields: what is no key and not meant for one connection
// must arrive, and nothing that a caller made up about itself.
func TestForwardedFields(t *testing.T) {
	l := newLeakFinder(t, faults{})
	l.pass.to = engine.Target{Name: "s", Address: l.service.Addr()}
	_, server := serve(t, Options{Server: &l.pass})
	raw := post("/ledger/pay?a=1&&api_key=S&b=%20x&c", "x", withKey, "Cookie: a=b; session_key=S", "X-Keep: v", "X-Forwarded-For: 9.9.9.9",
		"Idempotency-Key: ik", "X-Hop: v", "Connection: X-Hop, Idempotency-Key", "Te: trailers", "Upgrade: h2c", "X-Priority: 9", "X-Run-State: not_run", "Proxy-Authorization: S")
	head, _, _ := send(t, server, raw)
	got := l.service.Requests()[0]
	if got.Target != "/ledger/pay?a=1&&b=%20x&c" {
		t.Fatalf("target %q", got.Target)
	}
	for name, want := range map[string]string{
		"Cookie": "a=b", "X-Keep": "v", "X-Forwarded-For": "127.0.0.1", "Idempotency-Key": "ik", "X-Forwarded-Host": "x",
		"X-Hop": "", "Te": "", "Upgrade": "", "X-Priority": "", "X-Run-State": "", "Proxy-Authorization": "", "Connection": "",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
	_, trusting := serve(t, Options{Server: &l.pass, TrustForwardedFor: true})
	send(t, trusting, strings.Replace(raw, "POST", "HEAD", 1))
	if got := l.service.Requests()[1]; got.Method != http.MethodHead || got.Header.Get("X-Forwarded-For") != "9.9.9.9, 127.0.0.1" {
		t.Errorf("behind a trusted load balancer: %s %v", got.Method, got.Header)
	}
	if strings.Contains(head, "Connection: keep") || !strings.HasPrefix(head, "HTTP/1.1 200") {
		t.Fatalf("answer %s", head)
	}
}

// Guards against a break of the path from a caller to an engine and back, whole
// and streamed, and against a cut answer that looks whole.
func TestEndToEnd(t *testing.T) {
	l := newLeakFinder(t, faults{})
	l.pass.to = engine.Target{Name: "e", Address: l.engine.Addr()}
	_, server := serve(t, Options{Server: &l.pass})
	text := standinengine.TextOf([]byte(chatBody))
	if _, body, _ := send(t, server, post(pathChat, chatBody, withKey)); !strings.Contains(body, text(4)) {
		t.Fatalf("whole answer %q", body)
	}
	streamed := strings.Replace(chatBody, "false", "true", 1)
	text = standinengine.TextOf([]byte(streamed))
	head, body, _ := send(t, server, post(pathChat, streamed, withKey))
	if !strings.Contains(head, "Content-Type: text/event-stream") || !strings.Contains(body, text(4)) || strings.Count(body, "[DONE]") != 1 {
		t.Fatalf("stream %s %q", head, body)
	}
	l.engine.SetFaults(standinengine.Faults{CutAt: 3})
	if _, body, _ = send(t, server, post(pathChat, streamed, withKey)); strings.Contains(body, "[DONE]") || !strings.Contains(body, "event: error") {
		t.Fatalf("cut stream %q", body)
	}
	l.pass.to.Address = l.service.Addr()
	l.service.SetFaults(standinservice.Faults{CutBody: 10, Status: http.StatusAccepted})
	head, body, _ = send(t, server, get("/status/x"))
	if !strings.HasPrefix(head, "HTTP/1.1 202") || len(body) != 10 {
		t.Fatalf("cut body %s %q", head, body)
	}
	l.service.SetFaults(standinservice.Faults{})
	head, body, err := send(t, server, strings.Replace(get("/status/x"), "GET", "HEAD", 1))
	if err != nil || !strings.HasPrefix(head, "HTTP/1.1 200") || !strings.Contains(head, "Content-Length: ") || body != "" {
		t.Fatalf("HEAD %s %q, %v", head, body, err)
	}
}

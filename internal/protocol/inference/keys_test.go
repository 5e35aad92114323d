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

// secretRequest is a request that contains secrets in several key sources.
type secretRequest struct {
	method, path string
	query        []string
	lines        []string
	secrets      []string
}

func (s *secretRequest) secret() string {
	out := fmt.Sprintf("SECRET%dx", len(s.secrets))
	s.secrets = append(s.secrets, out)
	return out
}

func drawSecretRequest(t *rapid.T, path string) *secretRequest {
	s := &secretRequest{method: "POST", path: path}
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

func (s *secretRequest) raw(separator, body string) string {
	target := s.path
	if len(s.query) > 0 {
		target += "?" + strings.Join(s.query, separator)
	}
	return post(target, body, s.lines...)
}

// leakTest sends requests to an engine and a service and searches what they
// received for secrets.
type leakTest struct {
	test    *testing.T
	faults  faults
	engine  *standinengine.Engine
	service *standinservice.Service
	direct  directServer
}

func newLeakTest(t *testing.T, f faults) *leakTest {
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
	return &leakTest{test: t, faults: f, engine: e, service: s, direct: directServer{engine: enginehttp.New(client), service: servicehttp.New(client)}}
}

func (l *leakTest) checkNoLeak(t *rapid.T) {
	toService := rapid.Bool().Draw(t, "service")
	path, body := pathChat, chatBody
	direct := l.direct
	direct.to = engine.Target{Name: "e", Address: l.engine.Addr()}
	if toService {
		path, body = "/ledger/pay", "amount=1"
		direct.to.Address = l.service.Addr()
	}
	s := drawSecretRequest(t, path)
	h, server := serve(l.test, Options{Server: &direct})
	h.faults = l.faults
	defer server.Close()
	_, response, err := send(l.test, server, s.raw(rapid.SampledFrom([]string{"&", ";"}).Draw(t, "separator"), body))
	if err != nil {
		t.Fatalf("reading the response: %v", err)
	}
	arrived := strings.Join(l.engine.RecordedRequests(), "\n")
	for _, r := range l.service.RecordedRequests() {
		arrived += fmt.Sprint(r.Target, r.Header, string(r.Body))
	}
	for _, secret := range s.secrets {
		if strings.Contains(arrived, secret) || strings.Contains(response, secret) {
			t.Fatalf("%s reached an endpoint or was returned to the caller: %q %q", secret, arrived, response)
		}
	}
}

// Guards against a key that reaches an endpoint. With the same seed the test must
// detect the defect keepKeys.
func TestFuzzNoSecretReachesEndpoints(t *testing.T) {
	const seed, checks = 7, 150
	proptest.Check(t, checks, seed, newLeakTest(t, faults{}).checkNoLeak)
	proptest.MustFail(t, checks, seed, newLeakTest(t, faults{keepKeys: true}).checkNoLeak)
}

// Guards against lost and forged header fields: the endpoint must get all fields
// except keys and hop-by-hop fields, and must not get forwarding, priority or run
// state fields as the caller set them.
func TestForwardedFields(t *testing.T) {
	l := newLeakTest(t, faults{})
	l.direct.to = engine.Target{Name: "s", Address: l.service.Addr()}
	_, server := serve(t, Options{Server: &l.direct})
	raw := post("/ledger/pay?a=1&&api_key=S&b=%20x&c", "x", withKey, "Cookie: a=b; session_key=S", "X-Keep: v", "X-Forwarded-For: 9.9.9.9",
		"Idempotency-Key: ik", "X-Hop: v", "Connection: X-Hop, Idempotency-Key", "Te: trailers", "Upgrade: h2c", "X-Priority: 9", "X-Run-State: not_run", "Proxy-Authorization: S")
	head, _, _ := send(t, server, raw)
	got := l.service.RecordedRequests()[0]
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
	_, trusting := serve(t, Options{Server: &l.direct, TrustForwardedFor: true})
	send(t, trusting, strings.Replace(raw, "POST", "HEAD", 1))
	if got := l.service.RecordedRequests()[1]; got.Method != http.MethodHead || got.Header.Get("X-Forwarded-For") != "9.9.9.9, 127.0.0.1" {
		t.Errorf("behind a trusted load balancer: %s %v", got.Method, got.Header)
	}
	if strings.Contains(head, "Connection: keep") || !strings.HasPrefix(head, "HTTP/1.1 200") {
		t.Fatalf("response %s", head)
	}
}

// Guards against responses that do not get from an engine or a service to the
// caller, plain or streamed, and against a truncated response that looks
// complete.
func TestEndToEnd(t *testing.T) {
	l := newLeakTest(t, faults{})
	l.direct.to = engine.Target{Name: "e", Address: l.engine.Addr()}
	_, server := serve(t, Options{Server: &l.direct})
	text := standinengine.TextOf([]byte(chatBody))
	if _, body, _ := send(t, server, post(pathChat, chatBody, withKey)); !strings.Contains(body, text(4)) {
		t.Fatalf("plain response %q", body)
	}
	streamed := strings.Replace(chatBody, "false", "true", 1)
	text = standinengine.TextOf([]byte(streamed))
	head, body, _ := send(t, server, post(pathChat, streamed, withKey))
	if !strings.Contains(head, "Content-Type: text/event-stream") || !strings.Contains(body, text(4)) || strings.Count(body, "[DONE]") != 1 {
		t.Fatalf("stream %s %q", head, body)
	}
	l.engine.SetFaults(standinengine.Faults{CutAt: 3})
	if _, body, _ = send(t, server, post(pathChat, streamed, withKey)); strings.Contains(body, "[DONE]") || !strings.Contains(body, "event: error") {
		t.Fatalf("truncated stream %q", body)
	}
	l.direct.to.Address = l.service.Addr()
	l.service.SetFaults(standinservice.Faults{CutBody: 10, Status: http.StatusAccepted})
	head, body, _ = send(t, server, get("/status/x"))
	if !strings.HasPrefix(head, "HTTP/1.1 202") || len(body) != 10 {
		t.Fatalf("truncated body %s %q", head, body)
	}
	l.service.SetFaults(standinservice.Faults{})
	head, body, err := send(t, server, strings.Replace(get("/status/x"), "GET", "HEAD", 1))
	if err != nil || !strings.HasPrefix(head, "HTTP/1.1 200") || !strings.Contains(head, "Content-Length: ") || body != "" {
		t.Fatalf("HEAD %s %q, %v", head, body, err)
	}
}

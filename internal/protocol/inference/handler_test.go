package inference

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	chatBody = `{"model":"m1","stream":false,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	openBody = `{"model":"m2","stream":true,"messages":[]}`
	withKey  = "Authorization: Bearer " + goodKey
)

// Guards against a request that is sent to another route, or to another path of
// the endpoint, than its header, path or model select.
func TestRouteSelection(t *testing.T) {
	for _, tt := range []struct {
		name, raw   string
		route, path string
		code        resultcode.Code
	}{
		{"by model", post(pathChat, chatBody, withKey), "chat", pathChat, 0},
		{"by adapter", post(pathCompletions, strings.Replace(chatBody, "m1", "a1", 1), withKey), "chat", pathCompletions, 0},
		{"by path", post("/urgent/v1/chat/completions", chatBody, withKey), "urgent", pathChat, 0},
		{"by header", post(pathChat, chatBody, withKey, "Radishloom-Route: urgent"), "urgent", pathChat, 0},
		{"header beats path", post("/urgent/v1/chat/completions", chatBody, withKey, "Radishloom-Route: nothing"), "", "", resultcode.NoRoute},
		{"service", get("/ledger/a%2Fb?x=1", withKey), "ledger", "/ledger/a%2Fb", 0},
		{"service root", get("/ledger", withKey), "ledger", "/ledger", 0},
		{"service by header", get("/status/x", withKey, "Radishloom-Route: ledger"), "", "", resultcode.NoRoute},
		{"longest", get("/ledger/admin/x", withKey), "admin", "/ledger/admin/x", 0},
		{"segment border", get("/ledgers", withKey), "", "", resultcode.NoRoute},
		{"escaped prefix", get("/ledger/%61dmin/x", withKey), "", "", resultcode.BadRequest},
		{"dot segments", get("/status/../ledger/admin", withKey), "", "", resultcode.BadRequest},
		{"escaped dots", get("/status/%2e%2e/ledger/admin", withKey), "", "", resultcode.BadRequest},
		{"empty segment", get("/ledger//admin", withKey), "", "", resultcode.BadRequest},
		{"backslash", get("/ledger/..%5cadmin", withKey), "", "", resultcode.BadRequest},
		{"unknown path", get("/v2/x", withKey), "", "", resultcode.NoRoute},
		{"unknown model", post(pathChat, `{"model":"nope"}`, withKey), "", "", resultcode.ModelUnknown},
		{"other model on path", post("/urgent/v1/chat/completions", `{"model":"m2"}`, withKey), "", "", resultcode.ModelUnknown},
		{"wrong method", get(pathChat, withKey), "", "", resultcode.MethodNotAllowed},
		{"no key", post(pathChat, chatBody), "", "", resultcode.KeyMissing},
		{"no key on path", get("/ledger/x"), "", "", resultcode.KeyMissing},
		{"open without key", get("/status/x"), "status", "/status/x", 0},
		{"two route headers", get("/status/x", "Radishloom-Route: status", "Radishloom-Route: admin"), "", "", resultcode.BadRequest},
		{"two idempotency keys", get("/status/x", "Idempotency-Key: a", "Idempotency-Key: b"), "", "", resultcode.BadRequest},
		{"model twice", post(pathChat, `{"model":"m1","model":"m2"}`, withKey), "", "", resultcode.BadRequest},
		{"model in another case", post(pathChat, `{"model":"m1","Model":"m2"}`, withKey), "", "", resultcode.BadRequest},
		{"no model", post(pathChat, `{"stream":true}`, withKey), "", "", resultcode.BadRequest},
		{"two values", post(pathChat, chatBody+chatBody, withKey), "", "", resultcode.BadRequest},
		{"negative tokens", post(pathChat, `{"model":"m1","max_tokens":-1}`, withKey), "", "", resultcode.BadRequest},
		{"body too large", post("/ledger/x", strings.Repeat("x", 1001), withKey), "", "", resultcode.BodyTooLarge},
		{"chunked body too large", strings.Replace(get("/ledger/x", withKey, "Transfer-Encoding: chunked"), "GET", "POST", 1) + "3e9\n" + strings.Repeat("x", 1001) + "\n0\n\n", "", "", resultcode.BodyTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeServer{}
			_, server := serve(t, Options{Server: f})
			head, body, _ := send(t, server, tt.raw)
			if tt.code != 0 {
				want := tt.code.Info()
				if f.calls != 0 || codeIn(t, body) != uint32(tt.code) || !strings.Contains(head, resultcode.Header+": "+itoa(int(tt.code))) ||
					!strings.HasPrefix(head, "HTTP/1.1 "+itoa(want.Status)) || !strings.Contains(body, `"run_state":"not_run"`) {
					t.Fatalf("calls %d, response %s %s; want %s", f.calls, head, body, tt.code)
				}
				return
			}
			if f.calls != 1 || f.last.Route.Name != tt.route || f.last.Path != tt.path {
				t.Fatalf("calls %d, request %+v, response %s %s; want route %s and path %s", f.calls, f.last, head, body, tt.route, tt.path)
			}
		})
	}
}

// Guards against request fields that are passed to the entry with wrong values,
// and against identifiers that a caller can repeat or inject.
func TestRequestFields(t *testing.T) {
	f := &fakeServer{}
	_, server := serve(t, Options{Server: f, DefaultMaxTokens: 77})
	body := `{"model":"m2","stream":true,"n":2,"prompt":[1,2,3]}`
	head, _, _ := send(t, server, post(pathCompletions, body, "X-Request-Id: mine", "Idempotency-Key: ik"))
	r := f.last
	if !r.Stream || r.Model != "m2" || r.MaxTokens != 154 || r.PromptTokens != 3 || r.IdempotencyKey != "ik" || string(r.Body) != body {
		t.Fatalf("request %+v", r)
	}
	if !strings.Contains(head, "X-Request-Id: mine") || !strings.HasPrefix(r.ID, "mine.") {
		t.Fatalf("identifier %q, response %s", r.ID, head)
	}
	first := r.ID
	send(t, server, post(pathCompletions, body, "X-Request-Id: mine"))
	if f.last.ID == first {
		t.Fatal("two requests got the same identifier")
	}
	send(t, server, post(pathCompletions, body, "X-Request-Id: unsafe id"))
	if strings.Contains(f.last.ID, "unsafe") { // not made of hexadecimal digits, which a random identifier has
		t.Fatalf("an unsafe identifier was accepted: %q", f.last.ID)
	}
}

// Guards against a list of models that shows a caller without a key the models of
// routes that need one, shows models without a route, or accepts an unknown key
// or any key while the fleet state is stale.
func TestModels(t *testing.T) {
	fresh := true
	_, server := serve(t, Options{Server: &fakeServer{}, Fresh: func() bool { return fresh }})
	_, body, _ := send(t, server, get(pathModels, withKey))
	for name, want := range map[string]bool{`"m1"`: true, `"a1"`: true, `"m2"`: true, "unrouted": false} {
		if strings.Contains(body, name) != want {
			t.Fatalf("%s in the list %s: want %t", name, body, want)
		}
	}
	if _, body, _ = send(t, server, get(pathModels)); strings.Contains(body, "m1") || !strings.Contains(body, "m2") {
		t.Fatalf("without key: %s", body)
	}
	if _, body, _ = send(t, server, get("/urgent/v1/models")); codeIn(t, body) != uint32(resultcode.KeyMissing) {
		t.Fatalf("keyed route without key: %s", body)
	}
	if _, body, _ = send(t, server, get(pathModels, "Authorization: Bearer wrong")); codeIn(t, body) != uint32(resultcode.KeyUnknown) {
		t.Fatalf("wrong key: %s", body)
	}
	fresh = false
	if _, body, _ = send(t, server, get(pathModels, withKey)); codeIn(t, body) != uint32(resultcode.NoFreshState) {
		t.Fatalf("without fresh state: %s", body)
	}
}

// failAfterPart starts a response, writes a part and fails.
func failAfterPart(events bool) func(context.Context, *entry.Request, entry.ResponseWriter) error {
	return func(_ context.Context, _ *entry.Request, w entry.ResponseWriter) error {
		if err := w.Start(http.StatusOK, http.Header{resultcode.Header: {"1"}}); err != nil {
			return err
		}
		write := w.Write
		if events {
			write = w.Event
		}
		if err := write([]byte("part one\npart two")); err != nil {
			return err
		}
		return resultcode.New(resultcode.StreamBroken, "broken by the test")
	}
}

// Guards against a failed response that looks complete to the caller. The test
// must detect the defects doneAfterError and endTruncatedBody.
func TestFailureAfterStart(t *testing.T) {
	streamLooksComplete := func(f faults) bool {
		h, server := serve(t, Options{Server: &fakeServer{serve: failAfterPart(true)}})
		h.faults = f
		_, body, _ := send(t, server, post(pathChat, openBody))
		if !strings.Contains(body, "data: part one\ndata: part two\n\n") || !strings.Contains(body, "event: error\ndata: {") || codeIn(t, body) != uint32(resultcode.StreamBroken) {
			t.Fatalf("stream %q", body)
		}
		return strings.Contains(body, "[DONE]")
	}
	bodyLooksComplete := func(f faults) bool {
		h, server := serve(t, Options{Server: &fakeServer{serve: failAfterPart(false)}})
		h.faults = f
		head, body, _ := send(t, server, get("/status/x"))
		if strings.Contains(head, resultcode.Header) {
			t.Fatalf("an endpoint's result code reached the caller: %s", head)
		}
		return strings.HasSuffix(body, "0\r\n\r\n")
	}
	if streamLooksComplete(faults{}) || bodyLooksComplete(faults{}) {
		t.Fatal("a truncated response looks complete")
	}
	if !streamLooksComplete(faults{doneAfterError: true}) || !bodyLooksComplete(faults{endTruncatedBody: true}) {
		t.Fatal("the defects were not detected")
	}
}

// Guards against callers that together exceed the VM's bounds of body memory or
// open requests. A body reserves memory as it arrives and releases it at the end.
func TestMemoryBudget(t *testing.T) {
	entered, proceed := make(chan bool), make(chan bool)
	f := &fakeServer{serve: func(_ context.Context, _ *entry.Request, w entry.ResponseWriter) error {
		entered <- true
		<-proceed
		return w.Start(http.StatusOK, nil)
	}}
	h, server := serve(t, Options{Server: f, BodyMemoryBytes: 100 << 10, MaxBodyBytes: 90 << 10, MaxOpenRequests: 2})
	large := post("/status/x", strings.Repeat("x", 60<<10))
	responses := make(chan string)
	request := func(raw string) { head, _, _ := send(t, server, raw); responses <- head }
	code := func(c resultcode.Code) string { return resultcode.Header + ": " + itoa(int(c)) + "\r\n" }
	go request(large)
	<-entered
	if used := h.budget.Used(); used < 60<<10 || used > 90<<10 {
		t.Errorf("a body of 60 KiB reserves %d bytes", used)
	}
	go request(large)
	if head := <-responses; !strings.Contains(head, code(resultcode.VMOverloaded)) {
		t.Errorf("second large body: %s", head)
	}
	go request(post("/status/x", "small"))
	<-entered
	go request(get("/status/x"))
	if head := <-responses; !strings.Contains(head, code(resultcode.VMOverloaded)) {
		t.Errorf("third open request: %s", head)
	}
	close(proceed)
	for range 2 {
		if head := <-responses; !strings.HasPrefix(head, "HTTP/1.1 200") {
			t.Errorf("response %s", head)
		}
	}
	eventually(t, func() bool { return h.budget.Used() == 0 && h.open.Load() == 0 })
	// A sender that stalls reserves little, whatever length it announces.
	slow, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close() // the test is over
	_, _ = io.WriteString(slow, "POST /status/x HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\nabc")
	eventually(t, func() bool { return h.budget.Used() > 0 })
	if used := h.budget.Used(); used > 2*initialBufferBytes {
		t.Errorf("a slow sender reserves %d bytes", used)
	}
}

// eventually waits up to 20 s for a condition, since a busy machine may be slow.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 20 s")
		}
	}
}

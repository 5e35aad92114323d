package platformhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// Guards against a truncated or malformed list that is accepted as complete.
func TestList(t *testing.T) {
	const good = `[{"address":"127.0.0.1:1"},{"address":"127.0.0.2","leaving":true}]`
	for _, tt := range []struct {
		name, body string
		status     int
		cut        bool
		code       resultcode.Code
	}{
		{"good", good, 200, false, resultcode.OK},
		{"cut", good, 200, true, resultcode.AnswerIncomplete},
		{"empty body", "", 200, false, resultcode.AnswerMismatch},
		{"no list", `{"address":"x"}`, 200, false, resultcode.AnswerMismatch},
		{"no address", `[{"leaving":true}]`, 200, false, resultcode.AnswerMismatch},
		{"status", good, 500, false, resultcode.EndpointLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.RequestURI != "/vms?x=1" {
					t.Errorf("the list was requested at %s", r.RequestURI)
				}
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
				if tt.cut {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := httpclient.New(httpclient.Options{})
			defer client.Close()
			p, err := New(client, server.URL+"/vms?x=1")
			if err != nil {
				t.Fatal(err)
			}
			got, err := p.List(context.Background())
			want := []engine.VMState{{Address: "127.0.0.1:1"}, {Address: "127.0.0.2", Leaving: true}}
			if resultcode.Of(err) != tt.code || (err == nil && !slices.Equal(got, want)) {
				t.Fatalf("%v, %v; want %s", got, err, tt.code)
			}
		})
	}
}

// Guards against invalid URLs that would only fail at the first request.
func TestURL(t *testing.T) {
	for _, u := range []string{"", "127.0.0.1:80/vms", "https://127.0.0.1:80/", "http://name:80/", "http://127.0.0.1/", "http://u:p@127.0.0.1:80/"} {
		if _, err := New(nil, u); err == nil {
			t.Errorf("%q was accepted", u)
		}
	}
}

// Guards against a late copy of an earlier list that is taken for the present one: VMs that
// have come since then would be missing.
func TestLateCopyIsNotTakenForTheList(t *testing.T) {
	n := 0
	address := rawserver.Repeating(t, func(*http.Request) string {
		n++
		body := fmt.Sprintf(`[{"address":"127.0.0.1:%d"}]`, n)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	p, err := New(client, "http://"+address+"/vms")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		list, err := p.List(t.Context())
		if err != nil || len(list) != 1 || list[0].Address != want {
			t.Fatalf("list %v, error %v, want %s", list, err, want)
		}
	}
}

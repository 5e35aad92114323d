package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// endless writes a text without end until the caller closes the connection.
func endless(c net.Conn, text string) bool {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	for {
		if _, err := c.Write(block); err != nil {
			return false
		}
	}
}

// Guards against an endpoint in trouble that sends bytes without end which are no
// response: they must end the exchange long before the caller's deadline, must not
// fill the memory, and the connection must not be used again.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"head", ok, "X: y\r\n"},
		{"one field", ok + "X: ", "y"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"responses to other requests", "", ok + "Other: 1\r\nContent-Length: 4\r\n\r\nfine"},
		{"body of another response", ok + "Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nfine\r\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := startRaw(t, func(c net.Conn, _ int, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, tt.begin)
				return endless(c, tt.repeat)
			})
			client := newClient(t, Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			req := s.request(http.MethodPost)
			req.IdleTimeout = 10 * time.Second
			req.MatchResponse = func(h http.Header) bool { return h.Get("Other") == "" }
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := client.Do(ctx, req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			runtime.ReadMemStats(&after)
			if err == nil || ctx.Err() != nil {
				t.Fatalf("error %v, context %v; want an error before the deadline", err, ctx.Err())
			}
			if resultcode.Of(err) == resultcode.OK || resultcode.Of(err).Info().Run == resultcode.NotRun {
				t.Errorf("result code %s; the request was sent, so it may have run", resultcode.Of(err))
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > 4<<20 {
				t.Errorf("%d bytes were allocated", grown)
			}
			if p := client.pool(req.Address); len(p.idle) > 0 {
				t.Error("the connection is kept for reuse")
			}
		})
	}
}

// Guards against a body that goes on past its announced length, or comes after a
// response that has none: the surplus must not become part of the next response.
func TestBytesAfterAResponseEndTheConnection(t *testing.T) {
	for name, raw := range map[string]string{
		"past its length":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
		"after 204":        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
		"after 304":        "HTTP/1.1 304 Not Modified\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
		"after last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	} {
		for _, late := range []time.Duration{0, 30 * time.Millisecond} {
			s := startRaw(t, func(c net.Conn, number int, _ *http.Request, _ int) bool {
				if number > 1 {
					return respond(c, "right")
				}
				whole, surplus, _ := strings.Cut(raw, "HTTP/1.1 200 OK\r\nContent-Length: 5")
				surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5" + surplus
				if late == 0 {
					whole, surplus = whole+surplus, ""
				}
				_, _ = io.WriteString(c, whole)
				time.Sleep(late)
				_, _ = io.WriteString(c, surplus)
				return true
			})
			client := newClient(t, Options{})
			if body, err := fetch(client, s.request(http.MethodPost)); err != nil || strings.Contains(body, "wrong") {
				t.Fatalf("%s: the first response is %q, %v", name, body, err)
			}
			time.Sleep(2 * late) // the surplus arrives on the idle connection
			if body, err := fetch(client, s.request(http.MethodPost)); err != nil || body != "right" {
				t.Errorf("%s, %v late: the next request got %q, %v", name, late, body, err)
			}
		}
	}
}

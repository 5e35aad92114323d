package httpclient

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a request that is sent again over a connection that refused it, and against
// refusals that cost connections of other requests or fill the memory of a connection.
func TestRefusedRequestTakesAnotherConnection(t *testing.T) {
	refuse := func(c net.Conn, _ int, _ *http.Request, _ int) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	send := func(c *Client, s *rawServer, id string) {
		t.Helper()
		req := s.request(http.MethodPost)
		req.ID = id
		if _, err := fetch(c, req); err != nil {
			t.Fatal(err)
		}
	}
	distinct := make([]string, maxRefused+1)
	for i := range distinct {
		distinct[i] = fmt.Sprint("id", i)
	}
	for name, tt := range map[string]struct {
		ids  []string
		want int64 // connections
	}{
		"same request":                       {[]string{"a", "a", "a"}, 3},
		"other requests":                     {[]string{"a", "b", "c"}, 1},
		"other request between":              {[]string{"a", "b", "a", "b", "c"}, 2},
		"requests without identifier":        {[]string{"", "", ""}, 1},
		"more requests than it can remember": {distinct, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRaw(t, refuse)
			c := newClient(t, Options{IdleConnTimeout: time.Minute})
			for _, id := range tt.ids {
				send(c, s, id)
			}
			if got := s.accepted.Load(); got != tt.want {
				t.Fatalf("%d connections, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a refusal that was skipped and then is not remembered: its request may come
// to the connection again, since only an earlier copy of its answer was read there.
func TestSkippedRefusalEndsItsConnection(t *testing.T) {
	for status, want := range map[int]int64{http.StatusOK: 1, http.StatusServiceUnavailable: 2} {
		s := startRaw(t, func(c net.Conn, _ int, r *http.Request, nth int) bool {
			if nth == 2 {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: a\r\nContent-Length: 0\r\n\r\n", status)
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return err == nil
		})
		c := newClient(t, Options{IdleConnTimeout: time.Minute})
		for _, id := range []string{"a", "b", "a"} {
			req := s.request(http.MethodPost)
			req.ID, req.Header = id, http.Header{"Id": {id}}
			req.MatchResponse = func(h http.Header) bool { return h.Get("Id") == id }
			if _, err := fetch(c, req); err != nil {
				t.Fatal(err)
			}
		}
		if got := s.accepted.Load(); got != want {
			t.Errorf("status %d: %d connections, want %d", status, got, want)
		}
	}
}

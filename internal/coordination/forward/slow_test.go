package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// slowEndpoint answers with a stream in chunks, each after a pause. If endless is set,
// it repeats the last chunk until the connection is closed, and then closes closed.
type slowEndpoint struct {
	chunks  []string
	pause   time.Duration
	endless bool
	closed  chan struct{}
}

func (e slowEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: id-1\r\n"+chunkedEvents+"\r\n")
	for i := 0; i < len(e.chunks) || e.endless; i++ {
		time.Sleep(e.pause)
		chunk := e.chunks[min(i, len(e.chunks)-1)]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			close(e.closed)
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// Guards against slow but sound streams that are cut, and against stalled streams that
// send a byte now and then and never end.
func TestSlowStreamsEndAndStalledOnesAreCut(t *testing.T) {
	const timeout = 2 * time.Second
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	for _, test := range []struct {
		name     string
		endpoint slowEndpoint
		complete bool
	}{
		{"sound, pauses of five times the target", slowEndpoint{chunks: events, pause: 500 * time.Millisecond}, true},
		{"stalled within an event", slowEndpoint{chunks: []string{events[0], "id: 2\ndata:", "."}, pause: 20 * time.Millisecond, endless: true}, false},
		{"stalled with comments", slowEndpoint{chunks: []string{events[0], ":\n\n"}, pause: 20 * time.Millisecond, endless: true}, false},
	} {
		for _, path := range []string{"/stream/x", "/resumed/x"} {
			t.Run(test.name+path, func(t *testing.T) {
				t.Parallel()
				endpoint := test.endpoint
				endpoint.closed = make(chan struct{})
				w := newConnectedFixture(t, rawserver.Listen(t, endpoint.serve))
				c := testCatalog()
				c.Version++
				for i := range c.Routes {
					c.Routes[i].Timeout = timeout
				}
				w.server.SetCatalog(catalog.NewIndex(c))
				began := time.Now()
				_, _, body, err := w.do(path, map[string]string{"Model": "m"})
				if complete := err == nil && body == strings.Join(events, ""); complete != test.complete {
					t.Fatalf("body %.60q, error %v: complete %v, want %v", body, err, complete, test.complete)
				}
				if test.complete {
					return
				}
				if took := time.Since(began); took > timeout+time.Second {
					t.Fatalf("the stream took %v, the timeout of its route is %v", took, timeout)
				}
				select {
				case <-endpoint.closed:
				case <-time.After(time.Second):
					t.Fatal("the connection to the endpoint stays open")
				}
			})
		}
	}
}

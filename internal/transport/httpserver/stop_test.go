package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Guards against a planned stop that cuts off requests without an answer: a request
// on a kept connection crosses the close of that connection. 60 callers send requests
// one after the other on kept connections while the server stops. Each request gets
// an answer from the handler or one that says that it was not run, which is true.
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	const callers, rounds = 60, 5
	for range rounds {
		var ran, answered, refused, unanswered atomic.Int64
		s, err := New(Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			_, _ = io.WriteString(w, "whole")
		})})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Start(context.Background()) }()
		var wg sync.WaitGroup
		for range callers {
			c := dial(t, s)
			wg.Go(func() {
				r := bufio.NewReader(c)
				for {
					// The server may have closed the connection before this write; then
					// nothing was accepted. A close after it must not go unanswered.
					_, writeErr := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						if writeErr == nil {
							unanswered.Add(1)
						}
						return
					}
					body, err := io.ReadAll(resp.Body)
					switch {
					case err != nil:
						unanswered.Add(1)
					case resp.StatusCode == http.StatusOK && string(body) == "whole":
						answered.Add(1)
					case resp.StatusCode == http.StatusRequestTimeout && strings.Contains(string(body), `"run_state":"not_run"`):
						refused.Add(1)
					default:
						t.Errorf("status %d, body %q", resp.StatusCode, body)
					}
					if resp.Close {
						return
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		wg.Wait()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if unanswered.Load() > 0 || ran.Load() != answered.Load() {
			t.Fatalf("%d requests without an answer, %d refused as not run; %d ran, %d of them answered",
				unanswered.Load(), refused.Load(), ran.Load(), answered.Load())
		}
	}
}

// Guards against an idle connection that is closed without notice while its caller's
// next request is on the way: the caller finds an answer to that request that says
// that it was not run, and the handler never runs it.
func TestStopRefusesOnIdleConnections(t *testing.T) {
	var ran atomic.Int64
	s := start(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { ran.Add(1) })
	fresh, kept := dial(t, s), dial(t, s)
	if _, err := io.WriteString(kept, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(kept)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response before Stop: %v, %v", resp, err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	if _, err := r.Peek(1); err != nil {
		t.Fatalf("the idle connection was closed without a response: %v", err)
	}
	// The request crosses the close.
	if _, err := io.WriteString(kept, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(r)
	if err != nil || !hasCode(string(all), resultcode.ConnectionClosing) || !strings.Contains(string(all), "Connection: close") {
		t.Errorf("the late request got %q, %v", all, err)
	}
	if ran.Load() != 1 {
		t.Errorf("%d requests ran, want 1: the second was answered as not run", ran.Load())
	}
	_ = fresh.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against bytes of a refusal inside a response: a connection with a request in
// progress is closed after the grace period, and gets nothing more.
func TestStopDoesNotRefuseInsideAResponse(t *testing.T) {
	begun := make(chan bool, 1)
	s := start(t, Limits{Grace: 50 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		begun <- true
		<-r.Context().Done()
	})
	c := dial(t, s)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-begun
	if err := s.Stop(context.Background()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	all, err := io.ReadAll(c)
	if strings.Contains(string(all), "not_run") || !strings.HasSuffix(string(all), "part\r\n") {
		t.Errorf("the cut-off response is %q, %v", all, err)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection was not closed")
	}
}

// Guards against requests that are cut off because the server stops before it has
// accepted their connection: the kernel has, and the caller has sent the request.
func TestStopAnswersConnectionsInTheBacklog(t *testing.T) {
	s, err := New(Config{Address: "127.0.0.1:0", Handler: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	var callers []net.Conn
	for range 40 { // the server is not started, so nothing is accepted
		c := dial(t, s)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for i, c := range callers {
		if all, err := io.ReadAll(c); err != nil || !hasCode(string(all), resultcode.ConnectionClosing) {
			t.Errorf("caller %d got %q, %v", i, all, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

package servicehttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// repeatingService answers each request with 200 and its path, and writes the last answer
// of a connection once more when the next request has arrived there. With echo its answers
// name their requests.
func repeatingService(t *testing.T, echo bool) (*Service, engine.Target) {
	address := rawserver.Listen(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		br, last := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id, body := "", fmt.Sprintf(`{"path":%q,"running":5}`, r.URL.Path)
			if echo {
				id = exchange.HeaderRequestID + ": " + r.Header.Get(exchange.HeaderRequestID) + "\r\n"
			}
			now := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
			_, _ = io.WriteString(c, last+now)
			last = now
		}
	})
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(client.Close)
	return New(client), engine.Target{Name: "s1", Address: address}
}

// Guards against a late copy of a load report that a caller gets as the answer to its
// request, and against a copy of another answer that is taken for a load report.
func TestLateCopyIsNotTakenForAnotherAnswer(t *testing.T) {
	load := func(s *Service, to engine.Target) error { _, err := s.Load(context.Background(), to); return err }
	do := func(s *Service, to engine.Target) error { _, _, err := call(s, to, request("r1")); return err }
	for name, calls := range map[string][2]func(*Service, engine.Target) error{
		"load, request": {load, do}, "load, load": {load, load}, "request, load": {do, load},
	} {
		t.Run(name, func(t *testing.T) {
			s, to := repeatingService(t, true)
			if err := calls[0](s, to); err != nil {
				t.Fatal(err)
			}
			if err := calls[1](s, to); resultcode.Of(err) != resultcode.AnswerMismatch {
				t.Fatalf("error %v, want %s", err, resultcode.AnswerMismatch)
			}
		})
	}
}

package enginehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	standin "github.com/radishloom/radishloom/internal/standin/engine"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

// testIdleTimeout is long enough for responses on a busy machine and short enough
// for the tests that wait until it expires.
const testIdleTimeout = 300 * time.Millisecond

type fixture struct {
	standin *standin.Engine
	engine  *Engine
	to      engine.Target
}

func start(t testing.TB, c standin.Config) *fixture {
	t.Helper()
	c.Models = append(c.Models, standin.Model{Name: "m", Version: "1", MemoryMB: 1000, Adapters: []string{"a"}})
	c.Resident = append(c.Resident, "m")
	s, err := standin.Start("127.0.0.1:0", c)
	if err != nil {
		t.Fatal(err)
	}
	client := httpclient.New(httpclient.Options{})
	t.Cleanup(func() { client.Close(); s.Close() })
	return &fixture{standin: s, engine: New(client), to: engine.Target{Name: "e1", Address: s.Addr()}}
}

func request(id string, tokens int, stream bool) engine.Request {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, id)
	return engine.Request{ID: id, Path: "/v1/chat/completions", Body: []byte(body), Stream: stream, IdleTimeout: testIdleTimeout}
}

// wantText returns the text of tokens [from, to) of the response to a request
// body.
func wantText(body []byte, from, to int) string {
	text := standin.TextOf(body)
	var out strings.Builder
	for i := from; i < to; i++ {
		out.WriteString(text(i))
	}
	return out.String()
}

// contentOf returns the text of an event.
func contentOf(data []byte) string {
	_, rest, _ := strings.Cut(string(data), `"content":"`)
	text, _, _ := strings.Cut(rest, `"`)
	return text
}

// drain reads a stream until it ends or fails.
func drain(s engine.Stream) (text string, events int, err error) {
	for {
		ev, err := s.Next(context.Background())
		if err != nil || ev.Final {
			return text, events, err
		}
		text += contentOf(ev.Data)
		events++
	}
}

func wantCode(t *testing.T, err error, want resultcode.Code) {
	t.Helper()
	if resultcode.Of(err) != want {
		t.Fatalf("got %v, want code %s", err, want)
	}
}

// Guards against incomplete or mismatched responses to requests without faults,
// and against missing token counts.
func TestWholeAndStream(t *testing.T) {
	f := start(t, standin.Config{})
	ctx := context.Background()
	req := request("r1", 7, false)
	a, err := f.engine.Do(ctx, f.to, req)
	if err != nil || a.Status != 200 || !bytes.Contains(a.Body, []byte(wantText(req.Body, 0, 7))) || a.Tokens < 7 {
		t.Fatalf("response %+v, error %v", a, err)
	}
	req = request("r2", 9, true)
	s, err := f.engine.Open(ctx, f.to, req)
	if err != nil {
		t.Fatal(err)
	}
	text, events, err := drain(s)
	if err != nil || events != 9 || text != wantText(req.Body, 0, 9) {
		t.Fatalf("stream %q of %d events, error %v", text, events, err)
	}
	if _, err := s.Next(ctx); !errors.Is(err, io.EOF) {
		t.Fatalf("after the final event: %v, want EOF", err)
	}
	_ = s.Close()
	if f.standin.Cancelled("r2") != 0 {
		t.Fatal("a complete stream was cancelled")
	}
	if _, err := f.engine.Do(ctx, f.to, request("r3", 1, false)); err != nil || f.standin.Connections() != 1 {
		t.Fatalf("third request on connection %d, error %v; want one connection for all", f.standin.Connections(), err)
	}
}

// Guards against accepting incomplete or mismatched responses, and against result
// codes with a false run state. Each fault applies to one request; the next
// request must succeed.
func TestFaultResultCodes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults standin.Faults
		stream bool
		code   resultcode.Code
	}{
		{"refused", standin.Faults{Refuse: true}, false, resultcode.EndpointRefused},
		{"refused stream", standin.Faults{Refuse: true}, true, resultcode.EndpointRefused},
		{"refused without identifier", standin.Faults{RefuseUnnamed: true}, false, resultcode.EndpointLost},
		{"no response", standin.Faults{Ignore: true}, false, resultcode.EndpointSilent},
		{"response lost", standin.Faults{LoseAnswer: true}, false, resultcode.EndpointLost},
		{"response after the idle timeout", standin.Faults{Late: 2 * testIdleTimeout}, false, resultcode.EndpointSilent},
		{"wrong identifier", standin.Faults{WrongID: true}, false, resultcode.AnswerMismatch},
		{"wrong identifier, stream", standin.Faults{WrongID: true}, true, resultcode.AnswerMismatch},
		{"truncated body", standin.Faults{CutBody: 20}, false, resultcode.AnswerIncomplete},
		{"no length or chunks", standin.Faults{NoLength: true}, false, resultcode.AnswerIncomplete},
		{"no end marker", standin.Faults{EndAt: 4}, true, resultcode.AnswerIncomplete},
		{"connection closed before the first event", standin.Faults{CutAt: 1}, true, resultcode.EndpointLost},
		{"connection closed in the stream", standin.Faults{CutAt: 3}, true, resultcode.AnswerIncomplete},
		{"timeout before the first event", standin.Faults{SilentAt: 1}, true, resultcode.EndpointSilent},
		{"timeout in the stream", standin.Faults{SilentAt: 3}, true, resultcode.EndpointSilent},
		{"error event in the stream", standin.Faults{ErrorAt: 3}, true, resultcode.StreamBroken},
		{"crash", standin.Faults{CrashMark: "r1"}, false, resultcode.EndpointLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, standin.Config{})
			tt.faults.Times = 1
			f.standin.SetFaults(tt.faults)
			wantCode(t, f.run(request("r1", 5, tt.stream)), tt.code)
			if runs := f.standin.Runs("r1"); tt.code.Info().Run == resultcode.NotRun && runs > 0 {
				t.Fatalf("code %s, but %d runs", tt.code, runs)
			}
			f.standin.SetFaults(standin.Faults{})
			// Another test may use the port for a moment.
			eventually(t, "a restart", func() bool { return f.standin.Restart() == nil })
			wantCode(t, f.run(request("r2", 5, tt.stream)), resultcode.OK)
		})
	}
}

// run performs a request and verifies that the response text is the one for its
// body.
func (f *fixture) run(req engine.Request) error {
	if !req.Stream {
		a, err := f.engine.Do(context.Background(), f.to, req)
		if err != nil {
			return err
		}
		return checkText(string(a.Body), wantText(req.Body, 0, 5))
	}
	s, err := f.engine.Open(context.Background(), f.to, req)
	if err != nil {
		return err
	}
	defer s.Close() // never fails
	text, _, err := drain(s)
	if err != nil {
		return err
	}
	return checkText(text, wantText(req.Body, 0, 5))
}

func checkText(got, want string) error {
	if !strings.Contains(got, want) {
		return fmt.Errorf("got %q, want %q", got, want)
	}
	return nil
}

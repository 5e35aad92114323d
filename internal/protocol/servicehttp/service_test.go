package servicehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	standin "github.com/radishloom/radishloom/internal/standin/service"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
)

const idleTimeout = 300 * time.Millisecond

func request(id string) engine.ServiceRequest {
	return engine.ServiceRequest{
		ID: id, Method: http.MethodPut, Path: "/a%2Fb", RawQuery: "x=1&y", Body: []byte("pay"), IdleTimeout: idleTimeout,
		Header: http.Header{"Idempotency-Key": {"key-" + id}, "X-Keep": {"1", "2"}},
	}
}

// call sends a request and reads the response body to its end.
func call(s *Service, to engine.Target, req engine.ServiceRequest) (*engine.ServiceResponse, []byte, error) {
	a, err := s.Do(context.Background(), to, req)
	if err != nil {
		return nil, nil, err
	}
	defer a.Body.Close() // never fails
	body, err := io.ReadAll(a.Body)
	return a, body, err
}

// Guards against accepting a truncated response or one to another request, and
// against result codes that contradict whether the service ran the request. With
// the defect skipIdentity, a response to another request must be accepted, which
// shows that the check detects it.
func TestService(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults standin.Faults
		code   resultcode.Code
		runs   int
	}{
		{"no fault", standin.Faults{}, resultcode.OK, 1},
		{"chunked", standin.Faults{Chunked: true}, resultcode.OK, 1},
		{"error status", standin.Faults{Status: 500}, resultcode.OK, 1},
		{"refused", standin.Faults{Refuse: true}, resultcode.EndpointRefused, 0},
		{"ignored", standin.Faults{Ignore: true}, resultcode.EndpointSilent, 0},
		{"late", standin.Faults{Delay: 2 * idleTimeout}, resultcode.EndpointSilent, 1},
		{"answer lost", standin.Faults{LoseAnswer: true}, resultcode.EndpointLost, 1},
		{"cut", standin.Faults{CutBody: 5}, resultcode.AnswerIncomplete, 1},
		{"cut, chunked", standin.Faults{CutBody: 5, Chunked: true}, resultcode.AnswerIncomplete, 1},
		{"wrong identifier", standin.Faults{WrongID: true}, resultcode.AnswerMismatch, 1},
		{"crash", standin.Faults{Crash: true}, resultcode.EndpointLost, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			service, err := standin.Start("127.0.0.1:0", standin.Config{Slots: 5})
			if err != nil {
				t.Fatal(err)
			}
			defer service.Close()
			client := httpclient.New(httpclient.Options{})
			defer client.Close()
			service.SetFaults(tt.faults)
			s, to := New(client), engine.Target{Name: "s1", Address: service.Addr()}
			a, body, err := call(s, to, request("r1"))
			if resultcode.Of(err) != tt.code || service.Runs("r1") != tt.runs || service.RunsByKey("key-r1") != tt.runs {
				t.Fatalf("call returned %v after %d runs, want %s after %d", err, service.Runs("r1"), tt.code, tt.runs)
			}
			if err == nil {
				checkReceived(t, a, body, tt.faults)
			}
			if tt.faults.WrongID {
				s.faults.skipIdentity = true
				if _, _, err := call(s, to, request("r2")); err != nil {
					t.Fatalf("a response to another request was refused despite the defect skipIdentity: %v", err)
				}
			}
		})
	}
}

// checkReceived compares what the service received with what was sent.
func checkReceived(t *testing.T, a *engine.ServiceResponse, body []byte, f standin.Faults) {
	t.Helper()
	var seen standin.RecordedRequest
	if err := json.Unmarshal(body, &seen); err != nil {
		t.Fatal(err)
	}
	if seen.Method != http.MethodPut || seen.Target != "/a%2Fb?x=1&y" || seen.BodyBytes != 3 || len(seen.Header["X-Keep"]) != 2 {
		t.Errorf("the service received %+v, want the request that was sent", seen)
	}
	if a.Status != max(f.Status, 200) || a.Header.Get("X-Request-Id") != "" || (a.Length < 0) != f.Chunked {
		t.Errorf("response has status %d, header %v, length %d; want the status of the fault or 200, no X-Request-Id, and a negative length only if chunked", a.Status, a.Header, a.Length)
	}
}

// Guards against a load report that is decoded wrongly, and against reporting a
// load for a stopped service.
func TestLoad(t *testing.T) {
	service, err := standin.Start("127.0.0.1:0", standin.Config{Slots: 5})
	if err != nil {
		t.Fatal(err)
	}
	client := httpclient.New(httpclient.Options{})
	defer client.Close()
	to := engine.Target{Name: "s1", Address: service.Addr()}
	if l, err := New(client).Load(context.Background(), to); err != nil || l.Slots != 5 {
		t.Fatalf("Load returned %+v, %v, want 5 slots", l, err)
	}
	service.Close()
	if _, err := New(client).Load(context.Background(), to); err == nil {
		t.Fatal("Load of a stopped service returned no error")
	}
}

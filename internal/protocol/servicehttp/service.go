// Package servicehttp implements engine.Service over HTTP.
package servicehttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxReportBytes bounds a load report.
	maxReportBytes = 1 << 20
	// reportSilence bounds the wait for a load report.
	reportSilence = 2 * time.Second
	// loadPath is where a service that reports load does so.
	loadPath = "/v1/load"
)

// Service is the port over HTTP. It is safe for concurrent use.
type Service struct {
	client exchange.Client
	faults faults
}

// faults are deliberate defects that tests switch on to show that they find
// them.
type faults struct {
	// skipIdentity accepts an answer with another request's identifier.
	skipIdentity bool
}

var _ engine.Service = (*Service)(nil)

// New returns a Service that sends its exchanges through client.
func New(client exchange.Client) *Service { return &Service{client: client} }

// Do implements engine.Service. The path must be escaped as it is to be sent.
func (s *Service) Do(ctx context.Context, to engine.Target, req engine.ServiceRequest) (*engine.ServiceResponse, error) {
	resp, err := s.client.Do(ctx, serviceRequest(to, &req))
	if err != nil {
		return nil, err
	}
	if err := s.checkHead(resp, req.ID, to); err != nil {
		return nil, err
	}
	h := resp.Header
	exchange.RemoveHopByHop(h)
	h.Del(exchange.HeaderRequestID)
	h.Del(exchange.HeaderRunState)
	h.Del(resultcode.Header)
	return &engine.ServiceResponse{Status: resp.Status, Header: h, Body: answerBody{resp.Body}, Length: resp.ContentLength}, nil
}

func serviceRequest(to engine.Target, req *engine.ServiceRequest) *exchange.Request {
	h := req.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(exchange.HeaderRequestID, req.ID)
	target := req.Path
	if req.RawQuery != "" {
		target += "?" + req.RawQuery
	}
	return &exchange.Request{
		Address:         to.Address,
		Method:          req.Method,
		Target:          target,
		Header:          h,
		Body:            req.Body,
		IdleTimeout:     req.IdleTimeout,
		FreshConnection: req.FreshConnection,
	}
}

// checkHead verifies whose answer it is and turns a "not run" into an error.
func (s *Service) checkHead(resp *exchange.Response, id string, to engine.Target) error {
	echoed := resp.Header.Get(exchange.HeaderRequestID)
	if echoed != "" && echoed != id && !s.faults.skipIdentity {
		resp.Body.Discard()
		return resultcode.New(resultcode.AnswerMismatch, "%s answered request %q in place of %q", to.Name, echoed, id)
	}
	if resp.Header.Get(exchange.HeaderRunState) != exchange.RunStateNotRun {
		return nil
	}
	if echoed != id {
		resp.Body.Discard()
		return resultcode.New(resultcode.EndpointLost, "%s refused a request without naming it", to.Name)
	}
	status, pause := resp.Status, resp.Header.Get("Retry-After")
	drain(resp.Body)
	out := resultcode.New(resultcode.EndpointRefused, "%s answered %d and did not run the request", to.Name, status)
	if seconds, err := strconv.Atoi(pause); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	return out
}

// drain reads a short body so that its connection can be reused.
func drain(body exchange.Body) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReportBytes))
	_ = body.Close()
}

// answerBody is the body of an answer whose head was seen: however it is cut,
// the service has worked on the request.
type answerBody struct{ exchange.Body }

// Read implements io.Reader.
func (b answerBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && resultcode.Of(err) == resultcode.EndpointLost {
		err = resultcode.Wrap(resultcode.AnswerIncomplete, err, "the answer was cut")
	}
	return n, err
}

// Load implements engine.Service.
func (s *Service) Load(ctx context.Context, to engine.Target) (*engine.Load, error) {
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: to.Address, Method: http.MethodGet, Target: loadPath,
		Header: http.Header{"Accept": {"application/json"}}, IdleTimeout: reportSilence,
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() // never fails
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, resultcode.New(resultcode.EndpointLost, "%s answered %d to a load request", to.Name, resp.Status)
	}
	var doc enginejson.LoadReport
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, resultcode.Wrap(resultcode.AnswerMismatch, err, "%s sent a malformed report", to.Name)
	}
	return doc.Load(), nil
}

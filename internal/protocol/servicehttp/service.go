// Package servicehttp implements engine.Service over HTTP.
package servicehttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxReportBytes bounds a load report.
	maxReportBytes = 1 << 20
	// loadReportIdleTimeout bounds the time without a byte of a load report.
	loadReportIdleTimeout = 2 * time.Second
	// loadPath is the path of the load report of services that offer one.
	loadPath = "/v1/load"
)

// Service is the HTTP implementation of engine.Service. It is safe for concurrent
// use.
type Service struct {
	client exchange.Client
	// loads counts the load reports; their identifiers have this number.
	loads  atomic.Uint64
	faults faults
}

// faults are deliberate defects. Tests switch them on to prove that they detect
// them.
type faults struct {
	// skipIdentity accepts a response with the identifier of another request.
	skipIdentity bool
}

var _ engine.Service = (*Service)(nil)

// New returns a Service that sends its requests through client.
func New(client exchange.Client) *Service { return &Service{client: client} }

// Do implements engine.Service. The path is sent as it is and must be escaped.
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
	return &engine.ServiceResponse{Status: resp.Status, Header: h, Body: responseBody{resp.Body}, Length: resp.ContentLength}, nil
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
		MayReuse:        exchange.NamesRequest,
		ID:              req.ID,
		Method:          req.Method,
		Target:          target,
		Header:          h,
		Body:            req.Body,
		IdleTimeout:     req.IdleTimeout,
		FreshConnection: req.FreshConnection,
	}
}

// checkHead verifies that the response belongs to the request, and returns an
// error for the run state "not run".
func (s *Service) checkHead(resp *exchange.Response, id string, to engine.Target) error {
	if err := s.checkIdentity(resp, id, to); err != nil {
		return err
	}
	if resp.Header.Get(exchange.HeaderRunState) != exchange.RunStateNotRun {
		return nil
	}
	// Without the echo the refusal could belong to another request.
	if resp.Header.Get(exchange.HeaderRequestID) != id {
		resp.Body.Discard()
		return resultcode.New(resultcode.EndpointLost, "%s refused a request without echoing its identifier", to.Name)
	}
	status, pause := resp.Status, resp.Header.Get("Retry-After")
	discardShortBody(resp.Body)
	out := resultcode.New(resultcode.EndpointRefused, "%s responded with status %d and did not run the request", to.Name, status)
	if seconds, err := strconv.Atoi(pause); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	return out
}

// checkIdentity returns an error if the response names another request.
func (s *Service) checkIdentity(resp *exchange.Response, id string, to engine.Target) error {
	echoed := resp.Header.Get(exchange.HeaderRequestID)
	if echoed == "" || echoed == id || s.faults.skipIdentity {
		return nil
	}
	resp.Body.Discard()
	return resultcode.New(resultcode.AnswerMismatch, "%s answered request %q instead of %q", to.Name, echoed, id)
}

// discardShortBody reads up to maxReportBytes of a body so that its connection can
// be reused.
func discardShortBody(body exchange.Body) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxReportBytes))
	_ = body.Close()
}

// responseBody is the body of a response whose head has arrived. The service has
// run the request, so a lost connection is AnswerIncomplete, not EndpointLost.
type responseBody struct{ exchange.Body }

// Read implements io.Reader.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && resultcode.Of(err) == resultcode.EndpointLost {
		err = resultcode.Wrap(resultcode.AnswerIncomplete, err, "the response body is truncated")
	}
	return n, err
}

// Load implements engine.Service. The report has an identifier, since it shares its
// connections with requests.
func (s *Service) Load(ctx context.Context, to engine.Target) (*engine.Load, error) {
	id := "control-" + strconv.FormatUint(s.loads.Add(1), 10)
	resp, err := s.client.Do(ctx, &exchange.Request{
		Address: to.Address, Method: http.MethodGet, Target: loadPath,
		Header: http.Header{"Accept": {"application/json"}, exchange.HeaderRequestID: {id}}, IdleTimeout: loadReportIdleTimeout,
		MayReuse: exchange.NamesRequest,
	})
	if err != nil {
		return nil, err
	}
	if err := s.checkIdentity(resp, id, to); err != nil {
		return nil, err
	}
	defer resp.Body.Close() // never fails
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, resultcode.New(resultcode.EndpointLost, "%s responded with status %d to a load request", to.Name, resp.Status)
	}
	var doc enginejson.LoadReport
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, resultcode.Wrap(resultcode.AnswerMismatch, err, "%s sent a malformed load report", to.Name)
	}
	return doc.Load(), nil
}

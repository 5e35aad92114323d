// Package enginehttp implements engine.Engine over HTTP. The protocol is
// described in docs/engine-protocol.md.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// maxResponseBytes bounds a response that is read into memory completely.
	maxResponseBytes = 32 << 20
	// maxReadingBytes bounds the bodies of all responses that are being read into memory
	// completely, in bytes. Engines in trouble may send bodies without end.
	maxReadingBytes = 64 << 20
	// maxAnnouncedBytes is how much memory is reserved for a body because of its
	// announced length alone.
	maxAnnouncedBytes = 1 << 20
	// maxReportBytes bounds the bodies of load reports, cache events and refusals.
	maxReportBytes = 4 << 20
	// reportTimeout is the idle timeout of reports and cancellations, which engines
	// answer without running the model, and bounds a detached cancellation.
	reportTimeout = 2 * time.Second
	// maxCancels bounds the cancellations in flight; beyond it no cancellation is
	// sent and the engine only sees that the connection was closed.
	maxCancels = 64
)

// Engine implements engine.Engine over HTTP. It is safe for concurrent use.
type Engine struct {
	client  exchange.Client
	cancels chan struct{}
	// reading is the size of the bodies that are being read, see maxReadingBytes.
	reading atomic.Int64
	// controlCalls counts the reports and cancellations; their identifiers have this
	// number.
	controlCalls atomic.Uint64
	faults       faults
}

// faults are deliberate defects that a test enables to show that it detects
// them.
type faults struct {
	// skipIdentity accepts a response with another request's identifier.
	skipIdentity bool
	// skipMarker accepts a stream that ends without its end-of-stream marker.
	skipMarker bool
	// skipSequence delivers repeated events.
	skipSequence bool
	// trustAnyRefusal accepts a "not run" without an echoed identifier.
	trustAnyRefusal bool
	// resumeNotRun reports a failed attempt to resume as "not run".
	resumeNotRun bool
}

var _ engine.Engine = (*Engine)(nil)

// New returns an Engine that sends its exchanges through client.
func New(client exchange.Client) *Engine {
	return &Engine{client: client, cancels: make(chan struct{}, maxCancels)}
}

// Do implements engine.Engine.
func (e *Engine) Do(ctx context.Context, to engine.Target, req engine.Request) (*engine.Response, error) {
	resp, err := e.client.Do(ctx, inferenceRequest(to, &req))
	if err != nil {
		return nil, err
	}
	if err := e.checkHead(resp, req.ID, to); err != nil {
		return nil, err
	}
	body, err := e.readAll(resp, maxResponseBytes)
	if err != nil {
		return nil, lostBeforeBody(err, len(body) == 0 || resp.Status >= http.StatusMultipleChoices)
	}
	return &engine.Response{Status: resp.Status, Header: resp.Header, Body: body, Tokens: usedTokens(body)}, nil
}

// Open implements engine.Engine.
//
// The stream's Close cancels the request at the engine unless the response is
// complete or Next has failed while the context was alive. After such a failure
// the request can be resumed; a caller that does not resume it must call Cancel.
func (e *Engine) Open(ctx context.Context, to engine.Target, req engine.Request) (engine.Stream, error) {
	streamContext, cancel := context.WithCancel(ctx)
	s, err := e.open(streamContext, to, &req)
	if err != nil {
		cancel()
		return nil, e.resumeError(err, &req)
	}
	s.cancel, s.openDone = cancel, ctx.Done()
	return s, nil
}

// resumeError replaces a "not run" of an attempt to resume: that attempt did not
// run, but the request did, as the events received before show.
func (e *Engine) resumeError(err error, req *engine.Request) error {
	if req.ResumeFrom == 0 || resultcode.Of(err).Info().Run != resultcode.NotRun || e.faults.resumeNotRun {
		return err
	}
	return resultcode.Wrap(resultcode.StreamBroken, err, "the stream broke after %d events and was not resumed", req.ResumeFrom)
}

func (e *Engine) open(ctx context.Context, to engine.Target, req *engine.Request) (*stream, error) {
	resp, err := e.client.Do(ctx, streamRequest(to, req))
	if err != nil {
		return nil, err
	}
	if err := e.checkHead(resp, req.ID, to); err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, e.streamRefusedError(resp, req, to)
	}
	if !isEventStream(resp.Header) {
		resp.Body.Discard()
		return nil, resultcode.New(resultcode.AnswerMismatch, "%s responded to a stream request without an event stream", to.Name)
	}
	if req.ResumeFrom > 0 && req.Incarnation != "" && resp.Header.Get(exchange.HeaderIncarnation) != req.Incarnation {
		resp.Body.Discard()
		e.cancelAsync(to, req.ID)
		return nil, resultcode.New(resultcode.StreamBroken, "%s has restarted since the stream began", to.Name)
	}
	return newStream(ctx, e, to, req, resp), nil
}

// Cancel implements engine.Engine. It succeeds if the engine does not know the
// request, because then the request is not running there.
func (e *Engine) Cancel(ctx context.Context, to engine.Target, id string) error {
	resp, body, err := e.doSmall(ctx, to, http.MethodDelete, requestTarget(id), nil)
	if err != nil {
		return err
	}
	if resp.Status >= http.StatusMultipleChoices && resp.Status != http.StatusNotFound {
		return unexpectedStatusError(to, resp.Status, body)
	}
	return nil
}

// cancelAsync cancels a request in the background.
func (e *Engine) cancelAsync(to engine.Target, id string) {
	select {
	case e.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		// If this fails, the engine notices the closed connection, only later.
		_ = e.Cancel(ctx, to, id)
	}()
}

// doSmall performs an exchange with a small response and reads its body. Its identifier
// differs from those of requests and orders, which share the connections.
func (e *Engine) doSmall(ctx context.Context, to engine.Target, method, target string, body []byte) (*exchange.Response, []byte, error) {
	req := &exchange.Request{Address: to.Address, Method: method, Target: target, Body: body, IdleTimeout: reportTimeout, MayReuse: exchange.NamesRequest}
	id := "control-" + strconv.FormatUint(e.controlCalls.Add(1), 10)
	req.Header = http.Header{"Accept": {"application/json"}, exchange.HeaderRequestID: {id}}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := e.client.Do(ctx, req)
	if err != nil {
		return nil, nil, err
	}
	if err := e.checkIdentity(resp, id, to); err != nil {
		return nil, nil, err
	}
	out, err := e.readAll(resp, maxReportBytes)
	return resp, out, err
}

func inferenceRequest(to engine.Target, req *engine.Request) *exchange.Request {
	h := make(http.Header, 4)
	h.Set("Content-Type", "application/json")
	h.Set(exchange.HeaderRequestID, req.ID)
	h.Set(exchange.HeaderPriority, strconv.FormatInt(int64(req.Priority), 10))
	return &exchange.Request{
		Address:         to.Address,
		MayReuse:        exchange.NamesRequest,
		ID:              req.ID,
		Method:          http.MethodPost,
		Target:          req.Path,
		Header:          h,
		Body:            req.Body,
		IdleTimeout:     req.IdleTimeout,
		FreshConnection: req.FreshConnection,
	}
}

// streamRequest returns the request that opens a stream, or that resumes one after
// the events that were already received.
func streamRequest(to engine.Target, req *engine.Request) *exchange.Request {
	out := inferenceRequest(to, req)
	out.Header.Set("Accept", "text/event-stream")
	if req.ResumeFrom > 0 {
		out.Method = http.MethodGet
		out.Target = requestTarget(req.ID) + "/stream?from=" + strconv.Itoa(req.ResumeFrom)
		out.Body = nil
		out.Header.Del("Content-Type")
	}
	return out
}

func requestTarget(id string) string { return "/v1/requests/" + url.PathEscape(id) }

// checkHead verifies that the response belongs to the request and returns an error
// for a "not run".
func (e *Engine) checkHead(resp *exchange.Response, id string, to engine.Target) error {
	if err := e.checkIdentity(resp, id, to); err != nil {
		return err
	}
	if resp.Header.Get(exchange.HeaderRunState) != exchange.RunStateNotRun {
		return nil
	}
	// Without the echo the refusal could belong to another request.
	if resp.Header.Get(exchange.HeaderRequestID) != id && !e.faults.trustAnyRefusal {
		resp.Body.Discard()
		return resultcode.New(resultcode.EndpointLost, "%s refused a request without echoing its identifier", to.Name)
	}
	return e.refusedError(resp, to)
}

// checkIdentity returns an error if the response names another request.
func (e *Engine) checkIdentity(resp *exchange.Response, id string, to engine.Target) error {
	echoed := resp.Header.Get(exchange.HeaderRequestID)
	if echoed == "" || echoed == id || e.faults.skipIdentity {
		return nil
	}
	resp.Body.Discard()
	return resultcode.New(resultcode.AnswerMismatch, "%s responded to request %q instead of %q", to.Name, echoed, id)
}

// refusedError returns the error for a request that the engine did not run.
func (e *Engine) refusedError(resp *exchange.Response, to engine.Target) error {
	body, err := e.readAll(resp, maxReportBytes)
	if err != nil {
		body = nil
	}
	code := resultcode.EndpointRefused
	if isRequestFault(resp.Status) {
		code = resultcode.BadRequest
	}
	out := resultcode.New(code, "%s refused the request: status %d %s", to.Name, resp.Status, errorType(body))
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		out.RetryAfter = time.Duration(s) * time.Second
	}
	return out
}

// isRequestFault reports whether the request itself is the cause of the status, so
// that another endpoint would refuse it as well.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// streamRefusedError returns the error for a stream request whose status is not
// OK.
func (e *Engine) streamRefusedError(resp *exchange.Response, req *engine.Request, to engine.Target) error {
	body, err := e.readAll(resp, maxReportBytes)
	if err != nil {
		return lostBeforeBody(err, true)
	}
	if req.ResumeFrom > 0 {
		return resultcode.New(resultcode.StreamBroken, "%s cannot resume the stream: status %d %s", to.Name, resp.Status, errorType(body))
	}
	return unexpectedStatusError(to, resp.Status, body)
}

// unexpectedStatusError returns the error for a response that does not state
// whether the request ran.
func unexpectedStatusError(to engine.Target, status int, body []byte) error {
	return resultcode.New(resultcode.EndpointLost, "%s returned the unexpected status %d %s", to.Name, status, errorType(body))
}

// lostBeforeBody weakens "ran" to "may have run" if no part of a successful
// response body was received.
func lostBeforeBody(err error, nothingSeen bool) error {
	if nothingSeen && resultcode.Of(err) == resultcode.AnswerIncomplete {
		return resultcode.Wrap(resultcode.EndpointLost, err, "the connection failed before the response body")
	}
	return err
}

// readAll reads the complete body and releases the exchange.
func (e *Engine) readAll(resp *exchange.Response, limit int) ([]byte, error) {
	defer resp.Body.Close() // never fails
	if resp.ContentLength > int64(limit) {
		return nil, resultcode.New(resultcode.AnswerIncomplete, "the response is larger than %d bytes", limit)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(min(int(resp.ContentLength), maxAnnouncedBytes) + bytes.MinRead)
	}
	body := &countedReader{body: io.LimitReader(resp.Body, int64(limit)+1), total: &e.reading}
	defer body.release()
	n, err := buf.ReadFrom(body)
	if err == nil && n > int64(limit) {
		err = resultcode.New(resultcode.AnswerIncomplete, "the response is larger than %d bytes", limit)
	}
	return buf.Bytes(), err
}

// countedReader counts the bytes of a body that is being read in the total of all bodies.
type countedReader struct {
	body    io.Reader
	total   *atomic.Int64
	counted int64
}

// Read implements io.Reader. It fails if the total exceeds maxReadingBytes.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.counted += int64(n)
	if r.total.Add(int64(n)) > maxReadingBytes {
		return n, resultcode.New(resultcode.AnswerIncomplete, "responses that are being read exceed %d bytes", maxReadingBytes)
	}
	return n, err
}

// release takes the body out of the total.
func (r *countedReader) release() { r.total.Add(-r.counted) }

// errorType returns the error type of a JSON error body. The type is safe to log,
// while the message could quote the request.
func errorType(body []byte) string {
	var doc struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	const maxType = 64
	if json.Unmarshal(body, &doc) != nil || len(doc.Error.Type) > maxType {
		return ""
	}
	return doc.Error.Type
}

// usedTokens returns usage.total_tokens of a response body, or zero.
func usedTokens(body []byte) int {
	var doc struct {
		Usage struct {
			Total int `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &doc); err != nil && !errors.As(err, new(*json.UnmarshalTypeError)) {
		return 0
	}
	return doc.Usage.Total
}

package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context, to engine.Target) (*engine.Load, error) {
	var doc enginejson.LoadReport
	if err := e.getReport(ctx, to, "/v1/load", &doc); err != nil {
		return nil, err
	}
	return doc.Load(), nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, to engine.Target, after uint64) ([]engine.CacheEvent, error) {
	var doc enginejson.CacheReport
	target := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := e.getReport(ctx, to, target, &doc); err != nil {
		return nil, err
	}
	out := make([]engine.CacheEvent, 0, len(doc.Events))
	for _, ev := range doc.Events {
		out = append(out, engine.CacheEvent(ev))
	}
	return out, nil
}

// getReport fetches a JSON report and decodes it into into.
func (e *Engine) getReport(ctx context.Context, to engine.Target, target string, into any) error {
	resp, body, err := e.doSmall(ctx, to, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return unexpectedStatusError(to, resp.Status, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return resultcode.Wrap(resultcode.AnswerMismatch, err, "%s sent a malformed report", to.Name)
	}
	return nil
}

// Order implements engine.Engine. The engine responds after it has executed the
// order, so the idle timeout is based on the order's lifetime; ctx bounds the
// call.
func (e *Engine) Order(ctx context.Context, to engine.Target, o engine.Order) error {
	body, err := json.Marshal(enginejson.OrderDocument{
		ID: o.ID, FencingToken: o.FencingToken, LifetimeMS: o.Lifetime.Milliseconds(),
		Kind: enginejson.KindName(o.Kind), Model: o.Model, Version: o.Version,
		Adapter: o.Adapter, Role: o.Role, MemoryMB: o.MemoryMB,
	})
	if err != nil {
		return resultcode.Wrap(resultcode.Internal, err, "encode order %d", o.ID)
	}
	id := strconv.FormatUint(o.ID, 10)
	resp, err := e.client.Do(ctx, &exchange.Request{
		Address: to.Address, Method: http.MethodPost, Target: "/v1/orders", Body: body,
		Header:      http.Header{"Content-Type": {"application/json"}, exchange.HeaderRequestID: {id}},
		IdleTimeout: o.Lifetime + reportTimeout,
		// Sending an order again is safe because it has the same ID, but on a stale
		// connection it takes long to find out whether the first one arrived.
		FreshConnection: true, MayReuse: exchange.NamesRequest,
	})
	if err != nil {
		return err
	}
	return e.orderOutcome(resp, id, to)
}

func (e *Engine) orderOutcome(resp *exchange.Response, id string, to engine.Target) error {
	if err := e.checkIdentity(resp, id, to); err != nil {
		return err
	}
	body, err := e.readAll(resp, maxReportBytes)
	if err != nil {
		return lostBeforeBody(err, true)
	}
	if resp.Status == http.StatusOK {
		return nil
	}
	if resp.Header.Get(exchange.HeaderRunState) != exchange.RunStateNotRun {
		return unexpectedStatusError(to, resp.Status, body)
	}
	return orderRefusedError(to, resp.Status, errorType(body))
}

func orderRefusedError(to engine.Target, status int, kind string) error {
	switch kind {
	case enginejson.OrderFencingTokenOld:
		return resultcode.New(resultcode.FencingTokenOld, "%s has seen a newer fencing token", to.Name)
	case enginejson.OrderOutOfMemory:
		return resultcode.New(resultcode.MemoryOvercommitted, "%s does not have enough memory", to.Name)
	default:
		return resultcode.New(resultcode.EndpointRefused, "%s refused the order: status %d %s", to.Name, status, kind)
	}
}

// ExportKV implements engine.Engine.
func (e *Engine) ExportKV(ctx context.Context, to engine.Target, id string) (io.ReadCloser, error) {
	resp, err := e.client.Do(ctx, &exchange.Request{
		Address: to.Address, ID: id, Method: http.MethodGet, Target: kvTarget(id),
		Header:   http.Header{"Accept": {"application/octet-stream"}, exchange.HeaderRequestID: {id}},
		MayReuse: exchange.NamesRequest,
	})
	if err != nil {
		return nil, err
	}
	if err := e.checkHead(resp, id, to); err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		body, _ := e.readAll(resp, maxReportBytes)
		return nil, unexpectedStatusError(to, resp.Status, body)
	}
	return resp.Body, nil
}

// ImportKV implements engine.Engine.
func (e *Engine) ImportKV(ctx context.Context, to engine.Target, id string, kv io.Reader) error {
	resp, err := e.client.Do(ctx, &exchange.Request{
		Address: to.Address, ID: id, Method: http.MethodPut, Target: kvTarget(id), BodyReader: kv,
		Header:   http.Header{"Content-Type": {"application/octet-stream"}, exchange.HeaderRequestID: {id}},
		MayReuse: exchange.NamesRequest,
	})
	if err != nil {
		return err
	}
	if err := e.checkHead(resp, id, to); err != nil {
		return err
	}
	body, err := e.readAll(resp, maxReportBytes)
	if err != nil {
		return err
	}
	if resp.Status >= http.StatusMultipleChoices {
		return unexpectedStatusError(to, resp.Status, body)
	}
	return nil
}

func kvTarget(id string) string { return "/v1/kv/" + requestTarget(id)[len("/v1/requests/"):] }

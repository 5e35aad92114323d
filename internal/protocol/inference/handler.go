// Package inference serves callers: the usual inference HTTP API with
// server-sent events, and plain service routes.
//
// The handler parses a request, selects its route, extracts its key, removes
// every key source, and passes the request to package entry through the Server
// interface. The entry checks the key and the customer's limits and chooses the
// endpoint. Only the list of models is served, and its key checked, here.
package inference

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/refusal"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// HeaderRoute selects a route by name.
const HeaderRoute = "Radishloom-Route"

// Paths of the inference API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
)

const (
	defaultMaxBodyBytes    = 4 << 20
	defaultBodyMemoryBytes = 64 << 20
	defaultMaxTokens       = 1024
	maxRequestIDBytes      = 128
	maxIdempotencyKeyLen   = 255
)

// Server serves one parsed request. *entry.Server implements it.
type Server interface {
	// Serve returns nil once the whole response was written, otherwise a
	// *resultcode.Error. Nothing is written before Start.
	Serve(ctx context.Context, r *entry.Request, w entry.ResponseWriter) error
}

// Routes is one version of the look-up tables. *config.Index implements it.
type Routes interface {
	Config() *statev1.Config
	Model(name string) *statev1.Model
	Route(name string) *statev1.Route
	RouteForPath(path string) *statev1.Route
	RouteForModel(model string) *statev1.Route
	Authenticate(secret string) (*statev1.Key, bool)
}

// Options configures a Handler.
type Options struct {
	Server Server
	// Routes returns the current version, or a nil interface before the first
	// one.
	Routes func() Routes
	// Fresh reports whether the fleet state is current, so that all withdrawn keys
	// are known. While it is not, a request for the list of models with a key is
	// refused. Nil skips the check.
	Fresh func() bool
	// MaxBodyBytes bounds a body if its route sets no bound.
	MaxBodyBytes int64
	// BodyMemoryBytes bounds the total memory of the bodies of all open requests.
	BodyMemoryBytes int64
	// MaxOpenRequests bounds the open requests, counted from their headers on; zero
	// means no bound. The entry has a bound of its own, which counts a request only
	// once its body has arrived.
	MaxOpenRequests int64
	// DefaultMaxTokens applies to requests that set no maximum output.
	DefaultMaxTokens int
	// TrustForwardedFor keeps X-Forwarded-For and X-Forwarded-Proto as a load
	// balancer in front set them, and appends the peer to X-Forwarded-For.
	// Otherwise both fields are replaced.
	TrustForwardedFor bool
	Logger            *slog.Logger
}

// Handler is the http.Handler for callers. It is safe for concurrent use.
type Handler struct {
	opts   Options
	budget *Budget
	open   atomic.Int64
	faults faults
}

// faults are deliberate defects. Tests switch them on to prove that they detect
// them.
type faults struct {
	// keepKeys removes only Authorization and leaves the other key sources.
	keepKeys bool
	// doneAfterError ends a failed stream with the end marker.
	doneAfterError bool
	// endTruncatedBody ends a failed plain body as if it were complete.
	endTruncatedBody bool
}

// New returns a Handler.
func New(o Options) *Handler {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.BodyMemoryBytes <= 0 {
		o.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	if o.DefaultMaxTokens <= 0 {
		o.DefaultMaxTokens = defaultMaxTokens
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return &Handler{opts: o, budget: NewBudget(o.BodyMemoryBytes)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, unique := requestID(r.Header)
	defer h.open.Add(-1)
	if open := h.open.Add(1); h.opts.MaxOpenRequests > 0 && open > h.opts.MaxOpenRequests {
		h.refuse(w, id, resultcode.New(resultcode.VMOverloaded, "this VM has too many open requests"))
		return
	}
	req, release, err := h.parseRequest(w, r, id)
	defer release()
	if err != nil {
		code := refusal.FromError(err).Code
		h.opts.Logger.Info("request", "request_id", id, "code", int(code), "result", code.String())
		h.refuse(w, id, err)
		return
	}
	if req == nil { // parseRequest has responded
		return
	}
	req.ID = unique
	out := newResponder(w, req, id, h.faults)
	h.finishResponse(out, h.opts.Server.Serve(r.Context(), req, out))
}

// finishResponse ends a started response, or sends a refusal if none was
// started.
func (h *Handler) finishResponse(out *responder, err error) {
	if err == nil && !out.started {
		err = resultcode.New(resultcode.Internal, "the request ended without a response")
	}
	if err != nil && !out.started {
		h.refuse(out.w, out.id, err)
		return
	}
	out.finish(err)
}

func (h *Handler) refuse(w http.ResponseWriter, id string, err error) {
	e := refusal.FromError(err)
	if e.Code == resultcode.Internal {
		h.opts.Logger.Error("request failed", "request_id", id, "error", e)
	}
	refusal.Write(w, id, e)
}

// parseRequest returns the request for the entry, or nil if it has responded
// itself. The returned function releases the body's memory and is never nil.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request, id string) (*entry.Request, func(), error) {
	noRelease := func() {}
	routes := h.opts.Routes()
	if routes == nil {
		return nil, noRelease, resultcode.New(resultcode.NoFreshState, "this VM has no configuration yet")
	}
	if err := checkRequest(r); err != nil {
		return nil, noRelease, err
	}
	sel, err := selectRoute(routes, r)
	if err != nil {
		return nil, noRelease, err
	}
	if sel.kind == kindModels {
		return nil, noRelease, h.serveModels(w, r, id, routes, sel.route)
	}
	if err := checkMethod(w, r, sel.kind); err != nil {
		return nil, noRelease, err
	}
	return h.parseBody(r, id, routes, sel)
}

// parseBody reads the body and fills in the request. If the route is already
// known, a missing key is refused before the body is read.
func (h *Handler) parseBody(r *http.Request, id string, routes Routes, sel selection) (*entry.Request, func(), error) {
	noRelease := func() {}
	if sel.route != nil {
		if _, err := requireKey(sel.route, r); err != nil {
			return nil, noRelease, err
		}
	}
	body, release, err := h.readBody(r, h.bodyLimit(sel.route))
	if err != nil {
		return nil, release, err
	}
	req := &entry.Request{ID: id, Route: sel.route, Method: r.Method, Path: sel.path, Body: body}
	if sel.kind == kindInference {
		err = h.parseInference(req, routes)
	}
	if err == nil {
		err = h.fillRequest(req, r)
	}
	return req, release, err
}

func (h *Handler) bodyLimit(route *statev1.Route) int64 {
	if route == nil || route.GetMaxBodyBytes() == 0 {
		return h.opts.MaxBodyBytes
	}
	return int64(min(route.GetMaxBodyBytes(), 1<<62))
}

// parseInference parses the JSON body and selects the route by its model if
// neither the header nor the path selected one.
func (h *Handler) parseInference(req *entry.Request, routes Routes) error {
	doc, err := parseDocument(req.Body)
	if err != nil {
		return err
	}
	if req.Route == nil {
		req.Route = routeForName(routes, doc.model)
		if req.Route == nil {
			return resultcode.New(resultcode.ModelUnknown, "model %q is not configured", truncate(doc.model))
		}
		if limit := h.bodyLimit(req.Route); int64(len(req.Body)) > limit {
			return resultcode.New(resultcode.BodyTooLarge, "the request body exceeds %d bytes", limit)
		}
	}
	if !serves(routes, req.Route, doc.model) {
		return resultcode.New(resultcode.ModelUnknown, "route %q does not serve model %q", req.Route.GetName(), truncate(doc.model))
	}
	req.Model = doc.model
	req.Stream = doc.stream
	req.PromptTokens = doc.promptTokens
	req.MaxTokens = doc.outputTokens(h.opts.DefaultMaxTokens)
	return nil
}

// routeForName returns the route of the model with that name or with an adapter
// of that name, or nil.
func routeForName(routes Routes, name string) *statev1.Route {
	if route := routes.RouteForModel(name); route != nil {
		return route
	}
	for _, m := range routes.Config().GetModels() {
		route := routes.RouteForModel(m.GetName())
		if route != nil && serves(routes, route, name) {
			return route
		}
	}
	return nil
}

// serves reports whether name is the model of the route or one of its adapters.
func serves(routes Routes, route *statev1.Route, name string) bool {
	if name == route.GetModel() {
		return true
	}
	return slices.Contains(routes.Model(route.GetModel()).GetAdapters(), name)
}

// fillRequest sets the key, the idempotency key, and the header and query that
// endpoints may see.
func (h *Handler) fillRequest(req *entry.Request, r *http.Request) error {
	key, err := requireKey(req.Route, r)
	if err != nil {
		return err
	}
	req.Key = key
	req.IdempotencyKey = r.Header.Get(exchange.HeaderIdempotencyKey)
	req.Header, req.RawQuery = h.sanitize(r, req.Route)
	if key != "" && strings.Contains(req.Path, key) {
		return resultcode.New(resultcode.BadRequest, "the path must not contain the key")
	}
	return nil
}

// requestID returns the caller's identifier if it is safe to log and to send,
// otherwise a new one. The second value is for endpoints and logs. It has a
// random suffix, because engines resume and cancel requests by identifier and a
// caller may repeat its own or use that of another caller.
func requestID(h http.Header) (shown, unique string) {
	id := h.Get(exchange.HeaderRequestID)
	unsafe := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' || r == '\\' }
	if id != "" && len(id) <= maxRequestIDBytes && !strings.ContainsFunc(id, unsafe) {
		return id, id + "." + uuid.NewString()
	}
	made := uuid.NewString()
	return made, made
}

// truncate limits the length of request data that an error message quotes.
func truncate(s string) string {
	const limit = 64
	if len(s) > limit {
		return s[:limit]
	}
	return s
}

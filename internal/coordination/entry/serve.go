package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// defaultDeadline bounds a request whose profile states no deadline.
	defaultDeadline = 60 * time.Second
	// defaultSilence bounds the silence of an endpoint if the profile does not.
	defaultSilence = 10 * time.Second
)

// call is one request on its way.
type call struct {
	*Request
	index    Index
	route    *statev1.Route
	profile  *statev1.Profile
	customer *statev1.Customer // nil on open routes
	deadline time.Duration
	held     uint64
	charged  uint64
}

// Serve returns nil when the whole answer was written, else a
// *resultcode.Error. Before Start nothing was written.
func (s *Server) Serve(ctx context.Context, r *Request, w ResponseWriter) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.draining.Load() {
		return resultcode.New(resultcode.Draining, "this VM takes no new requests")
	}
	c, err := s.prepare(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline-s.now())
	defer cancel()
	if err := s.hold(ctx, c); err != nil {
		return err
	}
	defer s.releaseHold(c)
	return s.run(ctx, c, w)
}

// prepare authenticates the request and resolves its route and profile.
func (s *Server) prepare(r *Request) (*call, error) {
	index := s.replica.Index()
	if index == nil {
		return nil, resultcode.New(resultcode.NoFreshState, "no configuration received yet")
	}
	if r.Route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "the request has no route")
	}
	c := &call{Request: r, index: index, route: index.Route(r.Route.Name)}
	if c.route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "route %q was removed", r.Route.Name)
	}
	if err := s.authenticate(c); err != nil {
		return nil, err
	}
	c.profile = index.Profile(c.route.Profile)
	if c.profile == nil {
		c.profile = &statev1.Profile{}
	}
	deadline := time.Duration(c.profile.DeadlineMs) * time.Millisecond
	if deadline == 0 {
		deadline = defaultDeadline
	}
	c.deadline = s.now() + deadline
	return c, nil
}

func (s *Server) authenticate(c *call) error {
	if c.route.Open {
		return nil
	}
	if !s.replica.Fresh() {
		return resultcode.New(resultcode.NoFreshState, "the freshness lease has expired")
	}
	if c.Key == "" {
		return resultcode.New(resultcode.KeyMissing, "route %q needs a key", c.route.Name)
	}
	key, ok := c.index.Authenticate(c.Key)
	if !ok {
		return resultcode.New(resultcode.KeyUnknown, "the key is not known")
	}
	c.customer = c.index.Customer(key.Customer)
	if c.customer == nil {
		return resultcode.New(resultcode.KeyUnknown, "the key's customer is not configured")
	}
	return nil
}

// hold reserves the tokens of a model request.
func (s *Server) hold(ctx context.Context, c *call) error {
	if c.customer == nil || c.route.Kind != statev1.RouteKind_ROUTE_KIND_MODEL {
		return nil
	}
	need := uint64(c.PromptTokens + c.MaxTokens)
	if need > c.customer.BurstTokens {
		return resultcode.New(resultcode.LargerThanBurst, "%d tokens exceed the burst of %d", need, c.customer.BurstTokens)
	}
	for {
		arrived := s.replica.TokensArrived()
		if s.replica.Hold(c.customer.Name, need) {
			c.held = need
			return nil
		}
		s.replica.Want(c.customer.Name, need)
		select {
		case <-arrived:
		case <-ctx.Done():
			return resultcode.New(resultcode.RateExceeded, "no tokens before the deadline")
		}
	}
}

func (s *Server) releaseHold(c *call) {
	if c.held > 0 {
		s.replica.Release(c.customer.Name, c.held, c.charged)
	}
}

// charge turns held tokens into spent ones, never more than were held.
func (s *Server) charge(c *call, tokens uint64) {
	tokens = min(tokens, c.held-c.charged)
	if tokens == 0 {
		return
	}
	c.charged += tokens
	s.replica.Charge(c.customer.Name, tokens)
}

func (s *Server) candidates(c *call) []*statev1.Endpoint {
	if c.route.Kind == statev1.RouteKind_ROUTE_KIND_SERVICE {
		return c.index.Pool(c.route.Pool)
	}
	residency := s.replica.Residency()
	var out []*statev1.Endpoint
	for _, e := range c.index.Engines() {
		ready := e.PinnedModels
		if r := residency[e.Name]; r != nil {
			ready = r.ReadyModels
		}
		if slices.Contains(ready, c.route.Model) {
			out = append(out, e)
		}
	}
	return out
}

func (s *Server) run(ctx context.Context, c *call, w ResponseWriter) error {
	chosen, err := s.schedule.acquire(ctx, s.candidates(c))
	if err != nil {
		return err
	}
	defer s.schedule.release(chosen.Name)
	if err := s.recheck(c); err != nil {
		return err
	}
	to := engine.Target{Name: chosen.Name, Address: chosen.Address}
	switch {
	case c.route.Kind == statev1.RouteKind_ROUTE_KIND_SERVICE:
		return s.service(ctx, c, to, w)
	case c.Stream:
		return s.stream(ctx, c, to, w)
	default:
		return s.whole(ctx, c, to, w)
	}
}

// recheck repeats the checks of admission right before a send.
func (s *Server) recheck(c *call) error {
	if c.route.Open {
		return nil
	}
	if !s.replica.Fresh() {
		return resultcode.New(resultcode.NoFreshState, "the freshness lease has expired")
	}
	key, ok := s.replica.Index().Authenticate(c.Key)
	if !ok || key.Customer != c.customer.Name {
		return resultcode.New(resultcode.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

func (c *call) silence() time.Duration {
	if c.profile.SilenceMs == 0 {
		return defaultSilence
	}
	return time.Duration(c.profile.SilenceMs) * time.Millisecond
}

func (c *call) engineRequest() engine.Request {
	return engine.Request{
		ID: c.ID, Path: c.Path, Body: c.Body, Priority: c.profile.Priority, Stream: c.Stream,
		Silence: c.silence(), FreshConnection: !c.route.Idempotent,
	}
}

func (s *Server) whole(ctx context.Context, c *call, to engine.Target, w ResponseWriter) error {
	answer, err := s.config.Engine.Do(ctx, to, c.engineRequest())
	if err != nil {
		return refusal(err)
	}
	if answer.Tokens > 0 {
		s.charge(c, uint64(answer.Tokens))
	} else {
		s.charge(c, c.held)
	}
	if err := w.Start(answer.Status, answer.Header); err != nil {
		return callerGone(err)
	}
	if err := w.Write(answer.Body); err != nil {
		return callerGone(err)
	}
	return nil
}

func (s *Server) stream(ctx context.Context, c *call, to engine.Target, w ResponseWriter) error {
	stream, err := s.config.Engine.Open(ctx, to, c.engineRequest())
	if err != nil {
		return refusal(err)
	}
	defer stream.Close()
	started := false
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			return refusal(err)
		}
		if !started {
			started = true
			s.charge(c, uint64(c.PromptTokens))
			if err := w.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}); err != nil {
				return callerGone(err)
			}
		}
		s.charge(c, uint64(event.Tokens))
		if event.Final {
			return nil
		}
		if err := w.Event(event.Data); err != nil {
			return callerGone(err)
		}
	}
}

func (s *Server) service(ctx context.Context, c *call, to engine.Target, w ResponseWriter) error {
	answer, err := s.config.Service.Do(ctx, to, engine.ServiceRequest{
		ID: c.ID, Method: c.Method, Path: c.Path, RawQuery: c.RawQuery, Header: c.Header, Body: c.Body,
		Silence: c.silence(), FreshConnection: !c.route.Idempotent,
	})
	if err != nil {
		return refusal(err)
	}
	defer answer.Body.Close()
	if err := w.Start(answer.Status, answer.Header); err != nil {
		return callerGone(err)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := w.Write(buffer[:n]); err != nil {
				return callerGone(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return refusal(err)
		}
	}
}

// refusal returns err as a *resultcode.Error.
func refusal(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return e
	}
	return resultcode.Wrap(resultcode.Internal, err, "unexpected failure")
}

func callerGone(err error) error {
	return resultcode.Wrap(resultcode.CallerGone, err, "the caller stopped reading")
}

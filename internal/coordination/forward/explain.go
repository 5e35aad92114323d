package forward

import (
	"fmt"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// ExplainRequest describes a request that is not sent. Either Route or Service is
// needed. A zero Deadline means the timeout of the route.
type ExplainRequest struct {
	Route, Service, Model, Adapter, Customer string
	PromptTokens, OutputTokens               int
	Deadline                                 time.Duration
}

// Explanation says where a request would go now, and why.
type Explanation struct {
	pool.Explanation
	Route, Service string
	Draining       bool
	// Catalog is the version of the catalog, and StateAge the time since the last
	// response of a control VM.
	Catalog  uint64
	StateAge time.Duration
	// Wait is how long the request may wait for a slot.
	Wait time.Duration
}

// ExplainError reports an ExplainRequest that cannot be explained.
type ExplainError struct{ text string }

// Error implements error.
func (e *ExplainError) Error() string { return e.text }

func explainErrorf(format string, args ...any) *ExplainError {
	return &ExplainError{fmt.Sprintf(format, args...)}
}

// Explain explains the decision on a request that this entry would receive now. It
// takes no slot and no part of a limit, and counts no demand.
func (s *Server) Explain(r ExplainRequest) (Explanation, error) {
	x := s.index.Load()
	if x == nil {
		return Explanation{}, resultcode.New(resultcode.NoFreshState, "this VM has not received a catalog yet")
	}
	c, err := s.explainedCall(x, r)
	if err != nil {
		return Explanation{}, err
	}
	c.query = c.newQuery()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := Explanation{Route: c.route.Name, Service: c.service.Name, Draining: s.isDraining(), Catalog: x.Version(), StateAge: now - s.mu.buckets.lastContact}
	until := c.queueDeadline(now)
	out.Wait = until - now
	out.Explanation = s.mu.entry.Explain(now, &c.query, c.grantTarget(), until, &s.mu.queue)
	c.explainRefusal(now, &out)
	return out, nil
}

// explainedCall returns the call that the request would be.
func (s *Server) explainedCall(x *catalog.Index, r ExplainRequest) (*call, error) {
	c := &call{server: s, index: x, arrived: s.now(), req: &Request{
		Model: r.Model, Adapter: r.Adapter, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, HasTokens: r.PromptTokens+r.OutputTokens > 0,
	}}
	var err error
	if c.route, c.service, err = explainedRoute(x, r); err != nil {
		return nil, err
	}
	if r.Customer != "" {
		if c.customer = x.Customer(r.Customer); c.customer == nil {
			return nil, explainErrorf("no customer %q in catalog version %d", r.Customer, x.Version())
		}
	}
	switch {
	case c.service.Engine == nil && r.Model+r.Adapter != "":
		return nil, explainErrorf("service %q has no models", c.service.Name)
	case c.service.Engine != nil && x.Model(r.Model) == nil:
		return nil, explainErrorf("no model %q in catalog version %d", r.Model, x.Version())
	}
	c.deadline = c.arrived + c.route.Timeout
	if r.Deadline > 0 {
		c.deadline = min(c.deadline, c.arrived+r.Deadline)
	}
	return c, nil
}

// explainedRoute returns the route and the service of a request: the named ones, or
// the first route to the service, or the first service of the route.
func explainedRoute(x *catalog.Index, r ExplainRequest) (*catalog.Route, *catalog.Service, error) {
	if r.Route+r.Service == "" {
		return nil, nil, explainErrorf("neither a route nor a service is given")
	}
	routes := x.Catalog().Routes
	for i := range routes {
		if r.Route != "" && routes[i].Name != r.Route {
			continue
		}
		for _, split := range routes[i].Splits {
			if split.Weight > 0 && (r.Service == "" || split.Service == r.Service) && x.Service(split.Service) != nil {
				return &routes[i], x.Service(split.Service), nil
			}
		}
	}
	return nil, nil, explainErrorf("no route %q to service %q in catalog version %d", r.Route, r.Service, x.Version())
}

// explainRefusal completes the refusal by what this entry decides itself.
func (c *call) explainRefusal(now time.Duration, out *Explanation) {
	if c.customer != nil {
		cost := c.customer.Cost(c.req.PromptTokens+c.req.OutputTokens, c.req.HasTokens)
		if ok, wait := c.server.mu.buckets.Check(now, c.customer, cost); !ok {
			out.Refusal, out.RetryMin, out.RetryMax = resultcode.RateExceeded, wait, wait
			return
		}
	}
	switch {
	case out.Refusal == resultcode.DeadlineTooClose && out.RetryMax > 0:
		out.RetryMin, out.RetryMax = pool.RetryRange(out.RetryMin, out.RetryMax, c.deadline-now)
	case out.Refusal == resultcode.NoEndpoint && c.query.Model == "":
		out.RetryMin, out.RetryMax = evacuatedRetryAfter, evacuatedRetryAfter+evacuatedRetrySpread
	}
}

package entry

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/quarantine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

// admit checks a request and counts it as open. If it returns an error, the request
// is not counted and nothing was sent.
func (s *Server) admit(r *Request) (*call, error) {
	if s.draining.Load() {
		return nil, resultcode.New(resultcode.Draining, "this VM is draining and accepts no new requests")
	}
	c, err := s.resolve(r)
	if err != nil {
		return nil, err
	}
	if err := s.checkStop(c); err != nil {
		return nil, err
	}
	if err := s.checkQuarantine(c); err != nil {
		return nil, err
	}
	limit := cmp.Or(int(c.customer.GetMaxOpenRequests()), s.config.MaxOpenPerCustomer)
	code := s.schedule.startRequest(c.customerName(), limit, c.profile.Priority)
	if code != resultcode.OK {
		return nil, resultcode.New(code, "too many open requests on this VM")
	}
	return c, nil
}

// checkStop refuses a request that the stop of the process might cut off. While new
// connections are accepted, a request that its caller can repeat without harm is taken.
func (s *Server) checkStop(c *call) error {
	stop := s.stop.Load()
	if stop == nil || c.deadline <= stop.end {
		return nil
	}
	repeatable := c.route.Idempotent || c.IdempotencyKey != ""
	if repeatable && c.arrived < stop.closed {
		return nil
	}
	return resultcode.New(resultcode.Draining, "this VM stops in %d ms, before the request's deadline", (stop.end - c.arrived).Milliseconds())
}

// resolve authenticates the request and looks up its route, profile and group.
func (s *Server) resolve(r *Request) (*call, error) {
	index := s.replica.Index()
	if index == nil {
		return nil, resultcode.New(resultcode.NoFreshState, "no configuration received yet")
	}
	if s.configuredVersion.Load() < index.Version() {
		s.reconfigure()
	}
	if r.Route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "no route matches the request")
	}
	c := &call{Request: r, index: index, arrived: s.now(), withdrawn: make(chan struct{})}
	c.route = index.Route(r.Route.Name)
	if c.route == nil {
		return nil, resultcode.New(resultcode.NoRoute, "route %q is no longer configured", r.Route.Name)
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
	c.deadline = c.arrived + deadline
	if err := c.resolveTarget(); err != nil {
		return c, err
	}
	c.suspect = c.identity()
	return c, nil
}

// resolveTarget sets the pool and the group of endpoints that can serve the request.
func (c *call) resolveTarget() error {
	if !c.route.Idempotent && c.route.RequireIdempotencyKey && c.IdempotencyKey == "" {
		return resultcode.New(resultcode.IdempotencyKeyRequired, "route %q requires an idempotency key", c.route.Name)
	}
	if !c.model() {
		c.pool, c.group = "service:"+c.route.Pool, "service:"+c.route.Pool
		return nil
	}
	if c.PromptTokens < 0 || c.MaxTokens < 0 {
		return resultcode.New(resultcode.BadRequest, "token counts must not be negative")
	}
	c.pool, c.group = modelPool, modelGroup(c.route.Model)
	if c.Model != "" && c.Model != c.route.Model {
		m := c.index.Model(c.route.Model)
		if m == nil || !slices.Contains(m.Adapters, c.Model) {
			return resultcode.New(resultcode.ModelUnknown, "route %q does not serve model %q", c.route.Name, c.Model)
		}
		c.adapter = c.Model
	}
	c.prefixes = routing.Prefixes(c.Body)
	return nil
}

func modelGroup(model string) string { return "model:" + model }

func (s *Server) authenticate(c *call) error {
	if c.route.Open {
		return nil
	}
	if !s.replica.Fresh() {
		return resultcode.New(resultcode.NoFreshState, "the freshness lease has expired")
	}
	if c.Key == "" {
		return resultcode.New(resultcode.KeyMissing, "route %q requires a key", c.route.Name)
	}
	key, ok := c.index.Authenticate(c.Key)
	if !ok {
		return resultcode.New(resultcode.KeyUnknown, "the key is unknown")
	}
	c.customer = c.index.Customer(key.Customer)
	if c.customer == nil {
		return resultcode.New(resultcode.KeyUnknown, "the key's customer is not configured")
	}
	return nil
}

// recheck repeats the check of the key and the freshness lease right before a send.
func (s *Server) recheck(c *call) error {
	if c.route.Open || s.faults.skipRecheck {
		return nil
	}
	if !s.replica.Fresh() {
		return resultcode.New(resultcode.NoFreshState, "the freshness lease has expired")
	}
	if !s.keyValid(c, s.replica.Index()) {
		return resultcode.New(resultcode.KeyWithdrawn, "the key was withdrawn")
	}
	return nil
}

// keyValid reports whether the key of the request still belongs to the customer that
// the request was admitted for.
func (s *Server) keyValid(c *call, index *config.Index) bool {
	if index == nil {
		return false
	}
	key, ok := index.Authenticate(c.Key)
	return ok && key.Customer == c.customer.Name
}

// identity returns what crashes are counted for.
func (c *call) identity() quarantine.Identity {
	if c.model() {
		return quarantine.PromptIdentity(c.customerName(), c.route.Name, c.Body)
	}
	// Service requests without a body would otherwise share one fingerprint.
	name := strings.Join([]string{c.route.Name, c.Method, c.Path, c.RawQuery}, "\x00")
	return quarantine.RequestIdentity(c.customerName(), name, c.Body)
}

// checkQuarantine sets the verdict, and refuses requests that have crashed endpoints.
func (s *Server) checkQuarantine(c *call) error {
	s.suspects.mu.Lock()
	c.verdict = s.suspects.tracker.Judge(c.suspect)
	c.needsIdleEndpoint = s.suspects.tracker.NeedsIdleEndpoint(c.suspect)
	s.suspects.mu.Unlock()
	if c.verdict == quarantine.Refused {
		return errCrashes()
	}
	return nil
}

// recheckQuarantine refuses a request that reached the limit of crashes while it waited
// for an endpoint.
func (s *Server) recheckQuarantine(c *call) error {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	if s.suspects.tracker.Judge(c.suspect) == quarantine.Refused {
		return errCrashes()
	}
	return nil
}

func errCrashes() error {
	return resultcode.New(resultcode.RequestCrashes, "this request, or others whose prompt begins like this one, repeatedly crashed endpoints")
}

func containsFold(list []string, name string) bool {
	return slices.ContainsFunc(list, func(s string) bool { return strings.EqualFold(s, name) })
}

// stripQuery removes parameters by their decoded names and leaves the others
// unchanged, including their encoding.
func stripQuery(raw string, names []string) string {
	if raw == "" || len(names) == 0 {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		name, _, _ := strings.Cut(part, "=")
		if decoded, err := url.QueryUnescape(name); err == nil {
			name = decoded
		}
		if !slices.Contains(names, name) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

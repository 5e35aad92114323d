package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// admit finds route and customer, reads the body and charges the request.
func (c *call) admit(r *http.Request) *resultcode.Error {
	c.index = c.server.index.Load()
	if c.index == nil {
		return resultcode.New(resultcode.NoFreshState, "this VM has no catalog yet")
	}
	if c.route = c.index.Route(c.req.Host, c.req.Path); c.route == nil {
		return resultcode.New(resultcode.NoRoute, "no route for host %q and path %q in version %d", c.req.Host, c.req.Path, c.index.Version())
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.readBody(r); err != nil {
		return err
	}
	c.deadline = c.arrived + c.route.Timeout
	if c.req.Timeout > 0 {
		c.deadline = min(c.deadline, c.arrived+c.req.Timeout)
	}
	c.service = c.index.Service(c.route.Choose(rand.Float64()))
	c.query = c.newQuery()
	if err := c.checkSuspects(); err != nil {
		return err
	}
	return c.charge()
}

func (c *call) authenticate() *resultcode.Error {
	if c.req.Key != "" {
		c.customer = c.index.Authenticate(c.req.Key)
	}
	if c.route.Public || len(c.index.Catalog().Customers) == 0 || c.customer != nil {
		return nil
	}
	if c.req.Key == "" {
		return resultcode.New(resultcode.KeyMissing, "route %q needs a key", c.route.Name)
	}
	return resultcode.New(resultcode.KeyUnknown, "the key belongs to no customer in version %d", c.index.Version())
}

func (c *call) readBody(r *http.Request) *resultcode.Error {
	limit := c.index.Catalog().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, r.Body, limit))
	var large *http.MaxBytesError
	var coded *resultcode.Error
	switch {
	case err == nil:
		c.req.Body = body
		return nil
	case errors.As(err, &large):
		return resultcode.New(resultcode.BodyTooLarge, "the body has more than %d bytes", limit)
	case errors.As(err, &coded):
		return coded
	default:
		return resultcode.Wrap(resultcode.CallerGone, err, "the body did not arrive")
	}
}

// urgencyPerPriority spreads a customer's priority over the route's.
const (
	urgencyPerPriority = 3
	maxUrgency         = 9
)

func (c *call) newQuery() pool.Query {
	q := pool.Query{Service: c.service.Name, Overcommit: plainDepth, Urgency: min(maxUrgency, c.route.Priority)}
	if c.customer != nil {
		q.Urgency = min(maxUrgency, c.customer.Priority*urgencyPerPriority+min(c.route.Priority, urgencyPerPriority-1))
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter = c.req.Model, c.req.Adapter
		q.Affinity = pool.HashPrefix(q.Model, q.Adapter, partIDs(c.req.Prefix))
		q.PromptTokens, q.HeldTokens = c.engineTokens()
	}
	return q
}

func partIDs(parts []PromptPart) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.ID
	}
	return out
}

// engineTokens returns the tokens that an engine has to read for the request,
// and those that it holds until the end.
func (c *call) engineTokens() (prompt, held int) {
	if !c.req.HasTokens {
		return 1, 1
	}
	held = c.req.PromptTokens + c.expectedOutput()
	prompt = c.req.PromptTokens
	if n := len(c.req.Prefix); n > 1 {
		own := c.req.Prefix[n-1].Tokens
		prompt = own + int(sharedReads*float64(c.req.PromptTokens-own))
	}
	return max(1, prompt), held
}

// Work of an engine beside the reading of prompts, in prompt tokens.
const (
	// stepTokens is what an engine reads in the time of one step of its batch:
	// 8.2 ms of 25.8 tokens each, by the platform's page. The requests of a batch
	// share a step.
	stepTokens = 212
	// contextTokens is what a step takes longer for each request of its batch.
	contextTokens = 2
)

// engineWork is the work of the request in prompt tokens that an engine could
// read in the same time.
func (c *call) engineWork() uint64 {
	output := c.query.HeldTokens - c.req.PromptTokens
	perToken := contextTokens + stepTokens/max(1, c.service.Engine.Slots)
	return uint64(max(1, c.query.PromptTokens+perToken*output))
}

// expectedOutput returns the tokens that the request will probably generate.
func (c *call) expectedOutput() int {
	if n := c.req.ExpectedOutput; n > 0 {
		return min(n, c.req.OutputTokens)
	}
	return int(outputUse * float64(c.req.OutputTokens))
}

func (c *call) charge() *resultcode.Error {
	s := c.server
	tokens := c.req.PromptTokens + c.req.OutputTokens
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if c.customer != nil {
		c.cost = c.customer.Cost(tokens, c.req.HasTokens)
	}
	ok, wait := s.mu.buckets.Take(now, c.customer, c.cost)
	if !ok {
		err := resultcode.New(resultcode.RateExceeded, "customer %q has used its rate", c.customer.Name)
		err.RetryAfter = wait
		return err
	}
	s.mu.budget.CountRequest(now, c.service.Name)
	if c.query.Model != "" {
		d := demandOf(s.mu.demand, c.query.Model, "")
		d.Requests++
		d.Work += c.engineWork()
		if c.query.Adapter != "" {
			demandOf(s.mu.demand, c.query.Model, c.query.Adapter).Requests++
		}
	}
	return nil
}

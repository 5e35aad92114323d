package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// admit looks up the route and the customer, reads the body, and charges the
// request to the customer's rate.
func (c *call) admit(r *http.Request) *resultcode.Error {
	c.index = c.server.index.Load()
	if c.index == nil {
		return resultcode.New(resultcode.NoFreshState, "this VM has not received a catalog yet")
	}
	if c.route = c.index.Route(c.req.Host, c.req.Path); c.route == nil {
		return resultcode.New(resultcode.NoRoute, "no route for host %q and path %q in catalog version %d", c.req.Host, c.req.Path, c.index.Version())
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
	c.setService(c.route.PickService(rand.Float64()))
	if err := c.checkQuarantine(); err != nil {
		return err
	}
	return c.charge()
}

// setService chooses the service that the request is sent to.
func (c *call) setService(name string) {
	c.service = c.index.Service(name)
	c.query = c.newQuery()
}

func (c *call) authenticate() *resultcode.Error {
	if c.req.Key != "" {
		c.customer = c.index.Authenticate(c.req.Key)
	}
	if c.route.Public || len(c.index.Catalog().Customers) == 0 || c.customer != nil {
		return nil
	}
	if c.req.Key == "" {
		return resultcode.New(resultcode.KeyMissing, "route %q requires an API key", c.route.Name)
	}
	return resultcode.New(resultcode.KeyUnknown, "the API key belongs to no customer in catalog version %d", c.index.Version())
}

func (c *call) readBody(r *http.Request) *resultcode.Error {
	limit := c.index.Catalog().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	tooLarge := resultcode.New(resultcode.BodyTooLarge, "the request body exceeds the limit of %d bytes", limit)
	if r.ContentLength > limit {
		c.w.Header().Set("Connection", "close") // the body is not read
		return tooLarge
	}
	if b, ok := r.Body.(interface{ ChargeTo(customer string) }); ok && c.customer != nil {
		b.ChargeTo(c.customer.Name)
	}
	// The HTTP server reserves memory for the body as it arrives, so the read may fail
	// with one of its result codes.
	body, err := io.ReadAll(http.MaxBytesReader(c.w, r.Body, limit))
	var large *http.MaxBytesError
	var coded *resultcode.Error
	switch {
	case err == nil:
		c.req.Body = body
		return nil
	case errors.As(err, &large):
		return tooLarge
	case errors.As(err, &coded):
		return coded
	default:
		return resultcode.Wrap(resultcode.CallerGone, err, "the request body could not be read")
	}
}

// The urgency of a request combines the priorities of its customer and its route.
const (
	// urgencyPerPriority is the weight of a customer's priority. A route's priority
	// counts less than that, so that it only orders requests of customers with the
	// same priority.
	urgencyPerPriority = 3
	maxUrgency         = 9
)

func (c *call) newQuery() pool.Query {
	q := pool.Query{Service: c.service.Name, Overcommit: plainOvercommit, Urgency: min(maxUrgency, c.route.Priority), Customer: c.customerName()}
	if c.customer != nil {
		q.Urgency = min(maxUrgency, c.customer.Priority*urgencyPerPriority+min(c.route.Priority, urgencyPerPriority-1))
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter = c.req.Model, c.req.Adapter
		q.Affinity = pool.HashPrefix(q.Model, q.Adapter, partIDs(c.req.Prefix))
		q.PromptTokens, q.HeldTokens = c.engineTokens()
		q.Work = c.engineWork(&q)
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

// engineTokens returns the number of tokens that an engine has to prefill for the
// request, and the number that it keeps in memory until the request ends.
func (c *call) engineTokens() (prompt, held int) {
	if !c.req.HasTokens {
		return 1, 1
	}
	held = c.req.PromptTokens + c.expectedOutput()
	prompt = c.req.PromptTokens
	if n := len(c.req.Prefix); n > 1 {
		own := min(max(0, c.req.Prefix[n-1].Tokens), c.req.PromptTokens)
		prompt = own + int(prefixMissRatio*float64(c.req.PromptTokens-own))
	}
	return max(1, prompt), held
}

// Cost of generating output, expressed as the number of prompt tokens that an
// engine prefills in the same time.
const (
	// stepTokens is the cost of one decoding step: 8.2 ms at 25.8 prompt tokens per
	// millisecond, by the platform's documentation. The requests of a batch share
	// it.
	stepTokens = 212
	// contextTokens is the additional cost of a step for each request of its batch.
	contextTokens = 2
)

// engineWork returns the work of the request, as the number of prompt tokens that
// an engine prefills in the same time.
func (c *call) engineWork(q *pool.Query) int {
	output := q.HeldTokens - c.req.PromptTokens
	perToken := contextTokens + stepTokens/max(1, c.service.Engine.Slots)
	return max(1, q.PromptTokens+perToken*output)
}

// charge takes the cost of the request from the customer's rate.
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
		err := resultcode.New(resultcode.RateExceeded, "customer %q has exceeded its rate limit", c.customer.Name)
		err.RetryAfter = wait
		return err
	}
	return nil
}

// count counts the request in the retry budget of its service and in the demand for its
// model.
func (c *call) count() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.budget.CountRequest(s.now(), c.service.Name)
	if c.query.Model != "" {
		d := demandOf(s.mu.demand, c.query.Model, "")
		d.Requests++
		d.Work += uint64(c.query.Work)
		if c.query.Adapter != "" {
			demandOf(s.mu.demand, c.query.Model, c.query.Adapter).Requests++
		}
	}
}

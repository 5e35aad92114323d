package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// Constants of one request.
const (
	// defaultBodyBytes bounds a body while the catalog gives no limit.
	defaultBodyBytes = 4 << 20
	// minimumLeft is the least time in which an endpoint can answer; with less
	// left a request is not sent.
	minimumLeft = 5 * time.Millisecond
	// notRunRetries bounds the sends of a request that endpoints did not run.
	notRunRetries = 3
	// silentLookup is how long an idempotent request of a plain service waits for
	// its first byte, in multiples of the route's target, before another endpoint
	// is tried.
	silentLookup = 4
	// maxBuffered is the largest answer of a plain service that is read whole
	// before its head is passed on, so that a cut answer can still be refused.
	maxBuffered = 256 << 10
	// plainDepth is how many requests beyond its slots an endpoint of a plain
	// service may have, as a part of its slots.
	plainDepth = 1.5
	// sharedReads is the part of a prompt's shared parts that an engine has to
	// read again, and outputUse the part of the stated output that is generated.
	sharedReads = 0.25
	outputUse   = 0.7
	// loadPoll is how often a waiting request looks at its case again and asks for
	// a load that it needs.
	loadPoll = 100 * time.Millisecond
	// waitPart is the part of the time left for which a request may wait for a
	// place before it is refused as not run.
	waitPart = 0.5
	// streamPatience, patienceTargets and patiencePauses bound how long callers of
	// streams wait for the next event; the longest counts.
	streamPatience  = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// firstEventReserve is the time from a place to the first event that an answer
	// in time leaves.
	firstEventReserve = 150 * time.Millisecond
	// firstEventTime is kept from that for the endpoint's own work.
	firstEventTime = 600 * time.Millisecond
)

// call is one request on its way.
type call struct {
	server   *Server
	w        http.ResponseWriter
	ctx      context.Context
	arrived  time.Duration
	req      *Request
	index    *catalog.Index
	route    *catalog.Route
	customer *catalog.Customer
	service  *catalog.Service
	cost     float64
	// deadline is the earlier of the caller's and the route's.
	deadline time.Duration
	query    Query

	sends   int
	ran     int // endpoints that may have run it
	relay   *relay
	waited  time.Duration // for places
	lastErr *resultcode.Error
}

func (c *call) serve(r *http.Request) {
	if err := c.admit(r); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.deadline-c.server.now())
	defer cancel()
	c.ctx = ctx
	c.run()
}

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
	if c.req.Wait > 0 {
		c.deadline = min(c.deadline, c.arrived+c.req.Wait)
	}
	c.service = c.index.Service(c.route.Choose(rand.Float64()))
	c.query = c.newQuery()
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

func (c *call) newQuery() Query {
	q := Query{Service: c.service.Name, Depth: plainDepth, Urgency: min(maxUrgency, c.route.Priority)}
	if c.customer != nil {
		q.Urgency = min(maxUrgency, c.customer.Priority*urgencyPerPriority+min(c.route.Priority, urgencyPerPriority-1))
	}
	if c.service.Engine != nil {
		q.Model, q.Adapter = c.req.Model, c.req.Adapter
		q.Affinity = HashPrefix(q.Model, q.Adapter, c.req.Prefix)
		q.Prompt, q.Held = c.engineTokens()
	}
	return q
}

// engineTokens returns the tokens that an engine has to read for the request,
// and those that it holds until the end.
func (c *call) engineTokens() (prompt, held int) {
	if !c.req.HasTokens {
		return 1, 1
	}
	held = c.req.PromptTokens + int(outputUse*float64(c.req.OutputTokens))
	prompt = c.req.PromptTokens
	if n := len(c.req.Prefix); n > 1 {
		own := c.req.Prefix[n-1].Tokens
		prompt = own + int(sharedReads*float64(c.req.PromptTokens-own))
	}
	return max(1, prompt), held
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
	s.mu.budget.Request(now, c.service.Name)
	if c.query.Model != "" {
		d := demandOf(s.mu.demand, c.query.Model, "")
		d.Requests++
		d.Tokens += uint64(tokens)
		if c.query.Adapter != "" {
			demandOf(s.mu.demand, c.query.Model, c.query.Adapter).Requests++
		}
	}
	return nil
}

// run sends the request until it is answered or nothing more may be tried.
func (c *call) run() {
	for {
		started := c.server.now()
		ticket, err := c.place()
		c.waited += c.server.now() - started
		if err != nil {
			c.finish(err)
			return
		}
		result, err := c.send(ticket)
		c.server.done(ticket, result, &c.query)
		if err == nil {
			c.served(ticket)
			return
		}
		c.lastErr = err
		c.query.Exclude = append(c.query.Exclude, ticket.ID)
		if !c.again(err) {
			c.finish(err)
			return
		}
		c.server.cfg.Metrics.Retry(err.Code.Info().Name)
		c.server.log.Info("another endpoint is tried", "request", c.req.ID, "endpoint", ticket.ID, "code", err.Code, "error", err.Error(), "sends", c.sends)
	}
}

// served records an answer, with a line for a stream that was late.
func (c *call) served(t *Ticket) {
	took := c.server.now() - c.arrived
	if c.relay == nil {
		c.server.cfg.Metrics.Answered(took)
		return
	}
	r := c.relay
	c.server.cfg.Metrics.Streamed(r.first, r.pause)
	if r.first <= c.route.Target && r.pause <= c.route.MaxPause {
		return
	}
	c.server.log.Info("late", "request", c.req.ID, "endpoint", t.ID, "model", c.req.Model, "urgency", c.query.Urgency,
		"waited_ms", c.waited.Milliseconds(), "first_ms", r.first.Milliseconds(), "pause_ms", r.pause.Milliseconds(),
		"prompt", c.req.PromptTokens, "sends", c.sends)
}

// idempotent says whether the request may run more than once.
func (c *call) idempotent() bool {
	return c.route.Kind == catalog.Idempotent || (c.route.Kind == catalog.Streaming && c.route.Resumable)
}

// again says whether the request may go to a further endpoint.
func (c *call) again(err *resultcode.Error) bool {
	if c.ctx.Err() != nil || c.deadline-c.server.now() < minimumLeft {
		return false
	}
	if c.relay != nil && !c.relay.resumable() {
		return false
	}
	if err.Code.Info().Run != resultcode.NotRun {
		c.ran++
		if !c.idempotent() || c.ran >= c.route.MaxAttempts {
			return false
		}
	} else if c.sends-c.ran > notRunRetries {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.mu.budget.Spend(c.server.now(), c.service.Name)
}

// place waits for an endpoint that takes the request.
func (c *call) place() (*Ticket, *resultcode.Error) {
	s := c.server
	s.mu.Lock()
	ticket, absence := s.mu.table.Pick(s.now(), &c.query)
	if ticket != nil {
		s.tellLoads(true)
		s.mu.Unlock()
		return ticket, nil
	}
	if err := c.hopeless(absence); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	wt := &waiter{query: &c.query, target: c.arrived + c.route.Target - firstEventReserve, deadline: c.waitUntil(s.now()), ready: make(chan *Ticket, 1)}
	s.mu.queue.add(wt)
	s.mu.Unlock()
	return c.wait(wt, absence)
}

// waitUntil is how long the request may wait for a place: later, its caller
// would leave before the first event, or get no whole answer.
func (c *call) waitUntil(now time.Duration) time.Duration {
	until := now + time.Duration(float64(c.deadline-now)*waitPart)
	if c.route.Kind == catalog.Streaming {
		patience := max(streamPatience, patienceTargets*c.route.Target, patiencePauses*c.route.MaxPause)
		until = min(until, c.arrived+patience-firstEventTime)
	}
	return until
}

// hopeless returns the refusal of a request that waiting does not help. Callers
// hold the server's lock.
func (c *call) hopeless(absence Absence) *resultcode.Error {
	s, now := c.server, c.server.now()
	if c.query.Model != "" && c.index.Model(c.query.Model) == nil {
		return resultcode.New(resultcode.ModelUnknown, "no model %q in version %d", c.query.Model, c.index.Version())
	}
	if ready := s.mu.ready[c.query.Model] - now; absence == NoModel && ready > 0 && now+ready > c.waitUntil(now) {
		err := resultcode.New(resultcode.ModelLoading, "model %q is resident in %d ms", c.query.Model, ready.Milliseconds())
		err.RetryAfter = ready
		return err
	}
	if len(c.query.Exclude) > 0 && absence == NoEndpoints {
		return resultcode.New(resultcode.NoEndpoint, "every endpoint of %q was tried", c.query.Service)
	}
	return nil
}

func (c *call) wait(wt *waiter, absence Absence) (*Ticket, *resultcode.Error) {
	s := c.server
	poll := time.NewTicker(loadPoll)
	defer poll.Stop()
	end := time.NewTimer(wt.deadline - s.now())
	defer end.Stop()
	for {
		c.askLoad(absence)
		select {
		case t := <-wt.ready:
			return t, nil
		case <-poll.C:
			var err *resultcode.Error
			if absence, err = c.reconsider(wt); err != nil {
				return nil, err
			}
			continue
		case <-end.C:
		case <-s.leaving:
		case <-c.ctx.Done():
		}
		s.mu.Lock()
		waiting := s.mu.queue.remove(wt)
		s.mu.Unlock()
		if !waiting {
			return <-wt.ready, nil
		}
		return nil, c.noPlace(absence)
	}
}

// reconsider gives out places and says why the request still has none. An error
// ends the wait.
func (c *call) reconsider(wt *waiter) (Absence, *resultcode.Error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.queue.dispatch(s.now(), s.mu.table)
	_, absence := s.mu.table.peek(s.now(), &c.query)
	err := c.hopeless(absence)
	if err != nil && !s.mu.queue.remove(wt) {
		return absence, nil // it has just got a place
	}
	return absence, err
}

func (c *call) noPlace(absence Absence) *resultcode.Error {
	switch {
	case errors.Is(c.ctx.Err(), context.Canceled):
		return resultcode.New(resultcode.CallerGone, "the caller left while the request waited for %s", absence)
	case c.server.isLeaving():
		return resultcode.New(resultcode.Draining, "this VM stops before the request has a place")
	case absence == NoModel || absence == NoAdapter:
		return resultcode.New(resultcode.ModelLoading, "model %q with adapter %q was not resident in time", c.query.Model, c.query.Adapter)
	case absence == NoEndpoints:
		return resultcode.New(resultcode.NoEndpoint, "service %q has no endpoint that can be reached", c.query.Service)
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "no place at service %q in time", c.query.Service)
	}
}

// askLoad asks the leader for what is resident nowhere, once at a time for
// each model and adapter.
func (c *call) askLoad(absence Absence) {
	if absence != NoModel && absence != NoAdapter {
		return
	}
	model, adapter := c.query.Model, c.query.Adapter
	if absence == NoModel {
		adapter = ""
	}
	s, key := c.server, missingKey(model, adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.loading[key] {
		return
	}
	s.mu.loading[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ready, err := s.cfg.Loader.Load(ctx, model, adapter)
		s.mu.Lock()
		delete(s.mu.loading, key)
		if err == nil && adapter == "" {
			s.mu.ready[model] = s.now() + ready
		}
		s.mu.Unlock()
		if err != nil {
			s.log.Info("load not accepted", "model", model, "adapter", adapter, "error", err.Error())
		}
	}()
}

// done gives a place back and lets waiting requests have it.
func (s *Server) done(t *Ticket, r Result, q *Query) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.mu.table.Done(now, t, r, q)
	s.mu.queue.dispatch(now, s.mu.table)
	s.tellLoads(false)
}

// finish ends a request without an answer of an endpoint.
func (c *call) finish(err *resultcode.Error) {
	if c.sends > 0 && c.ran == 0 && err.Code.Info().Run != resultcode.NotRun {
		c.ran = 1
	}
	if c.ran > 0 && err.Code.Info().Run == resultcode.NotRun {
		err = c.lastErr
		if err.Code.Info().Run == resultcode.NotRun {
			err = resultcode.Wrap(resultcode.EndpointLost, err, "an earlier attempt may have run")
		}
	}
	if c.ran == 0 {
		c.server.mu.Lock()
		c.server.mu.buckets.Refund(c.customer, c.cost)
		c.server.mu.Unlock()
	}
	if c.relay != nil {
		took := c.server.now() - c.arrived
		c.server.log.Info("answer cut", "request", c.req.ID, "code", err.Code, "model", c.req.Model, "sends", c.sends, "ms", took.Milliseconds(),
			"first_ms", c.relay.first.Milliseconds(), "silent_ms", (took - c.relay.last).Milliseconds(), "error", err.Error())
		c.relay.abort()
	}
	c.refuse(err)
}

// retryAfter bounds the advice to come back when the time is not known.
const (
	retryAfterMin    = 300 * time.Millisecond
	retryAfterSpread = 700 * time.Millisecond
)

// refuse writes the final answer of a request that no endpoint answered.
func (c *call) refuse(err *resultcode.Error) {
	c.server.cfg.Metrics.Refusal(err.Code)
	customer := ""
	if c.customer != nil {
		customer = c.customer.Name
	}
	var version uint64
	if c.index != nil {
		version = c.index.Version()
	}
	c.server.log.Info("refused", "request", c.req.ID, "code", err.Code, "customer", customer, "model", c.req.Model,
		"catalog", version, "sends", c.sends, "ms", (c.server.now() - c.arrived).Milliseconds(), "error", err.Error())
	info := err.Code.Info()
	if err.Code == resultcode.CallerGone {
		panic(http.ErrAbortHandler)
	}
	status := info.Status
	h := c.w.Header()
	if info.Run == resultcode.NotRun && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests) {
		wait := err.RetryAfter
		if wait <= 0 {
			wait = retryAfterMin + rand.N(retryAfterSpread)
		}
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
		if status != http.StatusTooManyRequests {
			status = http.StatusServiceUnavailable
		}
	} else if status >= http.StatusInternalServerError || info.Run != resultcode.NotRun {
		status = http.StatusBadGateway
		if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	c.server.cfg.Codec.Identify(h, c.req.ID)
	h.Set(resultcode.Header, strconv.Itoa(int(err.Code)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, err.Error()+"\n") // the caller may be gone
}

// send makes one exchange with an endpoint. A nil error means that the request
// has its answer.
func (c *call) send(t *Ticket) (Result, *resultcode.Error) {
	s := c.server
	left := c.deadline - s.now()
	if left < minimumLeft {
		return Unknown, resultcode.New(resultcode.DeadlineTooClose, "%d ms are left", left.Milliseconds())
	}
	c.sends++
	a := Attempt{EndpointID: t.ID, Left: left, Urgency: c.query.Urgency, HasUrgency: c.service.Engine != nil, ResumeAfter: c.req.LastEvent}
	if c.customer != nil {
		a.Customer = c.customer.Name
	}
	if c.relay != nil && c.relay.lastID != "" {
		a.ResumeAfter = c.relay.lastID
	}
	resp, err := s.cfg.Client.Do(c.ctx, &exchange.Request{
		Address: t.Address, Host: c.req.Host, Method: c.req.Method, Target: c.req.Target,
		Header: s.cfg.Codec.Outgoing(c.req, a), Body: c.req.Body, Silence: c.silence(left),
		AllowUnframed: true,
		Accept:        func(h http.Header) bool { return s.cfg.Codec.Belongs(h, c.req.ID) },
	})
	if err != nil {
		return c.failed(err)
	}
	return c.answer(t, resp)
}

// silence is how long the endpoint may send nothing.
func (c *call) silence(left time.Duration) time.Duration {
	if c.route.Kind == catalog.Idempotent && c.ran+1 < c.route.MaxAttempts {
		return min(left, silentLookup*c.route.Target)
	}
	return left
}

// failed turns an error of the exchange into a result for the endpoint.
func (c *call) failed(err error) (Result, *resultcode.Error) {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		coded = resultcode.Wrap(resultcode.EndpointLost, err, "the exchange failed")
	}
	if c.ctx.Err() != nil {
		return Unknown, coded
	}
	return Failed, coded
}

// answer passes an endpoint's answer on, or returns why it cannot.
func (c *call) answer(t *Ticket, resp *exchange.Response) (Result, *resultcode.Error) {
	s := c.server
	a := s.cfg.Codec.Answer(resp.Status, resp.Header)
	s.mu.Lock()
	if a.HasLoad {
		s.mu.table.Observe(s.now(), t, a.Load)
	}
	if !a.NotRun && !a.Wrong {
		s.mu.table.Begun(t)
		s.mu.queue.dispatch(s.now(), s.mu.table)
		s.tellLoads(false)
	}
	if a.Leaving && a.NotRun {
		s.mu.table.Leaves(t)
	}
	s.mu.Unlock()
	switch {
	case a.Wrong:
		c.drop(resp)
		return Absent, resultcode.New(resultcode.EndpointRefused, "endpoint %s has another incarnation or lacks the model", t.ID)
	case a.NotRun:
		c.drop(resp)
		return Refused, resultcode.New(resultcode.EndpointRefused, "endpoint %s did not run the request", t.ID)
	case resp.Status < 300 && !a.Sealed, !c.idempotent() && claimsNotRun(resp.Status):
		resp.Body.Discard()
		return Failed, resultcode.New(resultcode.AnswerMismatch, "endpoint %s answered with status %d and no proof", t.ID, resp.Status)
	case c.relay != nil && resp.Status != http.StatusOK:
		c.drop(resp)
		return Worked, resultcode.New(resultcode.StreamBroken, "endpoint %s does not go on with the stream: status %d", t.ID, resp.Status)
	case resp.Status >= http.StatusInternalServerError && c.idempotent() && c.ran+1 < c.route.MaxAttempts && c.relay == nil && c.mayRetry():
		c.drop(resp)
		return Worked, resultcode.New(resultcode.EndpointLost, "endpoint %s failed with status %d", t.ID, resp.Status)
	}
	return c.pass(t, resp)
}

// mayRetry says whether an answer may be given up for another attempt.
func (c *call) mayRetry() bool {
	return c.deadline-c.server.now() > c.route.Target/2
}

// claimsNotRun lists the statuses that promise that a request has not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// drop reads a short answer to its end, so that its connection can be used again.
func (c *call) drop(resp *exchange.Response) {
	if _, err := io.CopyN(io.Discard, resp.Body, maxBuffered); !errors.Is(err, io.EOF) {
		resp.Body.Discard()
		return
	}
	_ = resp.Body.Close() // the body was read to its end
}

// pass passes an answer on to the caller.
func (c *call) pass(t *Ticket, resp *exchange.Response) (Result, *resultcode.Error) {
	if c.relay == nil {
		if resp.Length >= 0 && resp.Length <= maxBuffered && c.route.Kind != catalog.Streaming {
			return c.passWhole(resp)
		}
		c.relay = newRelay(c, resp)
	}
	if err := c.relay.copy(resp); err != nil {
		return c.failed(err)
	}
	return Worked, nil
}

// passWhole reads the answer before it writes the head.
func (c *call) passWhole(resp *exchange.Response) (Result, *resultcode.Error) {
	body := make([]byte, resp.Length)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		resp.Body.Discard()
		return c.failed(resultcode.Wrap(resultcode.AnswerIncomplete, err, "the answer was cut"))
	}
	if err := endOf(resp.Body); err != nil {
		return c.failed(err)
	}
	copyHeader(c.w.Header(), resp.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(resp.Status)
	_, _ = c.w.Write(body) // the caller may be gone
	return Worked, nil
}

package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/quarantine"
	"github.com/radishloom/radishloom/internal/coordination/quota"
	"github.com/radishloom/radishloom/internal/coordination/retry"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	// defaultDeadline bounds a request whose profile states no deadline.
	defaultDeadline = 60 * time.Second
	// defaultSilence bounds the silence of an endpoint if the profile does not.
	defaultSilence = 10 * time.Second
	// maxRun bounds a non-idempotent call, which neither its caller nor its
	// deadline cancels. The bound on silence normally ends it far earlier.
	maxRun = 10 * time.Minute
	// maxLosses is the number of endpoints that one request may lose: the
	// suspicions of the first crashes may not have come back from the fleet yet.
	maxLosses = 2
)

// call is one request on its way.
type call struct {
	*Request
	index    *config.Index
	route    *statev1.Route
	profile  *statev1.Profile
	customer *statev1.Customer // nil on open routes
	arrived  time.Duration
	deadline time.Duration
	pool     string // queue
	group    string // model or service pool
	adapter  string
	prefixes []uint64

	fingerprint quarantine.Fingerprint
	verdict     quarantine.Verdict
	isolated    bool // needs an idle endpoint if it has to run alone
	hold        quota.Hold
	claim       *heldClaim
	record      *recording
	exclude     []string
	retries     int
	losses      int // attempts that lost their connection
	// uncertain is the failure of an attempt that may have run. A later refusal
	// of the same request must not say "not run".
	uncertain *resultcode.Error
	used      uint64 // tokens of all attempts
	started   bool   // a part of the answer was passed to the ResponseWriter
	// firstEvent and lastEvent are when the stream's events were passed on.
	firstEvent, lastEvent time.Duration
	events                int
	// withdrawn is closed when the key of an open stream was withdrawn.
	withdrawn chan struct{}
}

func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

func (c *call) class() Class {
	return Class{Route: c.route.Name, Profile: c.profile.GetName(), Customer: c.customerName()}
}

// attained says that a whole answer met the profile's targets: the first token
// in time, and the others at the mean gap of the profile. An answer that was
// not streamed has no targets but its deadline.
func (c *call) attained() bool {
	if c.events == 0 {
		return true
	}
	first := c.firstEvent - c.arrived
	if target := milliseconds(c.profile.FirstTokenMs); target > 0 && first > target {
		return false
	}
	gap := milliseconds(c.profile.TokenGapMs)
	return gap == 0 || c.lastEvent-c.firstEvent <= gap*time.Duration(c.events)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *call) model() bool { return c.route.Kind == statev1.RouteKind_ROUTE_KIND_MODEL }

func (c *call) silence() time.Duration {
	if c.profile.SilenceMs == 0 {
		return defaultSilence
	}
	return time.Duration(c.profile.SilenceMs) * time.Millisecond
}

// Serve returns nil when the whole answer was written, else a
// *resultcode.Error. Before Start nothing was written.
func (s *Server) Serve(ctx context.Context, r *Request, w ResponseWriter) error {
	s.open.Add(1)
	c, err := s.admit(r)
	if err != nil {
		s.open.Add(-1)
		s.report(ctx, r, Class{Route: r.Route.GetName()}, 0, err)
		return advise(refusal(err))
	}
	if c.route.Idempotent || s.faults.cancelClaimed {
		err = s.run(ctx, c, w)
		s.leave(c)
	} else {
		err = s.detachable(ctx, c, w)
	}
	took := s.now() - c.arrived
	s.report(ctx, r, c.class(), took, err)
	if err != nil {
		return advise(refusal(err))
	}
	s.observer.Served(c.class(), c.attained(), took, c.hold.Charged)
	return nil
}

// report logs how a request ended and counts refusals. It names neither key nor
// path nor body.
func (s *Server) report(ctx context.Context, r *Request, c Class, took time.Duration, err error) {
	code := resultcode.Of(err)
	if err != nil {
		s.observer.Refused(c, code)
	}
	s.log.LogAttrs(context.WithoutCancel(ctx), slog.LevelInfo, "request",
		slog.String("request_id", r.ID), slog.String("route", c.Route), slog.String("profile", c.Profile),
		slog.String("customer", c.Customer), slog.Int("code", int(code)), slog.String("result", code.String()),
		slog.Duration("took", took))
}

// leave undoes admit.
func (s *Server) leave(c *call) {
	if c.hold.Tokens > 0 {
		s.tokens.release(c.customerName(), &c.hold)
	}
	s.schedule.leave(c.customerName())
	s.open.Add(-1)
}

// detachable runs a non-idempotent call on its own goroutine, so that it runs
// to its end and its claim is finished when the caller leaves.
func (s *Server) detachable(ctx context.Context, c *call, w ResponseWriter) error {
	out := &relay{w: w}
	done := make(chan error, 1)
	go func() {
		err := s.run(ctx, c, out)
		s.leave(c)
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil && out.detach() {
			return resultcode.New(resultcode.CallerGone, "the caller stopped reading")
		}
		return err
	case <-ctx.Done():
		out.detach()
		return resultcode.Wrap(resultcode.CallerGone, ctx.Err(), "the caller left")
	case <-c.withdrawn:
		out.detach()
		return resultcode.New(resultcode.KeyWithdrawnMidStream, "the key was withdrawn")
	}
}

// relay passes an answer on until its caller is gone. Its methods never fail,
// so that the call behind it goes on.
type relay struct {
	mu   sync.Mutex
	w    ResponseWriter
	gone bool
}

// detach stops the relay; it reports whether the caller was gone before.
func (r *relay) detach() (gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gone, r.gone = r.gone, true
	return gone
}

func (r *relay) do(f func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.gone && f() != nil {
		r.gone = true
	}
	return nil
}

// Start implements ResponseWriter.
func (r *relay) Start(status int, header http.Header) error {
	return r.do(func() error { return r.w.Start(status, header) })
}

// Event implements ResponseWriter.
func (r *relay) Event(data []byte) error {
	return r.do(func() error { return r.w.Event(data) })
}

// Write implements ResponseWriter.
func (r *relay) Write(p []byte) error {
	return r.do(func() error { return r.w.Write(p) })
}

// run takes an admitted request to its answer. ctx is the caller's.
func (s *Server) run(ctx context.Context, c *call, w ResponseWriter) error {
	ctx, cancel := context.WithTimeout(ctx, c.deadline-s.now())
	defer cancel()
	if !c.route.Idempotent && c.IdempotencyKey != "" {
		stored, err := s.beginClaim(ctx, c)
		if err != nil {
			return err
		}
		if stored != nil {
			return s.replay(c, stored, w)
		}
		c.record = &recording{}
	}
	err := s.holdTokens(ctx, c)
	if err == nil {
		err = s.attempts(ctx, c, w)
	}
	s.settleClaim(c, err)
	return err
}

func (s *Server) replay(c *call, a *statev1.StoredAnswer, w ResponseWriter) error {
	s.observer.Replayed(c.class())
	return replay(a, w)
}

// settleClaim ends the claim as the request ended, unless that was done.
func (s *Server) settleClaim(c *call, err error) {
	switch {
	case c.claim == nil:
	case err == nil:
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_RAN, c.record.answer())
	case c.uncertain == nil && c.claimNotRun(err):
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
	default:
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN, nil)
	}
}

// claimNotRun is true only if no attempt can have run: every failure after a
// send whose code does not say so is kept in uncertain.
func (c *call) claimNotRun(err error) bool {
	code := resultcode.Of(err)
	return code.Info().Run == resultcode.NotRun || code == resultcode.CallerGone
}

func (s *Server) holdTokens(ctx context.Context, c *call) error {
	need := uint64(c.PromptTokens + c.MaxTokens)
	if c.customer == nil || !c.model() || need == 0 {
		return nil
	}
	began := s.now()
	w := &quota.Waiter{
		Customer: c.customer.Name, Priority: c.profile.Priority, Tokens: need,
		OnTargetUntil: c.deadline, LatestStart: c.deadline - s.usualTime(c),
	}
	if target := c.profile.FirstTokenMs; target > 0 {
		w.OnTargetUntil = c.arrived + time.Duration(target)*time.Millisecond
	}
	if err := s.tokens.hold(ctx, c.customer, w); err != nil {
		return err
	}
	c.hold.Tokens = need
	s.observer.TokensWaited(c.class(), s.now()-began)
	return nil
}

// charge turns held tokens into spent ones.
func (s *Server) charge(c *call, tokens uint64) {
	c.used += tokens
	if n := c.hold.Charge(tokens); n > 0 {
		s.replica.Charge(c.customer.Name, n)
	}
}

// usualTime is the estimate of the route, but never more than three quarters
// of the deadline: otherwise a slow time would refuse every later request, and
// nothing would be measured any more.
func (s *Server) usualTime(c *call) time.Duration {
	return min(s.schedule.usualTime(c.route.Name), (c.deadline-c.arrived)*3/4)
}

// attempts sends the request until it is answered or retries do not help.
func (s *Server) attempts(ctx context.Context, c *call, w ResponseWriter) error {
	key := retry.BudgetKey{Customer: c.customerName(), Pool: c.group}
	s.retries.mu.Lock()
	s.retries.decider.CountRequest(s.now(), key)
	s.retries.mu.Unlock()
	s.demand.add(c, 1, 0)
	for {
		wait := s.waiterFor(c)
		began := s.now()
		ticket, err := s.schedule.acquire(ctx, wait)
		s.observer.Queued(c.class(), s.now()-began)
		if err != nil {
			return c.final(s, err)
		}
		err = s.attempt(ctx, c, w, wait, ticket)
		if err == nil {
			return nil
		}
		if !s.again(ctx, c, key, ticket.Endpoint, &err) {
			return c.final(s, err)
		}
	}
}

// final returns the error of the caller: an attempt that may have run weighs
// more than a later refusal.
func (c *call) final(s *Server, err error) error {
	if c.uncertain != nil && !s.faults.forgetUncertain && resultcode.Of(err).Info().Run == resultcode.NotRun {
		return c.uncertain
	}
	return err
}

// again waits for a retry if there is to be one; else it sets the code of the
// refusal.
func (s *Server) again(ctx context.Context, c *call, key retry.BudgetKey, endpoint string, err *error) bool {
	code := resultcode.Of(*err)
	if lost(c, *err) {
		// It may have crashed the endpoint: it runs alone from now on.
		if rejudged := s.judge(c); rejudged != nil {
			*err = rejudged
			return false
		}
		c.verdict = quarantine.Exclusive
		c.losses++
		if c.losses >= maxLosses {
			return false
		}
	}
	a := retry.Attempt{
		Code: code, Idempotent: c.route.Idempotent, Deduplicated: c.claim != nil,
		Started: c.started, Retries: c.retries, Deadline: c.deadline,
	}
	if !retry.Eligible(a) {
		return false
	}
	exclude := append(c.exclude, endpoint)
	if !s.schedule.another(c.group, exclude) {
		if code != resultcode.EndpointSilent {
			return false
		}
		// Only this endpoint is left. Its open connection may have gone silent
		// while new ones work, and a retry uses a new one.
		exclude = c.exclude
	}
	s.retries.mu.Lock()
	d := s.retries.decider.Decide(s.now(), key, a)
	s.retries.mu.Unlock()
	if d.BudgetExhausted {
		s.observer.RetryDenied(c.class(), code)
	}
	if !d.Retry {
		if d.Code != code {
			*err = resultcode.Wrap(d.Code, *err, "no retry: the retry budget is used up")
		}
		return false
	}
	select {
	case <-time.After(d.Backoff):
	case <-ctx.Done():
		return false
	}
	s.observer.Retried(c.class(), code)
	c.exclude = exclude
	c.retries++
	return true
}

// waiterFor describes the request to the scheduler.
func (s *Server) waiterFor(c *call) *waiter {
	w := &waiter{pool: c.pool}
	w.query = routing.Query{
		Group: c.group, Adapter: c.adapter, Prefixes: c.prefixes, Exclude: c.exclude,
		Exclusive: c.verdict == quarantine.Exclusive, IdleEndpoint: c.isolated, MayProbe: c.route.Idempotent,
	}
	w.item.Class = c.group + "\x00" + c.adapter
	switch {
	case w.query.Exclusive || len(c.exclude) > 0:
		// Requests with conditions of their own must not block others behind
		// them, so they get their own class.
		w.item.Class = s.unique()
	case !c.route.Idempotent:
		w.item.Class += "\x00noprobe"
	}
	if !s.faults.ignoreCustomer && !s.config.Baseline.ByArrival {
		w.item.Customer = c.customerName()
	}
	w.item.Weight = c.customer.GetWeight()
	if !s.config.Baseline.ByArrival {
		w.item.Priority = c.profile.Priority
	}
	w.item.Tokens = uint64(max(1, c.PromptTokens+c.MaxTokens))
	w.item.LatestStart = c.deadline - s.usualTime(c)
	return w
}

// refusal returns err as a *resultcode.Error.
func refusal(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return e
	}
	return resultcode.Wrap(resultcode.Internal, err, "unexpected failure")
}

// advise adds a pause to refusals that a later try can avoid.
func advise(e *resultcode.Error) *resultcode.Error {
	if e.RetryAfter > 0 || e.Code.Info().Retry != resultcode.RetryLater {
		return e
	}
	out := *e
	out.RetryAfter = time.Second
	return &out
}

func callerGone(err error) error {
	return resultcode.Wrap(resultcode.CallerGone, err, "the caller stopped reading")
}

// clean removes every key source of the route once more from what a service
// will see; the protocol layer did it already.
func clean(c *call) (query string, header http.Header) {
	header = c.Header.Clone()
	header.Del("Authorization")
	for _, name := range c.route.KeyHeaders {
		header.Del(name)
	}
	if len(c.route.KeyCookies) > 0 {
		cleanCookies(header, c.route.KeyCookies)
	}
	return cleanQuery(c.RawQuery, c.route.KeyQueryParams), header
}

func cleanCookies(header http.Header, names []string) {
	var kept []string
	for _, line := range header.Values("Cookie") {
		for part := range strings.SplitSeq(line, ";") {
			part = strings.TrimSpace(part)
			name, _, _ := strings.Cut(part, "=")
			if part != "" && !containsFold(names, name) {
				kept = append(kept, part)
			}
		}
	}
	header.Del("Cookie")
	if len(kept) > 0 {
		header.Set("Cookie", strings.Join(kept, "; "))
	}
}

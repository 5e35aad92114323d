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
	// defaultDeadline applies if the profile sets no deadline.
	defaultDeadline = 60 * time.Second
	// defaultIdleTimeout applies if the profile sets no bound on the time
	// without a byte from the endpoint.
	defaultIdleTimeout = 10 * time.Second
	// maxDetachedTime bounds a non-idempotent call, which is cancelled neither by
	// its caller nor by its deadline. The idle time-out normally ends it much
	// earlier.
	maxDetachedTime = 10 * time.Minute
	// maxLostAttempts bounds the attempts of one request that may lose their
	// connection, which may mean that the request crashes endpoints. The crash
	// counts of the fleet are not enough for this, because the reports on the first
	// crashes may not have been replicated to this entry yet.
	maxLostAttempts = 2
)

// call is the state of one request.
type call struct {
	*Request
	index    *config.Index
	route    *statev1.Route
	profile  *statev1.Profile
	customer *statev1.Customer // nil on open routes
	arrived  time.Duration
	deadline time.Duration
	pool     string // the pool in whose queue the request waits
	group    string // model or service pool
	adapter  string
	prefixes []uint64

	suspect           quarantine.Identity // what crashes are counted for
	verdict           quarantine.Verdict
	needsIdleEndpoint bool // if it has to run exclusively, only on an endpoint without requests of other entries
	hold              quota.Hold
	claim             *heldClaim
	record            *recording
	exclude           []string
	retries           int
	lostAttempts      int // attempts that lost their connection to the endpoint
	// uncertain is the failure of an attempt that may have run. After it, a refusal
	// of the request must not say "not run".
	uncertain  *resultcode.Error
	usedTokens uint64 // by all attempts
	started    bool   // part of the response was passed to the ResponseWriter
	// firstEvent and lastEvent are the times when the first and the latest event of
	// the stream were forwarded.
	firstEvent, lastEvent time.Duration
	events                int
	// withdrawn is closed when the key of an open non-idempotent stream is
	// withdrawn.
	withdrawn chan struct{}
}

func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

func (c *call) metricLabels() MetricLabels {
	return MetricLabels{Route: c.route.Name, Profile: c.profile.GetName(), Customer: c.customerName()}
}

// attained reports whether a complete response met the targets of the profile for
// the time to the first token and for the mean gap between tokens. A response that
// was not streamed has no target except its deadline.
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

func (c *call) idleTimeout() time.Duration {
	if c.profile.SilenceMs == 0 {
		return defaultIdleTimeout
	}
	return time.Duration(c.profile.SilenceMs) * time.Millisecond
}

// Serve serves one request. It returns nil if the complete response was written,
// otherwise a *resultcode.Error. If w.Start was not called, nothing was written.
func (s *Server) Serve(ctx context.Context, r *Request, w ResponseWriter) error {
	s.open.Add(1)
	c, err := s.admit(r)
	if err != nil {
		s.open.Add(-1)
		s.report(ctx, r, MetricLabels{Route: r.Route.GetName()}, 0, err)
		return withRetryAfter(asResultError(err))
	}
	if c.route.Idempotent || s.faults.cancelClaimed {
		err = s.run(ctx, c, w)
		s.endCall(c)
	} else {
		err = s.runDetachable(ctx, c, w)
	}
	took := s.now() - c.arrived
	s.report(ctx, r, c.metricLabels(), took, err)
	if err != nil {
		return withRetryAfter(asResultError(err))
	}
	s.observer.Served(c.metricLabels(), c.attained(), took, c.hold.Charged)
	return nil
}

// report logs the result of a request and counts refusals. The log line contains
// neither the key nor the path nor the body.
func (s *Server) report(ctx context.Context, r *Request, labels MetricLabels, took time.Duration, err error) {
	code := resultcode.Of(err)
	if err != nil {
		s.observer.Refused(labels, code)
	}
	s.log.LogAttrs(context.WithoutCancel(ctx), slog.LevelInfo, "request",
		slog.String("request_id", r.ID), slog.String("route", labels.Route), slog.String("profile", labels.Profile),
		slog.String("customer", labels.Customer), slog.Int("code", int(code)), slog.String("result", code.String()),
		slog.Duration("took", took))
}

// endCall releases what admit and holdTokens acquired.
func (s *Server) endCall(c *call) {
	if c.hold.Tokens > 0 {
		s.tokens.release(c.customerName(), &c.hold)
	}
	s.schedule.endRequest(c.customerName())
	s.open.Add(-1)
}

// runDetachable runs a non-idempotent call on its own goroutine, so that the call
// completes and its claim is finished even if the caller disconnects.
func (s *Server) runDetachable(ctx context.Context, c *call, w ResponseWriter) error {
	out := &relay{w: w}
	done := make(chan error, 1)
	go func() {
		err := s.run(ctx, c, out)
		s.endCall(c)
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
		return resultcode.Wrap(resultcode.CallerGone, ctx.Err(), "the caller disconnected")
	case <-c.withdrawn:
		out.detach()
		return resultcode.New(resultcode.KeyWithdrawnMidStream, "the key was withdrawn")
	}
}

// relay forwards a response until the caller is gone. Its methods never fail, so
// that the call continues without the caller.
type relay struct {
	mu   sync.Mutex
	w    ResponseWriter
	gone bool
}

// detach stops the relay and reports whether the caller was already gone.
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

// run serves an admitted request. ctx is the context of the caller.
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
	s.observer.Replayed(c.metricLabels())
	return replay(a, w)
}

// settleClaim ends the claim according to the result of the request, unless the
// claim has already been ended.
func (s *Server) settleClaim(c *call, err error) {
	switch {
	case c.claim == nil:
	case err == nil:
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_RAN, c.record.storedAnswer())
	case c.uncertain == nil && c.claimNotRun(err):
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
	default:
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN, nil)
	}
}

// claimNotRun reports whether no attempt can have run, given that c.uncertain is
// nil: every failure after a send whose code does not rule out a run is kept there.
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
		OnTargetUntil: c.deadline, LatestStart: c.deadline - s.estimatedTime(c),
	}
	if target := c.profile.FirstTokenMs; target > 0 {
		w.OnTargetUntil = c.arrived + time.Duration(target)*time.Millisecond
	}
	if err := s.tokens.hold(ctx, c.customer, w); err != nil {
		return err
	}
	c.hold.Tokens = need
	s.observer.TokensWaited(c.metricLabels(), s.now()-began)
	return nil
}

// charge records that the request used tokens, and charges those that it holds.
func (s *Server) charge(c *call, tokens uint64) {
	c.usedTokens += tokens
	if n := c.hold.Charge(tokens); n > 0 {
		s.replica.Charge(c.customer.Name, n)
	}
}

// estimatedTime returns the estimated service time of the route, but at most three
// quarters of the deadline. Without this bound, an estimate above the deadline would
// refuse every later request, and would never be corrected by a new measurement.
func (s *Server) estimatedTime(c *call) time.Duration {
	return min(s.schedule.estimatedTime(c.route.Name), (c.deadline-c.arrived)*3/4)
}

// attempts sends the request until it succeeds or may not be retried.
func (s *Server) attempts(ctx context.Context, c *call, w ResponseWriter) error {
	key := retry.BudgetKey{Customer: c.customerName(), Pool: c.group}
	s.retries.mu.Lock()
	s.retries.decider.CountRequest(s.now(), key)
	s.retries.mu.Unlock()
	s.demand.add(c, 1, 0)
	for {
		wait := s.waiterFor(c)
		began := s.now()
		reservation, err := s.schedule.acquire(ctx, wait)
		s.observer.Queued(c.metricLabels(), s.now()-began)
		if err != nil {
			return c.final(s, err)
		}
		err = s.attempt(ctx, c, w, wait, reservation)
		if err == nil {
			return nil
		}
		if !s.prepareRetry(ctx, c, key, reservation.Endpoint, &err) {
			return c.final(s, err)
		}
	}
}

// final returns the error for the caller. If an earlier attempt may have run, its
// failure takes precedence over a later refusal.
func (c *call) final(s *Server, err error) error {
	if c.uncertain != nil && !s.faults.forgetUncertain && resultcode.Of(err).Info().Run == resultcode.NotRun {
		return c.uncertain
	}
	return err
}

// prepareRetry decides whether a failed attempt is retried, and waits for the
// backoff if it is. Otherwise it may replace *err by a more specific error.
func (s *Server) prepareRetry(ctx context.Context, c *call, key retry.BudgetKey, endpoint string, err *error) bool {
	code := resultcode.Of(*err)
	if lostConnection(c, *err) {
		// The request may have crashed the endpoint, so later attempts are exclusive.
		if refused := s.checkQuarantine(c); refused != nil {
			*err = refused
			return false
		}
		c.verdict = quarantine.Exclusive
		c.lostAttempts++
		if c.lostAttempts >= maxLostAttempts {
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
	if !s.schedule.hasAlternative(c.group, exclude) {
		if code != resultcode.EndpointSilent {
			return false
		}
		// No other endpoint is left. A retry on this one can succeed because it uses
		// a new connection: the old one may have gone silent while the endpoint still
		// works.
		exclude = c.exclude
	}
	s.retries.mu.Lock()
	d := s.retries.decider.Decide(s.now(), key, a)
	s.retries.mu.Unlock()
	if d.BudgetExhausted {
		s.observer.RetryDenied(c.metricLabels(), code)
	}
	if !d.Retry {
		if d.Code != code {
			*err = resultcode.Wrap(d.Code, *err, "not retried: the retry budget is exhausted")
		}
		return false
	}
	select {
	case <-time.After(d.Backoff):
	case <-ctx.Done():
		return false
	}
	s.observer.Retried(c.metricLabels(), code)
	c.exclude = exclude
	c.retries++
	return true
}

// waiterFor describes the request to the scheduler.
func (s *Server) waiterFor(c *call) *waiter {
	w := &waiter{pool: c.pool}
	w.query = routing.Query{
		Group: c.group, Adapter: c.adapter, Prefixes: c.prefixes, Exclude: c.exclude,
		Exclusive: c.verdict == quarantine.Exclusive, IdleEndpoint: c.needsIdleEndpoint, MayProbe: c.route.Idempotent,
	}
	w.item.Class = c.group + "\x00" + c.adapter
	switch {
	case w.query.Exclusive || len(c.exclude) > 0:
		// A request with individual conditions gets a class of its own, because it
		// would block the requests behind it in a shared class.
		w.item.Class = s.unique()
	case !c.route.Idempotent:
		w.item.Class += "\x00noprobe"
	}
	if !s.faults.ignoreCustomer && !s.config.Baseline.FIFO {
		w.item.Customer = c.customerName()
	}
	w.item.Weight = c.customer.GetWeight()
	if !s.config.Baseline.FIFO {
		w.item.Priority = c.profile.Priority
	}
	w.item.Tokens = uint64(max(1, c.PromptTokens+c.MaxTokens))
	w.item.LatestStart = c.deadline - s.estimatedTime(c)
	return w
}

// asResultError returns err as a *resultcode.Error.
func asResultError(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(err, &e) {
		return e
	}
	return resultcode.Wrap(resultcode.Internal, err, "error without a result code")
}

// withRetryAfter sets a default RetryAfter on refusals that may be retried later.
func withRetryAfter(e *resultcode.Error) *resultcode.Error {
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

// stripKeys returns the query and header for a service without the route's keys. The
// protocol layer has already removed them; this is a second safeguard.
func stripKeys(c *call) (query string, header http.Header) {
	header = c.Header.Clone()
	header.Del("Authorization")
	for _, name := range c.route.KeyHeaders {
		header.Del(name)
	}
	if len(c.route.KeyCookies) > 0 {
		stripCookies(header, c.route.KeyCookies)
	}
	return stripQuery(c.RawQuery, c.route.KeyQueryParams), header
}

func stripCookies(header http.Header, names []string) {
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

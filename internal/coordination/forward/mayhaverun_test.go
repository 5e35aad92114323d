package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/directory"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// refusals records the codes with which requests end.
type refusals struct {
	noMetrics
	mu    sync.Mutex
	codes []resultcode.Code
}

func (r *refusals) Refusal(code resultcode.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes = append(r.codes, code)
}

// listOnly lists the test's endpoints as far as change keeps them. It tells change which one
// has the identifier.
func listOnly(s *Server, change func(e *directory.Endpoint, first bool) (keep bool), first string) {
	var list []pool.Endpoint
	for _, e := range testEndpoints() {
		if change(&e.Endpoint, e.ID == first) {
			list = append(list, e)
		}
	}
	s.SetEndpoints(list)
}

// takeAllSlots takes more slots than all endpoints have, and never releases them.
func takeAllSlots(s *Server) {
	s.step(func(now time.Duration, e *pool.Entry) {
		for range 40 {
			plain, model := &pool.Query{Service: "plain", Overcommit: plainOvercommit}, &pool.Query{Service: "models", Model: "m"}
			s.mu.queue.Add(&pool.Waiter{Query: plain, Target: now, Deadline: now + time.Hour, Granted: func(*pool.Reservation) {}, Refused: func() {}})
			e.RequestSlot(now, model, now, now+time.Hour, func(pool.Outcome) {})
		}
		s.dispatchLocked(now, e.Table)
	})
}

// Guards against a request that may have run at its first endpoint and then ends with an
// answer that says it has not run, in each way that it can end.
func TestPossibleRunOutlivesEveryEnd(t *testing.T) {
	refused := reply{status: 503, header: http.Header{"Not-Run": {"1"}, "Id": {"id-1"}}}
	type step func(s *Server, ctx context.Context, cancel func(), r *exchange.Request)
	none := func(*Server, context.Context, func(), *exchange.Request) {}
	untilEnd := func(_ *Server, ctx context.Context, _ func(), _ *exchange.Request) { <-ctx.Done() }
	nearEnd := func(_ *Server, ctx context.Context, _ func(), _ *exchange.Request) {
		end, _ := ctx.Deadline()
		time.Sleep(time.Until(end) - minTimeLeft/2)
	}
	withoutOthers := func(s *Server, _ context.Context, _ func(), r *exchange.Request) {
		listOnly(s, func(_ *directory.Endpoint, first bool) bool { return first }, r.Header.Get("Endpoint"))
	}
	withoutSlots := func(s *Server, _ context.Context, _ func(), _ *exchange.Request) { takeAllSlots(s) }
	evacuateAll := func(s *Server, _ context.Context, _ func(), _ *exchange.Request) {
		listOnly(s, func(e *directory.Endpoint, _ bool) bool { e.Evacuated = true; return true }, "")
	}
	withBudget := func(retries float64) step {
		return func(s *Server, _ context.Context, _ func(), _ *exchange.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.mu.budget = NewRetryBudget(10*time.Second, 0, retries/budgetMargin)
		}
	}
	drain := func(s *Server, _ context.Context, _ func(), _ *exchange.Request) { s.Drain(0) }
	drainLater := func(s *Server, ctx context.Context, cancel func(), r *exchange.Request) {
		withoutSlots(s, ctx, cancel, r)
		time.AfterFunc(20*time.Millisecond, func() { s.Drain(time.Minute) })
	}
	leave := func(_ *Server, _ context.Context, cancel func(), _ *exchange.Request) { cancel() }
	leaveLater := func(s *Server, ctx context.Context, cancel func(), r *exchange.Request) {
		withoutSlots(s, ctx, cancel, r)
		time.AfterFunc(20*time.Millisecond, cancel)
	}
	lost := reply{err: errMayHaveRun}
	for name, test := range map[string]struct {
		first, second step // before the replies of the first two sends
		replies       []reply
	}{
		"deadline":                            {untilEnd, none, []reply{lost}},
		"refused, deadline":                   {none, nearEnd, []reply{lost, refused}},
		"too late to be sent":                 {nearEnd, none, []reply{lost}},
		"refused by the next":                 {none, none, []reply{lost, refused}},
		"misdirected at the next":             {none, none, []reply{lost, {status: 421, header: http.Header{"Id": {"id-1"}}}}},
		"next unreachable":                    {none, none, []reply{lost, {err: resultcode.New(resultcode.EndpointUnreachable, "no connection")}}},
		"stop":                                {drain, none, []reply{lost}},
		"refused, stop":                       {none, drain, []reply{lost, refused}},
		"stop while it waits":                 {drainLater, none, []reply{lost}},
		"full":                                {withoutSlots, none, []reply{lost}},
		"no endpoint":                         {withoutOthers, none, []reply{lost}},
		"evacuated":                           {evacuateAll, none, []reply{lost}},
		"retry budget spent":                  {withBudget(0), none, []reply{lost}},
		"refused, retry budget spent":         {withBudget(1), none, []reply{lost, refused}},
		"caller gone":                         {leave, none, []reply{lost}},
		"refused, caller gone":                {none, leave, []reply{lost, refused}},
		"caller gone while it waits":          {leaveLater, none, []reply{lost}},
		"unconfirmed answer, then refused":    {none, none, []reply{{status: 200, header: http.Header{"Id": {"id-1"}}}, refused}},
		"answer of another, then refused":     {none, none, []reply{{status: 503, header: http.Header{"Not-Run": {"1"}}, reused: true}, refused}},
		"server error, then refused":          {none, none, []reply{{status: 500, header: sealed()}, refused}},
		"truncated answer, then refused":      {none, none, []reply{{status: 200, header: sealed(), body: "x", length: 5, truncated: true}, refused}},
		"503 that confirms nothing, at first": {none, none, []reply{{status: 503, header: sealed()}, refused}},
		"503 that confirms nothing, after it": {none, none, []reply{lost, {status: 503, header: http.Header{"Id": {"id-1"}}}}},
		"429 that confirms nothing, after it": {none, none, []reply{lost, {status: 429, header: http.Header{"Id": {"id-1"}}}}},
		"408 that confirms nothing, after it": {none, none, []reply{lost, {status: 408, header: http.Header{"Id": {"id-1"}}}}},
	} {
		for _, path := range []string{"/often/x", "/resumed/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w, metrics := newFixture(t, test.replies...), &refusals{}
				w.server.cfg.Metrics = metrics
				w.server.cfg.Client = hookedClient{w.endpoints, func(sent context.Context, r *exchange.Request) {
					switch len(w.endpoints.sends()) {
					case 0:
						test.first(w.server, sent, cancel, r)
					case 1:
						test.second(w.server, sent, cancel, r)
					}
				}}
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("body"))
				r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}, "Model": {modelOf(path)}, "Wait": {"600ms"}}
				out := httptest.NewRecorder()
				aborted := serveAborted(w.server, out, r)
				if len(w.endpoints.sends()) == 0 {
					t.Fatal("the request was not sent")
				}
				if !aborted && claimsNotRun(out.Code) {
					t.Errorf("the caller got status %d", out.Code)
				}
				for _, code := range metrics.codes {
					if code.Info().Run == resultcode.NotRun {
						t.Errorf("the request ended with %s", code)
					}
				}
			})
		}
	}
}

// hookedClient calls before with each request, ahead of the reply.
type hookedClient struct {
	*fakeEndpoints
	before func(ctx context.Context, r *exchange.Request)
}

func (h hookedClient) Do(ctx context.Context, r *exchange.Request) (*exchange.Response, error) {
	h.before(ctx, r)
	return h.fakeEndpoints.Do(ctx, r)
}

// serveAborted serves a request and reports whether its response was broken off.
func serveAborted(s *Server, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	s.ServeHTTP(w, r)
	return false
}

package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
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
	// loadPoll is the pause between two calls for a load that requests wait for,
	// loadPause that after a call that was not accepted, loadLimit bounds a call.
	loadPoll  = 100 * time.Millisecond
	loadPause = 600 * time.Millisecond
	loadLimit = time.Second
	// refusalReserve is how long after the end of a wait the refusal of a broker may
	// arrive.
	refusalReserve = 50 * time.Millisecond
	// waitPart is the part of the time left for which a request may wait for a
	// place before it is refused as not run.
	waitPart = 0.5
	// streamPatience, patienceTargets and patiencePauses bound how long callers of
	// streams wait for the next event; the longest counts.
	streamPatience  = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// firstEventReserve is the time from a place to the first event that an answer
	// in time leaves beside the reading of its prompt, of which an engine reads
	// readRate tokens in a millisecond by the platform's page.
	firstEventReserve = 100 * time.Millisecond
	readRate          = 25.8
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
	query    pool.Query

	sends   int
	ran     int // endpoints that may have run it
	relay   *relay
	waited  time.Duration // for places
	lastErr *resultcode.Error
	// leaving: the endpoint of the present send said that it leaves.
	leaving bool
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

// run sends the request until it is answered or nothing more may be tried.
func (c *call) run() {
	for {
		started := c.server.now()
		t, err := c.place()
		c.waited += c.server.now() - started
		if err != nil {
			c.finish(err)
			return
		}
		c.leaving = false
		result, err := c.send(t)
		c.server.done(t, result, c.leaving)
		if err == nil {
			c.served(t)
			return
		}
		if result == pool.Failed {
			c.noteLoss(t.ID, err)
		}
		c.lastErr = err
		c.query.Exclude = append(c.query.Exclude, t.ID)
		if !c.again(err) {
			c.finish(err)
			return
		}
		c.server.cfg.Metrics.Retry(err.Code.Info().Name)
		c.server.log.Info("another endpoint is tried", "request", c.req.ID, "endpoint", t.ID, "code", err.Code, "error", err.Error(), "sends", c.sends)
	}
}

// served records an answer, with a line for a stream that was late.
func (c *call) served(t *target) {
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

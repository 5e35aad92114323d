package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

const (
	// defaultBodyBytes is the limit on a request body if the catalog sets none.
	defaultBodyBytes = 4 << 20
	// minTimeLeft is the shortest time in which an endpoint can respond. A request
	// with less time left is not sent.
	minTimeLeft = 5 * time.Millisecond
	// maxNotRunRetries bounds the retries of a request that endpoints did not run.
	maxNotRunRetries = 3
	// firstByteTargets is how long an idempotent request of a plain service waits
	// for the first byte before another endpoint is tried, as a multiple of the
	// route's target.
	firstByteTargets = 4
	// maxBufferedBody is the size up to which a response of a plain service is read
	// completely before its head is passed on. The request can then still be
	// retried or refused if the response is truncated.
	maxBufferedBody = 256 << 10
	// plainOvercommit is how many requests beyond its slots an endpoint of a plain
	// service may have, as a ratio to its slots.
	plainOvercommit = 1.5
	// prefixMissRatio is the fraction of a prompt's shared parts that an engine has
	// to prefill again.
	prefixMissRatio = 0.25
	// loadPollInterval is the delay between two calls to the leader for a load that
	// requests wait for, loadRetryDelay the delay after a failed call, and
	// loadTimeout the timeout of a call.
	loadPollInterval = 100 * time.Millisecond
	loadRetryDelay   = 600 * time.Millisecond
	loadTimeout      = time.Second
	// refusalGrace is how long the refusal of a broker is awaited after the queue
	// deadline.
	refusalGrace = 50 * time.Millisecond
	// queueTimeRatio is the fraction of the time left that a request may wait for a
	// slot before it is refused as not run.
	queueTimeRatio = 0.5
	// streamQueueTimeRatio is the same for a request that continues a stream: another
	// entry could not serve it sooner, and the rest takes less time than a whole stream.
	streamQueueTimeRatio = 0.75
	// Callers of streams are assumed to give up if they wait for an event longer than
	// the largest of minCallerTimeout, callerTimeoutTargets times the route's target,
	// and callerTimeoutPauses times the route's longest pause.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutPauses  = 8
	// targetReserve is the time between the grant of a slot and the first event,
	// besides the prefill of the prompt, that is reserved within the route's target.
	targetReserve = 100 * time.Millisecond
	// prefillRate is how many prompt tokens an engine prefills in a millisecond, by
	// the platform's documentation.
	prefillRate = 25.8
	// evacuatedRetryAfter plus a random part of evacuatedRetrySpread is the Retry-After
	// value of a refusal because of an evacuation, which lasts minutes.
	evacuatedRetryAfter  = 3 * time.Second
	evacuatedRetrySpread = 2 * time.Second
	// firstEventReserve is the part of the caller's timeout that is reserved for the
	// endpoint to produce the first event.
	firstEventReserve = 600 * time.Millisecond
)

// call is a request in progress.
type call struct {
	server  *Server
	w       http.ResponseWriter
	ctx     context.Context
	arrived time.Duration
	// takesChunks is set if the caller understands chunked bodies (HTTP/1.1).
	takesChunks bool
	req         *Request
	index       *catalog.Index
	route       *catalog.Route
	customer    *catalog.Customer
	service     *catalog.Service
	cost        float64
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Duration
	query    pool.Query

	// cancelSend ends the exchange of the current send.
	cancelSend   context.CancelFunc
	sends        int
	possibleRuns int // number of endpoints that may have run the request
	relay        *relay
	waited       time.Duration // total time in queues for slots
	holdLimit    time.Duration // until when the request may be held; zero before it is
	hash         uint64        // of the request, once hashed
	hashed       bool
	lastErr      *resultcode.Error
	// endpointLeaving is set if the endpoint of the current send stated that it is
	// leaving.
	endpointLeaving bool
	// keptConnection is set if the response to the current send came over a connection
	// that had carried another request.
	keptConnection bool

	// stream identifies the stream that the request begins or takes up; zero if its
	// attempt is not stated. current is the slot of the current send. begun is set once
	// an event has been passed on of a stream that another endpoint may resume.
	stream  uint64
	current *slot
	// described is set if the list of endpoints describes the process that sent the
	// current response.
	described bool
	begun     *begunStream
	// takeUp is the outcome of a request that takes up a stream; empty for others.
	takeUp            string
	resumptionRefused bool
}

func (c *call) serve(r *http.Request) {
	if err := c.admit(r); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.deadline-c.server.now())
	defer cancel()
	c.ctx = ctx
	defer c.releaseHeld()
	defer c.countTakeUp()
	if err := c.takeUpStream(); err != nil {
		c.finish(err)
		return
	}
	c.count()
	c.run()
}

func (c *call) releaseHeld() {
	if c.relay != nil {
		c.relay.release()
	}
}

// run sends the request to endpoints until it gets a response or no further retry
// is allowed.
func (c *call) run() {
	for {
		started := c.server.now()
		c.waitForList()
		c.waitForCurrentList()
		c.waitWhileHeld()
		err := c.checkQuarantine()
		if err == nil {
			err = c.checkStop()
		}
		if err == nil {
			err = c.restrictVersion()
		}
		if err != nil {
			c.finish(err)
			return
		}
		to, err := c.acquireSlot()
		c.waited += c.server.now() - started
		if err != nil {
			c.finish(c.versionRefusal(err))
			return
		}
		if held, _ := c.held(); held || c.checkQuarantine() != nil || !c.maySend(to) {
			c.server.releaseSlot(to, pool.Unknown, false)
			continue
		}
		c.endpointLeaving = false
		result, err := c.send(to)
		c.server.releaseSlot(to, result, c.endpointLeaving)
		if err == nil {
			c.served(to)
			return
		}
		if result == pool.Failed {
			c.recordLost(to.EndpointID, err)
		}
		c.lastErr = err
		c.query.Exclude = append(c.query.Exclude, to.EndpointID)
		if !c.allowRetry(err) {
			c.finish(err)
			return
		}
		c.server.cfg.Metrics.Retry(err.Code.Info().Name)
		c.server.log.Info("retrying at another endpoint", "request", c.req.ID, "endpoint", to.EndpointID, "address", to.Address,
			"code", err.Code, "error", err.Error(), "sends", c.sends, "kept_connection", c.keptConnection, "stream_version", c.query.SoftwareVersion)
	}
}

// checkStop refuses a request that this process might cut off when it stops. A stream
// that has begun goes on.
func (c *call) checkStop() *resultcode.Error {
	s := c.server
	if !s.isDraining() || c.deadline <= s.stopEnd || c.relay != nil {
		return nil
	}
	return drainingError("this VM stops in %d ms, before the request's deadline", (s.stopEnd - s.now()).Milliseconds())
}

// served records the times of a response, and logs a stream that missed the
// route's target or had too long a pause.
func (c *call) served(to *slot) {
	c.server.logFirstServed(c.service.Name)
	c.recordCompleted()
	took := c.server.now() - c.arrived
	if c.relay == nil {
		c.server.cfg.Metrics.ResponseTime(took)
		return
	}
	c.recordOutput()
	r := c.relay
	c.server.cfg.Metrics.StreamTimes(r.first, r.pause)
	if r.first <= c.route.Target && r.pause <= c.route.MaxEventGap {
		return
	}
	c.server.log.Info("response late", "request", c.req.ID, "endpoint", to.EndpointID, "model", c.req.Model, "urgency", c.query.Urgency,
		"waited_ms", c.waited.Milliseconds(), "first_ms", r.first.Milliseconds(), "pause_ms", r.pause.Milliseconds(),
		"prompt", c.req.PromptTokens, "sends", c.sends)
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool { return c.route.Idempotent() }

// allowRetry reports whether the request may be sent to another endpoint, and
// charges the retry budget if so.
func (c *call) allowRetry(err *resultcode.Error) bool {
	if c.ctx.Err() != nil || c.deadline-c.server.now() < minTimeLeft {
		return false
	}
	if c.relay != nil && (!c.relay.resumable() || c.restrictVersion() != nil) {
		return false
	}
	if err.Code.Info().Run != resultcode.NotRun {
		c.possibleRuns++
		if !c.idempotent() || c.possibleRuns >= c.route.MaxAttempts {
			return false
		}
	} else if c.sends-c.possibleRuns > maxNotRunRetries {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.mu.budget.Spend(c.server.now(), c.service.Name)
}

package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// finish ends a request that got no complete response from an endpoint.
func (c *call) finish(err *resultcode.Error) {
	if c.sends > 0 && c.possibleRuns == 0 && err.Code.Info().Run != resultcode.NotRun {
		c.possibleRuns = 1
	}
	if c.possibleRuns > 0 && err.Code.Info().Run == resultcode.NotRun {
		err = c.lastErr
		if err.Code.Info().Run == resultcode.NotRun {
			err = resultcode.Wrap(resultcode.EndpointLost, err, "an earlier attempt may have run the request")
		}
	}
	if c.possibleRuns == 0 {
		c.server.mu.Lock()
		c.server.mu.buckets.Refund(c.customer, c.cost)
		c.server.mu.Unlock()
	}
	if c.relay != nil {
		took := c.server.now() - c.arrived
		c.server.log.Info("response truncated", "request", c.req.ID, "code", err.Code, "model", c.req.Model, "sends", c.sends, "ms", took.Milliseconds(),
			"first_ms", c.relay.first.Milliseconds(), "silent_ms", (took - c.relay.last).Milliseconds(), "error", err.Error(),
			"stream_version", c.query.SoftwareVersion)
		c.relay.abort()
	}
	c.refuse(err)
}

// customerName returns the name of the request's customer, or "".
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// Bounds of the random Retry-After value of a refusal whose cause does not tell
// when a retry may succeed.
const (
	retryAfterMin    = 300 * time.Millisecond
	retryAfterSpread = 700 * time.Millisecond
)

// drainingRetryAfter is the Retry-After value of a refusal because this VM stops: another
// one can serve the request at once.
const drainingRetryAfter = 20 * time.Millisecond

// drainingError returns the error for a request that this process may not live to
// complete.
func drainingError(format string, args ...any) *resultcode.Error {
	err := resultcode.New(resultcode.Draining, format, args...)
	err.RetryAfter = drainingRetryAfter
	return err
}

// refuse writes the response to a request that no endpoint has served.
func (c *call) refuse(err *resultcode.Error) {
	c.server.cfg.Metrics.Refusal(err.Code)
	var version uint64
	if c.index != nil {
		version = c.index.Version()
	}
	c.server.log.Info("request refused", "request", c.req.ID, "code", err.Code, "customer", c.customerName(), "model", c.req.Model,
		"catalog", version, "control_age_ms", c.server.controlAge().Milliseconds(), "sends", c.sends, "ms", (c.server.now() - c.arrived).Milliseconds(), "error", err.Error(),
		"stream_version", c.query.SoftwareVersion, "take_up", c.takeUp)
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
	c.server.cfg.Codec.SetRequestID(h, c.req.ID)
	h.Set(resultcode.Header, strconv.Itoa(int(err.Code)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, err.Summary()+"\n") // the caller may have disconnected
}

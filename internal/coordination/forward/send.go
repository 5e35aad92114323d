package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/pool"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/catalog"
)

// send makes one exchange with an endpoint. A nil error means that the request
// has its answer.
func (c *call) send(t *target) (pool.Result, *resultcode.Error) {
	s := c.server
	left := c.deadline - s.now()
	if left < minimumLeft {
		return pool.Unknown, resultcode.New(resultcode.DeadlineTooClose, "%d ms are left", left.Milliseconds())
	}
	c.sends++
	a := Attempt{EndpointID: t.ID, Customer: c.customerName(), TimeLeft: left, ResumeAfter: c.req.LastEventID}
	if c.relay != nil && c.relay.lastID != "" {
		a.ResumeAfter = c.relay.lastID
	}
	resp, err := s.cfg.Client.Do(c.ctx, &exchange.Request{
		Address: t.Address, Host: c.req.Host, Method: c.req.Method, Target: c.req.Target,
		Header: s.cfg.Codec.AttemptHeader(c.req, a), Body: c.req.Body, IdleTimeout: c.silence(left),
		AllowCloseDelimited: true,
		MatchResponse:       func(h http.Header) bool { return s.cfg.Codec.MatchesRequest(h, c.req.ID) },
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
func (c *call) failed(err error) (pool.Result, *resultcode.Error) {
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		coded = resultcode.Wrap(resultcode.EndpointLost, err, "the exchange failed")
	}
	if c.ctx.Err() != nil {
		return pool.Unknown, coded
	}
	return pool.Failed, coded
}

// answer passes an endpoint's answer on, or returns why it cannot.
func (c *call) answer(t *target, resp *exchange.Response) (pool.Result, *resultcode.Error) {
	s := c.server
	a := s.cfg.Codec.DecodeResponse(resp.Status, resp.Header)
	c.leaving = a.Leaving && a.NotRun
	s.step(func(now time.Duration, e *pool.Entry) {
		if a.HasLoad {
			e.Table.Observe(now, t.ID, a.Load)
		}
		if c.leaving {
			e.Table.MarkLeaving(t.ID)
		}
		if t.place != nil && !a.NotRun && !a.Misdirected {
			e.MarkPrefilled(now, t.place)
		}
	})
	switch {
	case a.Misdirected:
		c.drop(resp)
		return pool.Absent, resultcode.New(resultcode.EndpointRefused, "endpoint %s has another incarnation or lacks the model", t.ID)
	case a.NotRun:
		c.drop(resp)
		return pool.Refused, resultcode.New(resultcode.EndpointRefused, "endpoint %s did not run the request", t.ID)
	case resp.Status < 300 && !a.Sealed, !c.idempotent() && claimsNotRun(resp.Status):
		resp.Body.Discard()
		return pool.Failed, resultcode.New(resultcode.AnswerMismatch, "endpoint %s answered with status %d and no proof", t.ID, resp.Status)
	case c.relay != nil && resp.Status != http.StatusOK:
		c.drop(resp)
		return pool.Succeeded, resultcode.New(resultcode.StreamBroken, "endpoint %s does not go on with the stream: status %d", t.ID, resp.Status)
	case resp.Status >= http.StatusInternalServerError && c.idempotent() && c.ran+1 < c.route.MaxAttempts && c.relay == nil && c.mayRetry():
		c.drop(resp)
		return pool.Succeeded, resultcode.New(resultcode.EndpointLost, "endpoint %s failed with status %d", t.ID, resp.Status)
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
func (c *call) pass(t *target, resp *exchange.Response) (pool.Result, *resultcode.Error) {
	if c.relay == nil {
		if resp.ContentLength >= 0 && resp.ContentLength <= maxBuffered && c.route.Kind != catalog.Streaming {
			return c.passWhole(resp)
		}
		c.relay = newRelay(c, resp)
	}
	if err := c.relay.copy(resp); err != nil {
		return c.failed(err)
	}
	return pool.Succeeded, nil
}

// passWhole reads the answer before it writes the head.
func (c *call) passWhole(resp *exchange.Response) (pool.Result, *resultcode.Error) {
	body := make([]byte, resp.ContentLength)
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
	return pool.Succeeded, nil
}

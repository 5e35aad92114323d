package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Outcomes of requests that take up a stream.
const (
	takeUpOwnMemory  = "own_memory"  // continued at the version that this entry knows
	takeUpLeader     = "leader"      // continued at the version that the leader knows
	takeUpUnknown    = "unknown"     // refused: the version is unknown
	takeUpNoEndpoint = "no_endpoint" // refused: no usable endpoint has the version
)

// newStreamRetryAfter is the Retry-After value of a refusal to continue a stream: a new
// one can begin at once.
const newStreamRetryAfter = 20 * time.Millisecond

// takesUp reports whether the caller continues a stream with this request.
func (c *call) takesUp() bool { return c.req.LastEventID != "" && c.resumable() }

// pickService returns the service for the request: that which began the stream that the
// caller takes up, if this entry knows it, or one by the weights of the route.
func (c *call) pickService() string {
	if c.takesUp() {
		s := c.server
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, split := range c.route.Splits {
			if _, found := s.mu.streams.Version(s.now(), streamKey(split.Service, c.req.Resumes)); found {
				return split.Service
			}
		}
	}
	return c.route.PickService(rand.Float64())
}

// takeUpStream restricts a request that takes up a stream to the software version that
// began it, and refuses the request if that is unknown.
func (c *call) takeUpStream() *resultcode.Error {
	attempt := c.req.ID
	if c.takesUp() {
		attempt = c.req.Resumes
	}
	c.stream = streamKey(c.service.Name, attempt)
	if !c.takesUp() {
		return nil
	}
	c.query.SoftwareVersion, c.takeUp = c.beganAt()
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return resultcode.New(resultcode.CallerGone, "the caller disconnected while the request waited for the software version of its stream")
	}
	if c.query.SoftwareVersion == "" {
		c.takeUp = takeUpUnknown
		return notResumable("the software version that began the stream is unknown")
	}
	return nil
}

// beganAt returns the software version that began the stream which the caller takes up,
// and where it is known from.
func (c *call) beganAt() (version, source string) {
	s := c.server
	s.mu.Lock()
	version, found := s.mu.streams.Version(s.now(), c.stream)
	services, complete := s.mu.routeHistory.services(s.now(), c.route.Host, c.req.Path)
	s.mu.Unlock()
	if found {
		return version, takeUpOwnMemory
	}
	if !complete || len(services) != 1 {
		return "", takeUpUnknown // the leader cannot tell which of them began the stream
	}
	return s.lookUpStream(c.ctx, lookupKey{c.stream, c.service.Name}), takeUpLeader
}

func notResumable(format string, args ...any) *resultcode.Error {
	err := resultcode.New(resultcode.StreamNotResumable, format, args...)
	err.RetryAfter = newStreamRetryAfter
	return err
}

// countTakeUp counts the outcome of a request that took up a stream.
func (c *call) countTakeUp() {
	if c.takeUp != "" {
		c.server.cfg.Metrics.TakeUp(c.takeUp)
	}
}

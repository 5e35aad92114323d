package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// Outcomes of requests that take up a stream.
const (
	takeUpOwnMemory  = "own_memory"  // continued at the version that this entry knows
	takeUpLeader     = "leader"      // continued at the version that the leader knows
	takeUpUnknown    = "unknown"     // refused: the service or the version is unknown
	takeUpMoved      = "moved"       // refused: the route no longer leads to the service
	takeUpPending    = "pending"     // refused: the leader is new and may learn it
	takeUpNoEndpoint = "no_endpoint" // refused: no usable endpoint has the version
)

const (
	// newStreamRetryAfter is the Retry-After value of a refusal to continue a stream: a new
	// one can begin at once.
	newStreamRetryAfter = 20 * time.Millisecond
	// pendingRetryAfter is that of a refusal to continue a stream of which the leader may
	// learn with the entries' reports, which arrive within about a second.
	pendingRetryAfter = 500 * time.Millisecond
)

// takesUp reports whether the caller continues a stream with this request.
func (c *call) takesUp() bool { return c.req.LastEventID != "" && c.resumable() }

// takeUpStream restricts a request that takes up a stream to the service and the software
// version that began it, and refuses the request if they are unknown or if the route no
// longer leads to the service.
func (c *call) takeUpStream() *resultcode.Error {
	attempt := c.req.ID
	if c.takesUp() {
		attempt = c.req.Resumes
	}
	c.stream = streamKey(c.route.Host, attempt)
	if !c.takesUp() {
		return nil
	}
	answer, source := c.beganAt()
	origin := answer.origin
	c.takeUp = source
	if errors.Is(c.ctx.Err(), context.Canceled) {
		return resultcode.New(resultcode.CallerGone, "the caller disconnected while the request waited for the origin of its stream")
	}
	if answer.pending {
		c.takeUp = takeUpPending
		err := notResumable("the leader is new and does not know yet which service and software version began the stream")
		err.RetryAfter = pendingRetryAfter
		return err
	}
	if origin.version == "" {
		c.takeUp = takeUpUnknown
		return notResumable("the service or the software version that began the stream is unknown")
	}
	if !slices.Contains(c.route.Services(), origin.service) {
		c.takeUp = takeUpMoved
		return notResumable("route %q no longer leads to service %q, which began the stream", c.route.Name, origin.service)
	}
	c.setService(origin.service)
	c.query.SoftwareVersion = origin.version
	return nil
}

// beganAt returns the origin of the stream that the caller takes up, and where it is
// known from.
func (c *call) beganAt() (answer lookupAnswer, source string) {
	s := c.server
	s.mu.Lock()
	origin, found := s.mu.streams.Origin(s.now(), c.stream)
	key := s.lookupKeyLocked(c)
	s.mu.Unlock()
	if found {
		return lookupAnswer{origin: origin}, takeUpOwnMemory
	}
	if key.stream == 0 && key.service == "" {
		return lookupAnswer{}, takeUpUnknown // neither the attempt nor the route names a service
	}
	return s.lookUpStream(c.ctx, key), takeUpLeader
}

// lookupKeyLocked returns the question for the origin of the stream that a request takes up.
// It names the present catalog, which may be later than that of the request.
func (s *Server) lookupKeyLocked(c *call) lookupKey {
	now, history := s.now(), &s.mu.routeHistory
	key := lookupKey{stream: c.stream, catalogVersion: s.index.Load().Version(), earlierRoutesUnknown: history.young(now)}
	if services, complete := history.services(now, c.route.Host, c.req.Path); complete && len(services) == 1 {
		key.service = services[0]
	}
	return key
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

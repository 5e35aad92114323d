package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// cancelTimeout bounds the call that cancels a request at its engine.
const cancelTimeout = time.Second

// attempt is one send of a request to one endpoint.
type attempt struct {
	id          string
	number      uint64
	to          engine.Target
	reservation *routing.Reservation
	began       time.Duration
	// responseStarted means that part of the response was received.
	responseStarted bool
	// onIdleEndpoint means that according to its last report the endpoint ran no
	// other request.
	onIdleEndpoint bool
	// unhealthy means that the status of the response reports a failing endpoint.
	unhealthy bool
}

// attempt sends the request to the endpoint of the reservation and forwards the
// response. It always releases the reservation.
func (s *Server) attempt(ctx context.Context, c *call, w ResponseWriter, wait *waiter, reservation *routing.Reservation) error {
	a := &attempt{
		number: s.counter.Add(1), reservation: reservation, onIdleEndpoint: wait.query.Exclusive && wait.query.IdleEndpoint,
		to: engine.Target{Name: reservation.Endpoint, Address: reservation.Address},
	}
	a.id = fmt.Sprintf("%s.%.8s.%d", c.ID, s.incarnation, a.number)
	stored, err := s.renewClaim(ctx, c)
	if err == nil && stored == nil {
		err = s.recheck(c)
	}
	if err == nil && stored == nil {
		err = s.recheckQuarantine(c)
	}
	if err == nil && stored == nil {
		err = s.schedule.checkEvacuation(reservation)
	}
	if err == nil && stored == nil {
		err = checkContext(ctx)
	}
	if err != nil || stored != nil {
		s.schedule.release(reservation, wait, routing.Neutral, c.route.Name, 0, 0)
		if err != nil {
			return err
		}
		return s.replay(c, stored, w)
	}
	send, cancel := s.sendContext(ctx, c)
	defer cancel()
	a.began = s.now()
	s.trackAttempt(c, a)
	err = s.send(send, c, w, a)
	if err != nil {
		err = cancellationError(send, err)
		c.noteUncertain(err)
		s.cancelAtEngine(c, a, err)
	}
	s.endAttempt(c, a, err)
	s.schedule.release(reservation, wait, s.outcome(send, c, a, err), c.route.Name, s.now()-a.began, max(1, c.usedTokens))
	return err
}

// checkContext refuses a send if the caller has disconnected or the deadline has
// passed. This is the last chance to stop a non-idempotent call, which is not
// cancelled once it has been sent.
func checkContext(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.Canceled:
		return resultcode.New(resultcode.CallerGone, "the caller disconnected before the request was sent")
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "the deadline passed before the request was sent")
	}
}

// sendContext returns the context of a send. It ends with the caller or at the
// deadline, except for a non-idempotent call, which runs to completion.
func (s *Server) sendContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.route.Idempotent || s.faults.cancelClaimed {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), maxDetachedTime)
}

// cancelAtEngine cancels a model request whose response will not be read. A stream
// is cancelled by its Close instead, and a non-idempotent call is never cancelled.
func (s *Server) cancelAtEngine(c *call, a *attempt, err error) {
	if !c.model() || !c.route.Idempotent || a.responseStarted {
		return
	}
	switch resultcode.Of(err) {
	case resultcode.EndpointSilent, resultcode.AnswerMismatch, resultcode.CallerGone:
	default:
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.config.Engine.Cancel(ctx, a.to, a.id); err != nil {
			s.log.Debug("could not cancel a request at its engine", "endpoint", a.to.Name, "error", err)
		}
	}()
}

// noteUncertain keeps a failure after which the request may have run.
func (c *call) noteUncertain(err error) {
	if e := asResultError(err); e.Code.Info().Run != resultcode.NotRun {
		c.uncertain = e
	}
}

// cancellationError replaces the error of a send that was cancelled by this entry by
// the reason of the cancellation. It returns other errors unchanged.
func cancellationError(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded && resultcode.Of(err) == resultcode.Internal {
		return resultcode.Wrap(resultcode.EndpointSilent, err, "the response was not complete at the deadline")
	}
	if ctx.Err() != context.Canceled {
		return err
	}
	var cause *resultcode.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return resultcode.Wrap(resultcode.CallerGone, err, "the caller disconnected")
}

// outcome returns what the result of an attempt says about the endpoint's health.
func (s *Server) outcome(ctx context.Context, c *call, a *attempt, err error) routing.Outcome {
	switch resultcode.Of(err) {
	case resultcode.OK:
		if a.unhealthy {
			return routing.Failure
		}
		return routing.Success
	case resultcode.EndpointRefused:
		return routing.Refused
	case resultcode.EndpointSilent:
		// The deadline also cuts off long responses and requests that were sent
		// late, so the endpoint is blamed only after twice the estimated time.
		if ctx.Err() != nil && (a.responseStarted || s.now()-a.began < 2*s.estimatedTime(c)) {
			return routing.Neutral
		}
		return routing.Failure
	case resultcode.EndpointUnreachable, resultcode.EndpointLost, resultcode.AnswerIncomplete,
		resultcode.AnswerMismatch, resultcode.StreamBroken:
		return routing.Failure
	default:
		return routing.Neutral
	}
}

func (s *Server) send(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	switch {
	case !c.model():
		return s.sendService(ctx, c, w, a)
	case c.Stream:
		return s.sendStream(ctx, c, w, a)
	default:
		return s.sendUnary(ctx, c, w, a)
	}
}

// freshConnection reports whether the request needs a new connection, because an
// open one may have gone silent. This holds for requests that must not be sent twice
// and for retries.
func (c *call) freshConnection() bool { return !c.route.Idempotent || c.retries > 0 }

func (s *Server) engineRequest(c *call, a *attempt) engine.Request {
	return engine.Request{
		ID: a.id, Path: c.Path, Body: c.Body, Priority: c.profile.Priority, Stream: c.Stream,
		IdleTimeout: c.idleTimeout(), FreshConnection: c.freshConnection(),
	}
}

// markResponseStarted records that the response to an attempt has begun.
func (s *Server) markResponseStarted(c *call, a *attempt) {
	if a.responseStarted {
		return
	}
	a.responseStarted = true
	s.schedule.firstByte(a.reservation)
	s.markAlive(a.to.Name)
	if c.Stream {
		s.observer.FirstToken(c.metricLabels(), s.now()-c.arrived)
	}
}

func (s *Server) sendUnary(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	response, err := s.config.Engine.Do(ctx, a.to, s.engineRequest(c, a))
	if err != nil {
		if asResultError(err).Code.Info().Run != resultcode.NotRun {
			s.charge(c, unchargedPrompt(c))
		}
		return err
	}
	s.markResponseStarted(c, a)
	a.unhealthy = isUnhealthyStatus(response.Status)
	used := uint64(max(0, response.Tokens))
	if used == 0 {
		used = c.hold.Tokens
	}
	s.charge(c, used-min(used, c.usedTokens))
	s.demand.add(c, 0, used)
	return s.deliver(c, w, response.Status, response.Header, response.Body)
}

// unchargedPrompt returns the number of prompt tokens that were not charged yet.
func unchargedPrompt(c *call) uint64 {
	return uint64(c.PromptTokens) - min(uint64(c.PromptTokens), c.usedTokens)
}

// deliver writes a complete response. It finishes the claim first, so that a caller
// that has seen the response gets the same one when it repeats the request.
func (s *Server) deliver(c *call, w ResponseWriter, status int, header http.Header, body []byte) error {
	if c.claim != nil {
		c.record.status, c.record.header = status, header
		c.record.add(body)
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_RAN, c.record.storedAnswer())
	}
	c.started = true
	if err := w.Start(status, header); err != nil {
		return callerGone(err)
	}
	if err := w.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

// isUnhealthyStatus reports whether the status blames the server rather than the
// request.
func isUnhealthyStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (s *Server) sendService(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	query, header := stripKeys(c)
	if s.faults.keepKeys {
		query, header = c.RawQuery, c.Header
	}
	response, err := s.config.Service.Do(ctx, a.to, engine.ServiceRequest{
		ID: a.id, Method: c.Method, Path: c.servicePath(), RawQuery: query, Header: header, Body: c.Body,
		IdleTimeout: c.idleTimeout(), FreshConnection: c.freshConnection(),
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.markResponseStarted(c, a)
	a.unhealthy = isUnhealthyStatus(response.Status)
	if response.Length >= 0 && response.Length <= maxStoredBody {
		// A short response is read completely before it is forwarded, so that the
		// request can still be retried if the response is cut off.
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		return s.deliver(c, w, response.Status, response.Header, body)
	}
	return s.copyBody(c, w, response)
}

func (c *call) servicePath() string {
	if !c.route.StripPrefix {
		return c.Path
	}
	path := strings.TrimPrefix(c.Path, strings.TrimSuffix(c.route.PathPrefix, "/"))
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return path
}

// copyBody forwards a long response, or one of unknown length, while it arrives.
func (s *Server) copyBody(c *call, w ResponseWriter, response *engine.ServiceResponse) error {
	if c.record != nil {
		c.record.status, c.record.header = response.Status, response.Header
	}
	c.started = true
	if err := w.Start(response.Status, response.Header); err != nil {
		return callerGone(err)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if c.record != nil {
				c.record.add(buffer[:n])
			}
			if err := w.Write(buffer[:n]); err != nil {
				return callerGone(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

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

// cancelTimeout bounds the order to an engine to stop a request.
const cancelTimeout = time.Second

// attempt is one send of a request to one endpoint.
type attempt struct {
	id     string
	number uint64
	to     engine.Target
	ticket *routing.Reservation
	began  time.Duration
	// answering says that a part of the answer arrived.
	answering bool
	// isolated says that the endpoint ran nothing else by its last report.
	isolated bool
	// unwell says that the answer itself speaks of a failing endpoint.
	unwell bool
}

// attempt sends the request to the endpoint of the ticket and passes the
// answer on. Whatever happens, it gives the ticket back.
func (s *Server) attempt(ctx context.Context, c *call, w ResponseWriter, wait *waiter, ticket *routing.Reservation) error {
	a := &attempt{
		number: s.counter.Add(1), ticket: ticket, isolated: wait.query.Exclusive && wait.query.IdleEndpoint,
		to: engine.Target{Name: ticket.Endpoint, Address: ticket.Address},
	}
	a.id = fmt.Sprintf("%s.%.8s.%d", c.ID, s.incarnation, a.number)
	stored, err := s.renewClaim(ctx, c)
	if err == nil && stored == nil {
		err = s.recheck(c)
	}
	if err == nil && stored == nil {
		err = s.convicted(c)
	}
	if err == nil && stored == nil {
		err = inTime(ctx)
	}
	if err != nil || stored != nil {
		s.schedule.release(ticket, wait, routing.Neutral, c.route.Name, 0, 0)
		if err != nil {
			return err
		}
		return s.replay(c, stored, w)
	}
	send, cancel := s.sendContext(ctx, c)
	defer cancel()
	a.began = s.now()
	s.beginSuspect(c, a)
	err = s.send(send, c, w, a)
	if err != nil {
		err = cancelled(send, err)
		c.note(err)
		s.cancelAtEngine(c, a, err)
	}
	s.endSuspect(c, a, err)
	s.schedule.release(ticket, wait, s.outcome(send, c, a, err), c.route.Name, s.now()-a.began, max(1, c.used))
	return err
}

// inTime refuses a send whose caller left, or whose deadline passed, while the
// request was on its way here. A non-idempotent call could not be stopped any
// more.
func inTime(ctx context.Context) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.Canceled:
		return resultcode.New(resultcode.CallerGone, "the caller left before the request was sent")
	default:
		return resultcode.New(resultcode.DeadlineTooClose, "the deadline passed before the request was sent")
	}
}

// sendContext is that of the caller and the deadline, except for a
// non-idempotent call, which runs to its end.
func (s *Server) sendContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.route.Idempotent || s.faults.cancelClaimed {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), maxRun)
}

// cancelAtEngine stops the work on a model request whose answer nobody will
// read. A stream is cancelled by its Close, and a non-idempotent call never.
func (s *Server) cancelAtEngine(c *call, a *attempt, err error) {
	if !c.model() || !c.route.Idempotent || a.answering {
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
			s.log.Debug("cancel failed", "endpoint", a.to.Name, "error", err)
		}
	}()
}

// note remembers a failure after which the request may have run.
func (c *call) note(err error) {
	if e := refusal(err); e.Code.Info().Run != resultcode.NotRun {
		c.uncertain = e
	}
}

// cancelled names the reason of a send that was stopped from this side.
func cancelled(ctx context.Context, err error) error {
	if ctx.Err() == context.DeadlineExceeded && resultcode.Of(err) == resultcode.Internal {
		return resultcode.Wrap(resultcode.EndpointSilent, err, "no whole answer before the deadline")
	}
	if ctx.Err() != context.Canceled {
		return err
	}
	var cause *resultcode.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return resultcode.Wrap(resultcode.CallerGone, err, "the caller left")
}

// outcome is what the end of an attempt says of its endpoint.
func (s *Server) outcome(ctx context.Context, c *call, a *attempt, err error) routing.Outcome {
	switch resultcode.Of(err) {
	case resultcode.OK:
		if a.unwell {
			return routing.Failure
		}
		return routing.Success
	case resultcode.EndpointRefused:
		return routing.Refused
	case resultcode.EndpointSilent:
		// The deadline ends long answers, and requests that were sent late; only
		// an endpoint that had twice the usual time counts as silent.
		if ctx.Err() != nil && (a.answering || s.now()-a.began < 2*s.usualTime(c)) {
			return routing.Neutral
		}
		return routing.Failure
	case resultcode.EndpointSilentNotRun, resultcode.EndpointLost, resultcode.AnswerIncomplete,
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
		return s.sendWhole(ctx, c, w, a)
	}
}

// freshConnection forbids the reuse of a connection that may have gone silent:
// for requests that cannot be sent twice, and for retries.
func (c *call) freshConnection() bool { return !c.route.Idempotent || c.retries > 0 }

func (s *Server) engineRequest(c *call, a *attempt) engine.Request {
	return engine.Request{
		ID: a.id, Path: c.Path, Body: c.Body, Priority: c.profile.Priority, Stream: c.Stream,
		IdleTimeout: c.silence(), FreshConnection: c.freshConnection(),
	}
}

// answering notes the first part of an answer.
func (s *Server) answering(c *call, a *attempt) {
	if a.answering {
		return
	}
	a.answering = true
	s.schedule.firstByte(a.ticket)
	s.alive(a.to.Name)
	if c.Stream {
		s.observer.FirstToken(c.class(), s.now()-c.arrived)
	}
}

func (s *Server) sendWhole(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	answer, err := s.config.Engine.Do(ctx, a.to, s.engineRequest(c, a))
	if err != nil {
		if refusal(err).Code.Info().Run != resultcode.NotRun {
			s.charge(c, promptLeft(c))
		}
		return err
	}
	s.answering(c, a)
	a.unwell = unwell(answer.Status)
	used := uint64(max(0, answer.Tokens))
	if used == 0 {
		used = c.hold.Tokens
	}
	s.charge(c, used-min(used, c.used))
	s.demand.add(c, 0, used)
	return s.deliver(c, w, answer.Status, answer.Header, answer.Body)
}

// promptLeft is the part of the prompt that was not charged yet.
func promptLeft(c *call) uint64 {
	return uint64(c.PromptTokens) - min(uint64(c.PromptTokens), c.used)
}

// deliver writes a whole answer. The claim is finished first, so that a repeat
// of a request whose answer was seen gets the same answer.
func (s *Server) deliver(c *call, w ResponseWriter, status int, header http.Header, body []byte) error {
	if c.claim != nil {
		c.record.status, c.record.header = status, header
		c.record.add(body)
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_RAN, c.record.answer())
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

// unwell is true for the statuses with which servers report that they, not the
// request, failed.
func unwell(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func (s *Server) sendService(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	query, header := clean(c)
	if s.faults.keepKeys {
		query, header = c.RawQuery, c.Header
	}
	answer, err := s.config.Service.Do(ctx, a.to, engine.ServiceRequest{
		ID: a.id, Method: c.Method, Path: c.servicePath(), RawQuery: query, Header: header, Body: c.Body,
		IdleTimeout: c.silence(), FreshConnection: c.freshConnection(),
	})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	s.answering(c, a)
	a.unwell = unwell(answer.Status)
	if answer.Length >= 0 && answer.Length <= maxStored {
		// A short answer is read whole before it is passed on: if it is cut,
		// the request can still be sent elsewhere.
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return err
		}
		return s.deliver(c, w, answer.Status, answer.Header, body)
	}
	return s.copyBody(c, w, answer)
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

// copyBody passes a long answer on while it arrives.
func (s *Server) copyBody(c *call, w ResponseWriter, answer *engine.ServiceResponse) error {
	if c.record != nil {
		c.record.status, c.record.header = answer.Status, answer.Header
	}
	c.started = true
	if err := w.Start(answer.Status, answer.Header); err != nil {
		return callerGone(err)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
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

package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

const (
	// claimWindow is how long after a claim was proposed the first byte of the
	// request may be sent. The state machine does not end a silent session earlier,
	// so a claim that is used within the window cannot belong to a session that has
	// ended without this entry noticing.
	claimWindow = 10 * time.Second
	// claimMargin covers the time between the last check of the window and the first
	// byte.
	claimMargin = time.Second
	// proposeTimeout bounds each proposal of a command.
	proposeTimeout = 2 * time.Second
	// finishTimeout is how long a response is delayed until the outcome of its claim
	// is committed, so that an immediate repeat of the request is replayed.
	finishTimeout      = 500 * time.Millisecond
	claimRetryInterval = 50 * time.Millisecond
	maxStoredBody      = 64 << 10
	finisherCount      = 4
	eventsHeader       = "Radishloom-Stored-Events"
)

// heldClaim is the claim that one request holds on its idempotency key.
type heldClaim struct {
	key     *statev1.ClaimKey
	attempt string
	// proposedAt is the time of the first proposal, which is not later than the
	// commit.
	proposedAt time.Duration
	// outcomeUnknown means that the outcome of some proposal is unknown. A result of
	// a later proposal does not change that: the earlier one can still be applied
	// after another attempt has released the claim.
	outcomeUnknown bool
}

// beginClaim commits a claim before anything is sent. If the request has already
// run, it returns the stored response.
func (s *Server) beginClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	c.claim = &heldClaim{
		key:        &statev1.ClaimKey{Customer: c.customerName(), Route: c.route.Name, IdempotencyKey: c.IdempotencyKey},
		attempt:    s.unique(),
		proposedAt: s.now(),
	}
	stored, err := s.proposeClaim(ctx, c)
	if err == nil && stored == nil {
		return nil, nil
	}
	if c.claim.outcomeUnknown {
		s.finisher.add(c.claim.finish(statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
		s.observer.ClaimUnfinished(c.metricLabels())
	}
	c.claim = nil
	return stored, err
}

// proposeClaim repeats the proposal, with the same attempt identifier, until the
// outcome is known or ctx ends.
func (s *Server) proposeClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	body := sha256.Sum256(c.Body)
	for {
		command := &statev1.Command{Op: &statev1.Command_ClaimBegin{ClaimBegin: &statev1.ClaimBegin{
			Key: c.claim.key, BodySha256: body[:], Session: s.replica.Session(), Attempt: c.claim.attempt,
		}}}
		tryCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		result, err := s.replica.Propose(tryCtx, command)
		cancel()
		retry := false
		switch {
		case err != nil:
			retry = true
			c.claim.outcomeUnknown = c.claim.outcomeUnknown || resultcode.Of(err).Info().Run != resultcode.NotRun
		case result.GetClaim() != nil:
			retry = result.Claim.State == statev1.ClaimState_CLAIM_STATE_SESSION_ENDED
			if !retry {
				return claimAnswer(result.Claim)
			}
		case resultcode.Code(result.GetCode()) == resultcode.NoLeader:
			retry = true
		default:
			return nil, claimRefusal(result)
		}
		if s.faults.sendUnconfirmed && retry {
			return nil, nil
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
		}
		if ctx.Err() == context.Canceled {
			return nil, resultcode.New(resultcode.CallerGone, "the caller disconnected before the claim was committed")
		}
		if ctx.Err() != nil {
			return nil, resultcode.Wrap(resultcode.ClaimUnavailable, err, "the claim was not committed before the deadline")
		}
	}
}

// claimRefusal returns the error for a result without a claim state. The request was
// not sent, so a code that does not mean "not run" is replaced.
func claimRefusal(r *statev1.Result) error {
	code := resultcode.Code(r.Code)
	if code == resultcode.OK || code.Info().Run != resultcode.NotRun {
		code = resultcode.ClaimUnavailable
	}
	return resultcode.New(code, "the claim was refused: %s", r.Message)
}

// claimAnswer returns the stored response of a claim that is done, nil for a granted
// claim, and an error for any other state.
func claimAnswer(r *statev1.ClaimResult) (*statev1.StoredAnswer, error) {
	switch r.State {
	case statev1.ClaimState_CLAIM_STATE_GRANTED:
		return nil, nil
	case statev1.ClaimState_CLAIM_STATE_DONE:
		if r.Answer == nil || r.Answer.Truncated {
			return nil, resultcode.New(resultcode.ClaimAnswerTooBig, "the request with this idempotency key has run, but its response was not stored")
		}
		return r.Answer, nil
	case statev1.ClaimState_CLAIM_STATE_RUNNING:
		return nil, resultcode.New(resultcode.ClaimRunning, "a request with this idempotency key is still running")
	case statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN:
		return nil, resultcode.New(resultcode.ClaimMayHaveRun, "an earlier request with this idempotency key may have run")
	case statev1.ClaimState_CLAIM_STATE_BODY_DIFFERS:
		return nil, resultcode.New(resultcode.ClaimBodyDiffers, "the idempotency key was used with a different body")
	case statev1.ClaimState_CLAIM_STATE_FULL:
		return nil, resultcode.New(resultcode.ClaimsFull, "the limit on stored claims has been reached")
	case statev1.ClaimState_CLAIM_STATE_EXPIRED:
		return nil, resultcode.New(resultcode.ClaimTooOld, "the idempotency key is older than the retention period of claims")
	default:
		return nil, resultcode.New(resultcode.ClaimUnavailable, "unknown claim state %v", r.State)
	}
}

// renewClaim is called right before a send. It ends a claim that is too old as not
// run and begins a new one.
func (s *Server) renewClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	for c.claim != nil && s.now()-c.claim.proposedAt > claimWindow-claimMargin {
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
		if stored, err := s.beginClaim(ctx, c); stored != nil || err != nil {
			return stored, err
		}
	}
	return nil, nil
}

func (h *heldClaim) finish(o statev1.ClaimOutcome, a *statev1.StoredAnswer) *statev1.ClaimFinish {
	return &statev1.ClaimFinish{Key: h.key, Attempt: h.attempt, Outcome: o, Answer: a}
}

// endClaim commits the outcome of the claim. If that does not succeed within
// finishTimeout, the finisher continues in the background.
func (s *Server) endClaim(c *call, o statev1.ClaimOutcome, a *statev1.StoredAnswer) {
	if c.claim == nil {
		return
	}
	f := c.claim.finish(o, a)
	c.claim = nil
	if s.finisher.propose(context.Background(), f, finishTimeout) {
		return
	}
	s.observer.ClaimUnfinished(c.metricLabels())
	s.finisher.add(f)
}

// finisher commits the outcomes of claims in the background.
type finisher struct {
	replica Replica
	pending atomic.Int64 // outcomes that are not committed yet
	mu      sync.Mutex
	queue   []*statev1.ClaimFinish
	wake    chan struct{}
}

func newFinisher(r Replica) *finisher {
	return &finisher{replica: r, wake: make(chan struct{}, 1)}
}

func (f *finisher) add(e *statev1.ClaimFinish) {
	f.pending.Add(1)
	f.enqueue(e)
}

func (f *finisher) enqueue(e *statev1.ClaimFinish) {
	f.mu.Lock()
	f.queue = append(f.queue, e)
	f.mu.Unlock()
	f.signal()
}

func (f *finisher) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *finisher) next() *statev1.ClaimFinish {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) == 0 {
		return nil
	}
	e := f.queue[0]
	f.queue = f.queue[1:]
	if len(f.queue) > 0 {
		f.signal()
	}
	return e
}

// propose proposes an outcome once and reports whether it is settled. Any result
// except NoLeader and DiskFull settles it, because the state machine ignores the
// outcome of a claim that it does not know.
func (f *finisher) propose(ctx context.Context, e *statev1.ClaimFinish, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := f.replica.Propose(ctx, &statev1.Command{Op: &statev1.Command_ClaimFinish{ClaimFinish: e}})
	if err != nil {
		return false
	}
	code := resultcode.Code(result.GetCode())
	return code != resultcode.NoLeader && code != resultcode.DiskFull
}

// run commits queued outcomes until ctx ends.
func (f *finisher) run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for e := f.next(); e != nil; e = f.next() {
			if f.propose(ctx, e, proposeTimeout) {
				f.pending.Add(-1)
				continue
			}
			f.enqueue(e)
			select {
			case <-time.After(claimRetryInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// recording keeps a response for replay, unless its body exceeds maxStoredBody.
type recording struct {
	status int
	header http.Header
	body   []byte
	events bool
	full   bool
}

func (r *recording) add(p []byte) {
	if r.full || len(r.body)+len(p) > maxStoredBody {
		r.full, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// event adds one event, preceded by its length.
func (r *recording) event(data []byte) {
	r.events = true
	r.add(append(binary.AppendUvarint(nil, uint64(len(data))), data...))
}

func (r *recording) storedAnswer() *statev1.StoredAnswer {
	a := &statev1.StoredAnswer{Status: uint32(r.status), Body: r.body, Truncated: r.full}
	for name, values := range r.header {
		for _, v := range values {
			a.Headers = append(a.Headers, &statev1.Header{Name: name, Value: v})
		}
	}
	if r.events {
		a.Headers = append(a.Headers, &statev1.Header{Name: eventsHeader, Value: "1"})
	}
	return a
}

// replay writes a stored response.
func replay(a *statev1.StoredAnswer, w ResponseWriter) error {
	header := make(http.Header)
	for _, h := range a.Headers {
		header.Add(h.Name, h.Value)
	}
	events := header.Get(eventsHeader) != ""
	header.Del(eventsHeader)
	if err := w.Start(int(a.Status), header); err != nil {
		return callerGone(err)
	}
	if !events {
		if err := w.Write(a.Body); err != nil {
			return callerGone(err)
		}
		return nil
	}
	for body := a.Body; len(body) > 0; {
		length, n := binary.Uvarint(body)
		if n <= 0 || length > uint64(len(body)-n) {
			return resultcode.Wrap(resultcode.Internal, fmt.Errorf("event of %d bytes, but only %d bytes are left", length, len(body)), "the stored response is corrupt")
		}
		if err := w.Event(body[n : n+int(length)]); err != nil {
			return callerGone(err)
		}
		body = body[n+int(length):]
	}
	return nil
}

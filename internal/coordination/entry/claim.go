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
	// claimWindow is how long after a claim the first byte may be sent. The
	// state machine ends a silent session no earlier, so a claim that is used
	// within the window cannot belong to an ended session unnoticed.
	claimWindow = 10 * time.Second
	// claimMargin covers the time between the last check and the first byte.
	claimMargin = time.Second
	// proposeTimeout bounds one try to commit a claim.
	proposeTimeout = 2 * time.Second
	// finishWait is how long an answer waits for the end of its claim to be
	// committed, so that a repeat right after it is replayed.
	finishWait   = 500 * time.Millisecond
	claimPause   = 50 * time.Millisecond
	maxStored    = 64 << 10
	finishers    = 4
	eventsHeader = "Radishloom-Stored-Events"
)

// heldClaim is the hold of one request on its idempotency key.
type heldClaim struct {
	key     *statev1.ClaimKey
	attempt string
	// since is when the first proposal was sent: never later than the commit.
	since time.Duration
	// unknown says that a proposal was sent whose outcome is not known. A later
	// answer does not settle it: the lost copy can still be applied, after
	// another attempt released the claim.
	unknown bool
}

// beginClaim commits a claim before anything is sent. It returns the stored
// answer if the request has run before.
func (s *Server) beginClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	c.claim = &heldClaim{
		key:     &statev1.ClaimKey{Customer: c.customerName(), Route: c.route.Name, IdempotencyKey: c.IdempotencyKey},
		attempt: s.unique(),
		since:   s.now(),
	}
	stored, err := s.proposeClaim(ctx, c)
	if err == nil && stored == nil {
		return nil, nil
	}
	if c.claim.unknown {
		s.finisher.add(c.claim.finish(statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
		s.observer.ClaimUnfinished(c.class())
	}
	c.claim = nil
	return stored, err
}

// proposeClaim repeats the proposal under the same attempt identifier until its
// outcome is known or the deadline is over.
func (s *Server) proposeClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	body := sha256.Sum256(c.Body)
	for {
		command := &statev1.Command{Op: &statev1.Command_ClaimBegin{ClaimBegin: &statev1.ClaimBegin{
			Key: c.claim.key, BodySha256: body[:], Session: s.replica.Session(), Attempt: c.claim.attempt,
		}}}
		try, cancel := context.WithTimeout(ctx, proposeTimeout)
		result, err := s.replica.Propose(try, command)
		cancel()
		again := false
		switch {
		case err != nil:
			again = true
			c.claim.unknown = c.claim.unknown || resultcode.Of(err).Info().Run != resultcode.NotRun
		case result.GetClaim() != nil:
			again = result.Claim.State == statev1.ClaimState_CLAIM_STATE_SESSION_ENDED
			if !again {
				return claimAnswer(result.Claim)
			}
		case resultcode.Code(result.GetCode()) == resultcode.NoLeader:
			again = true
		default:
			return nil, claimRefused(result)
		}
		if s.faults.sendUnconfirmed && again {
			return nil, nil
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
		}
		if ctx.Err() == context.Canceled {
			return nil, resultcode.New(resultcode.CallerGone, "the caller left before the claim was committed")
		}
		if ctx.Err() != nil {
			return nil, resultcode.Wrap(resultcode.ClaimUnavailable, err, "the claim was not committed before the deadline")
		}
	}
}

// claimRefused turns a result without a claim state into an error. Only codes
// that mean "not run" are passed on: nothing was sent.
func claimRefused(r *statev1.Result) error {
	code := resultcode.Code(r.Code)
	if code == resultcode.OK || code.Info().Run != resultcode.NotRun {
		code = resultcode.ClaimUnavailable
	}
	return resultcode.New(code, "the claim was refused: %s", r.Message)
}

// claimAnswer returns nil, nil only for a granted claim.
func claimAnswer(r *statev1.ClaimResult) (*statev1.StoredAnswer, error) {
	switch r.State {
	case statev1.ClaimState_CLAIM_STATE_GRANTED:
		return nil, nil
	case statev1.ClaimState_CLAIM_STATE_DONE:
		if r.Answer == nil || r.Answer.Truncated {
			return nil, resultcode.New(resultcode.ClaimAnswerTooBig, "the request ran; its answer was not kept")
		}
		return r.Answer, nil
	case statev1.ClaimState_CLAIM_STATE_RUNNING:
		return nil, resultcode.New(resultcode.ClaimRunning, "a request with this idempotency key is running")
	case statev1.ClaimState_CLAIM_STATE_MAY_HAVE_RUN:
		return nil, resultcode.New(resultcode.ClaimMayHaveRun, "a request with this idempotency key may have run")
	case statev1.ClaimState_CLAIM_STATE_BODY_DIFFERS:
		return nil, resultcode.New(resultcode.ClaimBodyDiffers, "the idempotency key was used with another body")
	case statev1.ClaimState_CLAIM_STATE_FULL:
		return nil, resultcode.New(resultcode.ClaimsFull, "no further claim can be kept")
	case statev1.ClaimState_CLAIM_STATE_EXPIRED:
		return nil, resultcode.New(resultcode.ClaimTooOld, "the idempotency key is older than the retention of claims")
	default:
		return nil, resultcode.New(resultcode.ClaimUnavailable, "the claim has the unknown state %v", r.State)
	}
}

// renewClaim makes sure, right before a send, that the claim is young enough.
// An old one is given up as not run and taken anew.
func (s *Server) renewClaim(ctx context.Context, c *call) (*statev1.StoredAnswer, error) {
	for c.claim != nil && s.now()-c.claim.since > claimWindow-claimMargin {
		s.endClaim(c, statev1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
		if stored, err := s.beginClaim(ctx, c); stored != nil || err != nil {
			return stored, err
		}
	}
	return nil, nil
}

func (k *heldClaim) finish(o statev1.ClaimOutcome, a *statev1.StoredAnswer) *statev1.ClaimFinish {
	return &statev1.ClaimFinish{Key: k.key, Attempt: k.attempt, Outcome: o, Answer: a}
}

// endClaim commits how the request ended. It waits a moment for the commit and
// leaves the rest to the finisher.
func (s *Server) endClaim(c *call, o statev1.ClaimOutcome, a *statev1.StoredAnswer) {
	if c.claim == nil {
		return
	}
	f := c.claim.finish(o, a)
	c.claim = nil
	if s.finisher.try(context.Background(), f, finishWait) {
		return
	}
	s.observer.ClaimUnfinished(c.class())
	s.finisher.add(f)
}

// finisher commits the ends of claims in the background.
type finisher struct {
	replica Replica
	pending atomic.Int64 // added and not committed yet
	mu      sync.Mutex
	queue   []*statev1.ClaimFinish
	wake    chan struct{}
}

func newFinisher(r Replica) *finisher {
	return &finisher{replica: r, wake: make(chan struct{}, 1)}
}

func (f *finisher) add(e *statev1.ClaimFinish) {
	f.pending.Add(1)
	f.put(e)
}

func (f *finisher) put(e *statev1.ClaimFinish) {
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

// try proposes once. Any result counts as done: the state machine ignores the
// end of a claim that it does not know.
func (f *finisher) try(ctx context.Context, e *statev1.ClaimFinish, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result, err := f.replica.Propose(ctx, &statev1.Command{Op: &statev1.Command_ClaimFinish{ClaimFinish: e}})
	if err != nil {
		return false
	}
	code := resultcode.Code(result.GetCode())
	return code != resultcode.NoLeader && code != resultcode.DiskFull
}

// run commits queued ends until ctx is over.
func (f *finisher) run(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for e := f.next(); e != nil; e = f.next() {
			if f.try(ctx, e, proposeTimeout) {
				f.pending.Add(-1)
				continue
			}
			f.put(e)
			select {
			case <-time.After(claimPause):
			case <-ctx.Done():
				return
			}
		}
	}
}

// recording keeps an answer of up to 64 KiB for replay.
type recording struct {
	status int
	header http.Header
	body   []byte
	events bool
	full   bool
}

func (r *recording) add(p []byte) {
	if r.full || len(r.body)+len(p) > maxStored {
		r.full, r.body = true, nil
		return
	}
	r.body = append(r.body, p...)
}

// event adds one event behind its length.
func (r *recording) event(data []byte) {
	r.events = true
	r.add(append(binary.AppendUvarint(nil, uint64(len(data))), data...))
}

func (r *recording) answer() *statev1.StoredAnswer {
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

// replay writes a stored answer.
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
			return resultcode.Wrap(resultcode.Internal, fmt.Errorf("event of %d bytes in %d", length, len(body)), "the stored answer is damaged")
		}
		if err := w.Event(body[n : n+int(length)]); err != nil {
			return callerGone(err)
		}
		body = body[n+int(length):]
	}
	return nil
}

package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	// maxResumes bounds the attempts to resume a stream without a new event in
	// between.
	maxResumes    = 2
	resumeBackoff = 20 * time.Millisecond
)

// streams holds the open streams of keyed requests, so that they can be ended when
// their key is withdrawn.
type streams struct {
	mu   sync.Mutex
	open map[*call]context.CancelCauseFunc
}

func (s *streams) add(c *call, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = cancel
}

func (s *streams) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// cancelWithdrawn ends the streams whose key is no longer valid.
func (s *Server) cancelWithdrawn(index *config.Index) {
	s.streams.mu.Lock()
	var ended []*call
	for c, cancel := range s.streams.open {
		if s.keyValid(c, index) {
			continue
		}
		ended = append(ended, c)
		if c.route.Idempotent {
			cancel(resultcode.New(resultcode.KeyWithdrawnMidStream, "the key was withdrawn"))
		} else {
			close(c.withdrawn) // only the response ends; the call runs to completion
		}
	}
	for _, c := range ended {
		delete(s.streams.open, c)
	}
	s.streams.mu.Unlock()
}

// streamReader reads one streamed response, resuming it on new connections if needed.
type streamReader struct {
	s         *Server
	c         *call
	a         *attempt
	request   engine.Request
	stream    engine.Stream
	next      int // number of the next event
	resumes   int // attempts since the last event
	lastEvent time.Duration
}

func (s *Server) sendStream(ctx context.Context, c *call, w ResponseWriter, a *attempt) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.customer != nil {
		s.streams.add(c, cancel)
		defer s.streams.remove(c)
		// The key may have been withdrawn after the last check and before the
		// stream was registered.
		if err := s.recheck(c); err != nil {
			return err
		}
	}
	r := &streamReader{s: s, c: c, a: a, request: s.engineRequest(c, a)}
	var err error
	r.stream, err = s.config.Engine.Open(ctx, a.to, r.request)
	if err != nil {
		return cancellationError(ctx, err)
	}
	r.request.Incarnation = r.stream.Incarnation()
	defer func() { _ = r.stream.Close() }()
	err = r.copy(ctx, w)
	if err != nil && !c.started {
		// The engine may have processed the prompt, so it is charged.
		s.charge(c, unchargedPrompt(c))
	}
	return err
}

// copy forwards events up to the final one.
func (r *streamReader) copy(ctx context.Context, w ResponseWriter) error {
	for {
		event, err := r.read(ctx)
		if err != nil {
			if err = r.resume(ctx, cancellationError(ctx, err)); err != nil {
				return err
			}
			continue
		}
		if event.Seq < r.next && !event.Final && !r.s.faults.blindResume {
			continue // already forwarded before a resume
		}
		if err := r.forwardEvent(w, event); err != nil {
			return err
		}
		if event.Final {
			return nil
		}
	}
}

// read returns the next event. A gap in the sequence numbers is an error.
func (r *streamReader) read(ctx context.Context) (engine.Event, error) {
	event, err := r.stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		return event, resultcode.New(resultcode.AnswerIncomplete, "the stream ended without its final event")
	}
	if err == nil && event.Seq > r.next {
		return event, resultcode.New(resultcode.StreamBroken, "received event %d instead of event %d", event.Seq, r.next)
	}
	return event, err
}

// forwardEvent charges the tokens of an event and forwards it to the caller.
func (r *streamReader) forwardEvent(w ResponseWriter, event engine.Event) error {
	s, c := r.s, r.c
	now := s.now()
	if !c.started {
		c.started = true
		s.markResponseStarted(c, r.a)
		s.charge(c, unchargedPrompt(c))
		header := http.Header{"Content-Type": {"text/event-stream"}}
		if c.record != nil {
			c.record.status, c.record.header, c.record.events = http.StatusOK, header, true
		}
		if err := w.Start(http.StatusOK, header); err != nil {
			return callerGone(err)
		}
	} else {
		s.observer.TokenGap(c.metricLabels(), now-r.lastEvent)
	}
	r.lastEvent = now
	c.recordEventTime(now)
	r.resumes = 0
	s.charge(c, uint64(max(0, event.Tokens)))
	s.demand.add(c, 0, uint64(max(0, event.Tokens)))
	if event.Final {
		return nil
	}
	r.next++
	if c.record != nil {
		c.record.event(event.Data)
	}
	if err := w.Event(event.Data); err != nil {
		return callerGone(err)
	}
	return nil
}

// recordEventTime records the time at which an event was forwarded.
func (c *call) recordEventTime(now time.Duration) {
	if c.events == 0 {
		c.firstEvent = now
	}
	c.lastEvent = now
	c.events++
}

// resume continues the stream at the next event, on a new connection to the same
// incarnation of the same endpoint. If no event was received yet, it returns cause, and
// the retry rules apply. If the stream cannot be resumed, it returns an error with the code
// StreamBroken, unless the key was withdrawn or the context ended.
func (r *streamReader) resume(ctx context.Context, cause error) error {
	if !resumable(cause) || r.next == 0 || ctx.Err() != nil {
		return cause
	}
	_ = r.stream.Close()
	for r.resumes < maxResumes {
		r.resumes++
		if err := r.s.recheck(r.c); resultcode.Of(err) == resultcode.KeyWithdrawn {
			return resultcode.New(resultcode.KeyWithdrawnMidStream, "the key was withdrawn")
		} else if err != nil {
			return resultcode.Wrap(resultcode.StreamBroken, err, "the stream broke and cannot be resumed without a check of the key")
		}
		request := r.request
		request.ResumeFrom = r.next
		request.FreshConnection = true
		stream, err := r.s.config.Engine.Open(ctx, r.a.to, request)
		if err == nil {
			r.stream = stream
			r.s.observer.Resumed(r.c.metricLabels(), true)
			return nil
		}
		if ctx.Err() != nil {
			return cancellationError(ctx, err)
		}
		select {
		case <-time.After(resumeBackoff):
		case <-ctx.Done():
			return cancellationError(ctx, cause)
		}
	}
	r.s.observer.Resumed(r.c.metricLabels(), false)
	return resultcode.Wrap(resultcode.StreamBroken, cause, "the stream broke after %d events and could not be resumed", r.next)
}

func resumable(err error) bool {
	switch resultcode.Of(err) {
	case resultcode.EndpointLost, resultcode.EndpointSilent, resultcode.AnswerIncomplete,
		resultcode.AnswerMismatch, resultcode.StreamBroken:
		return true
	default:
		return false
	}
}

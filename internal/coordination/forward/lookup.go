package forward

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

const (
	// lookupTimeout bounds the wait for the origin of a stream that a caller takes up.
	// Within it a query can wait for the call in flight to fail, and for one of its own.
	// streamsCallTimeout bounds a call to the leader.
	lookupTimeout      = 600 * time.Millisecond
	streamsCallTimeout = 280 * time.Millisecond
	// lookupRetryDelay is the pause before a leader is called again that refused a call or
	// gave a pending answer.
	lookupRetryDelay = 100 * time.Millisecond
	// maxQueriesPerCall bounds the queries of one call.
	maxQueriesPerCall = 1024
	// The streams that began are reported at most once in reportInterval plus
	// reportIntervalPerEntry for each live entry, which bounds the calls at the leader.
	reportInterval         = 100 * time.Millisecond
	reportIntervalPerEntry = 2 * time.Millisecond
)

// lookup asks the leader for the origin of a stream. The same lookup serves all requests
// that ask before it is sent: an answer to a call that was sent earlier may be older than
// the first event of the stream.
type lookup struct {
	query lookupKey
	// until is when nobody waits any more.
	until time.Duration
	// answer is valid once done is closed.
	answer lookupAnswer
	done   chan struct{}
}

// lookupAnswer is what a lookup has found out.
type lookupAnswer struct {
	origin streamOrigin
	// pending is set if the origin is unknown and the leader is new: it does not have the
	// reports of all entries yet.
	pending bool
}

// lookupKey is a question for the origin of a stream.
type lookupKey struct {
	stream uint64 // zero if the attempt is not stated
	// service is the only service that can have begun the stream by the catalogs that this
	// entry knows; empty if several can.
	service string
	// catalogVersion is that of the present catalog. earlierRoutesUnknown is set if this
	// entry has not known the catalogs for as long as a stream may last.
	catalogVersion       uint64
	earlierRoutesUnknown bool
}

func (k lookupKey) encode() *peerv1.StreamQuery {
	return &peerv1.StreamQuery{
		Stream: k.stream, Service: k.service,
		CatalogVersion: k.catalogVersion, EarlierRoutesUnknown: k.earlierRoutesUnknown,
	}
}

// lookups are the lookups that wait to be sent. They are guarded by Server.mu. ready has
// an element while there are any.
type lookups struct {
	waiting map[lookupKey]*lookup
	order   []*lookup
	ready   chan struct{}
}

func newLookups() lookups {
	return lookups{waiting: map[lookupKey]*lookup{}, ready: make(chan struct{}, 1)}
}

func (l *lookups) signal() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// add returns the lookup of a stream that is not sent yet.
func (l *lookups) add(now time.Duration, key lookupKey) *lookup {
	out := l.waiting[key]
	if out == nil {
		out = &lookup{query: key, done: make(chan struct{})}
		l.waiting[key] = out
		l.order = append(l.order, out)
	}
	out.until = now + lookupTimeout
	l.signal()
	return out
}

// take returns the lookups of the next call, without those that nobody waits for.
func (l *lookups) take(now time.Duration) []*lookup {
	var out []*lookup
	for len(l.order) > 0 && len(out) < maxQueriesPerCall {
		next := l.order[0]
		l.order = l.order[1:]
		if l.waiting[next.query] == next {
			delete(l.waiting, next.query)
		}
		if next.until > now {
			out = append(out, next)
		}
	}
	if len(l.order) > 0 {
		l.signal()
	}
	return out
}

// putBack makes a lookup that was not answered part of the next call. It keeps its end.
func (l *lookups) putBack(old *lookup) {
	if l.waiting[old.query] == nil {
		l.waiting[old.query] = old
	}
	l.order = append(l.order, old)
	l.signal()
}

// lookUpStream asks the leader for the origin of a stream, which has no version if it is
// unknown.
func (s *Server) lookUpStream(ctx context.Context, key lookupKey) lookupAnswer {
	s.mu.Lock()
	l := s.mu.lookups.add(s.now(), key)
	s.mu.Unlock()
	end := time.NewTimer(lookupTimeout)
	defer end.Stop()
	select {
	case <-l.done:
		return l.answer
	case <-end.C:
	case <-ctx.Done():
	}
	return lookupAnswer{}
}

func (s *Server) takeLookups() []*lookup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.lookups.take(s.now())
}

// takeBegun returns the streams of the next report to the leader and its message.
func (s *Server) takeBegun() ([]*begunStream, []*peerv1.BegunStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	batch := s.mu.streams.TakeUnreported(now)
	return batch, encodeBegun(now, batch)
}

func (s *Server) begunNotReported(batch []*begunStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.streams.NotReported(batch)
}

// leaderAnswered records that the leader of a term was heard of. It returns false if a
// later one is known.
func (s *Server) leaderAnswered(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.streams.Answered(term)
}

// forgetLeader records that the terms of leaders may begin anew.
func (s *Server) forgetLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.streams.ForgetLeader()
}

// streamReportInterval returns the least time between two reports of streams.
func (s *Server) streamReportInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reportInterval + time.Duration(s.mu.budget.entries)*reportIntervalPerEntry
}

// lookUpStreams sends the lookups of requests to the leader, one call at a time.
func (w *Watcher) lookUpStreams(ctx context.Context, s *Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mu.lookups.ready:
		}
		batch := s.takeLookups()
		if len(batch) == 0 {
			continue
		}
		if resp := w.askLeader(ctx, s, batch); resp != nil {
			setAnswers(batch, resp)
		}
		if s.finishLookups(batch) {
			sleep(ctx, lookupRetryDelay)
		}
	}
}

// setAnswers takes over the leader's answers to lookups. A leader of an earlier release
// names no services: it answers for the service of the query.
func setAnswers(batch []*lookup, resp *peerv1.StreamsResponse) {
	services, pending := resp.GetServices(), resp.GetPending()
	for i, l := range batch {
		origin := streamOrigin{l.query.service, resp.GetSoftwareVersions()[i]}
		if len(services) == len(batch) && services[i] != "" {
			origin.service = services[i]
		}
		l.answer = lookupAnswer{origin, len(pending) == len(batch) && pending[i]}
	}
}

// finishLookups ends the lookups of a call. Pending ones are part of the next call, if there
// is time for one. It reports whether there are such.
func (s *Server) finishLookups(batch []*lookup) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastCall := s.now() + lookupRetryDelay + streamsCallTimeout
	for _, l := range batch {
		if l.answer.pending && l.until > lastCall {
			s.mu.lookups.putBack(l)
			again = true
			continue
		}
		close(l.done)
	}
	return again
}

// askLeader returns the leader's answer to lookups, or nil if there is none. A call that
// failed is repeated if another VM has become the leader meanwhile, or if it failed early: a
// new leader has no list of endpoints at first.
func (w *Watcher) askLeader(ctx context.Context, s *Server, batch []*lookup) *peerv1.StreamsResponse {
	r := &peerv1.StreamsRequest{}
	for _, l := range batch {
		r.Queries = append(r.Queries, l.query.encode())
	}
	// A call that begins later could not end while the requests wait.
	lastCall := s.now() + lookupTimeout - streamsCallTimeout
	address := w.controls.loadAddress()
	resp, err := w.callStreams(ctx, address, r)
	for err != nil && ctx.Err() == nil {
		pause := lookupRetryDelay
		if w.controls.loadAddress() != address {
			pause = 0
		}
		if s.now()+pause > lastCall {
			break
		}
		sleep(ctx, pause)
		address = w.controls.loadAddress()
		resp, err = w.callStreams(ctx, address, r)
	}
	if err != nil {
		s.log.Info("origins of streams not learned", "streams", len(batch), "error", err.Error())
		return nil
	}
	s.leaderAnswered(resp.GetTerm())
	if len(resp.GetSoftwareVersions()) != len(batch) {
		s.log.Info("answer on the origins of streams does not match its call", "streams", len(batch), "answers", len(resp.GetSoftwareVersions()))
		return nil
	}
	return resp
}

// reportStreams reports to the leader where streams began, one call at a time.
func (w *Watcher) reportStreams(ctx context.Context, s *Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mu.streams.ready:
		}
		sleep(ctx, s.streamReportInterval())
		batch, begun := s.takeBegun()
		if len(batch) == 0 {
			continue
		}
		resp, err := w.callStreams(ctx, w.controls.loadAddress(), &peerv1.StreamsRequest{Begun: begun})
		if err != nil {
			s.log.Info("streams not reported", "streams", len(batch), "error", err.Error())
			s.begunNotReported(batch)
			continue
		}
		if !s.leaderAnswered(resp.GetTerm()) {
			s.begunNotReported(batch)
		}
	}
}

func (w *Watcher) callStreams(ctx context.Context, address string, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, streamsCallTimeout)
	defer cancel()
	return w.cfg.Directory.Streams(ctx, address, r)
}

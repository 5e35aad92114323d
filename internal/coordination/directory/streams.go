package directory

import (
	"context"
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// Streams records at which software versions streams began, and answers for others. A
// later leader may know versions that this one does not, so answers need a quorum that
// confirms the leadership after the call arrived.
func (s *Server) Streams(ctx context.Context, r *peerv1.StreamsRequest) (*peerv1.StreamsResponse, error) {
	term, err := s.recordStreams(r.GetBegun())
	if err != nil {
		return nil, err
	}
	out := &peerv1.StreamsResponse{Term: term}
	if len(r.GetQueries()) == 0 {
		return out, nil
	}
	if err := s.confirmTerm(ctx, term); err != nil {
		return nil, err
	}
	changed, err := s.lastRouteChange(ctx)
	if err != nil {
		return nil, err
	}
	return out, s.answerStreams(out, r.GetQueries(), changed)
}

// routeChange is the last change of the routes with resumable streams. A version of zero
// means that there was none.
type routeChange struct {
	catalogVersion uint64
	ago            time.Duration
}

func (s *Server) lastRouteChange(ctx context.Context) (routeChange, error) {
	version, ago, err := s.cfg.Leadership.StreamRoutesChanged(ctx)
	return routeChange{version, ago}, err
}

// onlyService returns the only service that can have begun the stream of a query, or an
// empty string. An entry may lack the catalog that changed the routes, or an earlier one.
func (c routeChange) onlyService(q *peerv1.StreamQuery) string {
	switch {
	case q.GetCatalogVersion() < c.catalogVersion:
		return ""
	case q.GetEarlierRoutesUnknown() && c.catalogVersion != 0 && c.ago <= streamMemory:
		return ""
	}
	return q.GetService()
}

// streamsTermLocked returns the term in which this VM can answer for streams.
func (s *Server) streamsTermLocked() (uint64, error) {
	if s.mu.term == 0 || s.frozenLocked() {
		return 0, notLeading()
	}
	if !s.mu.listed || !s.mu.versions.Opened() {
		return 0, errNotListed
	}
	return s.mu.term, nil
}

// recordStreams records reports and returns the term.
func (s *Server) recordStreams(begun []*peerv1.BegunStream) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term, err := s.streamsTermLocked()
	if err != nil {
		return 0, err
	}
	now := s.now()
	for _, b := range begun {
		origin := ServiceVersion{b.GetService(), b.GetSoftwareVersion()}
		s.mu.versions.Record(now, b.GetStream(), origin, time.Duration(b.GetAgeMs())*time.Millisecond)
	}
	s.countStreamsLocked()
	return term, nil
}

// confirmTerm returns an error unless a quorum confirms that this VM leads in the term.
// The term is read last: this VM may have led in two terms.
func (s *Server) confirmTerm(ctx context.Context, term uint64) error {
	if _, err := s.cfg.Leadership.ConfirmOwnership(ctx); err != nil {
		return err
	}
	if current, leading := s.cfg.Leadership.Leading(ctx); !leading || current != term {
		return notLeading()
	}
	return nil
}

// answerStreams adds the answers to queries to the response of a term.
func (s *Server) answerStreams(out *peerv1.StreamsResponse, queries []*peerv1.StreamQuery, changed routeChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, err := s.streamsTermLocked(); err != nil || current != out.GetTerm() {
		return notLeading()
	}
	now := s.now()
	for _, q := range queries {
		origin, kind := s.mu.versions.Answer(now, q.GetStream(), changed.onlyService(q))
		out.Services = append(out.Services, origin.Service)
		out.SoftwareVersions = append(out.SoftwareVersions, origin.Version)
		out.Pending = append(out.Pending, kind == StreamPending)
		s.cfg.Metrics.StreamAnswer(string(kind))
	}
	return nil
}

func (s *Server) countStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countStreamsLocked()
}

// countStreamsLocked records the number of recorded streams if it changed.
func (s *Server) countStreamsLocked() {
	n := 0
	if s.mu.versions != nil {
		n = s.mu.versions.Streams(s.now())
	}
	if n != s.mu.countedStreams {
		s.mu.countedStreams = n
		s.cfg.Metrics.RecordedStreams(n)
	}
}

package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// maxLostRequests bounds the lost requests that wait to be reported.
const maxLostRequests = 256

// lostRequest is a request whose exchange with an endpoint broke while the endpoint
// may have run it.
type lostRequest struct {
	fingerprint uint64
	endpoint    string
}

// suspects holds the requests that may have crashed their endpoints, until they are
// reported to the leader, and the fingerprints of the requests that the leader has
// put under quarantine.
type suspects struct {
	lost        []lostRequest
	quarantined map[uint64]bool
}

// fingerprint returns a hash that is equal for equal requests of one customer.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.customerName(), c.req.Method, c.req.Target, string(c.req.Body)} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// recordLost records the request for the next report if the error shows that the
// exchange broke while the endpoint may have run it.
func (c *call) recordLost(endpoint string, err *resultcode.Error) {
	switch err.Code {
	case resultcode.EndpointLost, resultcode.AnswerIncomplete, resultcode.StreamBroken:
	default:
		return
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.suspects.lost) < maxLostRequests {
		s.mu.suspects.lost = append(s.mu.suspects.lost, lostRequest{c.fingerprint(), endpoint})
	}
}

// checkQuarantine returns an error if the request is under quarantine, because
// endpoints crashed while they ran it.
func (c *call) checkQuarantine() *resultcode.Error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.suspects.quarantined) > 0 && s.mu.suspects.quarantined[c.fingerprint()] {
		return resultcode.New(resultcode.RequestCrashes, "the request is under quarantine: endpoints crashed while they ran it")
	}
	return nil
}

// takeLost returns and removes the lost requests that are to be reported.
func (s *Server) takeLost() []lostRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.mu.suspects.lost
	s.mu.suspects.lost = nil
	return lost
}

// setQuarantined replaces the fingerprints of the requests that must not be run.
func (s *Server) setQuarantined(fingerprints []uint64) {
	quarantined := make(map[uint64]bool, len(fingerprints))
	for _, f := range fingerprints {
		quarantined[f] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.suspects.quarantined = quarantined
}

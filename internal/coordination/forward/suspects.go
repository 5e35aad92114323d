package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/radishloom/radishloom/internal/resultcode"
)

// maxLost bounds the lost requests that wait to be reported.
const maxLost = 256

// lostRequest is a request that lost the connection to its endpoint while it ran.
type lostRequest struct {
	fingerprint uint64
	endpoint    string
}

// suspects reports requests that may have crashed their endpoints, and holds
// those that the leader found to do so.
type suspects struct {
	lost    []lostRequest
	refused map[uint64]bool
}

// fingerprint is equal for equal requests of one customer.
func (c *call) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{c.customerName(), c.req.Method, c.req.Target, string(c.req.Body)} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// noteLoss reports a request whose connection to its endpoint broke while it may
// have run.
func (c *call) noteLoss(endpoint string, err *resultcode.Error) {
	switch err.Code {
	case resultcode.EndpointLost, resultcode.AnswerIncomplete, resultcode.StreamBroken:
	default:
		return
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.suspects.lost) < maxLost {
		s.mu.suspects.lost = append(s.mu.suspects.lost, lostRequest{c.fingerprint(), endpoint})
	}
}

// checkSuspects refuses a request that crashes the endpoints that run it.
func (c *call) checkSuspects() *resultcode.Error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.mu.suspects.refused) > 0 && s.mu.suspects.refused[c.fingerprint()] {
		return resultcode.New(resultcode.RequestCrashes, "endpoints were lost while they ran this request")
	}
	return nil
}

// takeLost returns and forgets the lost requests.
func (s *Server) takeLost() []lostRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.mu.suspects.lost
	s.mu.suspects.lost = nil
	return lost
}

// setSuspects replaces the requests that are not to be run.
func (s *Server) setSuspects(fingerprints []uint64) {
	refused := make(map[uint64]bool, len(fingerprints))
	for _, f := range fingerprints {
		refused[f] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.suspects.refused = refused
}

package directory

import (
	"slices"
	"time"
)

// Limits for the detection of requests that crash endpoints.
const (
	// lossesToSuspect is the number of endpoints that have to be lost while they run
	// equal requests before these requests are suspect.
	lossesToSuspect = 2
	// suspectTime is how long losses count after the last one. The caller of a request
	// that crashes endpoints sends it again within seconds.
	suspectTime = time.Minute
	// maxTrackedRequests bounds the requests with losses that are tracked.
	maxTrackedRequests = 4096
	// maxListedSuspects bounds the suspects that are sent to entries.
	maxListedSuspects = 256
)

// losses holds the endpoints that were lost while they ran equal requests.
type losses struct {
	endpoints []string
	last      time.Duration
}

// Suspects detects requests that crash the endpoints that run them. A crash ends
// all requests of an endpoint, but only those that caused it run again when the
// next endpoint crashes. Only a request that is sent again can become suspect, so a
// broken connection without a crash does no harm: an innocent request would have to
// be hit twice, at different endpoints.
type Suspects struct {
	requests map[uint64]*losses
}

// NewSuspects returns Suspects without any losses.
func NewSuspects() *Suspects { return &Suspects{requests: map[uint64]*losses{}} }

// RecordLoss records that the endpoint of a request was lost while it ran the
// request.
func (s *Suspects) RecordLoss(now time.Duration, fingerprint uint64, endpoint string) {
	l := s.requests[fingerprint]
	if l == nil || now-l.last > suspectTime {
		if l == nil && len(s.requests) >= maxTrackedRequests {
			s.removeExpired(now)
		}
		if len(s.requests) >= maxTrackedRequests {
			return
		}
		l = &losses{}
		s.requests[fingerprint] = l
	}
	l.last = now
	if !slices.Contains(l.endpoints, endpoint) {
		l.endpoints = append(l.endpoints, endpoint)
	}
}

// List returns the fingerprints of suspect requests in a fixed order.
func (s *Suspects) List(now time.Duration) []uint64 {
	var out []uint64
	for fingerprint, l := range s.requests {
		if len(l.endpoints) >= lossesToSuspect && now-l.last <= suspectTime {
			out = append(out, fingerprint)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxListedSuspects)]
}

func (s *Suspects) removeExpired(now time.Duration) {
	for fingerprint, l := range s.requests {
		if now-l.last > suspectTime {
			delete(s.requests, fingerprint)
		}
	}
}

package directory

import (
	"slices"
	"time"
)

// Constants of requests that crash endpoints.
const (
	// lossesToSuspect endpoints that were lost while they ran equal requests make
	// these suspect.
	lossesToSuspect = 2
	// suspectTime is how long a loss counts. The caller of a request that crashes
	// endpoints sends it again within seconds.
	suspectTime = time.Minute
	// suspectsKept bounds the requests that are followed.
	suspectsKept = 4096
	// suspectsTold bounds what entries are told.
	suspectsTold = 256
)

// losses are the endpoints that were lost while they ran equal requests.
type losses struct {
	endpoints []string
	last      time.Duration
}

// Suspects finds requests that crash the endpoints that run them. An endpoint
// that crashes takes all its requests along, but only those that caused it are
// there again when the next one crashes. Only a request that is sent again can be
// meant, so a broken connection without a crash does no harm: an innocent request
// would have to meet one twice, at different endpoints.
type Suspects struct {
	requests map[uint64]*losses
}

// NewSuspects returns Suspects without any losses.
func NewSuspects() *Suspects { return &Suspects{requests: map[uint64]*losses{}} }

// Lost records that a request lost its endpoint while it ran.
func (s *Suspects) Lost(now time.Duration, fingerprint uint64, endpoint string) {
	l := s.requests[fingerprint]
	if l == nil || now-l.last > suspectTime {
		if l == nil && len(s.requests) >= suspectsKept {
			s.forgetOld(now)
		}
		if len(s.requests) >= suspectsKept {
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
	return out[:min(len(out), suspectsTold)]
}

func (s *Suspects) forgetOld(now time.Duration) {
	for fingerprint, l := range s.requests {
		if now-l.last > suspectTime {
			delete(s.requests, fingerprint)
		}
	}
}

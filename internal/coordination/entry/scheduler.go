package entry

import (
	"context"
	"math/rand/v2"
	"sync"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// scheduler assigns requests to endpoints within each endpoint's slots.
type scheduler struct {
	mu       sync.Mutex
	rng      *rand.Rand
	inFlight map[string]int
	freed    chan struct{}
}

func newScheduler(seed uint64) *scheduler {
	return &scheduler{
		rng:      rand.New(rand.NewPCG(seed, seed)),
		inFlight: make(map[string]int),
		freed:    make(chan struct{}),
	}
}

// acquire waits for a slot of one of the candidates.
func (s *scheduler) acquire(ctx context.Context, candidates []*statev1.Endpoint) (*statev1.Endpoint, error) {
	if len(candidates) == 0 {
		return nil, resultcode.New(resultcode.NoEndpoint, "no endpoint can take the request")
	}
	for {
		chosen, freed := s.try(candidates)
		if chosen != nil {
			return chosen, nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, resultcode.Wrap(resultcode.DeadlineTooClose, ctx.Err(), "no endpoint became free in time")
		}
	}
}

func (s *scheduler) try(candidates []*statev1.Endpoint) (*statev1.Endpoint, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := candidates[s.rng.IntN(len(candidates))]
	b := candidates[s.rng.IntN(len(candidates))]
	if s.inFlight[b.Name] < s.inFlight[a.Name] {
		a = b
	}
	if s.inFlight[a.Name] >= max(1, int(a.Slots)) {
		return nil, s.freed
	}
	s.inFlight[a.Name]++
	return a, nil
}

func (s *scheduler) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[name]--
	close(s.freed)
	s.freed = make(chan struct{})
}

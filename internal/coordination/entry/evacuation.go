package entry

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// evacuatedRetryAfter is the Retry-After value of a refusal because of an evacuation.
const evacuatedRetryAfter = 3 * time.Second

func evacuatedError() error {
	err := resultcode.New(resultcode.NoEndpoint, "there is no endpoint outside of evacuated data centres")
	err.RetryAfter = evacuatedRetryAfter
	return err
}

// evacuated reports whether an evacuation leaves no endpoint for a group of a pool. For a
// model that requires all engines to be out of use: as long as one is left, the model can
// be loaded there.
func (s *scheduler) evacuated(poolName, group string) bool {
	if poolName == modelPool {
		return s.table.EnginesEvacuated()
	}
	return s.table.GroupEvacuated(group)
}

// refuseEvacuated refuses the waiting requests whose group has no endpoint left.
func (s *scheduler) refuseEvacuated() {
	for name, p := range s.pools {
		for group, classes := range p.classes {
			if s.evacuated(name, group) {
				s.refuseGroup(p, group, classes)
			}
		}
	}
}

// refuseGroup refuses the waiting requests of a group. Only the heads of the queue of each
// class are accessible, so it repeats until there are none.
func (s *scheduler) refuseGroup(p *pool, group string, waiting map[string]int) {
	for refused := true; refused; {
		refused = false
		classes := make([]string, 0, len(waiting))
		for class := range waiting {
			classes = append(classes, class)
		}
		for _, it := range p.queue.Heads(classes) {
			if w := it.Value.(*waiter); w.query.Group == group {
				p.queue.Remove(it)
				s.finish(w, assignment{err: evacuatedError()})
				refused = true
			}
		}
	}
}

// checkEvacuation refuses to send to an endpoint whose evacuation became known after its
// slot was reserved.
func (s *scheduler) checkEvacuation(r *routing.Reservation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Evacuated(r.Endpoint) {
		return resultcode.New(resultcode.EndpointRefused, "endpoint %s was evacuated before the request was sent", r.Endpoint)
	}
	return nil
}

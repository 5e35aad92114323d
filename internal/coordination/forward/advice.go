package forward

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// recordAdvice records what an endpoint said about further requests in the answer to
// a request that was sent at sentAt, and logs each change.
func (s *Server) recordAdvice(endpoint string, sentAt time.Duration, a pool.Advice) {
	changed := false
	s.step(func(now time.Duration, e *pool.Entry) { changed = e.RecordAdvice(now, sentAt, endpoint, a) })
	if !changed {
		return
	}
	s.log.Info("endpoint's advice changed", "endpoint", endpoint, "limited", a.Limited, "rate_limit", a.RateLimit,
		"leaving", a.Leaving, "pause_ms", a.Pause.Milliseconds(), "warm_up_left_ms", a.WarmUpLeft.Milliseconds())
}

package forward

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/pool"
)

// recordAdvice records what an endpoint said in an answer about further requests,
// and logs each change.
func (s *Server) recordAdvice(endpoint string, a pool.Advice) {
	changed := false
	s.step(func(now time.Duration, e *pool.Entry) { changed = e.RecordAdvice(now, endpoint, a) })
	if !changed {
		return
	}
	s.log.Info("endpoint's advice changed", "endpoint", endpoint, "limited", a.Limited, "rate_limit", a.RateLimit,
		"leaving", a.Leaving, "pause_ms", a.Pause.Milliseconds())
}

package entry

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
)

// Config holds what a Server needs.
type Config struct {
	// VM and DataCentre are those of this process.
	VM, DataCentre string
	Engine         engine.Engine
	Service        engine.Service
	// Platform may be nil; leaving endpoints are then learned from reports only.
	Platform engine.Platform
	Replica  Replica
	Logger   *slog.Logger
	// Seed feeds the random choices (endpoint candidates, jitter).
	Seed uint64
}

// Server takes requests through admission, routing and retries. It is safe for
// concurrent use.
type Server struct {
	config   Config
	replica  Replica
	log      *slog.Logger
	start    time.Time
	draining atomic.Bool
	open     atomic.Int64
	schedule *scheduler
}

// New returns a Server. Run must be called for it to make progress.
func New(c Config) (*Server, error) {
	if c.Engine == nil || c.Service == nil || c.Replica == nil {
		return nil, errors.New("entry: Engine, Service and Replica must be set")
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{config: c, replica: c.Replica, log: c.Logger, start: time.Now()}
	s.schedule = newScheduler(c.Seed)
	return s, nil
}

// now is the time since the process started.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// Index returns the configuration in force, or nil before the first Sync.
func (s *Server) Index() Index { return s.replica.Index() }

// Ready says whether the VM can serve keyed requests.
func (s *Server) Ready() bool {
	return !s.draining.Load() && s.replica.Index() != nil && s.replica.Fresh()
}

// Drain refuses new requests while on, and returns how many are open.
func (s *Server) Drain(on bool) (open int) {
	s.draining.Store(on)
	return int(s.open.Load())
}

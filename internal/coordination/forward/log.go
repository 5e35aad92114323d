package forward

import (
	"log/slog"
	"sync"
	"time"
)

// Rate limit of log lines about single requests. Lines beyond it are dropped and
// counted.
const (
	logLinesPerSecond = 20
	logBurst          = 100
)

// limitedLog limits the rate of log lines about requests, so that logging takes a
// bounded share of the CPU even if every request fails.
type limitedLog struct {
	log *slog.Logger

	mu      sync.Mutex
	level   float64
	updated time.Time
	dropped int
}

func newLimitedLog(log *slog.Logger) *limitedLog {
	return &limitedLog{log: log, level: logBurst, updated: time.Now()}
}

// admit reports whether a line may be written, and how many were dropped since the
// last one.
func (l *limitedLog) admit() (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.level = min(logBurst, l.level+now.Sub(l.updated).Seconds()*logLinesPerSecond)
	l.updated = now
	if l.level < 1 {
		l.dropped++
		return false, 0
	}
	l.level--
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// Info writes a line, or drops it if the rate limit is exceeded.
func (l *limitedLog) Info(message string, args ...any) {
	ok, dropped := l.admit()
	if !ok {
		return
	}
	if dropped > 0 {
		args = append(args, "lines_dropped", dropped)
	}
	l.log.Info(message, args...)
}

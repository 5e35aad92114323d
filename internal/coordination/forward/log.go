package forward

import (
	"log/slog"
	"sync"
	"time"
)

// Bounds on log lines about single requests. Lines beyond them are counted.
const (
	logLinesPerSecond = 20
	logBurst          = 100
)

// limitedLog bounds the lines about requests, so that a fault that hits every
// request costs a bounded part of the processor.
type limitedLog struct {
	log *slog.Logger

	mu      sync.Mutex
	level   float64
	at      time.Time
	dropped int
}

func newLimitedLog(log *slog.Logger) *limitedLog {
	return &limitedLog{log: log, level: logBurst, at: time.Now()}
}

// admit says whether a line may be written and how many were dropped before it.
func (l *limitedLog) admit() (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.level = min(logBurst, l.level+now.Sub(l.at).Seconds()*logLinesPerSecond)
	l.at = now
	if l.level < 1 {
		l.dropped++
		return false, 0
	}
	l.level--
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// Info writes a line unless there were too many.
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

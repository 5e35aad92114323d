package httpserver

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

// KratosLogger passes the messages of kratos on to a logger. Kratos has one
// logger for the process, which writes to standard output unless main replaces
// it: log.SetLogger(httpserver.KratosLogger(logger)).
func KratosLogger(l *slog.Logger) log.Logger { return kratosLogger{l} }

type kratosLogger struct{ to *slog.Logger }

// Log implements log.Logger. The message stands under the key "msg".
func (k kratosLogger) Log(level log.Level, keyvals ...any) error {
	message := "kratos"
	var args []any
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == log.DefaultMessageKey {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		args = append(args, fmt.Sprint(keyvals[i]), keyvals[i+1])
	}
	k.to.Log(context.Background(), slogLevel(level), message, args...)
	return nil
}

func slogLevel(l log.Level) slog.Level {
	switch {
	case l >= log.LevelError:
		return slog.LevelError
	case l == log.LevelWarn:
		return slog.LevelWarn
	case l == log.LevelDebug:
		return slog.LevelDebug
	default:
		return slog.LevelInfo
	}
}

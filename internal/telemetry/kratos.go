package telemetry

import (
	"fmt"
	"log/slog"

	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// KratosLogger writes the log lines of kratos as JSON lines.
type KratosLogger struct{ Logger *slog.Logger }

// Log implements kratoslog.Logger.
func (k KratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
	message := ""
	args := []any{"component", "kratos"}
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == kratoslog.DefaultMessageKey {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		args = append(args, fmt.Sprint(keyvals[i]), keyvals[i+1])
	}
	switch {
	case level >= kratoslog.LevelError:
		k.Logger.Error(message, args...)
	case level == kratoslog.LevelWarn:
		k.Logger.Warn(message, args...)
	default:
		k.Logger.Debug(message, args...)
	}
	return nil
}

package daemon

import (
	"fmt"
	"log/slog"

	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// kratosLogger writes kratos' own log lines as JSON lines.
type kratosLogger struct{ log *slog.Logger }

// Log implements kratoslog.Logger.
func (k kratosLogger) Log(level kratoslog.Level, keyvals ...any) error {
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
		k.log.Error(message, args...)
	case level == kratoslog.LevelWarn:
		k.log.Warn(message, args...)
	default:
		k.log.Debug(message, args...)
	}
	return nil
}

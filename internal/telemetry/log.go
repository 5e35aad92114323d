// Package telemetry provides the logger and the metrics of every process.
//
// Logs are JSON lines with secrets redacted. Metrics have bounded label sets:
// names that are not in the configuration are counted under "other", so that
// callers cannot increase the number of time series.
package telemetry

import (
	"io"
	"log/slog"
	"regexp"
	"strings"
)

const redacted = "[redacted]"

// keyPattern matches the text of a caller's key: rl_<identifier>_<secret>.
var keyPattern = regexp.MustCompile(`rl_([A-Za-z0-9]+)_[A-Za-z0-9]+`)

// NewLogger returns a logger that writes JSON lines to w, each with the VM and its
// data centre. The values of attributes with the name of a secret are redacted,
// and so is the secret part of keys within strings and errors.
func NewLogger(w io.Writer, level slog.Leveler, vm, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: redact})
	return slog.New(handler).With("vm", vm, "data_centre", dataCentre)
}

func redact(_ []string, a slog.Attr) slog.Attr {
	switch strings.ToLower(a.Key) {
	case "secret", "token", "key", "authorization", "cookie", "password":
		return slog.String(a.Key, redacted)
	}
	switch v := a.Value.Any().(type) {
	case string:
		return slog.String(a.Key, RedactKeys(v))
	case error:
		return slog.String(a.Key, RedactKeys(v.Error()))
	}
	return a
}

// RedactKeys replaces the secret part of every key in s.
func RedactKeys(s string) string {
	return keyPattern.ReplaceAllString(s, "rl_${1}_"+redacted)
}

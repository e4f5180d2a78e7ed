// Package logthrottle limits the rate of one kind of log line. It is for lines that clients, workers or the discovery service can
// cause at any rate, and which could otherwise fill the log.
package logthrottle

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// firstLines is the number of lines that are written before the limit applies.
	firstLines = 5
	// interval is the minimum time between two lines after the first firstLines.
	interval = 5 * time.Second
	// skippedKey is the log key of the number of skipped lines.
	skippedKey = "more"
)

// Logger writes one kind of log line to the default slog.Logger. It is safe for concurrent use.
type Logger struct {
	limiter rate.Sometimes
	skipped atomic.Int64 // lines skipped since the last written line; see Log
}

// New returns a Logger for one kind of line.
func New() *Logger {
	return &Logger{limiter: rate.Sometimes{First: firstLines, Interval: interval}}
}

// Log writes the line with its keys and values, and with the number of lines skipped since the last written one if there are
// any. If the limit is reached, it skips the line.
func (l *Logger) Log(level slog.Level, message string, args ...any) {
	l.skipped.Add(1) // counts this line as skipped until it is written
	l.limiter.Do(func() {
		if skipped := l.skipped.Swap(0) - 1; skipped > 0 {
			args = append(args[:len(args):len(args)], skippedKey, skipped)
		}
		slog.Log(context.Background(), level, message, args...)
	})
}

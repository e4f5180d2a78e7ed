// Package logthrottle limits how often one kind of log line is written. It is for lines that clients or workers can cause
// at any rate, which could otherwise fill the log.
package logthrottle

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// firstLines is how many lines are written without a limit.
	firstLines = 5
	// interval is the shortest time between two lines after that.
	interval = 5 * time.Second
	// skippedKey is the key of the number of lines that were left out.
	skippedKey = "more"
)

// Logger writes one kind of log line to the default slog.Logger. It is safe for concurrent use.
type Logger struct {
	sometimes rate.Sometimes
	skipped   atomic.Int64 // lines left out since the last one written
}

// New returns a Logger for one kind of line.
func New() *Logger {
	return &Logger{sometimes: rate.Sometimes{First: firstLines, Interval: interval}}
}

// Log writes the line with its keys and values, and with the number of those left out before; or it leaves this one out.
func (l *Logger) Log(level slog.Level, message string, args ...any) {
	l.skipped.Add(1) // this line, until it is written
	l.sometimes.Do(func() {
		if skipped := l.skipped.Swap(0) - 1; skipped > 0 {
			args = append(args[:len(args):len(args)], skippedKey, skipped)
		}
		slog.Log(context.Background(), level, message, args...)
	})
}

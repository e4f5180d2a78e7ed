// Package quiet keeps lines that others can cause at will from filling the log.
package logthrottle

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Line is one kind of log line: the first few are written, then one every few seconds, with the number left out.
type Logger struct {
	some    rate.Sometimes
	skipped atomic.Int64
}

// NewLine returns a kind of line that has not been written yet.
func New() *Logger { return &Logger{some: rate.Sometimes{First: 5, Interval: 5 * time.Second}} }

// Log writes the line with its keys and values, or counts it.
func (l *Logger) Log(level slog.Level, text string, args ...any) {
	l.skipped.Add(1)
	l.some.Do(func() {
		if n := l.skipped.Swap(0) - 1; n > 0 {
			args = append(args[:len(args):len(args)], "more", n)
		}
		slog.Log(context.Background(), level, text, args...)
	})
}

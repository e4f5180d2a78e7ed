package metrics

import (
	"expvar"
	"sync/atomic"
	"time"
)

// Maximum is the longest of some spans of time.
type Maximum struct{ nanoseconds atomic.Int64 }

// newMaximum returns a maximum, which is published under its name.
func newMaximum(name string) *Maximum {
	m := &Maximum{}
	published.Set(name, m)
	return m
}

// Observe takes in a span.
func (m *Maximum) Observe(span time.Duration) {
	for {
		longest := m.nanoseconds.Load()
		if int64(span) <= longest || m.nanoseconds.CompareAndSwap(longest, int64(span)) {
			return
		}
	}
}

// Get returns the longest span since the start of the process; zero: there was none.
func (m *Maximum) Get() time.Duration { return time.Duration(m.nanoseconds.Load()) }

// String returns the maximum as JSON, in seconds. It implements expvar.Var.
func (m *Maximum) String() string {
	var seconds expvar.Float
	seconds.Set(m.Get().Seconds())
	return seconds.String()
}

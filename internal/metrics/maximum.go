package metrics

import (
	"expvar"
	"sync/atomic"
	"time"
)

// Maximum keeps the longest of the durations that were observed.
type Maximum struct{ nanoseconds atomic.Int64 }

// newMaximum returns a new maximum and publishes it under the given name.
func newMaximum(name string) *Maximum {
	m := &Maximum{}
	published.Set(name, m)
	return m
}

// Observe records a duration.
func (m *Maximum) Observe(duration time.Duration) {
	for {
		longest := m.nanoseconds.Load()
		if int64(duration) <= longest || m.nanoseconds.CompareAndSwap(longest, int64(duration)) {
			return
		}
	}
}

// Get returns the longest duration since the start of the process, or zero if none was observed.
func (m *Maximum) Get() time.Duration { return time.Duration(m.nanoseconds.Load()) }

// String returns the maximum in seconds, as a JSON number. It implements expvar.Var.
func (m *Maximum) String() string {
	var seconds expvar.Float
	seconds.Set(m.Get().Seconds())
	return seconds.String()
}

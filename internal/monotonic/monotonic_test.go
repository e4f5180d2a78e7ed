package monotonic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClockAdvancesByElapsedTime(t *testing.T) {
	wall := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	elapsed := time.Duration(0)
	elapsedFunc := func() time.Duration { return elapsed }
	clock := New(wall, elapsedFunc)
	elapsed = 5 * time.Second
	assert.Equal(t, wall.Add(5*time.Second), clock.Now())
}

func TestStartedClock(t *testing.T) {
	clock := Start(time.Now())
	start := clock.Now()
	assert.False(t, clock.Now().Before(start))
	assert.WithinDuration(t, time.Now().Add(time.Minute), clock.ToSystemTime(start.Add(time.Minute)), time.Second)
	assert.Equal(t, start, start.Round(0), "no monotonic reading, so that two times differ by their wall times")
}

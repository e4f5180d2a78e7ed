package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A list whose clock is at listTime when the balancer's is at 1 h.
const (
	listTime = 50 * 365 * 24 * time.Hour
	ownTime  = time.Hour
)

// A worker's age is told by the differences of starts alone, so that no clock of this machine enters.
func TestStartTimesNeverTakeAWorkerForOlderThanItIs(t *testing.T) {
	s := NewStartTimes()
	s.Observe(ownTime, listTime-time.Minute)
	s.Observe(ownTime, listTime-10*time.Second)
	assert.Equal(t, ownTime, s.Translate("newest", listTime-10*time.Second), "it may have started just now")
	assert.Equal(t, ownTime-50*time.Second, s.Translate("older", listTime-time.Minute))

	later := ownTime + 5*time.Second
	s.Observe(later, listTime+4*time.Second) // the news of it is 1 s old
	assert.Equal(t, later, s.Translate("late news", listTime+4*time.Second))
	assert.Equal(t, later-4*time.Second, s.Translate("later news", listTime), "4 s before the one above")
	assert.Equal(t, ownTime, s.Translate("newest", listTime-10*time.Second), "the same start keeps its time")
}

func TestStartTimesTellARestartFromTheSameStart(t *testing.T) {
	s := NewStartTimes()
	s.Observe(ownTime, listTime)
	first := s.Translate("a", listTime)
	s.Observe(ownTime+time.Second, listTime+time.Hour) // the first news was an hour old, as is seen now
	assert.Greater(t, s.Translate("a", listTime+time.Minute), first, "a restart is always later")
	assert.Zero(t, s.Translate("long ago", 0))
	s.Forget("a")
	assert.Equal(t, ownTime+time.Second-time.Hour, s.Translate("a", listTime))
}

// The list's clock may tell of starts that lie further back than the balancer's time reaches.
func TestStartTimesStayAfterTheBeginningOfTime(t *testing.T) {
	s := NewStartTimes()
	s.Observe(ownTime, listTime)
	assert.Equal(t, time.Duration(1), s.Translate("old", listTime-48*time.Hour))
}

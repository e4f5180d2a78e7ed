package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/permit"
)

// A list whose clock is at listTime when the balancer's is at ownTime.
const (
	listTime = 50 * 365 * 24 * time.Hour
	ownTime  = time.Hour
)

// times is what Translate returns.
type times = []time.Duration

// A worker's age is told by the differences of starts alone, so that no clock of this machine enters.
func TestStartTimesNeverTakeAWorkerForOlderThanItIs(t *testing.T) {
	s := NewStartTimes()
	assert.Equal(t, times{ownTime - 50*time.Second, ownTime, 0}, s.Translate(ownTime, []ReportedStart{
		{"older", listTime - time.Minute}, {"newest", listTime - 10*time.Second}, {"long ago", 0},
	}), "the newest of the first list may have started just now")

	later := ownTime + 5*time.Second
	assert.Equal(t, times{later, later - 4*time.Second, ownTime}, s.Translate(later, []ReportedStart{
		{"news of 1 s ago", listTime + 4*time.Second}, {"news of 5 s ago", listTime}, {"newest", listTime - 10*time.Second},
	}), "a start that is told again keeps its time")
}

// The age of a worker that starts while the list is followed is bounded by how late news may be, also where the clock that
// its start was told by is off by an hour, or was set.
func TestStartTimesHoldWithWrongClocksOfOthers(t *testing.T) {
	s := NewStartTimes()
	s.Translate(ownTime, []ReportedStart{{"a", listTime}, {"b", listTime}})
	now := ownTime + time.Minute
	for name, told := range map[string][]ReportedStart{
		"an hour ahead, and another one": {{"ahead", listTime + time.Hour}, {"true", listTime + time.Minute}},
		"an hour behind":                 {{"behind", listTime - time.Hour}},
		"a restart after a step back":    {{"a", listTime - time.Hour}},
	} {
		for i, started := range s.Translate(now, told) {
			assert.LessOrEqual(t, now-started, permit.MaxNotificationDelay, "%s: %s", name, told[i].ID)
			assert.LessOrEqual(t, started, now, "%s: %s", name, told[i].ID)
		}
	}
}

func TestStartTimesTellARestartFromTheSameStart(t *testing.T) {
	s := NewStartTimes()
	first := s.Translate(ownTime, []ReportedStart{{"a", listTime}})[0]
	now := ownTime + time.Second
	s.Translate(now, []ReportedStart{{"b", listTime + time.Hour}}) // the first news was an hour old, as is seen now
	assert.Equal(t, times{first}, s.Translate(now, []ReportedStart{{"a", listTime}}))
	assert.Greater(t, s.Translate(now, []ReportedStart{{"a", listTime + time.Minute}})[0], first, "a restart is later")
	s.Forget("a")
	assert.Equal(t, times{now - permit.MaxNotificationDelay}, s.Translate(now, []ReportedStart{{"a", listTime}}), "as one never heard of")
}

// The list's clock may tell of starts that lie further back than the balancer's time reaches.
func TestStartTimesStayAfterTheBeginningOfTime(t *testing.T) {
	s := NewStartTimes()
	assert.Equal(t, times{ownTime, 1}, s.Translate(ownTime, []ReportedStart{{"new", listTime}, {"old", listTime - 48*time.Hour}}))
}

package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/permit"
)

// In these tests, the list's clock shows listTime when the balancer's clock shows ownTime.
const (
	listTime = 50 * 365 * 24 * time.Hour
	ownTime  = time.Hour
)

// times is the result type of Translate.
type times = []time.Duration

// The age of a worker follows from the differences between reported starts, without this machine's wall clock.
func TestStartTimesNeverTakeAWorkerForOlderThanItIs(t *testing.T) {
	s := NewStartTimes()
	assert.Equal(t, times{ownTime - 50*time.Second, ownTime, 0}, s.Translate(ownTime, []ReportedStart{
		{"older", listTime - time.Minute}, {"newest", listTime - 10*time.Second}, {"long ago", 0},
	}), "the latest start of the first list may be at the present time")

	later := ownTime + 5*time.Second
	assert.Equal(t, times{later, later - 4*time.Second, ownTime}, s.Translate(later, []ReportedStart{
		{"news of 1 s ago", listTime + 4*time.Second}, {"news of 5 s ago", listTime}, {"newest", listTime - 10*time.Second},
	}), "a start that is reported again keeps its time")
}

// The age of a worker that starts while the list is followed is at most permit.MaxNotificationDelay when its start is reported,
// also if the clock of the reported start is wrong by an hour, or was set.
func TestStartTimesAreBoundedIfTheListsClockIsWrong(t *testing.T) {
	s := NewStartTimes()
	s.Translate(ownTime, []ReportedStart{{"a", listTime}, {"b", listTime}})
	now := ownTime + time.Minute
	for name, reported := range map[string][]ReportedStart{
		"an hour ahead, and another one": {{"ahead", listTime + time.Hour}, {"true", listTime + time.Minute}},
		"an hour behind":                 {{"behind", listTime - time.Hour}},
		"a restart after a step back":    {{"a", listTime - time.Hour}},
	} {
		for i, started := range s.Translate(now, reported) {
			assert.LessOrEqual(t, now-started, permit.MaxNotificationDelay, "%s: %s", name, reported[i].ID)
			assert.LessOrEqual(t, started, now, "%s: %s", name, reported[i].ID)
		}
	}
}

func TestStartTimesDistinguishARestartFromARepeatedReport(t *testing.T) {
	s := NewStartTimes()
	first := s.Translate(ownTime, []ReportedStart{{"a", listTime}})[0]
	now := ownTime + time.Second
	s.Translate(now, []ReportedStart{{"b", listTime + time.Hour}}) // shows that the first report was an hour late
	assert.Equal(t, times{first}, s.Translate(now, []ReportedStart{{"a", listTime}}))
	assert.Greater(t, s.Translate(now, []ReportedStart{{"a", listTime + time.Minute}})[0], first, "a restart is later")
	s.Forget("a")
	assert.Equal(t, times{now - permit.MaxNotificationDelay}, s.Translate(now, []ReportedStart{{"a", listTime}}), "the worker is treated as a new one")
}

// Starts that lie before the origin of the balancer's clock are translated to 1, since 0 means long ago.
func TestStartTimesStayAfterTheClockOrigin(t *testing.T) {
	s := NewStartTimes()
	assert.Equal(t, times{ownTime, 1}, s.Translate(ownTime, []ReportedStart{{"new", listTime}, {"old", listTime - 48*time.Hour}}))
}

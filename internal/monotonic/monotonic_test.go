package monotonic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTimeGoesOnEvenly(t *testing.T) {
	wall, passed := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC), time.Duration(0)
	since := func() time.Duration { return passed }
	c := New(wall, time.Time{}, since)
	passed = 5 * time.Second // whatever the wall does meanwhile
	assert.Equal(t, wall.Add(5*time.Second), c.Now())
	assert.Equal(t, wall.Add(2*time.Hour), New(wall, wall.Add(2*time.Hour-passed), since).Now(), "not before what is on record")
	now := Start(time.Time{})
	begin := now.Now()
	assert.False(t, now.Now().Before(begin))
	assert.WithinDuration(t, time.Now().Add(time.Minute), now.Machine(begin.Add(time.Minute)), time.Second)
	assert.Equal(t, begin, begin.Round(0), "two times differ by the calendar alone")
}

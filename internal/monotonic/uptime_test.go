package monotonic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUptimeSinceRequiresTheSameBoot(t *testing.T) {
	first := ReadUptime()
	elapsed, sameBoot := ReadUptime().Since(first)
	assert.True(t, sameBoot)
	assert.Less(t, elapsed, time.Minute)
	later := Uptime{BootID: "a", Elapsed: time.Hour}
	for _, other := range []Uptime{{}, {BootID: "b"}, {BootID: "a", Elapsed: 2 * time.Hour}} {
		_, sameBoot := later.Since(other)
		assert.False(t, sameBoot, "%v", other)
	}
	_, sameBoot = Uptime{}.Since(Uptime{})
	assert.False(t, sameBoot, "two unknown boots are not the same boot")
}

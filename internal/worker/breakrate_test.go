package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWearWeighsBreaksAgainstAHandshake(t *testing.T) {
	for name, c := range map[string]struct {
		price         float64
		opened, broke int
		apart         bool
	}{
		"nothing known":            {0.08, 0, 0, false},
		"no breaks":                {0.08, 100, 0, false},
		"few breaks":               {0.08, 100, 5, false},
		"breaks that cost more":    {0.08, 100, 9, true},
		"a handshake is dearer":    {0.5, 100, 9, false},
		"a handshake has no price": {0, 100, 0, true},
	} {
		w := NewBreakRate(c.price)
		w.clock = func() time.Time { return time.Unix(1, 0) }
		for range c.opened {
			w.count(1, 0)
		}
		for range c.broke {
			w.count(0, 1)
		}
		assert.Equal(t, c.apart, w.apart(), name)
	}
	assert.True(t, (*BreakRate)(nil).apart(), "without wear jobs keep apart")
}

func TestWearForgets(t *testing.T) {
	now := time.Unix(1, 0)
	w := NewBreakRate(0.08)
	w.clock = func() time.Time { return now }
	w.count(1, 1)
	assert.True(t, w.apart())
	now = now.Add(5 * wearSpan)
	w.count(1, 0)
	assert.False(t, w.apart())
}

package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newBreakRateAt returns a break rate whose clock returns *now.
func newBreakRateAt(now *time.Time, handshakeCost float64) *BreakRate {
	rate := NewBreakRate(handshakeCost)
	rate.clock = func() time.Time { return *now }
	return rate
}

func TestBreakRateWeighsBreaksAgainstHandshakeCost(t *testing.T) {
	for name, test := range map[string]struct {
		handshakeCost       float64
		opened, broken      int
		favorsSeparateConns bool
	}{
		"no connections yet":               {0.08, 0, 0, false},
		"no breaks":                        {0.08, 100, 0, false},
		"few breaks":                       {0.08, 100, 5, false},
		"breaks cost more than handshakes": {0.08, 100, 9, true},
		"handshakes cost more than breaks": {0.5, 100, 9, false},
		"handshakes have no cost":          {0, 100, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1, 0)
			rate := newBreakRateAt(&now, test.handshakeCost)
			for range test.opened {
				rate.recordOpened()
			}
			for range test.broken {
				rate.recordBroken()
			}
			assert.Equal(t, test.favorsSeparateConns, rate.favorsSeparateConns())
		})
	}
	assert.True(t, (*BreakRate)(nil).favorsSeparateConns(), "a nil break rate always favors separate connections")
}

func TestBreakRateDecays(t *testing.T) {
	now := time.Unix(1, 0)
	rate := newBreakRateAt(&now, 0.08)
	rate.recordOpened()
	rate.recordBroken()
	assert.True(t, rate.favorsSeparateConns())
	now = now.Add(5 * breakRateDecay)
	rate.recordOpened()
	assert.False(t, rate.favorsSeparateConns())
}

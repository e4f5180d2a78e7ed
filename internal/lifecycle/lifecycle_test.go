package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAllowedTransitions(t *testing.T) {
	allowedTo := map[Phase][]Phase{
		Starting:  {Serving, Draining, Stopped},
		Serving:   {Reloading, Draining, Stopped},
		Reloading: {Serving, Draining, Stopped},
		Draining:  {Stopped},
		Stopped:   nil,
	}
	for from, targets := range allowedTo {
		for to := Starting; to <= Stopped; to++ {
			t.Run(from.String()+" to "+to.String(), func(t *testing.T) {
				l := &Lifecycle{phase: from}
				want := from
				for _, target := range targets {
					if target == to {
						want = to
					}
				}
				assert.Equal(t, want != from, l.Enter(to))
				assert.Equal(t, want, l.Phase())
			})
		}
	}
}

func TestReadyWhenServingOrReloading(t *testing.T) {
	var ready []Phase
	for phase := Starting; phase <= Stopped; phase++ {
		if phase.Ready() {
			ready = append(ready, phase)
		}
	}
	assert.Equal(t, []Phase{Serving, Reloading}, ready)
}

package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against calls to workers that drained before a dispatcher was started, where the endpoint list in its configuration is
// older than the drain and discovery is in an outage.
func TestNothingNewToDrainingWorkersAfterARestartWithAnOldList(t *testing.T) {
	t.Parallel()
	for _, kind := range outageKinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			restart := 4 * time.Second
			h, begin, end := outageRun{dispatchers: 1, workers: 8, drainingProcesses: 2, rate: 160, kind: kind,
				length: 16 * time.Second, oldListAfter: restart}.play(t)
			t.Log("served shares before the restart and from it on:", h.servedShare(begin, begin+restart),
				h.servedShare(begin+restart, end))
			assert.Empty(t, Check(h))
		})
	}
}

package resp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against connections that are never read again because the configuration sets no number of cores.
func TestWorkIsPaidForWithoutANumberOfCores(t *testing.T) {
	limiter := newSharedLimiter(0)
	now := time.Now()
	for range 100 {
		limiter.ReserveN(now, sharedUnitBurst)
	}
	assert.Less(t, limiter.ReserveN(now, 1).DelayFrom(now), 2*time.Second)
}

package metrics

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCounterCountsByLabel(t *testing.T) {
	c := newCounter("test")
	c.Add("b")
	c.Add("a")
	c.Add("b")
	assert.Equal(t, []int64{1, 2, 0}, []int64{c.Get("a"), c.Get("b"), c.Get("c")})
	assert.Equal(t, "a=1 b=2", countsText(c.labels))
}

func TestCountersArePublished(t *testing.T) {
	before := ClockSteps.Get("forward")
	ClockSteps.Add("forward")
	assert.Equal(t, before+1, ClockSteps.Get("forward"))
	assert.Contains(t, published.String(), `"clock_steps"`)
}

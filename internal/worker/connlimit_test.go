package worker

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConnLimitAllowsAlwaysTheFirstConnectionOfAPool(t *testing.T) {
	limit := NewConnLimit(1)
	assert.True(t, limit.acquire(false))
	assert.False(t, limit.acquire(false), "the limit is reached")
	assert.True(t, limit.acquire(true), "the first connection of a pool")
	limit.release()
	assert.False(t, limit.acquire(false), "one connection over the limit was closed")
	limit.release()
	assert.True(t, limit.acquire(false))
}

package channel

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIsClosed(t *testing.T) {
	c := make(chan struct{})
	assert.False(t, IsClosed(c))
	close(c)
	assert.True(t, IsClosed(c))
}

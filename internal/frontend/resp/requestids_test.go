package resp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestIDsAreSpentForATime(t *testing.T) {
	ids := newRequestIDs(time.Second)
	begin := time.Now()
	require.NoError(t, ids.claim(1, begin))
	assert.ErrorIs(t, ids.claim(1, begin), errDuplicateID, "in flight")
	ids.release(1, false, begin)
	require.NoError(t, ids.claim(1, begin), "it never ran")
	ids.release(1, true, begin)
	assert.ErrorIs(t, ids.claim(1, begin.Add(time.Second)), errDuplicateID, "it may have run")
	assert.NoError(t, ids.claim(1, begin.Add(time.Second+1)))
	assert.Empty(t, ids.spent)
}

// Ids are not forgotten for want of room: further requests are refused instead.
func TestNumberOfSpentIDsIsBounded(t *testing.T) {
	ids := newRequestIDs(time.Second)
	begin := time.Now()
	for id := range uint64(maxSpentIDs) {
		require.NoError(t, ids.claim(id, begin))
		ids.release(id, true, begin)
	}
	assert.ErrorIs(t, ids.claim(maxSpentIDs, begin), errTooManyIDs)
	assert.ErrorIs(t, ids.claim(0, begin), errDuplicateID)
	assert.NoError(t, ids.claim(maxSpentIDs, begin.Add(2*time.Second)))
	assert.Len(t, ids.used, 1)
}

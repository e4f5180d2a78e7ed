package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

// A connection that is closed at the moment in which it is granted its descriptor gives it back.
func TestConnectionClosedWhenGrantedGivesItsDescriptorBack(t *testing.T) {
	for range 200 {
		share := descriptors.NewShare(1)
		limit := NewConnLimit(share)
		pool := NewPool("s-1", "127.0.0.1:1", &Config{ConnLimit: limit, MaxStreams: 1})
		holder, waiting := newConn(pool, time.Now()), newConn(pool, time.Now())
		require.True(t, limit.tryAcquire(holder))
		ended := make(chan error)
		go func() { ended <- limit.acquire(waiting, time.Now().Add(time.Minute)) }()
		for !limit.wanted() {
			time.Sleep(time.Microsecond)
		}
		close(waiting.closed)
		limit.release(holder)
		if err := <-ended; err == nil { // it was granted first, and its dial would find it closed
			limit.release(waiting)
		}
		assert.Zero(t, share.InUse())
	}
}

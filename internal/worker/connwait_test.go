package worker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

// A connection that is closed at the same time as it is granted a descriptor must release the descriptor.
func TestConnectionClosedWhenGrantedReleasesItsDescriptor(t *testing.T) {
	for range 200 {
		share := descriptors.NewShare(1)
		limit := NewConnLimit(share)
		pool := NewPool("s-1", "127.0.0.1:1", &Config{ConnLimit: limit, MaxStreams: 1})
		holder, waiting := newConn(pool, time.Now()), newConn(pool, time.Now())
		require.True(t, limit.tryAcquire(holder))
		acquired := make(chan error)
		go func() { acquired <- limit.acquire(waiting, time.Now().Add(time.Minute)) }()
		for !limit.hasWaiters() {
			time.Sleep(time.Microsecond)
		}
		close(waiting.closed)
		limit.release(holder)
		if err := <-acquired; err == nil { // granted before acquire saw the close; dial would then release the descriptor
			limit.release(waiting)
		}
		assert.Zero(t, share.InUse())
	}
}

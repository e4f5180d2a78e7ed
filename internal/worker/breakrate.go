package worker

import (
	"math"
	"sync"
	"time"
)

// breakRateDecay is the time constant of the exponential decay of the counts of opened and broken connections.
const breakRateDecay = time.Minute

// BreakRate measures how often connections of all pools break under load, that is with requests in flight. It decides
// whether concurrent requests get separate connections. A connection that breaks under load ends all requests in flight on
// it, so separate connections lose fewer requests. But each handshake has a cost, and 80 dispatchers that each open a second
// connection to each worker pay that cost 80 times per worker.
//
// A BreakRate is safe for concurrent use. A nil BreakRate counts nothing and always favors separate connections.
type BreakRate struct {
	handshakeCost float64 // cost of a handshake, as a fraction of the value of a call
	clock         func() time.Time

	mu      sync.Mutex
	decayed time.Time // when the counts were last decayed
	opened  float64   // decayed count of connections opened
	broken  float64   // decayed count of connections that broke under load
}

// NewBreakRate returns a BreakRate for handshakes that cost handshakeCost, as a fraction of the value of a call. If
// handshakeCost is not positive, separate connections are always favored.
func NewBreakRate(handshakeCost float64) *BreakRate {
	return &BreakRate{handshakeCost: handshakeCost, clock: time.Now}
}

// recordOpened counts a connection whose opening has started.
func (b *BreakRate) recordOpened() { b.record(1, 0) }

// recordBroken counts a connection that broke with requests in flight.
func (b *BreakRate) recordBroken() { b.record(0, 1) }

func (b *BreakRate) record(opened, broken float64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	elapsed := max(0, now.Sub(b.decayed).Seconds())
	decay := math.Exp(-elapsed / breakRateDecay.Seconds())
	b.decayed = now
	b.opened = b.opened*decay + opened
	b.broken = b.broken*decay + broken
}

// favorsSeparateConns reports whether a request should get a connection of its own rather than share one. It should if
// the fraction of opened connections that break under load exceeds the cost of a handshake.
func (b *BreakRate) favorsSeparateConns() bool {
	if b == nil || b.handshakeCost <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken > b.handshakeCost*b.opened
}

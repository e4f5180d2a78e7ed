package worker

import (
	"math"
	"sync"
	"time"
)

// breakRateDecay is the time constant with which opened and broken connections are forgotten.
const breakRateDecay = time.Minute

// BreakRate measures how often connections of all pools break, and decides by it whether requests should have separate
// connections. A connection that breaks under load ends all requests in flight on it: separate ones lose fewer. But each
// handshake has its cost, and 80 dispatchers that each open a second connection to each worker pay it 80 times.
//
// It is safe for concurrent use. A nil BreakRate counts nothing and separates always.
type BreakRate struct {
	handshakeCost float64 // as a fraction of the value of a call
	clock         func() time.Time

	mu      sync.Mutex
	decayed time.Time // when the counts were last decayed
	opened  float64   // connections opened, decayed
	broken  float64   // connections that broke under load, decayed
}

// NewBreakRate returns a break rate that weighs a handshake at handshakeCost, as a fraction of the value of a call.
// Where that is not positive, requests are always kept on separate connections.
func NewBreakRate(handshakeCost float64) *BreakRate {
	return &BreakRate{handshakeCost: handshakeCost, clock: time.Now}
}

// recordOpened counts a connection that is being opened.
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

// separates reports whether a request should have a connection of its own rather than share one: connections break often
// enough to lose more than another handshake costs.
func (b *BreakRate) separates() bool {
	if b == nil || b.handshakeCost <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken > b.handshakeCost*b.opened
}

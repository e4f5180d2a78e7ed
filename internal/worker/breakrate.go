package worker

import (
	"math"
	"sync"
	"time"
)

// wearSpan is the time constant with which what connections went through is forgotten.
const wearSpan = time.Minute

// Wear tells whether jobs are worth connections of their own, by what connections of all links went through. One that
// breaks under load ends all that is open on it: jobs apart from each other lose one less by it. But each handshake has
// its price, and 80 dispatchers that each open a second connection to each worker pay it 80 times.
type BreakRate struct {
	price float64 // of a handshake, in parts of the worth of a call
	clock func() time.Time

	mu            sync.Mutex
	at            time.Time
	opened, broke float64 // connections opened, and those that broke under load, forgotten with wearSpan
}

// NewWear returns wear for handshakes of a price, in parts of the worth of a call. Where they have none, jobs keep apart.
func NewBreakRate(price float64) *BreakRate { return &BreakRate{price: price, clock: time.Now} }

// count adds connections opened and broken to those counted so far.
func (w *BreakRate) count(opened, broke float64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	fade := math.Exp(-max(0, now.Sub(w.at).Seconds()) / wearSpan.Seconds())
	w.at, w.opened, w.broke = now, w.opened*fade+opened, w.broke*fade+broke
}

// apart tells whether a job should have a connection of its own rather than share one: a connection breaks often enough
// to lose more than it costs.
func (w *BreakRate) apart() bool {
	if w == nil || w.price <= 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broke > w.price*w.opened
}

package balancer

import "time"

// concurrencyWindow bounds how much may be in flight: additive increase, multiplicative decrease.
type concurrencyWindow struct {
	size        float64
	decreasedAt time.Duration
}

func (w *concurrencyWindow) full(inFlight int) bool { return float64(inFlight) >= w.size }

// increase widens the window by one for each window of successes.
func (w *concurrencyWindow) increase() { w.size += 1 / w.size }

// decrease sets the window to a smaller size, at most once within each pause.
func (w *concurrencyWindow) decrease(now, pause time.Duration, size float64) {
	if now-w.decreasedAt > pause {
		w.decreasedAt = now
		w.size = size
	}
}

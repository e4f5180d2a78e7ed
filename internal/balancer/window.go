package balancer

import "time"

// concurrencyWindow limits the number of attempts or load orders in flight. It grows additively and shrinks
// multiplicatively (AIMD); the callers choose the smaller size.
type concurrencyWindow struct {
	size        float64
	decreasedAt time.Duration
}

func (w *concurrencyWindow) full(inFlight int) bool { return float64(inFlight) >= w.size }

// increase is called for each success. It enlarges the window by one per as many successes as its size.
func (w *concurrencyWindow) increase() { w.size += 1 / w.size }

// decrease sets the window to a smaller size, unless the last decrease was within the interval before now.
func (w *concurrencyWindow) decrease(now, interval time.Duration, size float64) {
	if now-w.decreasedAt > interval {
		w.decreasedAt = now
		w.size = size
	}
}

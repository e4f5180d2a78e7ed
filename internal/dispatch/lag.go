package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// lateThreshold is the lag of an event, and the duration of handling it, above which a warning is logged.
const lateThreshold = 20 * time.Millisecond

// lagLog throttles the warnings about a slow event loop: a slow loop is late with many events in a row.
var lagLog = logthrottle.New()

// queuedEvent is an event in the queue of the event loop.
type queuedEvent struct {
	event    event
	queuedAt time.Time
}

func newQueuedEvent(e event) queuedEvent { return queuedEvent{event: e, queuedAt: time.Now()} }

// recordLag records how long an event has waited for the event loop: since it was queued, or since its timer was due. It
// logs a warning if the lag exceeds lateThreshold.
func (c *Core) recordLag(e event, lag time.Duration) {
	metrics.EventLag.Observe(lag)
	if lag > lateThreshold {
		c.logLate("core: the event loop is late", e, lag)
	}
}

// handleTimed handles one event and records the duration. It logs a warning if the duration exceeds lateThreshold.
func (c *Core) handleTimed(e event) {
	started := time.Now()
	c.handle(e)
	elapsed := time.Since(started)
	metrics.EventTime.Observe(elapsed)
	if elapsed > lateThreshold {
		c.logLate("core: one event took long", e, elapsed)
	}
}

func (c *Core) logLate(message string, e event, span time.Duration) {
	lagLog.Log(slog.LevelWarn, message, "event", fmt.Sprintf("%T", e), "span", span.Round(time.Millisecond),
		"queued", len(c.queue), "workers", len(c.endpoints), "in_flight", c.InFlight())
}

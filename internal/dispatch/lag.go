package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// lateEvent is the lag, and the time for one event, beyond which the log tells of it.
const lateEvent = 20 * time.Millisecond

// lagLog throttles the lines of a loop that is late: it is late with many events in a row.
var lagLog = logthrottle.New()

// queuedEvent is an event in the queue of the loop, with when it was put there.
type queuedEvent struct {
	event event
	at    time.Time
}

func queued(e event) queuedEvent { return queuedEvent{event: e, at: time.Now()} }

// noteLag takes note of how long an event has waited for the loop: in its queue, or since its timer was due.
func (c *Core) noteLag(e event, lag time.Duration) {
	metrics.EventLag.Observe(lag)
	if lag > lateEvent {
		c.logLate("core: the event loop is late", e, lag)
	}
}

// handleTimed carries out one event and takes note of how long that took.
func (c *Core) handleTimed(e event) {
	begun := time.Now()
	c.handle(e)
	spent := time.Since(begun)
	metrics.EventTime.Observe(spent)
	if spent > lateEvent {
		c.logLate("core: one event took long", e, spent)
	}
}

func (c *Core) logLate(message string, e event, span time.Duration) {
	lagLog.Log(slog.LevelWarn, message, "event", fmt.Sprintf("%T", e), "span", span.Round(time.Millisecond),
		"queued", len(c.queue), "workers", len(c.endpoints), "in_flight", c.InFlight())
}

package discovery

import (
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// Both log lines are throttled, since discovery can go out of sync and be in sync again many times in a row.
var (
	outOfSyncLog = logthrottle.New()
	inSyncLog    = logthrottle.New()
)

// syncTracker tracks the time of the last sync with the discovery server. Discovery is out of sync while the last sync is at
// least balancer.StaleSync old. Only the goroutine of Run uses the tracker.
type syncTracker struct {
	lastSync  time.Time // when the poll of the last sync was sent; before the first sync, when the watcher was created
	outOfSync bool      // discovery is out of sync, and this was logged
}

// recordPoll records the outcome of a poll, and logs when discovery goes out of sync or is in sync again.
func (t *syncTracker) recordPoll(outcome pollOutcome, sent, now time.Time, revision int64) {
	metrics.Polls.Add(string(outcome))
	if outcome.isSync() {
		t.recordSync(sent, now, revision)
		return
	}
	age := now.Sub(t.lastSync)
	metrics.SyncAge.Observe(age)
	if age < balancer.StaleSync {
		return
	}
	if !t.outOfSync {
		metrics.Discovery.Add("silent")
	}
	t.outOfSync = true
	outOfSyncLog.Log(slog.LevelWarn, "discovery: out of sync, what is believed of workers expires", "rev", revision,
		"outcome", string(outcome), "age", age.Round(time.Millisecond))
}

func (t *syncTracker) recordSync(sent, now time.Time, revision int64) {
	metrics.SyncAge.Observe(now.Sub(t.lastSync))
	if t.outOfSync {
		metrics.Discovery.Add("heard_again")
		inSyncLog.Log(slog.LevelInfo, "discovery: in sync again", "rev", revision, "after", now.Sub(t.lastSync).Round(time.Millisecond))
	}
	t.outOfSync = false
	t.lastSync = sent
}

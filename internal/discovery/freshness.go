package discovery

import (
	"log/slog"
	"time"

	"kitefall/internal/balancer"
	"kitefall/internal/logthrottle"
	"kitefall/internal/metrics"
)

// The log of silence is throttled, since a server can fall silent and return in turn.
var (
	silentLog = logthrottle.New()
	freshLog  = logthrottle.New()
)

// freshness keeps how old the last sync is. It belongs to the goroutine of Run.
type freshness struct {
	asOf   time.Time // when the poll of the last sync was sent; or when the watcher was made
	silent bool      // the last sync is older than balancer.StaleSync, and that was logged
}

// note takes in the end of a poll, and logs when discovery falls silent or is heard again.
func (f *freshness) note(outcome pollOutcome, sent, now time.Time, revision int64) {
	metrics.Polls.Add(string(outcome))
	if outcome.isSync() {
		f.noteSync(sent, now, revision)
		return
	}
	age := now.Sub(f.asOf)
	metrics.SyncAge.Observe(age)
	if age < balancer.StaleSync {
		return
	}
	if !f.silent {
		metrics.Discovery.Add("silent")
	}
	f.silent = true
	silentLog.Log(slog.LevelWarn, "discovery: out of sync, what is believed of workers expires", "rev", revision,
		"outcome", string(outcome), "age", age.Round(time.Millisecond))
}

func (f *freshness) noteSync(sent, now time.Time, revision int64) {
	metrics.SyncAge.Observe(now.Sub(f.asOf))
	if f.silent {
		metrics.Discovery.Add("heard_again")
		freshLog.Log(slog.LevelInfo, "discovery: in sync again", "rev", revision, "after", now.Sub(f.asOf).Round(time.Millisecond))
	}
	f.silent = false
	f.asOf = sent
}

package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// end returns when a lease expires. It is computed an hour after the latest evidence in these tests, when pending
// evidence counts.
func (l *Lease) end(terms LeaseTerms, syncedAt time.Duration) time.Duration {
	const now = 2 * time.Hour
	return now + l.Left(terms, syncedAt, now)
}

// A dispatcher counts as notified of a drain after MaxNotificationDelay and must start nothing new at the worker one drain grace
// later. A lease expires before that time, whichever evidence renewed it.
func TestLeaseExpiresBeforeADrainForbidsNewCalls(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		terms := NewLeaseTerms(grace)
		synced := time.Hour
		drained := synced - listDelay // the last change that the poll may have missed
		var bySync Lease
		assert.Less(t, bySync.end(terms, synced), drained+MaxNotificationDelay+grace, "by a sync")
		assert.Greater(t, bySync.end(terms, synced), synced+MaxNotificationDelay-listDelay-deliveryMargin, "by a sync")
		var accepted Lease
		accepted.Listed(time.Minute)
		accepted.Accepted(time.Hour, time.Second, 0)
		drained = time.Hour - grace - 500*time.Millisecond // a draining worker still accepts calls for this long
		assert.Less(t, accepted.end(terms, 0), drained+MaxNotificationDelay+grace, "by an accepted call")
		var loaded Lease
		loaded.Listed(time.Minute)
		loaded.Loaded(time.Hour, time.Second, 0)
		assert.Less(t, loaded.end(terms, 0), time.Hour+MaxNotificationDelay+grace, "by a load: the worker drains right after the load started")
	}
}

func TestLease(t *testing.T) {
	const now = time.Hour
	terms := NewLeaseTerms(time.Second)
	for name, test := range map[string]struct {
		events   func(l *Lease)
		syncedAt time.Duration
		want     time.Duration
	}{
		"no evidence":                     {func(*Lease) {}, 0, 0},
		"listed":                          {func(l *Lease) { l.Listed(now) }, 0, now + terms.Synced},
		"listed, then synced":             {func(l *Lease) { l.Listed(now) }, now + 3, now + 3 + terms.Synced},
		"served":                          {func(l *Lease) { l.Listed(1); l.Accepted(now, 1, 0) }, 0, now + terms.Accepted},
		"served late":                     {func(l *Lease) { l.Listed(1); l.Accepted(now, 1, 0); l.Accepted(now-1, 1, 0) }, 0, now + terms.Accepted},
		"rejected: a sync does not renew": {func(l *Lease) { l.Listed(now); l.Rejected(now + 1) }, now + 5, now + terms.Synced},
		"rejected, never served":          {func(l *Lease) { l.Rejected(now + 1) }, now + 5, 0},
		"served on a new connection": {func(l *Lease) { l.Listed(now); l.Accepted(now+5*time.Second, now+1, now) }, now,
			now + 5*time.Second + terms.Accepted},
		"served on a connection as old as the last sync": {func(l *Lease) { l.Listed(now); l.Accepted(now+9*time.Second, now+2, now+2) }, now + 2,
			now + 9*time.Second + terms.Accepted},
		"served on a connection older than the last evidence": {func(l *Lease) { l.Listed(now); l.Accepted(now+5, now, now); l.Accepted(now+9*time.Second, now+1, now) },
			now, now + 9*time.Second + terms.Accepted},
		"rejected, served on a new connection": {func(l *Lease) { l.Listed(1); l.Rejected(now); l.Accepted(now+2, now+1, now) }, now + 5,
			now + 5 + terms.Synced},
		"rejected, then served":            {func(l *Lease) { l.Rejected(now); l.Accepted(now+1, 1, 0) }, now + 5, now + 5 + terms.Synced},
		"rejected, served before":          {func(l *Lease) { l.Listed(1); l.Accepted(now-1, 1, 0); l.Rejected(now) }, now + 5, now - 1 + terms.Accepted},
		"rejected, then listed":            {func(l *Lease) { l.Rejected(now); l.Listed(now + 1) }, now + 5, now + 5 + terms.Synced},
		"served, an earlier call rejected": {func(l *Lease) { l.Listed(1); l.Accepted(now, 1, 0); l.Rejected(now - 1) }, now + 5, now + 5 + terms.Synced},
		"loaded":                           {func(l *Lease) { l.Listed(1); l.Loaded(now, 1, 0) }, 0, now + terms.Loaded},
		"loaded, a call accepted later": {func(l *Lease) { l.Listed(1); l.Loaded(now, 1, 0); l.Accepted(now+1, 1, 0) }, 0,
			now + terms.Loaded},
		"rejected, then loaded":                {func(l *Lease) { l.Listed(1); l.Rejected(now); l.Loaded(now+1, 1, 0) }, now + 5, now + 5 + terms.Synced},
		"listed by an old list":                {func(l *Lease) { l.Assumed(now) }, now, now + terms.Synced},
		"listed by an old list, rejected":      {func(l *Lease) { l.Assumed(now); l.Rejected(now + 1) }, now, 0},
		"the same, and a sync since":           {func(l *Lease) { l.Assumed(now); l.Rejected(now + 1) }, now + 5, 0},
		"the same, and a call accepted since":  {func(l *Lease) { l.Assumed(now); l.Rejected(now + 1); l.Accepted(now+2, 1, now) }, now, now + terms.Synced},
		"listed by an old list, served before": {func(l *Lease) { l.Assumed(now); l.Accepted(now+1, 1, now); l.Rejected(now + 2) }, now, now + 1 + terms.Accepted},
		"listed by an old list, served by a new connection, rejected": {func(l *Lease) {
			l.Assumed(now)
			l.Accepted(now+1, now+1, now)
			l.Rejected(now + 2)
		}, now, now + 1 + terms.Accepted},
		"listed by an old list, then anew":   {func(l *Lease) { l.Assumed(now); l.Listed(now + 1); l.Rejected(now + 2) }, now, now + 1 + terms.Synced},
		"rejected, and a sync long after it": {func(l *Lease) { l.Rejected(now) }, now + contestDuration, now + contestDuration + terms.Synced},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lease
			test.events(&l)
			assert.Equal(t, test.want, l.end(terms, test.syncedAt))
		})
	}
}

// A call served on a new connection renews the lease only from the time at which the dispatcher counts as notified of a restart.
// Until then only the evidence from before the connection counts.
func TestLeaseOfAWorkerWithANewConnection(t *testing.T) {
	const listed, connected, served = time.Hour, time.Hour + 3*time.Second, time.Hour + 6*time.Second
	terms := NewLeaseTerms(time.Second)
	var l Lease
	l.Listed(listed)
	l.Accepted(served, connected, listed)
	for _, test := range []struct {
		now  time.Duration
		live bool
	}{
		{served, true},
		{listed + terms.Synced, true},
		{listed + terms.Synced + 1, false},
		{connected + MaxNotificationDelay, false},
		{connected + restartNotificationDelay, true},
		{served + terms.Accepted, true},
		{served + terms.Accepted + 1, false},
	} {
		assert.Equal(t, test.live, l.Left(terms, listed, test.now) >= 0, "%s", test.now-listed)
	}
	assert.Equal(t, connected+restartNotificationDelay, l.ResumesAt(terms, served))
	assert.Equal(t, served+terms.Accepted, l.ProvenUntil(terms, listed), "although the lease is expired for a while before")
	assert.Equal(t, terms.Accepted, l.EvidenceLeft(terms, served), "although the evidence does not renew the lease yet")
	assert.Zero(t, l.ResumesAt(terms, connected+restartNotificationDelay), "the lease is valid again")
	l.Accepted(served+1, served, listed)
	assert.Zero(t, l.ResumesAt(terms, served+2), "after another new connection the evidence would expire before it counts")
	l.Accepted(served+restartNotificationDelay, served, listed)
	assert.Positive(t, l.Left(terms, listed, served+restartNotificationDelay+terms.Accepted-1), "the dispatcher counts as notified of the restart by now")
	assert.Equal(t, served+restartNotificationDelay+terms.Accepted, l.ProvenUntil(terms, listed))
}

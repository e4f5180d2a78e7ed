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
		accepted.RecordListed(time.Minute)
		accepted.RecordAccepted(time.Hour, time.Second, 0)
		drained = time.Hour - grace - 500*time.Millisecond // a draining worker still accepts calls for this long
		assert.Less(t, accepted.end(terms, 0), drained+MaxNotificationDelay+grace, "by an accepted call")
		var loaded Lease
		loaded.RecordListed(time.Minute)
		loaded.RecordLoaded(time.Hour, time.Second, 0)
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
		"listed":                          {func(l *Lease) { l.RecordListed(now) }, 0, now + terms.AfterSync},
		"listed, then synced":             {func(l *Lease) { l.RecordListed(now) }, now + 3, now + 3 + terms.AfterSync},
		"served":                          {func(l *Lease) { l.RecordListed(1); l.RecordAccepted(now, 1, 0) }, 0, now + terms.AfterAccepted},
		"served late":                     {func(l *Lease) { l.RecordListed(1); l.RecordAccepted(now, 1, 0); l.RecordAccepted(now-1, 1, 0) }, 0, now + terms.AfterAccepted},
		"rejected: a sync does not renew": {func(l *Lease) { l.RecordListed(now); l.RecordRejected(now + 1) }, now + 5, now + terms.AfterSync},
		"rejected, never served":          {func(l *Lease) { l.RecordRejected(now + 1) }, now + 5, 0},
		"served on a new connection": {func(l *Lease) { l.RecordListed(now); l.RecordAccepted(now+5*time.Second, now+1, now) }, now,
			now + 5*time.Second + terms.AfterAccepted},
		"served on a connection as old as the last sync": {func(l *Lease) { l.RecordListed(now); l.RecordAccepted(now+9*time.Second, now+2, now+2) }, now + 2,
			now + 9*time.Second + terms.AfterAccepted},
		"served on a connection older than the last evidence": {func(l *Lease) {
			l.RecordListed(now)
			l.RecordAccepted(now+5, now, now)
			l.RecordAccepted(now+9*time.Second, now+1, now)
		},
			now, now + 9*time.Second + terms.AfterAccepted},
		"rejected, served on a new connection": {func(l *Lease) { l.RecordListed(1); l.RecordRejected(now); l.RecordAccepted(now+2, now+1, now) }, now + 5,
			now + 5 + terms.AfterSync},
		"rejected, then served":            {func(l *Lease) { l.RecordRejected(now); l.RecordAccepted(now+1, 1, 0) }, now + 5, now + 5 + terms.AfterSync},
		"rejected, served before":          {func(l *Lease) { l.RecordListed(1); l.RecordAccepted(now-1, 1, 0); l.RecordRejected(now) }, now + 5, now - 1 + terms.AfterAccepted},
		"rejected, then listed":            {func(l *Lease) { l.RecordRejected(now); l.RecordListed(now + 1) }, now + 5, now + 5 + terms.AfterSync},
		"served, an earlier call rejected": {func(l *Lease) { l.RecordListed(1); l.RecordAccepted(now, 1, 0); l.RecordRejected(now - 1) }, now + 5, now + 5 + terms.AfterSync},
		"loaded":                           {func(l *Lease) { l.RecordListed(1); l.RecordLoaded(now, 1, 0) }, 0, now + terms.AfterLoad},
		"loaded, a call accepted later": {func(l *Lease) { l.RecordListed(1); l.RecordLoaded(now, 1, 0); l.RecordAccepted(now+1, 1, 0) }, 0,
			now + terms.AfterLoad},
		"rejected, then loaded":                {func(l *Lease) { l.RecordListed(1); l.RecordRejected(now); l.RecordLoaded(now+1, 1, 0) }, now + 5, now + 5 + terms.AfterSync},
		"listed by an old list":                {func(l *Lease) { l.RecordStaleListing(now) }, now, now + terms.AfterSync},
		"listed by an old list, rejected":      {func(l *Lease) { l.RecordStaleListing(now); l.RecordRejected(now + 1) }, now, 0},
		"the same, and a sync since":           {func(l *Lease) { l.RecordStaleListing(now); l.RecordRejected(now + 1) }, now + 5, 0},
		"the same, and a call accepted since":  {func(l *Lease) { l.RecordStaleListing(now); l.RecordRejected(now + 1); l.RecordAccepted(now+2, 1, now) }, now, now + terms.AfterSync},
		"listed by an old list, served before": {func(l *Lease) { l.RecordStaleListing(now); l.RecordAccepted(now+1, 1, now); l.RecordRejected(now + 2) }, now, now + 1 + terms.AfterAccepted},
		"listed by an old list, served by a new connection, rejected": {func(l *Lease) {
			l.RecordStaleListing(now)
			l.RecordAccepted(now+1, now+1, now)
			l.RecordRejected(now + 2)
		}, now, now + 1 + terms.AfterAccepted},
		"listed by an old list, then anew":   {func(l *Lease) { l.RecordStaleListing(now); l.RecordListed(now + 1); l.RecordRejected(now + 2) }, now, now + 1 + terms.AfterSync},
		"rejected, and a sync long after it": {func(l *Lease) { l.RecordRejected(now) }, now + contestDuration, now + contestDuration + terms.AfterSync},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lease
			test.events(&l)
			assert.Equal(t, test.want, l.end(terms, test.syncedAt))
		})
	}
}

// A call served on a new connection renews the lease only from the time at which the dispatcher counts as notified of a restart.
// Until that time only the evidence from before the connection counts.
func TestLeaseOfAWorkerWithANewConnection(t *testing.T) {
	const listed, connected, served = time.Hour, time.Hour + 3*time.Second, time.Hour + 6*time.Second
	terms := NewLeaseTerms(time.Second)
	var l Lease
	l.RecordListed(listed)
	l.RecordAccepted(served, connected, listed)
	for _, test := range []struct {
		now   time.Duration
		valid bool
	}{
		{served, true},
		{listed + terms.AfterSync, true},
		{listed + terms.AfterSync + 1, false},
		{connected + MaxNotificationDelay, false},
		{connected + restartNotificationDelay, true},
		{served + terms.AfterAccepted, true},
		{served + terms.AfterAccepted + 1, false},
	} {
		assert.Equal(t, test.valid, l.Left(terms, listed, test.now) >= 0, "%s", test.now-listed)
	}
	assert.Equal(t, connected+restartNotificationDelay, l.ResumesAt(terms, served))
	assert.Equal(t, served+terms.AfterAccepted, l.FinalExpiry(terms, listed), "although the lease is expired for a while before")
	assert.Equal(t, terms.AfterAccepted, l.EvidenceLeft(terms, served), "although the evidence does not renew the lease yet")
	assert.Zero(t, l.ResumesAt(terms, connected+restartNotificationDelay), "the lease is valid again")
	l.RecordAccepted(served+1, served, listed)
	assert.Zero(t, l.ResumesAt(terms, served+2), "after another new connection the evidence would expire before it counts")
	l.RecordAccepted(served+restartNotificationDelay, served, listed)
	assert.Positive(t, l.Left(terms, listed, served+restartNotificationDelay+terms.AfterAccepted-1), "the dispatcher counts as notified of the restart by now")
	assert.Equal(t, served+restartNotificationDelay+terms.AfterAccepted, l.FinalExpiry(terms, listed))
}

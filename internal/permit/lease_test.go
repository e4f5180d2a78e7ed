package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// end returns when a lease ends, as seen an hour after all that is known.
func (l *Lease) end(terms LeaseTerms, syncedAt time.Duration) time.Duration {
	const now = 2 * time.Hour
	return now + l.Left(terms, syncedAt, now)
}

// What counts as told is told at MaxNotificationDelay, and what may be begun then ends one grace later. A lease ends before, by
// whatever it was renewed.
func TestLeaseEndsBeforeADrainBinds(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		terms := NewLeaseTerms(grace)
		synced := time.Hour
		drained := synced - listDelay // the last change that the poll may have missed
		var told Lease
		assert.Less(t, told.end(terms, synced), drained+MaxNotificationDelay+grace, "by a sync")
		assert.Greater(t, told.end(terms, synced), synced+MaxNotificationDelay-listDelay-leaseMargin, "by a sync")
		var accepted Lease
		accepted.Listed(time.Minute)
		accepted.Accepted(time.Hour, time.Second, 0)
		drained = time.Hour - grace - 500*time.Millisecond // it accepts calls for so long
		assert.Less(t, accepted.end(terms, 0), drained+MaxNotificationDelay+grace, "by an accepted call")
		var loaded Lease
		loaded.Listed(time.Minute)
		loaded.Loaded(time.Hour, time.Second, 0)
		assert.Less(t, loaded.end(terms, 0), time.Hour+MaxNotificationDelay+grace, "by a load: it drains right after it began")
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
		"nothing is known":              {func(*Lease) {}, 0, 0},
		"listed":                        {func(l *Lease) { l.Listed(now) }, 0, now + terms.Synced},
		"listed, then synced":           {func(l *Lease) { l.Listed(now) }, now + 3, now + 3 + terms.Synced},
		"served":                        {func(l *Lease) { l.Listed(1); l.Accepted(now, 1, 0) }, 0, now + terms.Accepted},
		"served late":                   {func(l *Lease) { l.Listed(1); l.Accepted(now, 1, 0); l.Accepted(now-1, 1, 0) }, 0, now + terms.Accepted},
		"rejected: a sync says nothing": {func(l *Lease) { l.Listed(now); l.Rejected(now + 1) }, now + 5, now + terms.Synced},
		"rejected, never served":        {func(l *Lease) { l.Rejected(now + 1) }, now + 5, 0},
		"served by one that was reached anew": {func(l *Lease) { l.Listed(now); l.Accepted(now+5*time.Second, now+1, now) }, now,
			now + 5*time.Second + terms.Accepted},
		"served since the last sync": {func(l *Lease) { l.Listed(now); l.Accepted(now+9*time.Second, now+2, now+2) }, now + 2,
			now + 9*time.Second + terms.Accepted},
		"served ever since": {func(l *Lease) { l.Listed(now); l.Accepted(now+5, now, now); l.Accepted(now+9*time.Second, now+1, now) },
			now, now + 9*time.Second + terms.Accepted},
		"rejected, served by one that returned": {func(l *Lease) { l.Listed(1); l.Rejected(now); l.Accepted(now+2, now+1, now) }, now + 5,
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
		"rejected, and a sync long after it": {func(l *Lease) { l.Rejected(now) }, now + contestTime, now + contestTime + terms.Synced},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lease
			test.events(&l)
			assert.Equal(t, test.want, l.end(terms, test.syncedAt))
		})
	}
}

// What a worker serves that was reached anew counts once its return does: until then only what was told before.
func TestLeaseOfAWorkerThatWasReachedAnew(t *testing.T) {
	const told, since, served = time.Hour, time.Hour + 3*time.Second, time.Hour + 6*time.Second
	terms := NewLeaseTerms(time.Second)
	var l Lease
	l.Listed(told)
	l.Accepted(served, since, told)
	for _, test := range []struct {
		now  time.Duration
		live bool
	}{
		{served, true},
		{told + terms.Synced, true},
		{told + terms.Synced + 1, false},
		{since + MaxNotificationDelay, false},
		{since + returnTold, true},
		{served + terms.Accepted, true},
		{served + terms.Accepted + 1, false},
	} {
		assert.Equal(t, test.live, l.Left(terms, told, test.now) >= 0, "%s", test.now-told)
	}
	assert.Equal(t, since+returnTold, l.ResumesAt(terms, served))
	assert.Equal(t, served+terms.Accepted, l.ProvenUntil(terms, told), "though it is over in between")
	assert.Equal(t, terms.Accepted, l.EvidenceLeft(terms, served), "though it is no proof yet")
	assert.Zero(t, l.ResumesAt(terms, since+returnTold), "it has resumed")
	l.Accepted(served+1, served, told)
	assert.Zero(t, l.ResumesAt(terms, served+2), "reached anew once more, it would be over before it counts")
	l.Accepted(served+returnTold, served, told)
	assert.Positive(t, l.Left(terms, told, served+returnTold+terms.Accepted-1), "the return counts by now")
	assert.Equal(t, served+returnTold+terms.Accepted, l.ProvenUntil(terms, told))
}

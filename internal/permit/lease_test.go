package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What counts as told is told at MaxNotificationDelay, and what may be begun then ends one grace later. A lease ends before, by
// whatever it was renewed.
func TestLeaseEndsBeforeADrainBinds(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		terms := NewLeaseTerms(grace)
		synced := time.Hour
		drained := synced - listDelay // the last change that the poll may have missed
		var told Lease
		assert.Less(t, told.End(terms, synced), drained+MaxNotificationDelay+grace, "by a sync")
		assert.Greater(t, told.End(terms, synced), synced+MaxNotificationDelay-listDelay-leaseMargin, "by a sync")
		var served Lease
		served.Listed(time.Minute)
		served.Served(time.Hour, time.Second, 0)
		drained = time.Hour - grace // the worker served calls for a grace
		assert.Less(t, served.End(terms, 0), drained+MaxNotificationDelay+grace, "by a served call")
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
		"served":                        {func(l *Lease) { l.Listed(1); l.Served(now, 1, 0) }, 0, now + terms.Served},
		"served late":                   {func(l *Lease) { l.Listed(1); l.Served(now, 1, 0); l.Served(now-1, 1, 0) }, 0, now + terms.Served},
		"rejected: a sync says nothing": {func(l *Lease) { l.Listed(now); l.Rejected(now + 1) }, now + 5, now + terms.Synced},
		"rejected, never served":        {func(l *Lease) { l.Rejected(now + 1) }, now + 5, 0},
		"served by one that returned": {func(l *Lease) { l.Listed(now); l.Served(now+9*time.Second, now+1, now) }, now,
			now + terms.Synced},
		"served since the last sync": {func(l *Lease) { l.Listed(now); l.Served(now+9*time.Second, now+2, now+2) }, now + 2,
			now + 9*time.Second + terms.Served},
		"served ever since": {func(l *Lease) { l.Listed(now); l.Served(now+5, now, now); l.Served(now+9*time.Second, now+1, now) },
			now, now + 9*time.Second + terms.Served},
		"rejected, served by one that returned": {func(l *Lease) { l.Listed(1); l.Rejected(now); l.Served(now+2, now+1, now) }, now + 5,
			now + 5 + terms.Synced},
		"rejected, then served":              {func(l *Lease) { l.Rejected(now); l.Served(now+1, 1, 0) }, now + 5, now + 5 + terms.Synced},
		"rejected, served before":            {func(l *Lease) { l.Listed(1); l.Served(now-1, 1, 0); l.Rejected(now) }, now + 5, now - 1 + terms.Served},
		"rejected, then listed":              {func(l *Lease) { l.Rejected(now); l.Listed(now + 1) }, now + 5, now + 5 + terms.Synced},
		"served, an earlier call rejected":   {func(l *Lease) { l.Listed(1); l.Served(now, 1, 0); l.Rejected(now - 1) }, now + 5, now + 5 + terms.Synced},
		"rejected, and a sync long after it": {func(l *Lease) { l.Rejected(now) }, now + contestTime, now + contestTime + terms.Synced},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lease
			test.events(&l)
			assert.Equal(t, test.want, l.End(terms, test.syncedAt))
		})
	}
}

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
		news := time.Hour
		drained := news - listDelay // the last change that the poll may have missed
		var told Lease
		assert.Less(t, told.End(terms, news), drained+MaxNotificationDelay+grace, "by news")
		assert.Greater(t, told.End(terms, news), news+MaxNotificationDelay-listDelay-leaseMargin, "by news")
		var served Lease
		served.Served(time.Hour)
		drained = time.Hour - grace // the worker served calls for a grace
		assert.Less(t, served.End(terms, 0), drained+MaxNotificationDelay+grace, "by a served call")
	}
}

func TestLease(t *testing.T) {
	const now = time.Hour
	terms := NewLeaseTerms(time.Second)
	for name, test := range map[string]struct {
		events   func(l *Lease)
		newsAsOf time.Duration
		want     time.Duration
	}{
		"nothing is known":                     {func(*Lease) {}, 0, 0},
		"listed":                               {func(l *Lease) { l.Listed(now) }, 0, now + terms.News},
		"listed, then news":                    {func(l *Lease) { l.Listed(now) }, now + 3, now + 3 + terms.News},
		"served":                               {func(l *Lease) { l.Served(now) }, 0, now + terms.Served},
		"served late":                          {func(l *Lease) { l.Served(now); l.Served(now - 1) }, 0, now + terms.Served},
		"rejected: news is none":               {func(l *Lease) { l.Listed(now); l.Rejected(now + 1) }, now + 5, now + terms.News},
		"rejected, never served":               {func(l *Lease) { l.Rejected(now + 1) }, now + 5, 0},
		"rejected, then served":                {func(l *Lease) { l.Rejected(now); l.Served(now + 1) }, now + 5, now + 5 + terms.News},
		"rejected, served before":              {func(l *Lease) { l.Served(now - 1); l.Rejected(now) }, now + 5, now - 1 + terms.Served},
		"rejected, then listed":                {func(l *Lease) { l.Rejected(now); l.Listed(now + 1) }, now + 5, now + 5 + terms.News},
		"served, an earlier call rejected":     {func(l *Lease) { l.Served(now); l.Rejected(now - 1) }, now + 5, now + 5 + terms.News},
		"rejected, and news for long after it": {func(l *Lease) { l.Rejected(now) }, now + contestTime, now + contestTime + terms.News},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lease
			test.events(&l)
			assert.Equal(t, test.want, l.End(terms, test.newsAsOf))
		})
	}
}

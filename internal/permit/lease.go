package permit

import "time"

// MaxNotificationDelay is when a change of the endpoint list counts as told, whether its event has arrived
// or not (source: client protocol, figures).
const MaxNotificationDelay = 7 * time.Second

const (
	// listDelay is how long a change may be on its way from the list to the answer of a poll: an answer
	// without it says nothing of what has changed in this time before the poll was sent.
	listDelay = 400 * time.Millisecond

	// leaseMargin is how long the first byte may take from the last check to the worker, on a busy machine.
	leaseMargin = 200 * time.Millisecond

	// contestTime is for how long polls that are answered with nothing new do not renew the lease of a
	// worker that rejects. It is longer than the outages that were seen, since a worker that drains would
	// reject the trial that ends it.
	contestTime = 30 * time.Second
)

// LeaseTerms is how long a lease lasts.
type LeaseTerms struct {
	Synced time.Duration // from when the poll of a sync was sent: one whose answer leaves nothing out
	Served time.Duration // from when a call was written that the worker served
}

// NewLeaseTerms returns the terms where nothing may be begun at a worker once it has drained for a grace. A
// worker that drains goes on serving calls for up to that grace after the event, so that a served call tells
// only that it did not drain one grace before; a sync tells what was so when its poll was sent.
func NewLeaseTerms(drainGrace time.Duration) LeaseTerms {
	return LeaseTerms{
		Synced: MaxNotificationDelay + drainGrace - listDelay - leaseMargin,
		Served: MaxNotificationDelay - leaseMargin,
	}
}

// Lease is the right to begin something at a worker that is believed to be ready. It ends by itself: what
// the endpoint list has to tell counts as told after MaxNotificationDelay, also where discovery cannot be
// reached or is wrong. A sync with discovery renews it, and calls that the worker serves.
//
// The zero value has ended. Times are those of a clock that is never set, and zero is never. It is not safe
// for concurrent use.
type Lease struct {
	listed         time.Duration // as of when the list last named the worker as ready
	served         time.Duration // when the last call was written that the worker has served
	rejected       time.Duration // when the last call was written that it has rejected
	contestedUntil time.Duration // polls sent before this do not renew the lease
}

// Listed notes that the list names the worker as ready, as of a time.
func (l *Lease) Listed(asOf time.Duration) {
	l.listed = max(l.listed, asOf)
	l.settle(asOf)
}

// Served notes that the worker has served a call that was written at a time. It renews the lease only where
// its process is known to be the one that was last told or proven to be ready: there has been a connection
// to it since connectedSince without a gap. Else it may have drained, ended and been started again
// meanwhile, and of that return nothing was told.
func (l *Lease) Served(writtenAt, connectedSince, syncedAt time.Duration) {
	if connectedSince <= max(l.served, l.told(syncedAt)) {
		l.served = max(l.served, writtenAt)
	}
	l.settle(writtenAt)
}

// Rejected notes that the worker has rejected a call that was written at a time. It may be full, or it may
// drain and discovery not tell: until it serves a call or the list names it, answers with nothing new are no
// proof of it.
func (l *Lease) Rejected(writtenAt time.Duration) {
	if writtenAt <= max(l.served, l.listed) {
		return
	}
	l.rejected = max(l.rejected, writtenAt)
	l.contestedUntil = l.rejected + contestTime
}

// settle ends a contest by evidence that is newer than the rejection.
func (l *Lease) settle(at time.Duration) {
	if at > l.rejected {
		l.contestedUntil = 0
	}
}

// Contested reports whether a sync at a time does not renew the lease.
func (l *Lease) Contested(syncedAt time.Duration) bool { return syncedAt < l.contestedUntil }

// told returns as of when discovery last told that the worker is ready.
func (l *Lease) told(syncedAt time.Duration) time.Duration {
	if l.Contested(syncedAt) {
		return l.listed
	}
	return max(l.listed, syncedAt)
}

// End returns when the lease ends, where the poll of the last sync was sent at a time.
func (l *Lease) End(terms LeaseTerms, syncedAt time.Duration) time.Duration {
	var end time.Duration
	if told := l.told(syncedAt); told > 0 {
		end = told + terms.Synced
	}
	if l.served > 0 {
		end = max(end, l.served+terms.Served)
	}
	return end
}

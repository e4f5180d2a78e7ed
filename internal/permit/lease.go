package permit

import "time"

// MaxNotificationDelay is when a change of the endpoint list counts as told, whether its event has arrived
// or not (source: client protocol, figures).
const MaxNotificationDelay = 7 * time.Second

const (
	// listDelay is how long a change may be on its way from the list to the answer of a poll: an answer
	// without it says nothing of what has changed in this time before the poll was sent.
	listDelay = 400 * time.Millisecond

	// leaseMargin is how long the first byte may take from the last check to the worker, on a busy
	// machine.
	leaseMargin = 200 * time.Millisecond

	// contestTime is for how long polls that are answered with nothing new do not renew the lease of a
	// worker that rejects. It outlasts an outage: a worker that drains would reject the call after it.
	contestTime = 30 * time.Second
)

// A worker that begins to drain accepts calls for so long after the event, or for the grace and drainTail
// where that is longer.
const (
	minDrainAcceptance = 2 * time.Second
	drainTail          = time.Second
)

// LeaseTerms is how long a lease lasts.
type LeaseTerms struct {
	Synced   time.Duration // from when the poll of a sync was sent: one whose answer leaves nothing out
	Accepted time.Duration // from when a call was written that the worker accepted
	Loaded   time.Duration // from when a load began that the worker was ordered
}

// NewLeaseTerms returns the terms where nothing may be begun at a worker once it has drained for a grace. A
// sync tells what was so when its poll was sent; an accepted call only what was so a while before it was
// written. A worker that drains begins no load.
func NewLeaseTerms(drainGrace time.Duration) LeaseTerms {
	binds := MaxNotificationDelay + drainGrace - leaseMargin
	return LeaseTerms{
		Synced:   binds - listDelay,
		Accepted: binds - max(minDrainAcceptance, drainGrace+drainTail),
		Loaded:   binds - listDelay,
	}
}

// returnTold is when the start of a process counts as told that there is a connection to.
const returnTold = MaxNotificationDelay + leaseMargin

// Lease is the right to begin something at a worker that is believed to be ready. It ends by itself: what
// the endpoint list has to tell counts as told after MaxNotificationDelay, also where discovery cannot be
// reached or is wrong. A sync with discovery renews it, and calls that the worker accepts.
//
// A worker that is reached anew may have drained, ended and been started again since it was last heard of:
// its drain counts as told before its return does. Calls that it accepts renew the lease from when its
// return must count as told, too. Until then the lease may be over, and live again later.
//
// The zero value has ended. Times are those of a clock that is never set, and zero is never. It is not
// safe for concurrent use.
type Lease struct {
	listed         time.Duration // as of when the list last named the worker as ready
	assumed        bool          // that list may be old
	proven         evidence      // that it was ready
	reached        reached       // the same after it was reached anew
	rejected       time.Duration // when the last call was written that it has rejected
	contestedUntil time.Duration // polls sent before this do not renew the lease
}

// evidence is when a worker has last done what one does not do that has drained for long; zero is never.
type evidence struct {
	accepted time.Duration // the last call was written that it accepted
	loaded   time.Duration // the last load began that it was ordered
}

// last returns when the latest evidence was given; 0: there is none.
func (e evidence) last() time.Duration { return max(e.accepted, e.loaded) }

// end returns until when the worker is known to be ready by it; 0: it is not.
func (e evidence) end(terms LeaseTerms) (end time.Duration) {
	if e.accepted > 0 {
		end = e.accepted + terms.Accepted
	}
	if e.loaded > 0 {
		end = max(end, e.loaded+terms.Loaded)
	}
	return end
}

// with returns the later parts of both.
func (e evidence) with(other evidence) evidence {
	return evidence{accepted: max(e.accepted, other.accepted), loaded: max(e.loaded, other.loaded)}
}

// reached is evidence by a process of which nothing had been heard before.
type reached struct {
	evidence
	since time.Duration // since when there has been a connection to the process without a gap
}

// countsFrom returns when a return of the worker counts as told, so that the evidence is a proof.
func (r reached) countsFrom() time.Duration { return r.since + returnTold }

// end returns until when the worker is known to be ready, from countsFrom on; 0: it is over by then.
func (r reached) end(terms LeaseTerms) time.Duration {
	if end := r.evidence.end(terms); end > r.countsFrom() {
		return end
	}
	return 0
}

// Assumed notes that a list names the worker as ready that may be old, as that of the start of a dispatcher.
// It counts as one of that time, until the worker rejects a call without having accepted one shortly before.
func (l *Lease) Assumed(asOf time.Duration) {
	l.Listed(asOf)
	l.assumed = true
}

// Listed notes that the list names the worker as ready, as of a time.
func (l *Lease) Listed(asOf time.Duration) {
	l.assumed = false
	l.listed = max(l.listed, asOf)
	l.settle(asOf)
}

// Accepted notes that the worker has accepted a call that was written at a time: it has served it, failed at
// it, or looked for its function. There has been a connection to its process without a gap since
// connectedSince.
func (l *Lease) Accepted(writtenAt, connectedSince, syncedAt time.Duration) {
	l.prove(reached{evidence{accepted: writtenAt}, connectedSince}, syncedAt)
}

// Loaded notes that the worker has carried out a load order, by a load that began no sooner than beganAt. The
// rest is as for Accepted.
func (l *Lease) Loaded(beganAt, connectedSince, syncedAt time.Duration) {
	l.prove(reached{evidence{loaded: beganAt}, connectedSince}, syncedAt)
}

// prove takes in evidence by the process that is connected now.
func (l *Lease) prove(r reached, syncedAt time.Duration) {
	l.settle(r.last())
	sameProcess := r.since <= max(l.proven.last(), l.told(syncedAt))
	switch {
	case sameProcess || r.last() >= r.countsFrom():
		l.proven = l.proven.with(r.evidence)
	case l.reached.since != r.since:
		l.reached = r
	default:
		l.reached.evidence = l.reached.with(r.evidence)
	}
}

// Rejected notes that the worker has rejected a call that was written at a time. It may be full, or it may
// drain and discovery not tell: until it accepts a call or the list names it, answers with nothing new are
// no proof of it.
func (l *Lease) Rejected(writtenAt time.Duration) {
	if writtenAt <= max(l.proven.last(), l.listed) {
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
	switch {
	case l.Contested(syncedAt) && l.assumed:
		return 0
	case l.Contested(syncedAt):
		return l.listed
	default:
		return max(l.listed, syncedAt)
	}
}

// Left returns how much of the lease is left at now, negative where it is over, where the poll of the last
// sync was sent at syncedAt.
func (l *Lease) Left(terms LeaseTerms, syncedAt, now time.Duration) time.Duration {
	var end time.Duration
	switch told := l.told(syncedAt); {
	case told > 0:
		end = told + terms.Synced
	case l.assumed: // the worker rejects: the old list counts for as long as what it has accepted speaks for it
		end = min(l.listed+terms.Synced, l.reached.evidence.end(terms))
	}
	end = max(end, l.proven.end(terms))
	if now >= l.reached.countsFrom() {
		end = max(end, l.reached.end(terms))
	}
	return end - now
}

// EvidenceLeft returns for how long what the worker has done will still speak for it, whatever the list says.
// It is no right to begin anything, since it also counts what the worker did right after it was reached anew.
func (l *Lease) EvidenceLeft(terms LeaseTerms, now time.Duration) time.Duration {
	return l.proven.with(l.reached.evidence).end(terms) - now
}

// ProvenUntil returns when the lease ends for good without further evidence. It may be over in between, see
// ResumesAt.
func (l *Lease) ProvenUntil(terms LeaseTerms, syncedAt time.Duration) time.Duration {
	return max(l.Left(terms, syncedAt, 0), l.reached.end(terms))
}

// ResumesAt returns when a lease that is over is live again without further evidence; 0: it is not.
func (l *Lease) ResumesAt(terms LeaseTerms, now time.Duration) time.Duration {
	at := l.reached.countsFrom()
	if now >= at || l.reached.end(terms) == 0 {
		return 0
	}
	return at
}

package permit

import "time"

// MaxNotificationDelay is the time from a change of the endpoint list after which a dispatcher counts as
// notified of the change and must act on it, even if it has not received the event (source: client protocol,
// figures).
const MaxNotificationDelay = 7 * time.Second

const (
	// listDelay is the longest time from a change of the endpoint list until answers of polls include it.
	// An answer may miss changes made up to this long before its poll was sent.
	listDelay = 400 * time.Millisecond

	// deliveryMargin is the time allowed from the last lease check until the first byte reaches the
	// worker, on a busy machine.
	deliveryMargin = 200 * time.Millisecond

	// contestDuration is how long a lease stays contested after the worker rejected a call. It is longer than
	// an outage of discovery lasts: a draining worker would reject the next call after the outage.
	contestDuration = 30 * time.Second
)

// A worker that starts to drain still accepts calls for minDrainAcceptance, or for the drain grace plus
// extraDrainAcceptance if that is longer. Both run from the drain event.
const (
	minDrainAcceptance   = 2 * time.Second
	extraDrainAcceptance = time.Second
)

// LeaseTerms holds how long a lease stays valid after each kind of renewal.
type LeaseTerms struct {
	AfterSync     time.Duration // from when the poll of a sync was sent
	AfterAccepted time.Duration // from when a call was written that the worker accepted
	AfterLoad     time.Duration // from when a load started that the worker was ordered to do
}

// NewLeaseTerms returns the terms for a drain grace. The protocol forbids new calls and load orders at a
// worker once the dispatcher counts as notified of the worker's drain and the drain grace has passed. The
// terms differ in what each renewal shows: a sync shows the state when its poll was sent, except for
// changes within listDelay; an accepted call does not show that the worker was ready when the call was
// written, as a draining worker still accepts calls for a while; a draining worker starts no load.
func NewLeaseTerms(drainGrace time.Duration) LeaseTerms {
	latestStart := MaxNotificationDelay + drainGrace - deliveryMargin
	return LeaseTerms{
		AfterSync:     latestStart - listDelay,
		AfterAccepted: latestStart - max(minDrainAcceptance, drainGrace+extraDrainAcceptance),
		AfterLoad:     latestStart - listDelay,
	}
}

// restartNotificationDelay is the time from the first connection to a process after which the dispatcher
// counts as notified of the start of this process.
const restartNotificationDelay = MaxNotificationDelay + deliveryMargin

// Lease is the right to start calls and load orders at a worker that is assumed to be ready. A lease is valid
// until it expires, and expires unless it is renewed: a dispatcher counts as notified of a change of the
// endpoint list after MaxNotificationDelay, even if discovery is unreachable or wrong.
//
// Discovery renews a lease by an endpoint list that names the worker as ready and, until a list says
// otherwise, by each sync, that is, by each complete answer to a poll. The worker renews its lease by
// evidence that it is ready: it accepts a call, or starts a load for a load order. After the worker has
// rejected a call, the lease is contested for a while: syncs do not renew it.
//
// A worker that is connected again after a gap may have drained, ended and been restarted in the gap. The
// dispatcher counts as notified of the drain before it counts as notified of the restart. Evidence from
// the new connection therefore renews the lease only from the time at which the dispatcher counts as
// notified of the restart. The lease may expire before that time and then become valid again at that time.
//
// The zero value is an expired lease. Times are those of a monotonic clock; zero means never. A Lease is
// not safe for concurrent use.
type Lease struct {
	listedAt       time.Duration   // latest time at which the endpoint list named the worker as ready
	listMayBeStale bool            // the list that named the worker may be old
	established    evidence        // evidence that counts at once
	pending        pendingEvidence // evidence from a new connection, which counts later
	rejectedAt     time.Duration   // when the last call was written that the worker rejected
	contestedUntil time.Duration   // syncs whose poll was sent before this time do not renew the lease
}

// evidence holds when a worker last did what a worker that has been draining for long does not do. Zero means
// never.
type evidence struct {
	acceptedAt time.Duration // when the last call was written that the worker accepted
	loadedAt   time.Duration // when the last load started that the worker was ordered to do
}

// latest returns the time of the latest evidence, or 0 if there is none.
func (e evidence) latest() time.Duration { return max(e.acceptedAt, e.loadedAt) }

// end returns the time at which the evidence expires, or 0 if there is no evidence.
func (e evidence) end(terms LeaseTerms) (end time.Duration) {
	if e.acceptedAt > 0 {
		end = e.acceptedAt + terms.AfterAccepted
	}
	if e.loadedAt > 0 {
		end = max(end, e.loadedAt+terms.AfterLoad)
	}
	return end
}

// merge returns the later time of each kind from two sets of evidence.
func (e evidence) merge(o evidence) evidence {
	return evidence{acceptedAt: max(e.acceptedAt, o.acceptedAt), loadedAt: max(e.loadedAt, o.loadedAt)}
}

// pendingEvidence is evidence from a process that may have been started since the worker was last known to be
// ready. It counts only from validFrom on.
type pendingEvidence struct {
	evidence
	connectedSince time.Duration // time since which there has always been a connection to the process
}

// validFrom returns the time at which the dispatcher counts as notified of a restart of the worker. The
// evidence renews the lease from that time on.
func (p pendingEvidence) validFrom() time.Duration {
	return p.connectedSince + restartNotificationDelay
}

// end returns the time at which the evidence expires, or 0 if it expires by validFrom.
func (p pendingEvidence) end(terms LeaseTerms) time.Duration {
	if end := p.evidence.end(terms); end > p.validFrom() {
		return end
	}
	return 0
}

// RecordStaleListing records that an endpoint list names the worker as ready, but that the list may be old,
// like the one that a dispatcher uses at its start. The list counts as current at asOf until the worker
// rejects a call without having accepted one shortly before.
func (l *Lease) RecordStaleListing(asOf time.Duration) {
	l.RecordListed(asOf)
	l.listMayBeStale = true
}

// RecordListed records that the endpoint list named the worker as ready at asOf.
func (l *Lease) RecordListed(asOf time.Duration) {
	l.listMayBeStale = false
	l.listedAt = max(l.listedAt, asOf)
	l.endContest(asOf)
}

// RecordAccepted records that the worker accepted a call that was written at writtenAt: the worker served
// the call, failed to serve it, or reported that no copy of the function is loaded. Since connectedSince
// there has always been a connection to the worker's process. The poll of the last sync was sent at
// syncedAt.
func (l *Lease) RecordAccepted(writtenAt, connectedSince, syncedAt time.Duration) {
	l.addEvidence(pendingEvidence{evidence{acceptedAt: writtenAt}, connectedSince}, syncedAt)
}

// RecordLoaded records that the worker carried out a load order, with a load that started at startedAt or
// later. The other parameters are those of RecordAccepted.
func (l *Lease) RecordLoaded(startedAt, connectedSince, syncedAt time.Duration) {
	l.addEvidence(pendingEvidence{evidence{loadedAt: startedAt}, connectedSince}, syncedAt)
}

// addEvidence records evidence from the process that is connected now.
func (l *Lease) addEvidence(p pendingEvidence, syncedAt time.Duration) {
	l.endContest(p.latest())
	sameProcess := p.connectedSince <= max(l.established.latest(), l.confirmedAt(syncedAt))
	switch {
	case sameProcess || p.latest() >= p.validFrom():
		l.established = l.established.merge(p.evidence)
	case l.pending.connectedSince != p.connectedSince:
		l.pending = p
	default:
		l.pending.evidence = l.pending.merge(p.evidence)
	}
}

// RecordRejected records that the worker rejected a call that was written at writtenAt. The worker may be
// full, or it may be draining while discovery does not report the drain. So its lease is contested for
// contestDuration, unless the worker accepts a call, carries out a load order or is named by the list before
// that. A rejection is ignored if the call was not written after the latest established evidence and listing.
func (l *Lease) RecordRejected(writtenAt time.Duration) {
	if writtenAt <= max(l.established.latest(), l.listedAt) {
		return
	}
	l.rejectedAt = max(l.rejectedAt, writtenAt)
	l.contestedUntil = l.rejectedAt + contestDuration
}

// endContest lets syncs renew the lease again if the worker was shown to be ready at a time after the last
// rejected call was written.
func (l *Lease) endContest(at time.Duration) {
	if at > l.rejectedAt {
		l.contestedUntil = 0
	}
}

// Contested reports whether the lease is contested for a sync whose poll was sent at syncedAt: because of a
// rejected call, the sync does not renew the lease.
func (l *Lease) Contested(syncedAt time.Duration) bool { return syncedAt < l.contestedUntil }

// confirmedAt returns the latest time at which the worker was ready according to discovery, or 0 if no report
// of discovery counts.
func (l *Lease) confirmedAt(syncedAt time.Duration) time.Duration {
	switch {
	case l.Contested(syncedAt) && l.listMayBeStale:
		return 0
	case l.Contested(syncedAt):
		return l.listedAt
	default:
		return max(l.listedAt, syncedAt)
	}
}

// Left returns the time from now until the lease expires, negative if it has expired. The poll of the
// last sync was sent at syncedAt.
func (l *Lease) Left(terms LeaseTerms, syncedAt, now time.Duration) time.Duration {
	var end time.Duration
	switch confirmed := l.confirmedAt(syncedAt); {
	case confirmed > 0:
		end = confirmed + terms.AfterSync
	case l.listMayBeStale: // after a rejection, the old list counts only while evidence supports it
		end = min(l.listedAt+terms.AfterSync, l.pending.evidence.end(terms))
	}
	end = max(end, l.established.end(terms))
	if now >= l.pending.validFrom() {
		end = max(end, l.pending.end(terms))
	}
	return end - now
}

// EvidenceLeft returns the time from now until the latest evidence expires, whatever the list says; negative
// if it has expired. The result does not permit starting anything, since it includes evidence from a new
// connection that does not count yet.
func (l *Lease) EvidenceLeft(terms LeaseTerms, now time.Duration) time.Duration {
	return l.established.merge(l.pending.evidence).end(terms) - now
}

// FinalExpiry returns the time after which the lease stays expired unless it is renewed. The lease may be
// expired for a while before that time, see ResumesAt.
func (l *Lease) FinalExpiry(terms LeaseTerms, syncedAt time.Duration) time.Duration {
	return max(l.Left(terms, syncedAt, 0), l.pending.end(terms))
}

// ResumesAt returns when an expired lease becomes valid again without being renewed, or 0 if it does not.
func (l *Lease) ResumesAt(terms LeaseTerms, now time.Duration) time.Duration {
	at := l.pending.validFrom()
	if now >= at || l.pending.end(terms) == 0 {
		return 0
	}
	return at
}

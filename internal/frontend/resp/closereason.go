package resp

import "kitefall/internal/metrics"

// closeReason says why a client's connection has ended, in metrics.
type closeReason string

// The reasons.
const (
	closedByClient     closeReason = "client"            // the client has closed it, or the network
	closedMalformed    closeReason = "malformed_request" // the client does not keep to the protocol
	closedUnread       closeReason = "answers_unread"    // the client sends requests and does not read
	closedWriteFailed  closeReason = "write_failed"      // an answer could not be written in time
	closedTimedOut     closeReason = "timed_out"         // the client has exceeded one of the Timeouts
	closedForRoom      closeReason = "room"              // another client needs the place
	closedForShortage  closeReason = "shortage"          // accepting failed, most likely for want of descriptors
	closedWhenDraining closeReason = "draining"          // the process sends its clients away, and nothing was in use
	closedOverdue      closeReason = "overdue"           // the same, with something in use when the time was over
	closedRejected     closeReason = "rejected"          // all places were taken by connections with requests in flight
)

// sparesIncomplete reports whether a connection is kept for the reason where the client has sent a request in part. Where
// others need the place, or the client takes too long, it is not.
func (r closeReason) sparesIncomplete() bool { return r == closedWhenDraining }

// count counts a connection that has ended for the reason.
func (r closeReason) count() { metrics.ClientConnsClosed.Add(string(r)) }

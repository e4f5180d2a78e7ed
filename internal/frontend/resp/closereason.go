package resp

import "kitefall/internal/metrics"

// closeReason is why a client's connection was closed. Its value is the label in the metrics.
type closeReason string

// The reasons for closing a client's connection.
const (
	closedByClient      closeReason = "client"            // closed by the client, or broken by the network
	closedMalformed     closeReason = "malformed_request" // the client violated the protocol
	closedAnswersUnread closeReason = "answers_unread"    // the client sends requests without reading the answers
	closedWriteFailed   closeReason = "write_failed"      // an answer could not be written before its deadline
	closedTimedOut      closeReason = "timed_out"         // the client exceeded one of the Timeouts
	closedForNewConn    closeReason = "room"              // idle, closed to free a descriptor for a new connection
	closedOnAcceptError closeReason = "shortage"          // idle, closed after an accept failed, most likely for lack of descriptors
	closedWhenDraining  closeReason = "draining"          // idle while the process was sending its clients away
	closedDrainTimeout  closeReason = "overdue"           // still in use at the end of the time to send clients away
	closedRejected      closeReason = "rejected"          // not accepted: every other connection had requests in flight
)

// waitsForIncomplete reports whether a connection with a partially received request stays open instead of being closed for
// this reason. Only draining waits; a connection that blocks other clients or has timed out is closed.
func (r closeReason) waitsForIncomplete() bool { return r == closedWhenDraining }

// count increments the metric of closed client connections for this reason.
func (r closeReason) count() { metrics.ClientConnsClosed.Add(string(r)) }

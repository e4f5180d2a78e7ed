package resp

import "kitefall/internal/metrics"

// closeReason is why a client's connection was closed. Its value is the label in the metrics.
type closeReason string

// The reasons for closing a client's connection.
const (
	closedByClient      closeReason = "client"            // closed by the client, or broken by the network
	closedMalformed     closeReason = "malformed_request" // the client violated the protocol
	closedWriteFailed   closeReason = "write_failed"      // an answer could not be written, or the client has taken too little of it
	closedStalled       closeReason = "stalled"           // the client has taken nothing of its answers for Timeouts.Idle
	closedTimedOut      closeReason = "timed_out"         // the client exceeded one of the Timeouts
	closedForNewConn    closeReason = "room"              // idle, evicted for a new connection
	closedOnAcceptError closeReason = "shortage"          // idle, evicted after a failed accept, most likely for lack of descriptors
	closedWhenDraining  closeReason = "draining"          // idle, closed because the process drains
	closedDrainTimeout  closeReason = "overdue"           // still open at its close deadline in a drain
	closedRejected      closeReason = "rejected"          // not accepted: no descriptor was free, and no open connection was idle
)

// waitsForIncomplete reports whether a connection with a partially received request stays open instead of being closed for
// this reason. Only closedWhenDraining waits for the rest of the request. A connection that blocks other clients, has timed out
// or is past its close deadline in a drain is closed.
func (r closeReason) waitsForIncomplete() bool { return r == closedWhenDraining }

// needsDescriptor reports whether a connection is closed for this reason to free its descriptor, and so cannot linger until the
// client's kernel has acknowledged the last answer.
func (r closeReason) needsDescriptor() bool { return r == closedForNewConn || r == closedOnAcceptError }

// count increments the metric of closed client connections for this reason.
func (r closeReason) count() { metrics.ClientConnsClosed.Add(string(r)) }

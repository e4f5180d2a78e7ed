package worker

import (
	"errors"
	"io"
	"os"
	"slices"
	"syscall"

	"kitefall/internal/descriptors"
	"kitefall/internal/metrics"
)

// closeReason is the reason why a connection to a worker ended, as the metrics name it.
type closeReason string

// Reasons why a connection ended.
const (
	closedIdle     closeReason = "idle"        // idle for too long, stale, or idle when the worker was removed
	closedEvicted  closeReason = "room"        // idle, and closed because another connection needs its descriptor
	closedPool     closeReason = "pool_closed" // its pool was closed
	closedByWorker closeReason = "worker"      // the worker closed it
	closedReset    closeReason = "reset"       // reset by the worker or the network
	closedRefused  closeReason = "refused"     // never established: nothing listens at the address
	closedShortage closeReason = "shortage"    // not established: this process or its machine lacks a descriptor, memory or port
	closedTimedOut closeReason = "timed_out"   // the dial, a write or the rest of an answer took too long
	closedBadFrame closeReason = "bad_frame"   // the worker sent a frame that violates the protocol
	closedOther    closeReason = "other"
)

// reasonOf returns the close reason for the error that ended a connection.
func reasonOf(cause error) closeReason {
	switch {
	case errors.Is(cause, errPoolClosed):
		return closedPool
	case isShortage(cause):
		return closedShortage
	case errors.Is(cause, errBadFrame):
		return closedBadFrame
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return closedTimedOut
	case errors.Is(cause, io.EOF):
		return closedByWorker
	case errors.Is(cause, syscall.ECONNREFUSED):
		return closedRefused
	case errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return closedReset
	default:
		return closedOther
	}
}

// shortages lists the errors that mean that this process or its machine has run out of a resource.
var shortages = []error{
	descriptors.ErrExhausted,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// isShortage reports whether an error is caused by a resource shortage of this process or its machine, not by the peer.
func isShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// count adds a connection that ended for this reason to the metrics.
func (r closeReason) count() {
	metrics.WorkerConnsClosed.Add(string(r))
	if r == closedShortage {
		metrics.Shortages.Add("dial")
	}
}

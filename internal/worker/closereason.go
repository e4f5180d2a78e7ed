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

// closeReason says why a connection to a worker has ended, in metrics.
type closeReason string

// The reasons.
const (
	closedIdle     closeReason = "idle"        // unused for too long, or of no further use
	closedForRoom  closeReason = "room"        // idle, and a connection to another worker needs its descriptor
	closedPool     closeReason = "pool_closed" // with its pool
	closedByWorker closeReason = "worker"      // the worker has closed it
	closedReset    closeReason = "reset"       // by the worker or the network
	closedRefused  closeReason = "refused"     // it never came up
	closedShortage closeReason = "shortage"    // it never came up, for want of a descriptor or port of this process
	closedTimedOut closeReason = "timed_out"   // the dial, a write or an answer took too long
	closedBadFrame closeReason = "bad_frame"   // the worker does not keep to the protocol
	closedOther    closeReason = "other"
)

// reasonOf returns the reason that an error of a connection stands for.
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

// shortages are the errors that mean that this process or its machine lacks something.
var shortages = []error{
	descriptors.ErrNone,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
}

// isShortage reports whether an error means that this process lacks something: the peer is not to blame.
func isShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// count counts a connection that has ended for the reason.
func (r closeReason) count() {
	metrics.WorkerConnsClosed.Add(string(r))
	if r == closedShortage {
		metrics.Shortages.Add("dial")
	}
}

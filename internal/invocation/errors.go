package invocation

import "errors"

// Errors shared by the packages that handle invocations. The store wraps every other error in ErrStorage. The messages
// are shown to operators and therefore call an invocation a ticket.
var (
	ErrNotFound          = errors.New("no such ticket")
	ErrExpired           = errors.New("the ticket has expired")
	ErrKeyReused         = errors.New("the idempotency key was used for another request")
	ErrStoreFull         = errors.New("the ticket store is full: it has reached its maximum number of tickets")
	ErrQuotaExceeded     = errors.New("the tenant has reached its limit on tickets or on their bytes")
	ErrStorage           = errors.New("the ticket store does not work")
	ErrCompleted         = errors.New("the ticket has its final answer")
	ErrNotDeadLetter     = errors.New("the ticket is not a dead letter")
	ErrNotConfirmed      = errors.New("the ticket may have run: a redrive needs confirmation and a reason")
	ErrSuperseded        = errors.New("another ticket now holds the idempotency key")
	ErrInvalidTransition = errors.New("the ticket's state does not allow this event")
)

package executor

import (
	"sync"

	"kitefall/internal/dispatch"
)

// submission is a call that is submitted to the dispatcher and may be cancelled before the dispatcher has returned its
// handle. Whichever of setHandle and markCancelled is called second tells its caller about the first; that caller then
// cancels the handle.
type submission struct {
	mu        sync.Mutex
	handle    *dispatch.Handle
	cancelled bool
}

// setHandle sets the dispatcher's handle and reports whether the call has been cancelled already.
func (s *submission) setHandle(handle *dispatch.Handle) (cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = handle
	return s.cancelled
}

// currentHandle returns the dispatcher's handle, or nil if there is none: the dispatcher has not returned it yet, or has rejected the
// call.
func (s *submission) currentHandle() *dispatch.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handle
}

// markCancelled marks the call as cancelled and returns its handle, which is nil if the dispatcher has not returned it
// yet.
func (s *submission) markCancelled() *dispatch.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	return s.handle
}

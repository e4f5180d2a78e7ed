package executor

import (
	"sync"

	"kitefall/internal/dispatch"
)

// submission is a call that is submitted to the dispatcher and may be abandoned or cancelled before the dispatcher has returned its
// handle. Whichever of setHandle and markCancelled is called second tells its caller about the first; that caller then
// cancels the handle.
type submission struct {
	mu        sync.Mutex
	handle    *dispatch.Handle
	abandoned bool
	cancelled bool
}

// setHandle sets the dispatcher's handle, which is nil if the dispatcher has rejected the call, and reports whether the call has been
// cancelled already.
func (s *submission) setHandle(handle *dispatch.Handle) (cancelled bool) {
	s.mu.Lock()
	s.handle = handle
	abandoned, cancelled := s.abandoned, s.cancelled
	s.mu.Unlock()
	if abandoned && handle != nil {
		handle.Abandon()
	}
	return cancelled
}

// abandon abandons the call at the dispatcher: no attempt of it begins any more, and the outcome of one that was written is reported.
func (s *submission) abandon() {
	s.mu.Lock()
	s.abandoned = true
	handle := s.handle
	s.mu.Unlock()
	if handle != nil {
		handle.Abandon()
	}
}

// wasAbandoned reports whether abandon was called.
func (s *submission) wasAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// markCancelled marks the call as cancelled and returns its handle, which is nil if the dispatcher has not returned it
// yet.
func (s *submission) markCancelled() *dispatch.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	return s.handle
}

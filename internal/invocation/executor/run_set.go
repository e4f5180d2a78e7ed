package executor

import (
	"sync"

	"kitefall/internal/dispatch"
)

// runSet holds the runs in progress of stored invocations.
type runSet struct {
	mu   sync.Mutex
	byID map[string]*run
}

// run is a run in progress.
type run struct {
	handle    *dispatch.Handle // nil until the dispatcher has accepted the call
	cancelled bool
}

// add starts to track a run of an invocation.
func (s *runSet) add(id string) *run {
	r := &run{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = r
	return r
}

// setHandle sets the handle of a run and reports whether the run was cancelled before.
func (s *runSet) setHandle(r *run, handle *dispatch.Handle) (cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.handle = handle
	return r.cancelled
}

// markCancelled marks the run of an invocation as cancelled and returns its handle. It returns nil if there is no run,
// or if the call is still on its way to the dispatcher: then setHandle reports the cancellation.
func (s *runSet) markCancelled(id string) *dispatch.Handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil {
		return nil
	}
	r.cancelled = true
	return r.handle
}

// remove forgets the run of an invocation.
func (s *runSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

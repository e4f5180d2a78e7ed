package executor

import "sync"

// runSet holds the runs of deferred invocations. It is safe for concurrent use.
type runSet struct {
	mu      sync.Mutex
	stopped bool
	byID    map[string]*submission   // runs that can be cancelled, by invocation ID
	active  map[*submission]struct{} // runs that have begun and whose outcome is not stored yet
}

// stop prevents runs from beginning.
func (s *runSet) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// begin adds a run of an invocation. It returns nil if no run may begin any more.
func (s *runSet) begin(id string) *submission {
	run := &submission{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	s.byID[id] = run
	s.active[run] = struct{}{}
	return run
}

// get returns the run of an invocation that can be cancelled, or nil if there is none.
func (s *runSet) get(id string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove removes the run of an invocation from those that can be cancelled. It remains active.
func (s *runSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// end ends a run: nothing of it is left to do.
func (s *runSet) end(run *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, run)
}

// activeCount returns the number of active runs.
func (s *runSet) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

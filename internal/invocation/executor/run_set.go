package executor

import "sync"

// runSet holds the runs in progress of deferred invocations, by invocation ID.
type runSet struct {
	mu   sync.Mutex
	byID map[string]*submission
}

// add adds the run of an invocation. The caller is about to submit the run to the dispatcher.
func (s *runSet) add(id string) *submission {
	run := &submission{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = run
	return run
}

// get returns the run in progress of an invocation, or nil if there is none.
func (s *runSet) get(id string) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove removes the run of an invocation.
func (s *runSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

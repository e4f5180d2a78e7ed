package executor

import "sync"

// foregroundSet holds the foreground invocations that have not completed, by ID.
type foregroundSet struct {
	mu   sync.Mutex
	byID map[string]*foregroundInvocation
}

func (s *foregroundSet) add(fg *foregroundInvocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[fg.id] = fg
}

// get returns the foreground invocation with the given ID, or nil if the ID is unknown or the invocation has completed.
func (s *foregroundSet) get(id string) *foregroundInvocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove removes an invocation and reports whether the set contained it.
func (s *foregroundSet) remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.byID[id]
	delete(s.byID, id)
	return found
}

// count returns the number of invocations that have not completed.
func (s *foregroundSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

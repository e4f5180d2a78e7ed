package executor

import "sync"

// waiterSet holds the clients that wait for the outcomes of stored invocations, and wakes them.
type waiterSet struct {
	mu   sync.Mutex
	byID map[string]*waiter
}

// waiter is shared by all clients that wait for one invocation.
type waiter struct {
	completed chan struct{} // closed once the invocation has completed
	clients   int           // clients that wait
}

// watch returns a channel that is closed once the invocation has completed. The caller must call stop when it no longer
// waits.
func (s *waiterSet) watch(id string) (completed <-chan struct{}, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.byID[id]
	if w == nil {
		w = &waiter{completed: make(chan struct{})}
		s.byID[id] = w
	}
	w.clients++
	return w.completed, func() { s.release(id, w) }
}

// release ends the wait of one client. The last client removes the waiter.
func (s *waiterSet) release(id string, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.clients--
	if w.clients == 0 && s.byID[id] == w {
		delete(s.byID, id)
	}
}

// notify wakes the clients that wait for an invocation. The invocation's outcome must be stored already.
func (s *waiterSet) notify(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.byID[id]; w != nil {
		delete(s.byID, id)
		close(w.completed)
	}
}

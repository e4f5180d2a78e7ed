package resp

import "sync"

// requestIDs is the set of the ids of the requests in flight. It is safe for concurrent use.
type requestIDs struct {
	mu    sync.Mutex
	inUse map[uint64]bool
}

func newRequestIDs() *requestIDs { return &requestIDs{inUse: map[uint64]bool{}} }

// claim adds id to the set, and reports whether it was not in it before.
func (r *requestIDs) claim(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUse[id] {
		return false
	}
	r.inUse[id] = true
	return true
}

func (r *requestIDs) release(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inUse, id)
}

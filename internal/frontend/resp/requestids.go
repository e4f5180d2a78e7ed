package resp

import (
	"errors"
	"sync"
	"time"

	"kitefall/internal/balancer"
)

const (
	// minSpentTime is the least time for which the id of a request that may have run is not accepted again.
	minSpentTime = 10 * time.Second
	// maxSpentIDs is the maximum number of ids of ended requests that are kept. It takes some megabytes.
	maxSpentIDs = 1 << 16
)

var (
	errDuplicateID = errors.New("a request with the same id is in flight, or may have run")
	errTooManyIDs  = errors.New("too many ids of requests that may have run are kept")
)

// requestIDs holds the ids of the requests in flight, and those of ended requests that may have run. The latter are spent: they are
// not accepted again for spentTime, because a worker could run the request a second time. It is safe for concurrent use.
//
// Clients use a new id for each request (source: client protocol), so a repeated one is a fault of the client. The ids are known to
// this process alone.
type requestIDs struct {
	spentTime time.Duration

	mu    sync.Mutex
	used  map[uint64]struct{} // in flight or spent
	spent []spentID           // in the order in which they ended
}

// spentID is the id of an ended request that may have run.
type spentID struct {
	id      uint64
	expires time.Time
}

func newRequestIDs(spentTime time.Duration) *requestIDs {
	return &requestIDs{spentTime: spentTime, used: map[uint64]struct{}{}}
}

// spentTimeFor returns the time after which a spent id is accepted again: a client repeats a request within the deadline of its class, and workers drop
// repeats for as long as the class says.
func spentTimeFor(settings *balancer.Settings) time.Duration {
	longest := minSpentTime
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline+class.DedupWindow)
	}
	return longest
}

// claim marks an id as in flight. It returns errDuplicateID if the id is in flight or spent, and errTooManyIDs if no further id can
// be kept.
func (r *requestIDs) claim(id uint64, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked(now)
	if _, used := r.used[id]; used {
		return errDuplicateID
	}
	if len(r.spent) >= maxSpentIDs {
		return errTooManyIDs
	}
	r.used[id] = struct{}{}
	return nil
}

// release ends the use of an id, which is spent if its request may have run.
func (r *requestIDs) release(id uint64, mayHaveRun bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked(now)
	if mayHaveRun {
		r.spent = append(r.spent, spentID{id, now.Add(r.spentTime)})
		return
	}
	delete(r.used, id)
}

// expireLocked forgets the ids that are no longer spent.
func (r *requestIDs) expireLocked(now time.Time) {
	for len(r.spent) > 0 && r.spent[0].expires.Before(now) {
		delete(r.used, r.spent[0].id)
		r.spent = r.spent[1:]
	}
}

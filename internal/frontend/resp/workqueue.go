package resp

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// workQueue shares work units among connections by self-clocked fair queueing: of the connections that wait, the one that has used the
// fewest units since it began to wait goes first. So a connection that uses few units waits for few others, however many units these
// owe. It is safe for concurrent use.
type workQueue struct {
	rate  float64 // units per second
	burst float64 // units that may be granted at once

	mu        sync.Mutex
	tokens    float64 // units that may be granted now; negative while a grant is being worked off
	updatedAt time.Time
	virtual   float64 // finish tag of the last grant
	waiting   grantHeap
	timer     *time.Timer // runs grantDue while grants wait
}

// workAccount is the share of one connection in a workQueue, guarded by the queue's mutex.
type workAccount struct {
	finish float64 // finish tag of the connection's last request for units
}

// workGrant is a connection's request for units.
type workGrant struct {
	units  float64
	finish float64       // the virtual time at which the connection would have them if all that wait shared the rate evenly
	index  int           // in the heap; -1 if the grant does not wait
	done   chan struct{} // closed when the units are granted
}

func (g *workGrant) isDone() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

func newWorkQueue(unitsPerSecond, burst float64) *workQueue {
	q := &workQueue{rate: unitsPerSecond, burst: burst, tokens: burst, updatedAt: time.Now()}
	q.timer = time.AfterFunc(math.MaxInt64, q.grantDue)
	return q
}

// take asks for units. The caller waits until the grant is done, or else calls leave.
func (q *workQueue) take(account *workAccount, units int) *workGrant {
	q.mu.Lock()
	defer q.mu.Unlock()
	grant := &workGrant{units: float64(units), done: make(chan struct{})}
	account.finish = max(account.finish, q.virtual) + grant.units
	grant.finish = account.finish
	heap.Push(&q.waiting, grant)
	q.grantLocked(time.Now())
	return grant
}

// leave withdraws a grant, unless it is done. A connection that is closed has no share of the rate any more, or a client would get more
// of it by coming again and again.
func (q *workQueue) leave(grant *workGrant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if grant.index >= 0 {
		heap.Remove(&q.waiting, grant.index)
	}
}

// grantDue grants what is due.
func (q *workQueue) grantDue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.grantLocked(time.Now())
}

// grantLocked grants units in the order of their finish tags while there are any left, and sets the timer if some grants wait on. The
// caller holds q.mu.
func (q *workQueue) grantLocked(now time.Time) {
	q.tokens = min(q.burst, q.tokens+q.rate*now.Sub(q.updatedAt).Seconds())
	q.updatedAt = now
	for len(q.waiting) > 0 && q.tokens > 0 {
		grant := heap.Pop(&q.waiting).(*workGrant)
		q.tokens -= grant.units
		q.virtual = max(q.virtual, grant.finish)
		close(grant.done)
	}
	if len(q.waiting) > 0 {
		q.timer.Reset(max(minPause, time.Duration(-q.tokens/q.rate*float64(time.Second))))
	}
}

// grantHeap is a heap of grants, the one with the least finish tag first.
type grantHeap []*workGrant

func (h grantHeap) Len() int           { return len(h) }
func (h grantHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h grantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a grant, for package heap.
func (h *grantHeap) Push(added any) {
	grant := added.(*workGrant)
	grant.index = len(*h)
	*h = append(*h, grant)
}

// Pop removes the last grant, for package heap.
func (h *grantHeap) Pop() any {
	last := len(*h) - 1
	grant := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	grant.index = -1
	return grant
}

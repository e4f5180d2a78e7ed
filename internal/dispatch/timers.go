package dispatch

import (
	"container/heap"
	"time"
)

// notQueued is the heap index of a timer that has fired or was removed.
const notQueued = -1

// timer is an event that the loop is to handle at a time.
type timer struct {
	due   time.Time
	event event
	index int // in the heap, or notQueued
}

// timerQueue holds the timers of the event loop, by the time at which they are due. Its zero value is empty.
type timerQueue struct {
	heap timerHeap
}

// add schedules an event.
func (q *timerQueue) add(due time.Time, e event) *timer {
	t := &timer{due: due, event: e}
	heap.Push(&q.heap, t)
	return t
}

// remove takes a timer out, if it is still queued; nil is allowed. A timer left in place would keep its call and body
// in memory until it is due.
func (q *timerQueue) remove(t *timer) {
	if t != nil && t.index != notQueued {
		heap.Remove(&q.heap, t.index)
	}
}

// next returns the timer that is due first, or nil where there is none. It stays queued.
func (q *timerQueue) next() *timer {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// popDue takes out the timer that is due first, or returns nil where none is due yet.
func (q *timerQueue) popDue() *timer {
	next := q.next()
	if next == nil || time.Now().Before(next.due) {
		return nil
	}
	heap.Pop(&q.heap)
	return next
}

// timerHeap implements heap.Interface and keeps the index of each timer up to date.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil // for the garbage collector
	*h = old[:last]
	t.index = notQueued
	return t
}

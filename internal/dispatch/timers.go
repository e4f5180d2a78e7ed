package dispatch

import (
	"container/heap"
	"time"
)

// lateTimerGrace is the time by which a late timer of the balancer is postponed.
const lateTimerGrace = 5 * time.Millisecond

// notQueued is the heap index of a timer that has fired or was removed.
const notQueued = -1

// timer schedules an event for the event loop.
type timer struct {
	due   time.Time // when the event is to be handled
	event event
	index int // position in the heap, or notQueued
}

// timerQueue is a priority queue of the event loop's timers, ordered by due time. The zero value is an empty queue.
type timerQueue struct {
	heap timerHeap
}

// add schedules an event for the due time and returns its timer.
func (q *timerQueue) add(due time.Time, e event) *timer {
	t := &timer{due: due, event: e}
	heap.Push(&q.heap, t)
	return t
}

// remove removes a timer that is still queued. It does nothing for nil and for timers that have fired or were removed. A
// timer left in the queue would keep its call and the call's body in memory until it is due.
func (q *timerQueue) remove(t *timer) {
	if t != nil && t.index != notQueued {
		heap.Remove(&q.heap, t.index)
	}
}

// next returns the timer with the earliest due time without removing it, or nil if the queue is empty.
func (q *timerQueue) next() *timer {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// popDue removes and returns the timer with the earliest due time, or returns nil if no timer is due yet.
func (q *timerQueue) popDue() *timer {
	next := q.next()
	if next == nil || time.Now().Before(next.due) {
		return nil
	}
	heap.Pop(&q.heap)
	return next
}

// timerHeap implements heap.Interface, ordered by due time, and keeps the index of each timer up to date.
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
	old[last] = nil // allows garbage collection of the timer
	*h = old[:last]
	t.index = notQueued
	return t
}

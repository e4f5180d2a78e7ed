package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestTimersFireInOrderOfDueTime(t *testing.T) {
	var q timerQueue
	assert.Nil(t, q.next())
	assert.Nil(t, q.popDue())

	now := time.Now()
	add := func(id int64, due time.Time) *timer { return q.add(due, balancerTimerFired{id: id}) }
	add(3, now.Add(-time.Second))
	removed := add(2, now.Add(-2*time.Second))
	first := add(1, now.Add(-3*time.Second))
	add(4, now.Add(time.Hour))
	q.remove(removed)
	q.remove(removed) // removing a timer twice does nothing
	q.remove(nil)

	assert.Same(t, first, q.next())
	var fired []event
	for due := q.popDue(); due != nil; due = q.popDue() {
		fired = append(fired, due.event)
	}
	assert.Equal(t, []event{balancerTimerFired{id: 1}, balancerTimerFired{id: 3}}, fired)
	q.remove(first) // removing a fired timer does nothing
	assert.Equal(t, 1, len(q.heap), "only the timer that is not due yet must remain")
}

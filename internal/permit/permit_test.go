package permit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStart(t *testing.T) {
	for _, test := range []struct {
		start StartConditions
		want  Reason
	}{
		{StartConditions{}, Allowed},
		{StartConditions{TimeLeft: -1}, TooLate},
		{StartConditions{ClientGone: true, TimeLeft: 1}, ClientGone},
		{StartConditions{Worker: WorkerStateDraining, ClientGone: true}, WorkerDraining},
		{StartConditions{Worker: WorkerStateRemoved}, WorkerRemoved},
		{StartConditions{LeaseLeft: -1, ClientGone: true}, LeaseEnded},
		{StartConditions{Worker: WorkerStateDraining, LeaseLeft: -1}, WorkerDraining},
	} {
		assert.Equal(t, test.want, test.start.Check(), "%+v", test.start)
		assert.False(t, test.want.IsViolation(), "the reason may arise between the choice and the start")
	}
}

func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		retry RetryConditions
		want  Reason
	}{
		{RetryConditions{MaxAttempts: 1}, Allowed},
		{RetryConditions{MaxAttempts: 2, Attempts: 2}, AttemptsExhausted},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true}, RepeatForbidden},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, Repeatable: true}, Allowed},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, Repeatable: true, KeyRequired: true}, RepeatForbidden},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, Repeatable: true, KeyRequired: true, KeyPassed: true}, Allowed},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, KeyRequired: true, KeyPassed: true}, RepeatForbidden},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, Repeatable: true, KeyRequired: true}, Allowed},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, Pending: true, Repeatable: true}, AttemptPending},
		{RetryConditions{MaxAttempts: 2, Attempts: 1, MayHaveRun: true, Pending: true, Repeatable: true, Hedging: true}, Allowed},
	} {
		assert.Equal(t, test.want, test.retry.Check(), "%+v", test.retry)
		assert.Equal(t, test.want != Allowed, test.want.IsViolation())
	}
}

func TestConnection(t *testing.T) {
	assert.Equal(t, Allowed, ConnectionUse{}.Check())
	assert.Equal(t, InUse, ConnectionUse{Open: 1}.Check())
	assert.Equal(t, InUse, ConnectionUse{Unwritten: 1}.Check())
	assert.Equal(t, InUse, ConnectionUse{Unhandled: 1}.Check())
	assert.Equal(t, InUse, ConnectionUse{Incomplete: true}.Check())
	assert.Equal(t, InUse, ConnectionUse{Unread: true}.Check())
	assert.Equal(t, InUse, ConnectionUse{Undelivered: true}.Check())
}

func TestAfter(t *testing.T) {
	times := []time.Duration{1, 2, 2, 3}
	assert.Equal(t, []time.Duration{3}, After(times, 2))
	assert.Empty(t, After(times, 3))
	assert.Equal(t, times, After(times, 0))
}

// takeAll takes orders at a time until the budget is spent, and returns their number.
func takeAll(b *LoadBudget, now time.Duration) int {
	taken := 0
	for b.Take(now) == Allowed {
		taken++
	}
	return taken
}

func TestLoadBudget(t *testing.T) {
	b := &LoadBudget{Burst: 2, Ratio: 0.5, Window: 10 * time.Second}
	assert.Equal(t, 2, takeAll(b, time.Minute))
	for range 4 {
		b.Earn(time.Minute)
	}
	assert.Equal(t, 2, takeAll(b, time.Minute+time.Second), "four requests earn two")
	assert.Zero(t, takeAll(b, time.Minute+10*time.Second-1), "the first orders still count")
	assert.Equal(t, 0, takeAll(b, time.Minute+10*time.Second), "the orders have left the window, and the requests too")
	assert.Equal(t, 2, takeAll(b, time.Minute+11*time.Second))
	unbounded := &LoadBudget{}
	unbounded.Earn(1)
	assert.Equal(t, Allowed, unbounded.Take(0), "no window: no limit")
	assert.Empty(t, unbounded.requests, "no window: requests are not recorded")
}

// Requests may be counted out of order, and those that have left the window are removed.
func TestLoadBudgetForgets(t *testing.T) {
	b := &LoadBudget{Ratio: 1, Window: 10 * time.Second}
	for _, at := range []time.Duration{20 * time.Second, 15 * time.Second, 31 * time.Second, 22 * time.Second} {
		b.Earn(at)
	}
	assert.Equal(t, []time.Duration{22 * time.Second, 31 * time.Second}, b.requests)
}

// Orders take up to the margin to arrive, so they count for the margin longer than the window, and requests for the margin less.
func TestLoadBudgetKeepsAMargin(t *testing.T) {
	b := &LoadBudget{Burst: 1, Ratio: 1, Window: 10 * time.Second, Margin: time.Second}
	b.Earn(time.Minute)
	assert.Equal(t, 2, takeAll(b, time.Minute))
	assert.Zero(t, takeAll(b, time.Minute+11*time.Second-1))
	assert.Equal(t, 1, takeAll(b, time.Minute+11*time.Second))
}

// LeftAt returns the orders that could be given at a later time without any orders or requests until then.
func TestLoadBudgetLeftLater(t *testing.T) {
	b := &LoadBudget{Burst: 2, Ratio: 1, Window: 10 * time.Second, Margin: time.Second}
	b.Earn(time.Minute)
	takeAll(b, time.Minute)
	assert.Equal(t, 0.0, b.LeftAt(time.Minute+9*time.Second-1))
	assert.Equal(t, -1.0, b.LeftAt(time.Minute+9*time.Second), "the request has left the window, the orders have not")
	assert.Equal(t, 2.0, b.LeftAt(time.Minute+11*time.Second))
	assert.True(t, math.IsInf((&LoadBudget{}).LeftAt(0), 1), "no window: no limit")
}

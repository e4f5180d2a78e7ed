package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// Limits of the client protocol and the operations page: 4 s after the start of an evacuation the process holds no connection
// that is idle or had a request in the last 2 s. A process that received SIGTERM is done before the earliest SIGKILL, whatever
// the deadlines of its classes are.
func TestSchedulesMeetTheProtocolLimits(t *testing.T) {
	assert.Less(t, Evacuation().CloseBy, 4*time.Second)
	assert.Less(t, Evacuation().ExemptIfIdleSince, 2*time.Second)
	for _, test := range []struct{ longestDeadline, earliestKill time.Duration }{
		{100 * ms, 800 * ms},
		{600 * ms, 1300 * ms},
		{3 * time.Second, 3700 * ms},
		{5 * time.Second, 3700 * ms},
		{0, 3700 * ms},
	} {
		s := Termination(test.longestDeadline)
		assert.Less(t, s.CloseBy, test.earliestKill)
		assert.Less(t, s.AnswerBy, s.CloseBy)
	}
	// Clients open connections until 0.6 s after SIGTERM. A request with a deadline of 1 s that arrives by then must not be
	// failed more than 100 ms before its deadline.
	assert.GreaterOrEqual(t, Termination(time.Second).AnswerBy, 600*ms+time.Second-100*ms)
}

func TestAdmits(t *testing.T) {
	s := Schedule{AcceptAllFor: 700 * ms, AnswerBy: 2 * time.Second}
	assert.True(t, s.Admits(0, time.Hour))
	assert.True(t, s.Admits(700*ms-1, time.Hour))
	assert.True(t, s.Admits(700*ms, 1300*ms))
	assert.False(t, s.Admits(700*ms, 1300*ms+1))
	assert.False(t, s.Admits(2*time.Second, 1))
}

func TestActionFor(t *testing.T) {
	s := Schedule{AcceptAllFor: 700 * ms, AnswerBy: 2 * time.Second, ExemptIfIdleSince: time.Second, CloseBy: 3 * time.Second}
	for _, test := range []struct {
		elapsed, lastRequest, accepted time.Duration
		want                           Action
	}{
		{0, 0, 0, Keep},
		{700 * ms, 0, 0, CloseIfIdle},
		{700 * ms, 700 * ms, 0, CloseIfIdle},
		{2 * time.Second, 1500 * ms, 0, AnswerAndClose},
		{2 * time.Second, 1000 * ms, 0, AnswerAndClose},
		{2 * time.Second, 999 * ms, 0, CloseIfIdle},
		{3 * time.Second, 1500 * ms, 0, Close},
		{time.Hour, -time.Second, -time.Minute, CloseIfIdle},
		{time.Hour, time.Hour, time.Hour, AnswerAndClose}, // accepted long after all other connections were closed
		{time.Hour + time.Second, time.Hour, time.Hour, Close},
	} {
		assert.Equal(t, test.want, s.ActionFor(test.elapsed, ConnTimes{test.accepted, test.lastRequest}), "%+v", test)
	}
	s.AwaitDelivery = true
	assert.Equal(t, AnswerAndClose, s.ActionFor(3*time.Second-1, ConnTimes{0, 1500 * ms}))
	assert.Equal(t, Finish, s.ActionFor(3*time.Second, ConnTimes{0, 1500 * ms}), "the time that clients take to read is not counted")
	assert.Equal(t, Close, Termination(time.Second).ActionFor(time.Hour, ConnTimes{-time.Hour, -time.Hour}), "no connection is exempt")
}

// SIGTERM during an evacuation must not extend the time limits of the evacuation.
func TestTerminationKeepsTheEvacuationLimits(t *testing.T) {
	start := time.Now()
	s := New(Evacuation(), Termination(3*time.Second))
	s.Evacuate(start)
	s.Terminate(start.Add(3 * time.Second))
	closeBy := start.Add(Evacuation().CloseBy)
	assert.Equal(t, Finish, s.ActionFor(closeBy, start, closeBy))
	terminateBy := start.Add(3*time.Second + Termination(3*time.Second).CloseBy)
	assert.Equal(t, Close, s.ActionFor(terminateBy, start, terminateBy), "SIGKILL follows, whatever clients are reading")
	assert.Equal(t, CloseIfIdle, s.ActionFor(closeBy, start, start), "exempt from CloseBy of the evacuation")
	assert.False(t, s.Admits(closeBy, closeBy.Add(ms)))
}

// transitions holds the methods that change the phase of a state, by name.
var transitions = map[string]func(*State, time.Time){
	"evacuate":  func(s *State, now time.Time) { s.Evacuate(now) },
	"rejoin":    func(s *State, _ time.Time) { s.Rejoin() },
	"terminate": func(s *State, now time.Time) { s.Terminate(now) },
}

// Checks every sequence of up to four calls: a call that is not allowed in the current phase has no effect, and the schedule
// runs from the call that entered the phase.
func TestEverySequenceOfCalls(t *testing.T) {
	start := time.Now()
	var extend func(calls []string)
	extend = func(calls []string) {
		checkSequence(t, start, calls)
		if len(calls) == 4 {
			return
		}
		for name := range transitions {
			extend(append(calls[:len(calls):len(calls)], name))
		}
	}
	extend(nil)
}

func checkSequence(t *testing.T, start time.Time, calls []string) {
	t.Helper()
	s := New(Evacuation(), Termination(time.Second))
	want, since, whileEvacuating := Serving, start, false
	for i, name := range calls {
		now := start.Add(time.Duration(i) * time.Second)
		changed := s.Changed()
		before := want
		transitions[name](s, now)
		switch {
		case want == Terminating:
		case name == "terminate":
			whileEvacuating = want == Evacuating
			want, since = Terminating, now
		case name == "evacuate" && want == Serving:
			want, since = Evacuating, now
		case name == "rejoin":
			want = Serving
		}
		_, stillOpen := <-closedOrDefault(changed)
		assert.Equal(t, before == want, stillOpen, "%v: the channel is closed exactly if the phase changed", calls)
	}
	assert.Equal(t, want, s.Phase(), "%v", calls)
	acceptAllEnd := since.Add(700 * ms)
	assert.Equal(t, want == Serving, s.ActionFor(acceptAllEnd, acceptAllEnd, acceptAllEnd) == Keep, "%v", calls)
	assert.Equal(t, want == Serving, s.Admits(acceptAllEnd, acceptAllEnd.Add(time.Hour)), "%v", calls)
	actionWhileAcceptingAll := s.ActionFor(since.Add(700*ms-1), since, since)
	assert.Equal(t, !whileEvacuating, actionWhileAcceptingAll == Keep, "%v: schedule runs from the call that entered the phase", calls)
}

// closedOrDefault returns the channel if it is closed, otherwise a channel that holds a value.
func closedOrDefault(channel <-chan struct{}) <-chan struct{} {
	select {
	case <-channel:
		return channel
	default:
		open := make(chan struct{}, 1)
		open <- struct{}{}
		return open
	}
}

// SIGTERM during an evacuation: each step is due at the earlier of its two times, also where the evacuation's time has passed.
func TestTimesOfTwoDrains(t *testing.T) {
	start := time.Now()
	s := New(Evacuation(), Termination(time.Second))
	_, draining := s.Times()
	assert.False(t, draining)
	s.Evacuate(start)
	evacuating, draining := s.Times()
	assert.True(t, draining)
	assert.Equal(t, Times{RejectFrom: start.Add(700 * ms), AnswerBy: start.Add(Evacuation().AnswerBy)}, evacuating)
	terminatedAt := start.Add(time.Second)
	s.Terminate(terminatedAt)
	both, _ := s.Times()
	assert.Equal(t, Times{RejectFrom: start.Add(700 * ms), AnswerBy: terminatedAt.Add(Termination(time.Second).AnswerBy)}, both)
}

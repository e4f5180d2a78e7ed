// Package drain decides how a process drains its clients: at the request of operators (evacuation), or on
// SIGTERM or an interrupt (termination). Only this package decides which requests are still accepted and when
// a client's connection is closed. The frontend consults it for each request and each connection.
//
// The package does no I/O and reads no clock: callers pass the time, as read from the monotonic clock.
//
// Source: client protocol (limits) and operations page (sending clients away).
package drain

import "time"

// Schedule sets the time limits of a drain. All durations run from the start of the drain.
type Schedule struct {
	// AcceptAllFor is how long new connections and all requests are still accepted, and idle connections
	// stay open. Clients notice late that the process is not ready, and would reopen a connection that is
	// closed sooner.
	AcceptAllFor time.Duration
	// AnswerBy is when all accepted requests have been answered.
	AnswerBy time.Duration
	// ExemptIfIdleSince exempts connections whose last request came before this time from the limits AnswerBy
	// and CloseBy: they are closed once they are idle. 0: no connection is exempt.
	ExemptIfIdleSince time.Duration
	// CloseBy is when all connections that are not exempt are closed. A connection that is accepted later is
	// closed CloseBy - AnswerBy after it was accepted.
	CloseBy time.Duration
	// AwaitDelivery keeps connections open after CloseBy while their clients are taking answers.
	AwaitDelivery bool
}

// Limits from the client protocol and the operations page.
const (
	acceptAllFor = 700 * time.Millisecond
	// The earliest SIGKILL comes killDelay after the longest deadline of a class, of which at most
	// maxCountedDeadline counts. Both run from SIGTERM.
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// From evacuationLimit after the start of an evacuation, the process must hold no connection that is idle
	// or had a request within the last recentRequest.
	evacuationLimit = 4 * time.Second
	recentRequest   = 2 * time.Second
)

// Safety margins before the limits above, for delays on a busy machine.
const (
	answerMargin         = 150 * time.Millisecond
	closeMargin          = 75 * time.Millisecond
	evacuateAnswerMargin = 500 * time.Millisecond
	evacuateCloseMargin  = 300 * time.Millisecond
	recentRequestMargin  = 100 * time.Millisecond
)

// Termination returns the schedule that starts at SIGTERM and ends before the earliest SIGKILL.
// longestDeadline is the longest deadline of a class; 0: unknown.
func Termination(longestDeadline time.Duration) Schedule {
	if longestDeadline <= 0 || longestDeadline > maxCountedDeadline {
		longestDeadline = maxCountedDeadline
	}
	kill := longestDeadline + killDelay
	return Schedule{AcceptAllFor: acceptAllFor, AnswerBy: kill - answerMargin, CloseBy: kill - closeMargin}
}

// Evacuation returns the schedule that starts when operators request an evacuation. The operations page does
// not count the time that clients take to read their answers, and no SIGKILL follows.
func Evacuation() Schedule {
	return Schedule{
		AcceptAllFor:      acceptAllFor,
		AnswerBy:          evacuationLimit - evacuateAnswerMargin,
		ExemptIfIdleSince: evacuationLimit - recentRequest - recentRequestMargin,
		CloseBy:           evacuationLimit - evacuateCloseMargin,
		AwaitDelivery:     true,
	}
}

// Admits reports whether to accept a request that arrives elapsed after the start of the drain and whose
// deadline is timeLeft away. A request with a deadline after AnswerBy would have to be failed before its
// deadline, or would keep its connection in use until the last moment.
func (s Schedule) Admits(elapsed, timeLeft time.Duration) bool {
	return elapsed < s.AcceptAllFor || elapsed+timeLeft <= s.AnswerBy
}

// Action is what to do with a client's connection. A higher value takes precedence.
type Action int

// Actions.
const (
	Keep           Action = iota // leave the connection open
	CloseIfIdle                  // close the connection if nothing is in use on it
	AnswerAndClose               // fail the requests in flight on the connection at once, then close it
	Finish                       // read no more requests, and close the connection once the answers are taken
	Close                        // close the connection even if it is in use
)

// ConnTimes holds when a connection was accepted and when its last request arrived. Both run from the start
// of the drain; negative: before it.
type ConnTimes struct {
	Accepted    time.Duration
	LastRequest time.Duration // Accepted, if no request has arrived
}

// ActionFor returns what to do with a connection when elapsed has passed since the start of the drain.
func (s Schedule) ActionFor(elapsed time.Duration, conn ConnTimes) Action {
	exempt := s.ExemptIfIdleSince > 0 && conn.LastRequest < s.ExemptIfIdleSince
	closeBy := max(s.CloseBy, conn.Accepted+s.CloseBy-s.AnswerBy)
	switch {
	case elapsed < s.AcceptAllFor:
		return Keep
	case exempt || elapsed < s.AnswerBy:
		return CloseIfIdle
	case elapsed < closeBy:
		return AnswerAndClose
	case s.AwaitDelivery:
		return Finish
	default:
		return Close
	}
}

// Package drain decides how a process sends its clients away, on a call of the operators (evacuation) or
// because it is told to end (termination). It is the one place for what may still be taken and when a
// client's connection has to go. The frontend asks it for each request and each connection, and does what it
// says.
//
// The package does no I/O and reads no clock: it is told the time. Times are those of the monotonic clock.
//
// Source: client protocol (figures) and operation page (sending clients away).
package drain

import "time"

// Schedule bounds how clients are sent away. All times are spans since the call.
type Schedule struct {
	// Linger is how long everything is taken as before, and idle connections stay open: clients notice late that
	// the process is not ready, and a connection that was closed sooner would only be made again.
	Linger time.Duration
	// AnswerBy is when all that was taken is answered.
	AnswerBy time.Duration
	// KeepUnusedSince spares connections at AnswerBy on which no request came after this: they end after their
	// last answer. With 0 none is spared.
	KeepUnusedSince time.Duration
	// CloseBy is when the last connection is closed that is not spared. One that is made later has as long for
	// itself as there is from AnswerBy to CloseBy.
	CloseBy time.Duration
}

// The figures of the pages.
const (
	linger = 700 * time.Millisecond
	// maxCountedDeadline is the most that a deadline counts for the earliest SIGKILL, and killDelay what comes
	// on top.
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	// holdsNoneAfter is when an evacuated process must hold no connection that is idle, or had a request in
	// recentRequest.
	holdsNoneAfter = 4 * time.Second
	recentRequest  = 2 * time.Second
)

// How long before the pages' limits the process is done, for what a busy machine adds.
const (
	answerMargin         = 150 * time.Millisecond
	closeMargin          = 75 * time.Millisecond
	evacuateAnswerMargin = 500 * time.Millisecond
	evacuateCloseMargin  = 300 * time.Millisecond
	recentRequestMargin  = 100 * time.Millisecond
)

// Termination returns the schedule after SIGTERM, where the longest deadline of a class is as given; 0: it is
// not known. It ends before the earliest SIGKILL.
func Termination(longestDeadline time.Duration) Schedule {
	if longestDeadline <= 0 || longestDeadline > maxCountedDeadline {
		longestDeadline = maxCountedDeadline
	}
	kill := longestDeadline + killDelay
	return Schedule{Linger: linger, AnswerBy: kill - answerMargin, CloseBy: kill - closeMargin}
}

// Evacuation returns the schedule after the operators' call.
func Evacuation() Schedule {
	return Schedule{
		Linger:          linger,
		AnswerBy:        holdsNoneAfter - evacuateAnswerMargin,
		KeepUnusedSince: holdsNoneAfter - recentRequest - recentRequestMargin,
		CloseBy:         holdsNoneAfter - evacuateCloseMargin,
	}
}

// Admits reports whether a request is taken that comes when so much time has passed, and whose client waits
// for so long. One that is not would have to be answered before its time, or keep its connection in use until
// the last moment.
func (s Schedule) Admits(elapsed, timeLeft time.Duration) bool {
	return elapsed < s.Linger || elapsed+timeLeft <= s.AnswerBy
}

// Verdict is what is to be done with a client's connection. A higher one takes precedence.
type Verdict int

// The verdicts.
const (
	Keep           Verdict = iota // leave it alone
	CloseIfIdle                   // close it if nothing is in use on it
	AnswerAndClose                // answer what is open on it at once, then close it
	Close                         // close it, whatever is in use on it
)

// Use is when a connection was made, and when the last request came on it: since the call; negative: before.
type Use struct {
	Accepted    time.Duration
	LastRequest time.Duration // Accepted, where none has come
}

// Judge returns what is to be done with a connection when so much time has passed.
func (s Schedule) Judge(elapsed time.Duration, use Use) Verdict {
	spared := s.KeepUnusedSince > 0 && use.LastRequest < s.KeepUnusedSince
	closeBy := max(s.CloseBy, use.Accepted+s.CloseBy-s.AnswerBy)
	switch {
	case elapsed < s.Linger:
		return Keep
	case spared || elapsed < s.AnswerBy:
		return CloseIfIdle
	case elapsed < closeBy:
		return AnswerAndClose
	default:
		return Close
	}
}

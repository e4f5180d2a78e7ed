package soak

import (
	"fmt"
	"time"
)

// checkDuplicates reports calls that are not idempotent and began to run at workers more than once.
func checkDuplicates(h *History) []Violation {
	runCounts := map[uint64]int{}
	var violations []Violation
	for _, e := range h.Workers {
		if e.Kind != CallStarted || e.Class != ClassNotIdempotent {
			continue
		}
		if runCounts[e.Call]++; runCounts[e.Call] == 2 {
			violations = append(violations, Violation{RuleDuplicate, e.At, fmt.Sprintf("call %016x ran twice", e.Call)})
		}
	}
	return violations
}

// checkLost reports requests without an answer, with several answers, with a late answer, or with a body that no worker returned
// for them.
func checkLost(h *History) []Violation {
	var violations []Violation
	add := func(r *Request, text string) {
		violations = append(violations, Violation{RuleLost, r.Sent,
			fmt.Sprintf("request %016x to dispatcher %d run %d: %s", r.ID, r.Dispatcher, r.Run, text)})
	}
	for _, r := range h.Requests {
		switch {
		case r.Sent == 0:
		case r.WrongBody:
			add(r, "served with a body that no worker returned for it")
		case len(r.Answers) > 1:
			add(r, "answered twice")
		case len(r.Answers) == 0 && h.exemption(r) == "":
			add(r, "no answer; "+r.connectionEndText())
		case len(r.Answers) == 1 && r.ClientLeft == 0 && r.Answers[0]-r.Sent > r.Wait+answerSlack+schedulingSlack:
			add(r, fmt.Sprintf("answered after %.3f s, the client waits %.3f s", (r.Answers[0]-r.Sent).Seconds(), r.Wait.Seconds()))
		}
	}
	return violations
}

// connectionEndText describes how the connection of a request without an answer ended.
func (r *Request) connectionEndText() string {
	if r.ConnEnded == 0 {
		return "the dispatcher did not end the connection"
	}
	return fmt.Sprintf(
		"the dispatcher ended the connection %.6f s after the request, last bytes unread: %t; %d requests without an answer",
		(r.ConnEnded - r.Sent).Seconds(), r.EndedUnread, r.OpenAtEnd)
}

// exemption returns why a request without an answer is no violation. It is empty where the dispatcher had to answer.
func (h *History) exemption(r *Request) string {
	run := h.dispatcherRun(r.Dispatcher, r.Run)
	answerBy := r.Sent + r.Wait + answerSlack
	switch {
	case run.Killed > 0 && run.Killed < answerBy && !h.terminatedInTime(run):
		return "dispatcher killed"
	case r.ClientLeft > 0 && r.ClientLeft < answerBy:
		return "client left"
	case r.racedWithClose():
		return "crossed the close of an idle connection"
	}
	return ""
}

// racedWithClose reports whether the request was in transit while the dispatcher closed its idle connection: all earlier requests
// on it had been answered, and the dispatcher had not read this one. If several requests on the connection have no answer, only
// the last is known to be unread, and racedWithClose is false for all of them.
func (r *Request) racedWithClose() bool {
	return r.ConnEnded > 0 && r.EndedUnread && r.OpenAtEnd == 1 && r.ConnEnded-r.Sent <= idleCloseRaceTime
}

// terminatedInTime reports whether a killed process got SIGTERM at least KillDelay before SIGKILL. In that time it has to answer
// every request that it accepts, and to stop accepting requests (source: client protocol, figures).
func (h *History) terminatedInTime(run DispatcherRun) bool {
	return run.Terminated > 0 && run.Killed-run.Terminated >= h.KillDelay
}

// checkGone reports attempts that arrive at a worker after their client cancelled the request or closed its connection.
func checkGone(h *History) []Violation {
	leftAt := map[uint64]time.Duration{}
	for _, r := range h.Requests {
		if r.ClientLeft > 0 {
			leftAt[r.ID] = r.ClientLeft
		}
	}
	var violations []Violation
	for _, e := range h.Workers {
		at, hasLeft := leftAt[e.Call]
		if e.Kind == CallArrived && hasLeft && h.arrivalKnown(e) && e.At-at > goneSlack+timeSlack+schedulingSlack {
			violations = append(violations, Violation{RuleGone, e.At,
				fmt.Sprintf("call %016x arrived %.3f s after its client cancelled it or closed the connection", e.Call,
					(e.At - at).Seconds())})
		}
	}
	return violations
}

// checkDeadlines reports attempts whose time limit is longer than the time that their client still waits.
func checkDeadlines(h *History) []Violation {
	requests := map[uint64]*Request{}
	for _, r := range h.Requests {
		requests[r.ID] = r
	}
	var violations []Violation
	for _, e := range h.Workers {
		if e.Kind != CallArrived || !h.arrivalKnown(e) {
			continue
		}
		r := requests[e.Call]
		if r == nil || r.Sent == 0 {
			continue
		}
		timeLeft := r.Wait - (e.At - r.Sent)
		if e.Timeout > timeLeft+deadlineSlack+schedulingSlack {
			violations = append(violations, Violation{RuleDeadline, e.At,
				fmt.Sprintf("call %016x: the worker got a time limit of %s, its client waits for another %s", e.Call, e.Timeout,
					timeLeft)})
		}
	}
	return violations
}

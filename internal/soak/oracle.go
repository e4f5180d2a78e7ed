package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Rule names a rule that dispatchers must keep.
type Rule string

// The rules that the oracle checks (source: client protocol and standing test).
const (
	RuleLoads     Rule = "loads"     // load orders stay within the load budget
	RuleDuplicate Rule = "duplicate" // a call that is not idempotent runs at most once
	RuleDrain     Rule = "drain"     // after the grace no new call or load order goes to a worker that drains or has ended
	RuleLost      Rule = "lost"      // each request gets exactly one answer, in time
	RuleGone      Rule = "gone"      // no attempt begins after its client has cancelled the request or closed the connection
	RuleDeadline  Rule = "deadline"  // an attempt's time limit is no longer than the time its client still waits
	RuleSlowStart Rule = "slowstart" // a worker that has just started is not sent more calls than it can run
	RuleCrash     Rule = "crash"     // dispatchers end only by SIGKILL, or without an error after SIGTERM
	RuleFrame     Rule = "frame"     // workers can read every frame that they are sent
	RuleEvacuate  Rule = "evacuate"  // an evacuated dispatcher drains its connections in time, and takes clients again after a rejoin
	RuleLimits    Rule = "limits"    // no more descriptors and memory are used than the limits allow
	RuleServe     Rule = "serve"     // the fleet goes on serving during an outage of discovery
	RuleChoice    Rule = "choice"    // no dispatcher had to stop a choice of its balancer that would have broken a rule
)

// Tolerances of the checks.
const (
	timeSlack       = 50 * time.Millisecond  // on every time limit
	loadBudgetSlack = 0.15                   // the load budget is raised by this fraction ...
	loadBudgetExtra = 1                      // ... and by this number of orders
	answerSlack     = 500 * time.Millisecond // a request without an answer counts as lost this long after its client's time limit
	// goneSlack is how long after its client has cancelled the request or closed the connection an attempt may begin.
	goneSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond // an attempt's time limit may exceed the time that its client still waits by this
	// idleCloseRaceTime is how long before the dispatcher closes an idle connection a request may be sent and stay unread.
	idleCloseRaceTime = 50 * time.Millisecond
	// schedulingSlack is added to time limits, as the recording and the observed processes share the machine's processors.
	schedulingSlack = 100 * time.Millisecond
	// backlogReadTime is how long a worker takes, after it resumes, to read what arrived while its process was stopped.
	backlogReadTime = 500 * time.Millisecond
	// minStartKnownShare is a share of the calls in an overload. The overload is a violation if more than this share came from
	// dispatchers to which the worker's start counted as known.
	minStartKnownShare = 2.0 / 3
)

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s", v.Rule, v.At.Seconds(), v.Text)
}

// Check returns all violations in a history, in order of time.
func Check(h *History) []Violation {
	var violations []Violation
	for _, check := range []func(*History) []Violation{
		checkLoads, checkDuplicates, checkDrains, checkLost, checkGone, checkDeadlines, checkSlowStart, checkCrashes,
		checkFrames, checkEvacuations, checkLimits, checkServing, checkChoices,
	} {
		violations = append(violations, check(h)...)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// runAt returns the number of the last process of a dispatcher that had been started by a time.
func (h *History) runAt(dispatcher int, at time.Duration) int {
	last := 0
	for _, run := range h.Dispatchers {
		if run.Dispatcher == dispatcher && run.Started <= at {
			last = max(last, run.Run)
		}
	}
	return last
}

// firstStart returns when the first dispatcher process was started.
func (h *History) firstStart() time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, run := range h.Dispatchers {
		first = min(first, run.Started)
	}
	return first
}

// dispatcherRun returns the record of one process of a dispatcher.
func (h *History) dispatcherRun(dispatcher, number int) DispatcherRun {
	for _, run := range h.Dispatchers {
		if run.Dispatcher == dispatcher && run.Run == number {
			return run
		}
	}
	return DispatcherRun{}
}

// dispatcherProcess identifies one process of a dispatcher.
type dispatcherProcess struct{ dispatcher, run int }

// checkLoads checks, for each load order that asks for copies, that the orders of its dispatcher process in the window up to
// its arrival stay within the budget: LoadBurst, and LoadRatio orders for each request in the window.
func checkLoads(h *History) []Violation {
	orderTimes := map[dispatcherProcess][]time.Duration{}
	for _, e := range h.Workers {
		if e.Kind == LoadArrived && e.Copies > 0 && h.arrivalKnown(e) {
			p := dispatcherProcess{e.Dispatcher, h.runAt(e.Dispatcher, e.At)}
			orderTimes[p] = append(orderTimes[p], e.At)
		}
	}
	requestTimes := map[dispatcherProcess][]time.Duration{}
	for _, r := range h.Requests {
		if r.Sent > 0 {
			p := dispatcherProcess{r.Dispatcher, r.Run}
			requestTimes[p] = append(requestTimes[p], r.Sent)
		}
	}
	var violations []Violation
	for p, times := range orderTimes {
		slices.Sort(times)
		slices.Sort(requestTimes[p])
		for i, at := range times {
			from := at - h.Rules.LoadWindow
			first, _ := slices.BinarySearch(times, from)
			orderCount := i + 1 - first
			requestCount := countBetween(requestTimes[p], from-timeSlack, at)
			allowed := h.Rules.LoadBurst + h.Rules.LoadRatio*float64(requestCount)
			if float64(orderCount) > allowed*(1+loadBudgetSlack)+loadBudgetExtra {
				violations = append(violations, Violation{RuleLoads, at,
					fmt.Sprintf("dispatcher %d run %d sent %d load orders in the window, with %d requests", p.dispatcher, p.run, orderCount,
						requestCount)})
			}
		}
	}
	return violations
}

// countBetween returns how many of the sorted times lie between from and to, both included.
func countBetween(sorted []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(sorted, from)
	last, _ := slices.BinarySearch(sorted, to+1)
	return last - first
}

// checkCrashes reports dispatcher processes that ended without a signal or failed after SIGTERM.
func checkCrashes(h *History) []Violation {
	var violations []Violation
	for _, run := range h.Dispatchers {
		if run.Crash != "" {
			violations = append(violations, Violation{RuleCrash, run.Ended,
				fmt.Sprintf("dispatcher %d run %d %s", run.Dispatcher, run.Run, run.Crash)})
		}
	}
	return violations
}

// checkEvacuations reports the problems that were recorded during evacuations.
func checkEvacuations(h *History) []Violation {
	var violations []Violation
	for _, e := range h.Evacuations {
		for _, problem := range e.Problems {
			violations = append(violations, Violation{RuleEvacuate, e.CalledAt,
				fmt.Sprintf("dispatcher %d run %d: %s", e.Dispatcher, e.Run, problem)})
		}
	}
	return violations
}

// checkChoices reports dispatcher processes whose log tells that a choice of the balancer was not carried out because it would
// have broken a rule.
func checkChoices(h *History) []Violation {
	var violations []Violation
	for _, run := range h.Dispatchers {
		if run.StoppedChoices > 0 {
			violations = append(violations, Violation{RuleChoice, run.Started, fmt.Sprintf(
				"dispatcher %d run %d: its own check stopped %d or more choices that would have broken a rule", run.Dispatcher,
				run.Run, run.StoppedChoices)})
		}
	}
	return violations
}

// checkLimits reports dispatcher processes that exceeded their limits or ran short of descriptors.
func checkLimits(h *History) []Violation {
	var violations []Violation
	for _, run := range h.Dispatchers {
		if run.Descriptors > h.Limits.Sockets || run.MemoryMB > h.Limits.MemoryMB || run.Shortages > 0 {
			violations = append(violations, Violation{RuleLimits, run.Started, fmt.Sprintf(
				"dispatcher %d run %d used %d descriptors and %d MB, and was short of descriptors %d times", run.Dispatcher,
				run.Run, run.Descriptors, run.MemoryMB, run.Shortages)})
		}
	}
	return violations
}

// Counts summarises a history: requests by the first answer or the reason for having none, worker events by kind, outages of
// discovery by kind and length, and injected faults by kind.
func Counts(h *History) map[string]int {
	counts := maps.Clone(h.Faults)
	for _, r := range h.Requests {
		switch {
		case r.Sent == 0:
		case len(r.Answers) > 0:
			counts["answer:"+r.Outcomes[0]]++
		default:
			counts["answer:none, "+h.exemption(r)]++
		}
	}
	for _, e := range h.Workers {
		counts["worker:"+string(e.Kind)]++
	}
	for _, o := range h.Outages {
		length := "up to 8 s"
		if o.End-o.Begin > notificationDeadline+time.Second {
			length = "over 8 s"
		}
		counts[fmt.Sprintf("outage %s, %s", o.Kind, length)]++
	}
	return counts
}

package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Rule names a rule that dispatchers keep.
type Rule string

// The rules (source: client protocol and standing test).
const (
	RuleLoads     Rule = "loads"     // load orders within the budget
	RuleDuplicate Rule = "duplicate" // what must not run twice does not
	RuleDrain     Rule = "drain"     // nothing new to a worker that drains or is gone
	RuleLost      Rule = "lost"      // one final answer for each request
	RuleGone      Rule = "gone"      // no attempt begins after the client has left
	RuleDeadline  Rule = "deadline"  // workers are told no more time than the client has left
	RuleSlowStart Rule = "slowstart" // a cold worker is not sent more than it can do
	RuleCrash     Rule = "crash"     // dispatchers do not end by themselves
	RuleFrame     Rule = "frame"     // workers can read what they are sent
)

// Slack of the rules.
const (
	timeSlack     = 50 * time.Millisecond  // of every time limit
	budgetSlack   = 0.15                   // the load budget is widened by this part ...
	budgetExtra   = 1                      // ... and by so many orders
	answerSlack   = 500 * time.Millisecond // a later answer counts as lost
	goneSlack     = 100 * time.Millisecond // an attempt may begin so long after its client has left
	deadlineSlack = 150 * time.Millisecond
	crossingTime  = 50 * time.Millisecond  // a request may cross the close of an idle connection
	termGrace     = 700 * time.Millisecond // requests that arrive later after SIGTERM are not owed an answer
	// schedulingSlack is allowed on top where the recorder and the recorded compete for the machine's processors.
	schedulingSlack = 100 * time.Millisecond
	// thawTime is how long a worker takes to read what has arrived while it was frozen.
	thawTime  = 500 * time.Millisecond
	toldShare = 2.0 / 3 // a cold worker's overload counts if more of it came from dispatchers that were told
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f: %s", v.Rule, v.At.Seconds(), v.Text)
}

// Check returns the rules that were broken, by time.
func Check(h *History) []Violation {
	var violations []Violation
	for _, check := range []func(*History) []Violation{
		checkLoads, checkDuplicates, checkDrains, checkLost, checkGone, checkDeadlines, checkSlowStart, checkCrashes,
		checkFrames,
	} {
		violations = append(violations, check(h)...)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// arrivalKnown reports whether the time of an arrival is that of its record. What a worker reads right after it was frozen
// may have arrived at any time before.
func (h *History) arrivalKnown(e WorkerEvent) bool {
	return !slices.ContainsFunc(h.Freezes, func(f Freeze) bool {
		return f.Worker == e.Worker && e.At >= f.Begin && e.At <= f.End+thawTime
	})
}

// runAt returns the process of the dispatcher that was there at a time.
func (h *History) runAt(dispatcher int, at time.Duration) int {
	last := 0
	for _, run := range h.Dispatchers {
		if run.Dispatcher == dispatcher && run.Started <= at {
			last = max(last, run.Run)
		}
	}
	return last
}

// begin is when the first dispatcher was started.
func (h *History) begin() time.Duration {
	begin := time.Duration(math.MaxInt64)
	for _, run := range h.Dispatchers {
		begin = min(begin, run.Started)
	}
	return begin
}

// run returns the record of a dispatcher's process.
func (h *History) run(dispatcher, number int) DispatcherRun {
	for _, run := range h.Dispatchers {
		if run.Dispatcher == dispatcher && run.Run == number {
			return run
		}
	}
	return DispatcherRun{}
}

// process identifies a process of a dispatcher.
type process struct{ dispatcher, run int }

// checkLoads counts the orders in the window before each order, as they arrived.
func checkLoads(h *History) []Violation {
	orders := map[process][]time.Duration{}
	for _, e := range h.Workers {
		if e.Kind == LoadArrived && h.arrivalKnown(e) {
			p := process{e.Dispatcher, h.runAt(e.Dispatcher, e.At)}
			orders[p] = append(orders[p], e.At)
		}
	}
	taken := map[process][]time.Duration{}
	for _, r := range h.Requests {
		if r.Sent > 0 {
			p := process{r.Dispatcher, r.Run}
			taken[p] = append(taken[p], r.Sent)
		}
	}
	var violations []Violation
	for p, times := range orders {
		slices.Sort(times)
		slices.Sort(taken[p])
		for i, at := range times {
			from := at - h.Rules.LoadWindow
			first, _ := slices.BinarySearch(times, from)
			given := i + 1 - first
			requests := countBetween(taken[p], from-timeSlack, at)
			allowed := h.Rules.LoadBurst + h.Rules.LoadRatio*float64(requests)
			if float64(given) > allowed*(1+budgetSlack)+budgetExtra {
				violations = append(violations, Violation{RuleLoads, at,
					fmt.Sprintf("dispatcher %d run %d gave %d orders with %d requests", p.dispatcher, p.run, given, requests)})
			}
		}
	}
	return violations
}

// countBetween counts sorted times from one to another, both included.
func countBetween(sorted []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(sorted, from)
	last, _ := slices.BinarySearch(sorted, to+1)
	return last - first
}

func checkDuplicates(h *History) []Violation {
	ran := map[uint64]int{}
	var violations []Violation
	for _, e := range h.Workers {
		if e.Kind != CallRan || e.Class != ClassNotIdempotent {
			continue
		}
		if ran[e.Call]++; ran[e.Call] == 2 {
			violations = append(violations, Violation{RuleDuplicate, e.At, fmt.Sprintf("call %016x ran twice", e.Call)})
		}
	}
	return violations
}

// checkDrains looks at what arrives at workers that drain or are gone, by what its dispatcher was told.
func checkDrains(h *History) []Violation {
	type pair struct {
		process
		worker string
	}
	told := map[pair][]Notice{}
	for _, n := range h.Notices {
		key := pair{process{n.Dispatcher, n.Run}, n.Worker}
		told[key] = append(told[key], n)
	}
	for _, notices := range told {
		slices.SortStableFunc(notices, func(a, b Notice) int { return cmp.Compare(a.At, b.At) })
	}
	var violations []Violation
	for _, e := range h.Workers {
		isOrder := e.Kind == CallArrived || e.Kind == LoadArrived
		if !isOrder || !h.arrivalKnown(e) {
			continue
		}
		p := process{e.Dispatcher, h.runAt(e.Dispatcher, e.At)}
		since, unavailable := unavailableSince(told[pair{p, e.Worker}], e.At)
		if unavailable && e.At-since > h.Rules.DrainGrace+timeSlack+schedulingSlack {
			violations = append(violations, Violation{RuleDrain, e.At,
				fmt.Sprintf("%s arrived at %s from dispatcher %d, %.3f s after it was told", e.Kind, e.Worker, e.Dispatcher,
					(e.At - since).Seconds())})
		}
	}
	return violations
}

// unavailableSince returns since when a dispatcher knew at a time that a worker drains or is gone.
func unavailableSince(notices []Notice, at time.Duration) (since time.Duration, unavailable bool) {
	for _, n := range notices {
		if n.At > at {
			break
		}
		isActive := n.State == stateActive
		if !isActive && !unavailable {
			since = n.At
		}
		unavailable = !isActive
	}
	return since, unavailable
}

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
			add(r, "served with what no worker made for it")
		case len(r.Answers) > 1:
			add(r, "answered twice")
		case len(r.Answers) == 0 && h.exemption(r) == "":
			add(r, fmt.Sprintf("no answer; connection ended by the dispatcher after %.3f s (0: not)", since(r.ConnEnded, r.Sent)))
		case len(r.Answers) == 1 && r.Left == 0 && r.Answers[0]-r.Sent > r.Wait+answerSlack+schedulingSlack:
			add(r, fmt.Sprintf("answered after %.3f of %.3f s", (r.Answers[0]-r.Sent).Seconds(), r.Wait.Seconds()))
		}
	}
	return violations
}

func since(at, begin time.Duration) float64 {
	if at == 0 {
		return 0
	}
	return (at - begin).Seconds()
}

// exemption says why the dispatcher owes no answer to a request that has none; empty: it owes one.
func (h *History) exemption(r *Request) string {
	run := h.run(r.Dispatcher, r.Run)
	answerBy := r.Sent + r.Wait + answerSlack
	switch {
	case run.Killed > 0 && run.Killed < answerBy && !run.hadTimeToAnswer(r):
		return "dispatcher killed"
	case r.Left > 0 && r.Left < answerBy:
		return "client left"
	case run.Terminated > 0 && r.Sent > run.Terminated+termGrace:
		return "sent long after SIGTERM"
	case r.ConnEnded > 0 && r.Alone && r.ConnEnded-r.Sent <= crossingTime:
		return "crossed the close of an idle connection"
	}
	return ""
}

// hadTimeToAnswer reports whether a process that was killed was told to end long enough before to answer a request.
func (run DispatcherRun) hadTimeToAnswer(r *Request) bool {
	return run.Terminated > 0 && r.Sent < run.Terminated+termGrace && run.Killed-run.Terminated >= stopTimeout
}

// checkGone looks for attempts that arrive after their client has cancelled or closed.
func checkGone(h *History) []Violation {
	left := map[uint64]time.Duration{}
	for _, r := range h.Requests {
		if r.Left > 0 {
			left[r.ID] = r.Left
		}
	}
	var violations []Violation
	for _, e := range h.Workers {
		at, gone := left[e.Call]
		if e.Kind == CallArrived && gone && h.arrivalKnown(e) && e.At-at > goneSlack+timeSlack+schedulingSlack {
			violations = append(violations, Violation{RuleGone, e.At,
				fmt.Sprintf("call %016x arrived %.3f s after its client left", e.Call, (e.At - at).Seconds())})
		}
	}
	return violations
}

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
		left := r.Wait - (e.At - r.Sent)
		if e.Max > left+deadlineSlack+schedulingSlack {
			violations = append(violations, Violation{RuleDeadline, e.At,
				fmt.Sprintf("call %016x: the worker was told %s, its client had %s left", e.Call, e.Max, left)})
		}
	}
	return violations
}

// checkSlowStart counts what arrives at a worker after its start.
func checkSlowStart(h *History) []Violation {
	arrivals := map[string][]WorkerEvent{}
	starts := map[string][]time.Duration{}
	for _, e := range h.Workers {
		switch e.Kind {
		case CallArrived:
			arrivals[e.Worker] = append(arrivals[e.Worker], e)
		case WorkerStarted:
			starts[e.Worker] = append(starts[e.Worker], e.At)
		}
	}
	var violations []Violation
	for worker, calls := range arrivals {
		slices.SortFunc(calls, func(a, b WorkerEvent) int { return cmp.Compare(a.At, b.At) })
		for _, started := range starts[worker] {
			if started < h.begin() { // warm when the first dispatcher started
				continue
			}
			if v, broken := h.overloaded(worker, started, calls); broken {
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// overloaded returns the first overload of a worker after a start.
func (h *History) overloaded(worker string, started time.Duration, calls []WorkerEvent) (Violation, bool) {
	first := 0
	for i, call := range calls {
		age := call.At - started
		if age < 0 || age > h.Rules.WarmAfter {
			continue
		}
		for calls[first].At < max(started, call.At-h.Rules.OverloadSpan) {
			first++
		}
		warmth := h.Rules.ColdFrom + (1-h.Rules.ColdFrom)*age.Seconds()/h.Rules.WarmAfter.Seconds()
		allowed := h.Rules.OverloadTimes * warmth * h.Rules.WorkerRate * h.Rules.OverloadSpan.Seconds()
		limit := allowed + 2*math.Sqrt(allowed) + 2
		window := calls[first : i+1]
		if float64(len(window)) > limit && h.toldPart(worker, started, window) > toldShare {
			return Violation{RuleSlowStart, call.At, fmt.Sprintf("%s, %.1f s after its start: %d calls, %.0f allowed", worker,
				age.Seconds(), len(window), limit)}, true
		}
	}
	return Violation{}, false
}

// toldPart returns the part of the calls that came from dispatchers which had been told of the worker's start.
func (h *History) toldPart(worker string, started time.Duration, calls []WorkerEvent) float64 {
	told := map[process]time.Duration{}
	for _, n := range h.Notices {
		if n.Worker == worker && n.BootMS > 0 && n.At >= started {
			p := process{n.Dispatcher, n.Run}
			if at, ok := told[p]; !ok || n.At < at {
				told[p] = n.At
			}
		}
	}
	fromTold := 0
	for _, call := range calls {
		at, ok := told[process{call.Dispatcher, h.runAt(call.Dispatcher, call.At)}]
		if ok && call.At >= at {
			fromTold++
		}
	}
	return float64(fromTold) / float64(len(calls))
}

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

func checkFrames(h *History) []Violation {
	var violations []Violation
	for _, e := range h.Workers {
		if e.Kind == FramesBroken {
			violations = append(violations, Violation{RuleFrame, e.At, "bad frame at " + e.Worker})
		}
	}
	return violations
}

// Counts summarises a history: requests by how they ended, and faults by kind.
func Counts(h *History) map[string]int {
	counts := maps.Clone(h.Faults)
	for _, r := range h.Requests {
		switch {
		case r.Sent == 0:
		case len(r.Answers) > 0:
			counts["answer:"+r.Words[0]]++
		default:
			counts["answer:none, "+h.exemption(r)]++
		}
	}
	for _, e := range h.Workers {
		counts["worker:"+string(e.Kind)]++
	}
	return counts
}

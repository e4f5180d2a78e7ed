package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// arrivalKnown reports whether the recorded time of an event is its time of arrival. What a worker reads right after its process
// was stopped may have arrived at any time during the stop.
func (h *History) arrivalKnown(e WorkerEvent) bool {
	return !slices.ContainsFunc(h.Freezes, func(f Freeze) bool {
		return f.Worker == e.Worker && e.At >= f.Begin && e.At <= f.End+thawTime
	})
}

// checkDrains reports calls and load orders that arrive at a worker later than the grace after their dispatcher process was
// notified, or counts as notified, that the worker drains or has ended. Load orders for no copies only ask and are allowed.
func checkDrains(h *History) []Violation {
	type pair struct {
		process
		worker string
	}
	told := map[pair][]Notification{}
	for _, n := range h.Notifications {
		key := pair{process{n.Dispatcher, n.Run}, n.Worker}
		told[key] = append(told[key], n)
	}
	for _, notices := range told {
		slices.SortStableFunc(notices, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	var violations []Violation
	for _, e := range h.Workers {
		isNew := e.Kind == CallArrived || e.Kind == LoadArrived && e.Copies > 0
		if !isNew || !h.arrivalKnown(e) {
			continue
		}
		p := process{e.Dispatcher, h.runAt(e.Dispatcher, e.At)}
		since, unavailable := unavailableSince(told[pair{p, e.Worker}], e.At)
		if unavailable && e.At-since > h.Rules.DrainGrace+timeSlack+schedulingSlack {
			violations = append(violations, Violation{RuleDrain, e.At,
				fmt.Sprintf("%s arrived at %s from dispatcher %d, %.3f s after the dispatcher was notified that the worker drains or has ended", e.Kind, e.Worker, e.Dispatcher,
					(e.At - since).Seconds())})
		}
	}
	return violations
}

// unavailableSince reports whether, by the sorted notifications up to a time, a worker drains or has ended, and since when
// without interruption.
func unavailableSince(notices []Notification, at time.Duration) (since time.Duration, unavailable bool) {
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

// checkSlowStart reports workers that were sent more calls after a start than they can run while they warm up.
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
			if started < h.begin() { // the worker started before the first dispatcher and counts as warm
				continue
			}
			if v, broken := h.overloaded(worker, started, calls); broken {
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// overloaded returns the first overload of a worker within the warm-up after a start. An overload is a number
// of calls within OverloadSpan beyond what the worker's warmth allows, with a margin of 2*sqrt(allowed)+2 calls, where more than
// notifiedShare of the calls came from dispatchers that had been notified of the start.
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
		if float64(len(window)) > limit && h.notifiedPart(worker, started, window) > notifiedShare {
			return Violation{RuleSlowStart, call.At, fmt.Sprintf("%s, %.1f s after its start: %d calls, %.0f allowed", worker,
				age.Seconds(), len(window), limit)}, true
		}
	}
	return Violation{}, false
}

// notifiedPart returns the fraction of the calls that came from dispatcher processes already notified of the worker's start.
func (h *History) notifiedPart(worker string, started time.Duration, calls []WorkerEvent) float64 {
	told := map[process]time.Duration{}
	for _, n := range h.Notifications {
		if n.Worker == worker && n.BootMS > 0 && n.At >= started {
			p := process{n.Dispatcher, n.Run}
			if at, ok := told[p]; !ok || n.At < at {
				told[p] = n.At
			}
		}
	}
	fromNotified := 0
	for _, call := range calls {
		at, ok := told[process{call.Dispatcher, h.runAt(call.Dispatcher, call.At)}]
		if ok && call.At >= at {
			fromNotified++
		}
	}
	return float64(fromNotified) / float64(len(calls))
}

// checkFrames reports frames that workers could not read.
func checkFrames(h *History) []Violation {
	var violations []Violation
	for _, e := range h.Workers {
		if e.Kind == FramesBroken {
			violations = append(violations, Violation{RuleFrame, e.At, "frame cannot be read at " + e.Worker})
		}
	}
	return violations
}

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
		return f.Worker == e.Worker && e.At >= f.Begin && e.At <= f.End+backlogReadTime
	})
}

// checkDrains reports calls and load orders that arrive at a worker later than the grace after their dispatcher process was
// notified, or counts as notified, that the worker drains or has ended. Load orders for no copies only ask and are allowed.
func checkDrains(h *History) []Violation {
	type processAndWorker struct {
		dispatcherProcess
		worker string
	}
	notifications := map[processAndWorker][]Notification{}
	for _, n := range h.Notifications {
		key := processAndWorker{dispatcherProcess{n.Dispatcher, n.Run}, n.Worker}
		notifications[key] = append(notifications[key], n)
	}
	for _, notices := range notifications {
		slices.SortStableFunc(notices, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	}
	var violations []Violation
	for _, e := range h.Workers {
		isNew := e.Kind == CallArrived || e.Kind == LoadArrived && e.Copies > 0
		if !isNew || !h.arrivalKnown(e) {
			continue
		}
		p := dispatcherProcess{e.Dispatcher, h.runAt(e.Dispatcher, e.At)}
		since, unavailable := unavailableSince(notifications[processAndWorker{p, e.Worker}], e.At)
		if unavailable && e.At-since > h.Rules.DrainGrace+timeSlack+schedulingSlack {
			violations = append(violations, Violation{RuleDrain, e.At,
				fmt.Sprintf("%s arrived at %s from dispatcher %d, %.3f s after the dispatcher was notified that the worker is not active",
					e.Kind, e.Worker, e.Dispatcher, (e.At - since).Seconds())})
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
			if started < h.firstStart() { // the worker started before the first dispatcher and counts as warm
				continue
			}
			if v, broken := h.firstOverload(worker, started, calls); broken {
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// firstOverload returns the first overload of a worker within WarmAfter of a start. An overload is a number of calls within
// OverloadSpan that exceeds what the worker's warmth allows by more than 2*sqrt(allowed)+2 calls, where more than
// minNotifiedShare of the calls came from dispatchers that had been notified of the start.
func (h *History) firstOverload(worker string, started time.Duration, calls []WorkerEvent) (Violation, bool) {
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
		if float64(len(window)) > limit && h.notifiedShare(worker, started, window) > minNotifiedShare {
			return Violation{RuleSlowStart, call.At, fmt.Sprintf("%s, %.1f s after its start: %d calls, %.0f allowed", worker,
				age.Seconds(), len(window), limit)}, true
		}
	}
	return Violation{}, false
}

// notifiedShare returns the fraction of the calls that came from dispatcher processes already notified of the worker's start.
func (h *History) notifiedShare(worker string, started time.Duration, calls []WorkerEvent) float64 {
	notifiedAt := map[dispatcherProcess]time.Duration{}
	for _, n := range h.Notifications {
		if n.Worker == worker && n.BootMS > 0 && n.At >= started {
			p := dispatcherProcess{n.Dispatcher, n.Run}
			if at, ok := notifiedAt[p]; !ok || n.At < at {
				notifiedAt[p] = n.At
			}
		}
	}
	fromNotified := 0
	for _, call := range calls {
		at, ok := notifiedAt[dispatcherProcess{call.Dispatcher, h.runAt(call.Dispatcher, call.At)}]
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
		if e.Kind == FrameUnreadable {
			violations = append(violations, Violation{RuleFrame, e.At, "bad frame at " + e.Worker})
		}
	}
	return violations
}

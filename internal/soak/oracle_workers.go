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

// checkDrains reports calls and load orders that arrive at a worker later than the grace after its drain or its end counts as
// known to their dispatcher process. Load orders for no copies only ask whether the function is loaded, and are allowed.
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
	for _, list := range notifications {
		slices.SortStableFunc(list, func(a, b Notification) int { return cmp.Compare(a.KnownAt, b.KnownAt) })
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
func unavailableSince(notifications []Notification, at time.Duration) (since time.Duration, unavailable bool) {
	for _, n := range notifications {
		if n.KnownAt > at {
			break
		}
		isActive := n.State == stateActive
		if !isActive && !unavailable {
			since = n.KnownAt
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

// firstOverload returns the first overload of a worker within WarmUpTime of a start. An overload is a number of calls within
// OverloadWindow that exceeds what the worker's warmth allows by more than 2*sqrt(allowed)+2 calls, where more than
// minStartKnownShare of the calls came from dispatchers to which the start counted as known.
func (h *History) firstOverload(worker string, started time.Duration, calls []WorkerEvent) (Violation, bool) {
	first := 0
	for i, call := range calls {
		age := call.At - started
		if age < 0 || age > h.Rules.WarmUpTime {
			continue
		}
		for calls[first].At < max(started, call.At-h.Rules.OverloadWindow) {
			first++
		}
		warmth := h.Rules.ColdCapacityShare + (1-h.Rules.ColdCapacityShare)*age.Seconds()/h.Rules.WarmUpTime.Seconds()
		allowed := h.Rules.OverloadFactor * warmth * h.Rules.WorkerRate * h.Rules.OverloadWindow.Seconds()
		limit := allowed + 2*math.Sqrt(allowed) + 2
		window := calls[first : i+1]
		if float64(len(window)) > limit && h.startKnownShare(worker, started, window) > minStartKnownShare {
			return Violation{RuleSlowStart, call.At, fmt.Sprintf("%s, %.1f s after its start: %d calls, %.0f allowed", worker,
				age.Seconds(), len(window), limit)}, true
		}
	}
	return Violation{}, false
}

// startKnownShare returns the fraction of the calls that came from dispatcher processes to which the worker's start counted as
// known.
func (h *History) startKnownShare(worker string, started time.Duration, calls []WorkerEvent) float64 {
	knownAt := map[dispatcherProcess]time.Duration{}
	for _, n := range h.Notifications {
		if n.Worker == worker && n.BootMS > 0 && n.KnownAt >= started {
			p := dispatcherProcess{n.Dispatcher, n.Run}
			if at, ok := knownAt[p]; !ok || n.KnownAt < at {
				knownAt[p] = n.KnownAt
			}
		}
	}
	startKnown := 0
	for _, call := range calls {
		at, ok := knownAt[dispatcherProcess{call.Dispatcher, h.runAt(call.Dispatcher, call.At)}]
		if ok && call.At >= at {
			startKnown++
		}
	}
	return float64(startKnown) / float64(len(calls))
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

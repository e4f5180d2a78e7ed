package soak

import (
	"fmt"
	"slices"
	"time"
)

// discoveryState says what discovery told a dispatcher when a request came.
type discoveryState string

// The states of discovery.
const (
	discoveryWorks  discoveryState = "works"
	discoveryBroken discoveryState = "broken"
	discoveryLong   discoveryState = "broken for longer than its news counts as told"
	// The same where most of the workers have drained, ended or started since: neither they nor their successors may be used.
	discoveryOutdated discoveryState = "broken for longer than its news counts as told, and most workers have changed"
)

// While discovery is broken for long a fleet has to serve at least this part of the share that it serves while discovery works,
// of at least so many requests each: fewer say nothing. It is not more, since other faults overlap with the outage: workers
// crash, hang and drain, clients are quiet until nobody is known to be ready, and bursts ask for more than there is. It holds as
// long as this part of the workers that were ready when the outage began has not changed since: others may not be used.
const (
	minServedPart    = 0.5
	minJudgedServes  = 100
	minUnchangedPart = 0.5
)

// servedCount counts requests and how many of them were served.
type servedCount struct{ asked, served int }

// Share is the part that was served; 1 of none.
func (c servedCount) share() float64 {
	if c.asked == 0 {
		return 1
	}
	return float64(c.served) / float64(c.asked)
}

// stateOf returns what discovery told a dispatcher at a time.
func (h *History) stateOf(dispatcher int, at time.Duration) discoveryState {
	i := slices.IndexFunc(h.Outages, func(o Outage) bool {
		return o.Dispatcher == dispatcher && o.Begin <= at && at < o.End
	})
	switch {
	case i < 0:
		return discoveryWorks
	case at-h.Outages[i].Begin < notifiedAfter+h.Rules.DrainGrace:
		return discoveryBroken
	case h.unchangedPart(h.Outages[i].Begin, at) < minUnchangedPart:
		return discoveryOutdated
	default:
		return discoveryLong
	}
}

// unchangedPart returns the part of the workers that were ready at begin whose state in the endpoint list did not change until
// end; 0 if none was ready.
func (h *History) unchangedPart(begin, end time.Duration) float64 {
	ready, changed := map[string]bool{}, map[string]bool{}
	for _, c := range h.ListChanges {
		switch {
		case c.At <= begin:
			ready[c.Worker] = c.State == stateActive
		case c.At <= end:
			changed[c.Worker] = true
		}
	}
	wereReady, unchanged := 0, 0
	for worker, isReady := range ready {
		if !isReady {
			continue
		}
		wereReady++
		if !changed[worker] {
			unchanged++
		}
	}
	return float64(unchanged) / float64(max(1, wereReady))
}

// ServedByDiscovery counts the requests whose clients waited for the answer, by what discovery told when they came.
func (h *History) ServedByDiscovery() map[discoveryState]servedCount {
	counts := map[discoveryState]servedCount{}
	for _, r := range h.Requests {
		if r.Sent == 0 || len(r.Answers) == 0 {
			continue
		}
		state := h.stateOf(r.Dispatcher, r.Sent)
		count := counts[state]
		count.asked++
		if r.served() {
			count.served++
		}
		counts[state] = count
	}
	return counts
}

// checkServing looks whether a fleet serves on while discovery is broken for long.
func checkServing(h *History) []Violation {
	counts := h.ServedByDiscovery()
	long, usual := counts[discoveryLong], counts[discoveryWorks]
	if min(long.asked, usual.asked) < minJudgedServes || long.share() >= minServedPart*usual.share() {
		return nil
	}
	text := fmt.Sprintf("%d of %d requests served while discovery was broken for long, %d of %d while it worked",
		long.served, long.asked, usual.served, usual.asked)
	return []Violation{{RuleServe, h.Outages[0].Begin, text}}
}

package soak

import (
	"fmt"
	"slices"
	"time"
)

// discoveryState is the state of a dispatcher's discovery when a request was sent.
type discoveryState string

// The states of discovery. An outage is long once a change made at its start counts as known to dispatchers
// (notificationDeadline), and the grace for draining workers has passed as well.
const (
	discoveryWorks      discoveryState = "works"
	discoveryBroken     discoveryState = "broken"
	discoveryBrokenLong discoveryState = "broken for longer than its news counts as told"
	// discoveryOutdated is discoveryBrokenLong where most of the workers have also drained, ended or started since the outage
	// began. Neither these workers nor their replacements may be used.
	discoveryOutdated discoveryState = "broken for longer than its news counts as told, and most workers have changed"
)

const (
	// minServedRatio is the fraction of the served share while discovery works that a fleet has to reach in a long outage. A larger
	// one would not hold, as other faults overlap with the outage: workers crash, hang and drain, clients send nothing until no
	// worker is known to be ready, and bursts exceed the capacity of the workers.
	minServedRatio = 0.5
	// minComparedRequests is how many answered requests each of the two shares needs; shares of fewer requests say nothing.
	minComparedRequests = 100
	// minUnchangedShare is the fraction of the workers ready at the start of the outage that must not have changed since, for
	// minServedRatio to apply: the others may not be used.
	minUnchangedShare = 0.5
)

// servedCount counts requests and how many of them were served.
type servedCount struct{ total, served int }

// share returns the fraction of the requests that were served, or 1 if there were none.
func (c servedCount) share() float64 {
	if c.total == 0 {
		return 1
	}
	return float64(c.served) / float64(c.total)
}

// discoveryStateAt returns the state of a dispatcher's discovery at a time.
func (h *History) discoveryStateAt(dispatcher int, at time.Duration) discoveryState {
	i := slices.IndexFunc(h.Outages, func(o Outage) bool {
		return o.Dispatcher == dispatcher && o.Begin <= at && at < o.End
	})
	switch {
	case i < 0:
		return discoveryWorks
	case at-h.Outages[i].Begin < notificationDeadline+h.Rules.DrainGrace:
		return discoveryBroken
	case h.unchangedShare(h.Outages[i].Begin, at) < minUnchangedShare:
		return discoveryOutdated
	default:
		return discoveryBrokenLong
	}
}

// unchangedShare returns, of the workers that the endpoint list had as active at begin, the fraction without a change in the list
// until end; 0 if none was active.
func (h *History) unchangedShare(begin, end time.Duration) float64 {
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

// ServedByDiscovery counts the answered requests and the served ones among them, by the state of discovery when they were sent.
func (h *History) ServedByDiscovery() map[discoveryState]servedCount {
	counts := map[discoveryState]servedCount{}
	for _, r := range h.Requests {
		if r.Sent == 0 || len(r.Answers) == 0 {
			continue
		}
		state := h.discoveryStateAt(r.Dispatcher, r.Sent)
		count := counts[state]
		count.total++
		if r.served() {
			count.served++
		}
		counts[state] = count
	}
	return counts
}

// checkServing reports a fleet that served, in long outages of discovery, less than minServedRatio of the share that it served
// while discovery worked. Requests at times of discoveryOutdated are not compared.
func checkServing(h *History) []Violation {
	counts := h.ServedByDiscovery()
	long, working := counts[discoveryBrokenLong], counts[discoveryWorks]
	if min(long.total, working.total) < minComparedRequests || long.share() >= minServedRatio*working.share() {
		return nil
	}
	text := fmt.Sprintf("%d of %d requests served in long outages of discovery, %d of %d while discovery worked",
		long.served, long.total, working.served, working.total)
	return []Violation{{RuleServe, h.Outages[0].Begin, text}}
}

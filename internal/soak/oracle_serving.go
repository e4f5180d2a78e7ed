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
)

// While discovery is broken for long a fleet has to serve at least this part of the share that it serves while discovery works,
// of at least so many requests each: fewer say nothing. It is not more, since other faults overlap with the outage: workers
// crash, hang and drain, clients are quiet until nobody is known to be ready, and bursts ask for more than there is.
const (
	minServedPart   = 0.5
	minJudgedServes = 100
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
	default:
		return discoveryLong
	}
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

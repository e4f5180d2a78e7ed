package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// detectableOutages are the kinds of outages that a dispatcher can detect.
var detectableOutages = []OutageKind{OutageRefused, OutageSilent, OutageCutOff, OutageError, OutageOldList}

const (
	servedAfterQuiet = 0.3         // least share of the requests that eight workers must serve
	maxServedGap     = time.Second // longest time allowed between two served answers
)

// Guards against a fleet that rejects every request until the outage of discovery ends, because its clients sent nothing when the
// leases of its workers ended.
func TestFleetServesAfterAQuietTimeWithoutDiscovery(t *testing.T) {
	t.Parallel()
	for _, kind := range detectableOutages {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			h, begin, end := outageRun{dispatchers: 1, workers: 8, drainingProcesses: 2, rate: 160, kind: kind,
				quietClients: true}.play(t)
			quietEnd := begin + quietUntil
			t.Log("served shares after the quiet time, in its first second and until the end of the outage:",
				h.servedShare(quietEnd, quietEnd+time.Second), h.servedShare(quietEnd, end))
			assert.Empty(t, Check(h))
			assert.GreaterOrEqual(t, h.servedShare(quietEnd, quietEnd+time.Second), servedAfterQuiet)
			assert.GreaterOrEqual(t, h.servedShare(quietEnd, end), servedAfterQuiet)
			assert.LessOrEqual(t, h.longestGap(quietEnd, end), maxServedGap)
		})
	}
}

// Guards against a dispatcher that rejects every request from 7 s into an outage of discovery on: at night it gets a call only
// every few seconds, and by then the leases of all its workers have ended.
func TestRareCallsAreServedWithoutDiscovery(t *testing.T) {
	t.Parallel()
	h, begin, end := outageRun{dispatchers: 1, workers: 8, drainingProcesses: 2, rate: 0.24, kind: OutageRefused,
		length: 30 * time.Second, rateBeforeOutage: 160}.play(t)
	late := h.servedShare(begin+quietUntil, end)
	t.Log("served share later than", quietUntil, "into the outage:", late)
	assert.Empty(t, Check(h))
	assert.Greater(t, late, 0.0)
}

// Guards against new work for workers that drained while discovery answered polls with nothing new and clients sent nothing.
func TestNothingNewAfterAQuietTimeWithEmptyAnswers(t *testing.T) {
	t.Parallel()
	h, _, _ := outageRun{dispatchers: 1, workers: 8, drainingProcesses: 2, rate: 160, kind: OutageEmpty, quietClients: true}.play(t)
	assert.Empty(t, Check(h))
}

// longestGap returns the longest time between begin and end without an answer to a served request.
func (h *History) longestGap(begin, end time.Duration) time.Duration {
	var served []time.Duration
	for _, r := range h.Requests {
		if r.served() && r.Answers[0] >= begin && r.Answers[0] < end {
			served = append(served, r.Answers[0])
		}
	}
	slices.Sort(served)
	longest, last := time.Duration(0), begin
	for _, at := range append(served, end) {
		longest = max(longest, at-last)
		last = at
	}
	return longest
}

package balancer

import "time"

// latencyHistory compares a worker's recent answer times with the expected ones.
type latencyHistory struct {
	answerTime     decayingCount // sum of recent answer times, in seconds
	expectedTime   decayingCount // sum of the times expected of the same attempts, in seconds
	functionRatio  float64       // running mean of answer time to the function's mean answer time
	objectiveRatio float64       // running mean of answer time to the class's latency objective
}

func newLatencyHistory() latencyHistory { return latencyHistory{functionRatio: 1} }

// add adds the answer time of an attempt and the time expected of it, both in seconds.
func (h *latencyHistory) add(now time.Duration, answerTime, expected float64, decay time.Duration) {
	h.answerTime.add(now, answerTime, decay)
	h.expectedTime.add(now, expected, decay)
}

// ratio returns the sum of the answer times divided by that of the expected times. Pending attempts count
// with their present age once they are overdue. The prior, in seconds, is added to both sums, as for
// answers that took the expected time.
func (h *latencyHistory) ratio(
	now time.Duration, prior float64, decay time.Duration, pending []*attempt,
) float64 {
	answerTime := prior + h.answerTime.add(now, 0, decay)
	expected := prior + h.expectedTime.add(now, 0, decay)
	for _, a := range pending {
		if age := (now - a.sentAt).Seconds(); age > a.expected {
			answerTime += age
			expected += a.expected
		}
	}
	return answerTime / expected
}

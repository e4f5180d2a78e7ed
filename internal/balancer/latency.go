package balancer

import "time"

// latencyHistory compares a worker's recent answer times, in seconds, with the times expected of them.
type latencyHistory struct {
	answerTime     decayingCount
	expectedTime   decayingCount
	functionRatio  float64 // running mean: answer time against the fleet's for the same functions
	objectiveRatio float64 // running mean: answer time against the class's latency objective
}

func newLatencyHistory() latencyHistory { return latencyHistory{functionRatio: 1} }

func (h *latencyHistory) add(now time.Duration, answerTime, expected float64, decay time.Duration) {
	h.answerTime.add(now, answerTime, decay)
	h.expectedTime.add(now, expected, decay)
}

// ratio is the answer time against the expected time. Pending attempts count once they are overdue. A prior,
// in seconds, stands for answers that took the expected time.
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

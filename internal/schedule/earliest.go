package schedule

import "time"

// earliestTime holds the earliest of the times added, or the zero time if none was added.
type earliestTime struct{ time.Time }

// add adds t, unless it is the zero time.
func (e *earliestTime) add(t time.Time) {
	if !t.IsZero() && (e.IsZero() || t.Before(e.Time)) {
		e.Time = t
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

package schedule

import "time"

// earliestTime keeps the earliest of the times that are added to it. It is zero until then.
type earliestTime struct{ time.Time }

// add takes in a time; zero stands for none.
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

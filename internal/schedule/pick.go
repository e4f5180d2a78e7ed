package schedule

import (
	"math"
	"slices"
	"strings"
	"time"
)

func (f *function) isWarm(now time.Time) bool { return f.inFlight > 0 || now.Before(f.warm) }

// pick chooses the next item to run, or says when to look again (zero: when something else happens).
//
// Tenants take turns by what each was served and its weight; one that has nothing to run, or only what still waits
// for company, leaves its turn to the next. Within a tenant: what has waited longer than the bound on that first,
// then items whose function is warm, since they cost no load, then other functions: those with enough items
// waiting, or with one that has waited long enough for company.
func (s *Scheduler) pick(now time.Time) (*item, time.Time) {
	var turns []*tenant
	for _, t := range s.tenants {
		if t.ready.Len() > 0 {
			turns = append(turns, t)
		}
	}
	slices.SortFunc(turns, func(a, b *tenant) int {
		if a.served != b.served {
			if a.served < b.served {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	var wake time.Time
	for _, t := range turns {
		it, again := s.pickOf(now, t)
		if it != nil {
			return it, time.Time{}
		}
		if !again.IsZero() && (wake.IsZero() || again.Before(wake)) {
			wake = again
		}
	}
	return nil, wake
}

func (s *Scheduler) pickOf(now time.Time, t *tenant) (*item, time.Time) {
	// Nothing waits for ever behind what ranks higher. Past the bound the order is that of coming: at once where no load
	// is needed, else with the next load that may be caused.
	warm, cold := s.starved(now, t)
	if warm != nil {
		return warm, time.Time{}
	}
	overdue := cold != nil
	coldReady := 0
	wake := time.Time{}
	later := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, q := range t.queues {
		f, first := q.function, head(q)
		if !s.hasRoom(f) {
			continue
		}
		if f.isWarm(now) {
			if warm == nil || byRank(first, warm) {
				warm = first
			}
			continue
		}
		if overdue {
			continue
		}
		if at := s.gathered(now, f, first); now.Before(at) {
			later(at)
			continue
		}
		// Of equal rank, the function with the most waiting: its load serves the most.
		if cold == nil || first.level > cold.level || first.level == cold.level && (f.ready > coldReady ||
			f.ready == coldReady && byRank(first, cold)) {
			cold, coldReady = first, f.ready
		}
	}
	if cold != nil {
		need := 1.0
		if cold.Expires.Sub(now) <= endNear { // its time is nearly over: on account of loads to come
			need = 1 - s.opens.most
		}
		if at := s.opens.when(now, need); now.Before(at) {
			later(at)
			cold = nil
		}
	}
	switch {
	case warm == nil:
		return cold, wake
	case cold != nil && (overdue || cold.level > warm.level):
		return cold, time.Time{}
	default:
		return warm, time.Time{}
	}
}

// starvedMost bounds the look for what has waited too long; what it leaves out is older than nothing that it finds.
const starvedMost = 256

// starved finds what has been ready for longer than the bound: the oldest whose function is warm, and the oldest
// whose function is not.
func (s *Scheduler) starved(now time.Time, t *tenant) (warm, cold *item) {
	n := 0
	t.ready.Scan(func(it *item) bool {
		n++
		if now.Sub(it.since) < s.config.StarvationLimit || n > starvedMost {
			return false
		}
		f := it.queue.function
		switch {
		case !s.hasRoom(f):
		case f.isWarm(now):
			warm = it
		case cold == nil:
			cold = it
		}
		return warm == nil
	})
	return warm, cold
}

// hasRoom keeps one function from taking all places: its copies run only so many at a time.
func (s *Scheduler) hasRoom(f *function) bool { return f.inFlight < s.config.MaxPerFunction }

func head(q *queue) *item {
	it, _ := q.items.Min()
	return it
}

// gathered is when a function that is not warm may be opened for its first item: at once if enough wait for it, else
// once that has waited for company, and in any case before its end comes near.
func (s *Scheduler) gathered(now time.Time, f *function, first *item) time.Time {
	s.opens.fill(now)
	if f.ready >= s.config.BatchSize || s.opens.tokens >= s.opens.most/2 { // loads are not scarce: why wait
		return now
	}
	at := first.since.Add(s.config.BatchWait)
	if near := first.Expires.Add(-endNear); near.Before(at) {
		at = near
	}
	return at
}

// endNear is how long before its end a run no longer waits for company.
const endNear = 5 * time.Second

// bucket is a token bucket whose rate has a part by time and parts that are put in.
type bucket struct {
	rate, most, tokens float64
	at                 time.Time
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.most, b.tokens+b.rate*d.Seconds())
		b.at = now
	}
}

func (b *bucket) add(now time.Time, n float64) {
	b.fill(now)
	b.tokens = min(b.most, b.tokens+n)
}

func (b *bucket) take(now time.Time, n float64) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// when is the moment at which so many tokens will be there by time alone.
func (b *bucket) when(now time.Time, n float64) time.Time {
	b.fill(now)
	if b.tokens >= n {
		return now
	}
	if b.rate <= 0 {
		return now.Add(time.Minute)
	}
	return now.Add(time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))))
}

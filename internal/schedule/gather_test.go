package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fleet is a small model of what loads cost: room for so many copies, the one idle longest goes first, a copy that
// has lain idle for keep is gone, a load takes a while and a run as well.
type fleet struct {
	room       int
	keep, load time.Duration
	copies     map[string]time.Time // last used
	orders     int
}

// run returns how long a run of the function takes.
func (f *fleet) run(function string, now time.Time) time.Duration {
	took := 100 * time.Millisecond
	if used, ok := f.copies[function]; !ok || now.Sub(used) > f.keep {
		f.orders++
		took += f.load
	}
	f.copies[function] = now.Add(took)
	if len(f.copies) > f.room {
		oldest := ""
		for name, used := range f.copies {
			if oldest == "" || used.Before(f.copies[oldest]) {
				oldest = name
			}
		}
		delete(f.copies, oldest)
	}
	return took
}

type ends []struct {
	at time.Time
	id string
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any) {
	*e = append(*e, x.(struct {
		at time.Time
		id string
	}))
}
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// arrivals draws deferred calls over 200 functions by Zipf's law, at a rate, for five minutes.
func arrivals(seed uint64, rate float64) (items []Job) {
	r := rand.New(rand.NewPCG(seed, 2))
	weights, sum := make([]float64, 200), 0.0
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), 1.0)
		sum += weights[i]
	}
	for at := 0.0; at < 300; at += r.ExpFloat64() / rate {
		x, f := r.Float64()*sum, 0
		for ; f < 199 && x > weights[f]; f++ {
			x -= weights[f]
		}
		now := noon.Add(time.Duration(at * float64(time.Second)))
		items = append(items, Job{ID: fmt.Sprint(len(items)), Tenant: "big", Class: "consulta", Function: fmt.Sprint(f),
			Urgency: 3, NotBefore: now, Expires: now.Add(time.Hour)})
	}
	return items
}

// played is what a policy came to.
type played struct {
	orders, runs int
	mean, worst  time.Duration // wait from arrival to the run's begin
}

// firstCome runs what came first, as many at once as the scheduler would at most.
func firstCome(items []Job, places int) (p played) {
	f := &fleet{room: 24, keep: 9 * time.Second, load: 600 * time.Millisecond, copies: map[string]time.Time{}}
	free := make([]time.Time, places)
	for _, i := range items {
		best := 0
		for k := range free {
			if free[k].Before(free[best]) {
				best = k
			}
		}
		begin := i.NotBefore
		if free[best].After(begin) {
			begin = free[best]
		}
		free[best] = begin.Add(f.run(i.Function, begin))
		p.add(begin.Sub(i.NotBefore))
	}
	p.orders = f.orders
	return p.done()
}

func (p *played) add(wait time.Duration) {
	p.runs++
	p.mean += wait
	p.worst = max(p.worst, wait)
}

func (p *played) done() played {
	p.mean /= time.Duration(p.runs)
	return *p
}

// gathered runs the same by the scheduler.
func gatheredRuns(t *testing.T, items []Job, c Config) (p played) {
	f := &fleet{room: 24, keep: 9 * time.Second, load: 600 * time.Millisecond, copies: map[string]time.Time{}}
	s, err := New(c, 1, noon)
	if err != nil {
		t.Fatal(err)
	}
	byID, began, running := map[string]Job{}, map[string]time.Time{}, &ends{}
	now, wake := noon, time.Time{}
	give := func(e Event) {
		for _, a := range s.Handle(now, e) {
			switch a := a.(type) {
			case StartRun:
				i := byID[a.ID]
				p.add(now.Sub(i.NotBefore))
				began[a.ID] = now
				heap.Push(running, struct {
					at time.Time
					id string
				}{now.Add(f.run(i.Function, now)), a.ID})
			case SetTimer:
				wake = a.At
			}
		}
	}
	for next := 0; p.runs < len(items) || running.Len() > 0; {
		at := noon.Add(24 * time.Hour)
		kind := 0
		if next < len(items) && items[next].NotBefore.Before(at) {
			at, kind = items[next].NotBefore, 1
		}
		if running.Len() > 0 && (*running)[0].at.Before(at) {
			at, kind = (*running)[0].at, 2
		}
		if !wake.IsZero() && wake.Before(at) {
			at, kind = wake, 3
		}
		now = at
		switch kind {
		case 1:
			byID[items[next].ID] = items[next]
			give(AddEvent{items[next]})
			next++
		case 2:
			e := heap.Pop(running).(struct {
				at time.Time
				id string
			})
			give(RunEndedEvent{ID: e.id, Result: Served, Elapsed: now.Sub(began[e.id])})
		case 3:
			wake = time.Time{}
			give(TickEvent{})
		default:
			t.Fatalf("%d of %d have run and nothing is to come", p.runs, len(items))
		}
	}
	p.orders = f.orders
	return p.done()
}

// Runs of one function are gathered, so that one load serves many: at most a third of the load orders of first come,
// first run. What that costs in waiting is printed.
func TestGatheringSavesLoads(t *testing.T) {
	for _, rate := range []float64{10, 30, 60} {
		c := config()
		c.MaxConcurrency = 24
		first, mine := played{}, played{}
		for seed := range uint64(3) {
			items := arrivals(seed, rate)
			a, b := firstCome(items, c.MaxConcurrency), gatheredRuns(t, items, c)
			first.orders, first.runs, first.mean, first.worst = first.orders+a.orders, first.runs+a.runs, first.mean+a.mean/3, max(first.worst, a.worst)
			mine.orders, mine.runs, mine.mean, mine.worst = mine.orders+b.orders, mine.runs+b.runs, mine.mean+b.mean/3, max(mine.worst, b.worst)
		}
		per := func(p played) float64 { return 100 * float64(p.orders) / float64(p.runs) }
		t.Logf("%2.0f calls/s: first come %.1f load orders for 100 runs, mean wait %v, worst %v; gathered %.1f, mean wait %v, worst %v",
			rate, per(first), first.mean.Round(time.Millisecond), first.worst.Round(time.Millisecond), per(mine),
			mine.mean.Round(time.Millisecond), mine.worst.Round(time.Millisecond))
		assert.LessOrEqual(t, per(mine), per(first)/3)
	}
}

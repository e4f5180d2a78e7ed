package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func config() Config {
	c := Default()
	c.Tenants = map[string]float64{"big": 60, "small": 40}
	c.Classes = map[string]float64{"reserva": 2, "consulta": 1}
	return c
}

// world runs what the scheduler says, in simulated time.
type world struct {
	t     testing.TB
	s     *Scheduler
	now   time.Time
	wake  time.Time
	items map[string]Job
	runs  []string // in the order of their begin
	began map[string]time.Time
	busy  []string
	gone  []string // expired
	again map[string]time.Time
	most  int // runs in hand at once
}

func newWorld(t testing.TB, c Config) *world {
	w := &world{t: t, now: noon, items: map[string]Job{}, began: map[string]time.Time{}, again: map[string]time.Time{}}
	var err error
	w.s, err = New(c, 7, noon)
	require.NoError(t, err)
	return w
}

func (w *world) give(e Event) {
	for _, a := range w.s.Handle(w.now, e) {
		switch a := a.(type) {
		case StartRun:
			w.runs = append(w.runs, a.ID)
			w.busy = append(w.busy, a.ID)
			w.began[a.ID] = w.now
			w.most = max(w.most, len(w.busy))
		case Retry:
			w.again[a.ID] = a.At
		case Expire:
			w.gone = append(w.gone, a.ID)
		case SetTimer:
			require.True(w.t, a.At.After(w.now))
			w.wake = a.At
		}
	}
	require.Equal(w.t, len(w.busy), w.s.Running())
}

func (w *world) add(i Job) {
	if i.Expires.IsZero() {
		i.Expires = w.now.Add(time.Hour)
	}
	if i.Class == "" {
		i.Class = "consulta"
	}
	if i.Tenant == "" {
		i.Tenant = "big"
	}
	w.items[i.ID] = i
	w.give(AddEvent{i})
}

// end ends the run that began first.
func (w *world) end(r Result) string {
	id := w.busy[0]
	w.busy = w.busy[1:]
	w.give(RunEndedEvent{ID: id, Result: r, Elapsed: w.now.Sub(w.began[id])})
	if at, ok := w.again[id]; ok {
		delete(w.again, id)
		if i := w.items[id]; !at.IsZero() {
			i.Runs++
			i.NotBefore = at
			w.add(i)
		}
	}
	return id
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.give(TickEvent{})
}

// one holds the first places, so that what is added after it waits until they are free.
func one(t *testing.T, c Config) *world {
	c.MinConcurrency, c.MaxConcurrency = 1, 1
	w := newWorld(t, c)
	w.add(Job{ID: "first", Function: "f"})
	return w
}

func TestOrderWithinATenant(t *testing.T) {
	w := one(t, config())
	soon, late := noon.Add(20*time.Minute), noon.Add(40*time.Minute)
	w.add(Job{ID: "late", Function: "f", Urgency: 3, Expires: late})
	w.add(Job{ID: "soon", Function: "f", Urgency: 3, Expires: soon})
	w.add(Job{ID: "urgent", Function: "f", Urgency: 1, Expires: late})
	w.add(Job{ID: "worth", Function: "f", Urgency: 7, Expires: late, Class: "reserva"})
	for range 5 {
		w.pass(10 * time.Millisecond)
		w.end(Served)
	}
	assert.Equal(t, []string{"first", "worth", "urgent", "soon", "late"}, w.runs)
}

// One tenant files 10,000, the other ten: the ten are not behind the ten thousand.
func TestTenNotBehindTenThousand(t *testing.T) {
	c := config()
	w := newWorld(t, c)
	for i := range 10000 {
		w.add(Job{ID: fmt.Sprint("big", i), Tenant: "big", Function: fmt.Sprint(i % 20)})
	}
	for i := range 10 {
		w.add(Job{ID: fmt.Sprint("small", i), Tenant: "small", Function: fmt.Sprint(i)})
	}
	served, last := map[byte]int{}, 0
	for n := 0; served['s'] < 10; n++ {
		w.pass(5 * time.Millisecond)
		if len(w.busy) > 0 {
			served[w.end(Served)[0]]++
		}
		last = n
		require.Less(t, n, 3000)
	}
	assert.Less(t, served['b'], 120, "after %d turns", last)
}

// Shares are 60 to 40 while both have something to run; what one leaves idle the other takes, and gets no credit for.
func TestSharesLendWhatIsIdle(t *testing.T) {
	c := config()
	c.ColdStartBurst, c.BatchSize = 100, 1
	w := one(t, c)
	n := 0
	fill := func(tenant string, k int) {
		for range k {
			n++
			w.add(Job{ID: fmt.Sprintf("%s%d", tenant, n), Tenant: tenant, Function: "f"})
		}
	}
	run := func(k int) map[byte]int {
		got := map[byte]int{}
		for range k {
			w.pass(time.Millisecond)
			w.end(Served)
			got[w.runs[len(w.runs)-1][0]]++
		}
		return got
	}
	fill("small", 2000)
	assert.Equal(t, 500, run(500)['s'], "alone it has all")
	fill("big", 2000)
	got := run(1000)
	assert.InDelta(t, 600, got['b'], 5, "the big one gets its share at once, and no more")
}

// A stated bound on starvation: whatever has been ready for longer than Starve goes before all that came later.
func TestNothingStarves(t *testing.T) {
	c := config()
	w := one(t, c)
	w.add(Job{ID: "poor", Function: "g", Urgency: 7})
	for i := 0; ; i++ {
		require.Less(t, w.now.Sub(noon), c.StarvationLimit+time.Second)
		w.add(Job{ID: fmt.Sprint("rich", i), Function: "f", Urgency: 0, Class: "reserva"})
		w.pass(100 * time.Millisecond)
		w.end(Served)
		if w.runs[len(w.runs)-1] == "poor" {
			break
		}
	}
	assert.GreaterOrEqual(t, w.now.Sub(noon), c.StarvationLimit)
}

func TestRetriesKeepAwayFromTheAdviceAndWithinBounds(t *testing.T) {
	c := config()
	c.MaxRuns = 4
	w := newWorld(t, c)
	w.add(Job{ID: "t", Function: "f"})
	spread := map[time.Duration]bool{}
	for run := 1; run <= 4; run++ {
		for n := 0; len(w.busy) == 0; n++ {
			require.Less(t, n, 100)
			w.now = w.wake
			w.give(TickEvent{})
		}
		id := w.busy[0]
		w.busy = nil
		w.give(RunEndedEvent{ID: id, Result: Rejected, RetryAfter: time.Second})
		at, ok := w.again["t"]
		require.True(t, ok)
		if run == 4 {
			assert.True(t, at.IsZero(), "no more runs")
			break
		}
		pause := at.Sub(w.now)
		assert.GreaterOrEqual(t, pause, time.Second)
		assert.LessOrEqual(t, pause, time.Second+c.Backoff<<(run-1))
		spread[pause] = true
		w.add(Job{ID: "t", Function: "f", Runs: run, NotBefore: at})
	}
	assert.Len(t, spread, 3)
	assert.Zero(t, w.s.Waiting())
}

// Runs after the first have a budget: a share of first runs, and a little each second.
func TestRetryBudget(t *testing.T) {
	c := config()
	c.MaxRuns, c.RetryRate, c.RetryRatio, c.RetryBurst = 1000, 2, 0.1, 5
	w := newWorld(t, c)
	for i := range 300 {
		w.add(Job{ID: fmt.Sprint(i), Function: "f", Runs: 1})
	}
	for range 10000 {
		w.pass(time.Millisecond)
		for len(w.busy) > 0 {
			w.end(Served)
		}
	}
	assert.InDelta(t, 5+2*10, len(w.runs), 2)
}

// Nothing is served for a while: one run at a time, far apart. Then it serves again: slowly at first.
func TestDarkFleetIsProbedAndComesBackSlowly(t *testing.T) {
	c := config()
	w := newWorld(t, c)
	for i := range 8000 {
		w.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 50), Expires: noon.Add(24 * time.Hour)})
	}
	for range 60 { // serves
		w.pass(20 * time.Millisecond)
		for range len(w.busy) {
			w.end(Served)
		}
	}
	require.Greater(t, w.s.Limit(), 16)
	for n := 0; !w.s.Stalled(); n++ {
		require.Less(t, n, 1000)
		w.pass(50 * time.Millisecond)
		for range len(w.busy) {
			w.end(Rejected)
		}
	}
	before, began := len(w.runs), w.now
	for w.now.Sub(began) < 20*time.Second {
		w.pass(10 * time.Millisecond)
		require.LessOrEqual(t, len(w.busy), 1)
		for len(w.busy) > 0 {
			w.end(Rejected)
		}
	}
	// Each probe may cause a load, so the budget for those bounds them too.
	assert.LessOrEqual(t, len(w.runs)-before, int(20*time.Second/c.ProbeInterval)+1)
	assert.GreaterOrEqual(t, len(w.runs)-before, 8)
	w.most = 0
	for n := 0; len(w.busy) == 0; n++ {
		require.Less(t, n, 500, "%+v %+v %d %d %d", w.s.limit, w.s.opens, w.s.expiry.Len(), w.s.retries.Len(), w.s.inFlight)
		w.pass(10 * time.Millisecond)
	}
	w.end(Served)
	assert.False(t, w.s.Stalled())
	assert.Equal(t, c.MinConcurrency, w.s.Limit())
	for turns := 0; w.s.Waiting() > 0 || len(w.busy) > 0; turns++ {
		require.Less(t, turns, 100000)
		w.pass(20 * time.Millisecond)
		for range len(w.busy) {
			w.end(Served)
		}
	}
	assert.Empty(t, w.gone, "all are served")
}

// The foreground has its place: when a call that somebody waits for is turned away, background runs become fewer, and
// do not grow while that goes on.
func TestBackgroundYields(t *testing.T) {
	w := newWorld(t, config())
	for i := range 9000 {
		w.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 4)})
	}
	turn := func(n int) {
		for range n {
			w.pass(20 * time.Millisecond)
			for range len(w.busy) {
				w.end(Served)
			}
		}
	}
	turn(40)
	full := w.s.Limit()
	require.Greater(t, full, 20)
	for range 20 {
		w.give(ForegroundEvent{Rejected: true})
		turn(10)
	}
	assert.Equal(t, 2, w.s.Limit())
	turn(60)
	assert.Greater(t, w.s.Limit(), 2, "it comes back once the foreground is served")
	assert.Less(t, w.s.Limit(), full)
}

func TestSlowRunsShrinkTheLimit(t *testing.T) {
	w := newWorld(t, config())
	for i := range 4000 {
		w.add(Job{ID: fmt.Sprint(i), Function: fmt.Sprint(i % 4)})
	}
	turn := func(n int, took time.Duration) {
		for range n {
			w.pass(took)
			for range len(w.busy) {
				w.end(Served)
			}
		}
	}
	turn(30, 20*time.Millisecond)
	before := w.s.Limit()
	turn(20, 400*time.Millisecond)
	assert.Less(t, w.s.Limit(), before/2)
}

func TestTimesOfATicket(t *testing.T) {
	w := newWorld(t, config())
	w.add(Job{ID: "later", Function: "f", NotBefore: noon.Add(time.Minute)})
	w.add(Job{ID: "never", Function: "f", NotBefore: noon.Add(time.Minute), Expires: noon.Add(30 * time.Second)})
	w.add(Job{ID: "dropped", Function: "f", NotBefore: noon.Add(time.Minute)})
	assert.Equal(t, noon.Add(30*time.Second), w.wake)
	w.give(RemoveEvent{"dropped"})
	w.pass(30 * time.Second)
	assert.Equal(t, []string{"never"}, w.gone)
	assert.Equal(t, noon.Add(time.Minute), w.wake)
	w.pass(30 * time.Second)
	assert.Equal(t, []string{"later"}, w.runs)
	w.busy = nil
	w.give(RunAbortedEvent{"later"})
	assert.Zero(t, w.s.Waiting()+w.s.Running())
	w.give(RunEndedEvent{ID: "later", Result: Rejected}) // its end crosses
	assert.Empty(t, w.again)
}

// Equal events give equal actions, whatever order maps have.
func TestSameEventsSameActions(t *testing.T) {
	play := func() []string {
		r, w := rand.New(rand.NewPCG(3, 4)), newWorld(t, config())
		for i := range 4000 {
			if r.IntN(2) == 0 {
				w.add(Job{ID: fmt.Sprint(i), Tenant: []string{"big", "small", "other"}[r.IntN(3)], Function: fmt.Sprint(r.IntN(30)),
					Urgency: uint8(r.IntN(8)), Class: []string{"reserva", "consulta"}[r.IntN(2)], NotBefore: w.now.Add(time.Duration(r.IntN(3)) * time.Second)})
			}
			w.pass(time.Duration(r.IntN(20)) * time.Millisecond)
			for len(w.busy) > 0 && r.IntN(3) > 0 {
				w.end(Result(r.IntN(3)))
			}
		}
		return w.runs
	}
	first := play()
	require.Greater(t, len(first), 500)
	for range 3 {
		require.Equal(t, first, play())
	}
}

func TestSettingsThatCannotWork(t *testing.T) {
	for _, spoil := range []func(*Config){func(c *Config) { c.MinConcurrency = 0 }, func(c *Config) { c.MaxConcurrency = 1 },
		func(c *Config) { c.StarvationLimit = 0 }, func(c *Config) { c.MaxRuns = 0 }, func(c *Config) { c.Backoff = 0 },
		func(c *Config) { c.RetryRate = 0 }, func(c *Config) { c.SlowFactor = 1 }, func(c *Config) { c.ColdStartBurst = 0 },
		func(c *Config) { c.Tenants["big"] = 0 }} {
		c := config()
		spoil(&c)
		_, err := New(c, 1, noon)
		assert.Error(t, err)
	}
}

// BenchmarkPick is one run begun and ended among 100,000 that wait, for 200 functions of two tenants.
func BenchmarkPick(b *testing.B) {
	w := newWorld(b, config())
	r := rand.New(rand.NewPCG(1, 1))
	n := 0
	add := func() {
		n++
		w.add(Job{ID: fmt.Sprint(n), Tenant: []string{"big", "small"}[n%2], Function: fmt.Sprint(r.IntN(200)), Urgency: uint8(n % 8)})
	}
	for range 100000 {
		add()
	}
	b.ResetTimer()
	for range b.N {
		w.now = w.now.Add(10 * time.Millisecond)
		if len(w.busy) > 0 {
			w.end(Served)
			add()
		} else {
			w.give(TickEvent{})
		}
	}
}

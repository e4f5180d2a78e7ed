package executor

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/durable"
	"kitefall/internal/fakes"
	"kitefall/internal/invocation"
	"kitefall/internal/invocation/store"
	"kitefall/internal/monotonic"
	"kitefall/internal/schedule"
	"kitefall/internal/wal"
)

// catalogue has a function for every name, but those that are gone.
type catalogue struct{ gone map[string]bool }

func (c *catalogue) Describe(f string) (Function, bool) {
	return Function{Key: fmt.Sprintf("%016x", crc32.ChecksumIEEE([]byte(f))), Cost: 1}, !c.gone[f]
}

func (c *catalogue) Call(o *invocation.Request) (*call.Call, error) {
	f, ok := c.Describe(o.Function)
	if !ok {
		return nil, invocation.ErrNotFound
	}
	return &call.Call{Class: o.Class, Tenant: o.Tenant, Function: f.Key, Concurrency: 4, LoadTime: 10 * time.Millisecond, Body: o.Body}, nil
}

// house is a desk on a core of its own, which can be restarted on its store.
type house struct {
	t     *testing.T
	path  string
	core  *dispatch.Core
	calls atomic.Int64
	desk  *Executor
	cat   *catalogue
	plan  schedule.Config
	disk  *disk
	wall  time.Duration // how far the machine's clock is off
}

func (h *house) Submit(k *call.Call) (*dispatch.Handle, error) {
	h.calls.Add(1)
	return h.core.Submit(k)
}

func newHouse(t *testing.T, core *dispatch.Core) *house {
	h := &house{t: t, path: filepath.Join(t.TempDir(), "tickets.db"), core: core, cat: &catalogue{gone: map[string]bool{}},
		plan: schedule.Default(), disk: &disk{}}
	h.plan.Classes = map[string]float64{"reserva": 2, "consulta": 1}
	h.plan.Backoff, h.plan.MaxBackoff, h.plan.RetryRate = 20*time.Millisecond, 200*time.Millisecond, 100
	h.start()
	t.Cleanup(func() { h.core.Stop(); h.desk.Close() })
	return h
}

func (h *house) start() {
	s, err := store.Open(h.path, store.Options{Retention: 3 * time.Hour, MaxInvocations: 1 << 20,
		Durable: durable.Options{FS: h.disk, SegmentBytes: 256 << 10}})
	require.NoError(h.t, err)
	begin := time.Now()
	latest, err := s.AdvanceClock(begin.Add(h.wall))
	require.NoError(h.t, err)
	clock := monotonic.New(begin.Add(h.wall), latest, func() time.Duration { return time.Since(begin) })
	h.desk, err = New(s, h, h.cat, h.plan, clock)
	require.NoError(h.t, err)
	require.NoError(h.t, h.desk.Recover())
}

func (h *house) restart(core *dispatch.Core) {
	h.core.Stop()
	require.NoError(h.t, h.desk.Close())
	h.core = core
	h.start()
}

func order(class, body string) invocation.Request {
	return invocation.Request{Tenant: "a", Function: "f", Class: class, Idempotent: class == "consulta", Urgency: 3,
		Expires: time.Now().Add(time.Minute), RunTimeout: 2 * time.Second, Body: []byte(body), Fingerprint: []byte(body)}
}

func (h *house) defers(o invocation.Request) string {
	h.t.Helper()
	v, err := h.desk.Submit(o)
	require.NoError(h.t, err)
	return v.ID
}

func (h *house) wait(id string) View {
	h.t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), fakes.Deadline())
	defer cancel()
	v, err := h.desk.Wait(ctx, "a", id)
	require.NoError(h.t, err)
	return v
}

// disk is one that fills up.
type disk struct {
	wal.Disk
	full atomic.Bool
}

var errFull = errors.New("no space left on device")

func (d *disk) Create(path string) (wal.File, error) {
	f, err := d.Disk.Create(path)
	return fullFile{f, d}, err
}

func (d *disk) Open(path string) (wal.File, error) {
	f, err := d.Disk.Open(path)
	return fullFile{f, d}, err
}

type fullFile struct {
	wal.File
	disk *disk
}

func (f fullFile) WriteAt(p []byte, at int64) (int, error) {
	if f.disk.full.Load() {
		return 0, errFull
	}
	return f.File.WriteAt(p, at)
}

// A refusal does not end a deferred call: it goes again, and its history tells.
func TestRefusedRunsGoAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	var n atomic.Int64
	w.Serve(func(c *fakes.Call) {
		if n.Add(1) <= 3 {
			c.Answer(67, "", "")
			return
		}
		c.OK("booked")
	})
	v := h.wait(h.defers(order("reserva", "slot")))
	assert.Equal(t, []any{invocation.OutcomeServed, "booked"}, []any{v.Outcome, string(v.Result)})
	assert.Greater(t, v.Runs, 1)
	assert.Equal(t, invocation.EventCreated, v.History[0].Event)
	assert.Equal(t, invocation.EventServed, v.History[len(v.History)-1].Event)
}

// The whole fleet is gone and comes back empty with 5,000 tickets waiting: all are served, no more loads are ordered
// than the rule allows at any moment, and calls that somebody waits for go on being served.
func TestDarkFleetComesBackEmpty(t *testing.T) {
	s := fakes.Settings()
	s.LoadWindow, s.LoadBurst, s.LoadRatio = 10*time.Second, 6, 0.15
	h := newHouse(t, fakes.NewCoreWithSettings(t, s))
	const n, functions = 5000, 40
	ids := make([]string, n)
	var filing sync.WaitGroup
	for g := range 50 {
		filing.Go(func() {
			for i := g; i < n; i += 50 {
				o := order([]string{"reserva", "consulta"}[i%2], fmt.Sprintf("b%d", i))
				o.Function = fmt.Sprint("f", i%functions)
				ids[i] = h.defers(o)
			}
		})
	}
	filing.Wait()
	require.Eventually(t, h.dark, 10*time.Second, 5*time.Millisecond)
	waited, answered := h.calls.Load(), map[string]int{}
	assert.Less(t, waited, int64(200), "a dark fleet is probed, not stormed")
	var mu sync.Mutex
	var workers []*fakes.Worker
	for range 3 {
		w := fakes.NewWorker(t)
		w.UnloadAll()
		w.Serve(func(c *fakes.Call) {
			mu.Lock()
			answered[c.Body]++
			mu.Unlock()
			c.OK(c.Body)
		})
		workers = append(workers, w)
	}
	h.core.UpdateEndpoints(fakes.Endpoints(workers...))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(50*time.Second))
	defer cancel()
	served, asked, left := 0, 0, len(ids)
	for left > 0 && ctx.Err() == nil {
		o := order("consulta", fmt.Sprintf("now %d", asked))
		o.Function, o.Expires = "f1", time.Now().Add(2*time.Second)
		v, err := h.desk.Invoke(ctx, o)
		require.NoError(t, err)
		asked++
		if v.Outcome == invocation.OutcomeServed {
			served++
		}
		orders := 0
		for _, w := range workers {
			orders += len(w.LoadOrderTimes())
		}
		require.LessOrEqual(t, float64(orders), 6+0.15*float64(h.calls.Load())+1)
		for left > 0 {
			v, err := h.desk.Wait(cancelledContext, "a", ids[left-1])
			require.NoError(t, err)
			if v.State != invocation.StateCompleted {
				break
			}
			require.Equal(t, invocation.OutcomeServed, v.Outcome, "%v", v.History)
			left--
		}
	}
	require.Zero(t, left)
	repeats := 0
	for body, times := range answered {
		if i, err := strconv.Atoi(strings.TrimPrefix(body, "b")); err == nil && body[0] == 'b' {
			require.True(t, i%2 == 1 || times == 1, "%s, a reserva, was answered %d times", body, times)
			repeats += times - 1
		}
	}
	// A consulta may run again where its worker keeps silent, as a busy machine has it: no more of them than the module
	// allows itself at once.
	require.LessOrEqual(t, repeats, 20)
	t.Logf("%d calls while dark; then %d of %d foreground calls served", waited, served, asked)
	assert.GreaterOrEqual(t, float64(served), 0.95*float64(asked))
}

func (h *house) dark() bool {
	answer := make(chan bool, 1)
	h.desk.feeder.enqueue(feederMessage{inspect: func(s *schedule.Scheduler) { answer <- s.Stalled() }})
	return <-answer
}

// Given up in every state, also while its mark is being written: one final answer, and what was written is called off.
func TestGivenUpInEveryState(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	later := order("reserva", "later")
	later.NotBefore = time.Now().Add(30 * time.Second)
	id := h.defers(later)
	others := func() { // in every state there is no such ticket for another tenant
		t.Helper()
		_, err := h.desk.Wait(cancelledContext, "b", id)
		assert.ErrorIs(t, err, invocation.ErrNotFound)
		_, err = h.desk.Cancel("b", id)
		assert.ErrorIs(t, err, invocation.ErrNotFound)
	}
	others()
	v, err := h.desk.Cancel("a", id)
	require.NoError(t, err)
	assert.Equal(t, []any{invocation.OutcomeCancelled, false}, []any{v.Outcome, v.MayHaveRun})
	id = h.defers(order("reserva", "running"))
	k := w.Next()
	others()
	v, err = h.desk.Cancel("a", id)
	require.NoError(t, err)
	assert.Equal(t, []any{invocation.OutcomeCancelled, true}, []any{v.Outcome, v.MayHaveRun})
	assert.Equal(t, k.ID, <-w.Cancelled)
	k.OK("too late")
	assert.Equal(t, invocation.OutcomeCancelled, h.wait(id).Outcome)
	others()
	v, err = h.desk.Cancel("a", id)
	require.NoError(t, err)
	assert.Equal(t, invocation.OutcomeCancelled, v.Outcome, "once more")
	var work sync.WaitGroup
	var ran atomic.Int64
	w.Serve(func(c *fakes.Call) { ran.Add(1); c.OK("x") })
	go func() {
		for range w.Cancelled {
		}
	}()
	for i := range 300 { // at every moment between its order and its answer
		work.Go(func() {
			v, err := h.desk.Submit(order("reserva", fmt.Sprintf("race %d", i)))
			assert.NoError(t, err)
			for range i % 40 {
				h.desk.Wait(cancelledContext, "a", v.ID) // lets the others go on
			}
			first, err := h.desk.Cancel("a", v.ID)
			assert.NoError(t, err)
			last := h.wait(v.ID)
			assert.Equal(t, first.Outcome, last.Outcome)
			assert.True(t, last.Outcome == invocation.OutcomeCancelled || last.Outcome == invocation.OutcomeServed, last.Outcome)
		})
	}
	work.Wait()
	require.Eventually(t, func() bool { // no run's place is lost by it
		n := make(chan int, 1)
		h.desk.feeder.enqueue(feederMessage{inspect: func(s *schedule.Scheduler) { n <- s.Running() + s.Waiting() }})
		return <-n == 0 && h.core.InFlight() == 0
	}, 10*time.Second, time.Millisecond)
}

// The disk fills up and has room again: refusals meanwhile, nothing told that is not stored, nothing lost.
func TestFullDisk(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	id := h.defers(order("reserva", "before"))
	k := w.Next()
	h.disk.full.Store(true)
	_, err := h.desk.Submit(order("reserva", "full"))
	assert.ErrorIs(t, err, invocation.ErrStorage)
	o := order("reserva", "full too")
	o.IdempotencyKey = "k"
	_, err = h.desk.Invoke(context.Background(), o)
	assert.ErrorIs(t, err, invocation.ErrStorage)
	o = order("consulta", "needs no disk")
	answer := make(chan View, 1)
	go func() {
		v, err := h.desk.Invoke(context.Background(), o)
		assert.NoError(t, err)
		answer <- v
	}()
	w.Next().OK("free")
	assert.Equal(t, "free", string((<-answer).Result))
	k.OK("booked")
	v, err := h.desk.Wait(cancelledContext, "a", id)
	require.NoError(t, err)
	assert.Equal(t, invocation.StateRunning, v.State, "an answer that is not stored is not told")
	h.disk.full.Store(false)
	assert.Equal(t, "booked", string(h.wait(id).Result))
	assert.Equal(t, []int{1, 0, 0}, []int{w.CallCount("before"), w.CallCount("full"), w.CallCount("full too")})
}

// Who asks for a synchronous call between its end and its result would be told that it was served with nothing.
func TestEndIsSeenWithItsResult(t *testing.T) {
	h := newHouse(t, fakes.NewCore(t, fakes.NewWorker(t)))
	for _, class := range []string{"consulta", "reserva"} { // in memory only, and on record since its mark
		o := order(class, "x")
		o.Idempotent = class == "consulta"
		l := newForeground(invocation.New(class, o, h.desk.clock.Now()), nil)
		if !o.Idempotent {
			require.NoError(t, h.desk.persistForegroundStart(l))
		}
		require.NoError(t, h.desk.stepForeground(l, inputFor(call.Answer{Outcome: call.Served}), []byte("done")))
		v := l.view()
		assert.Equal(t, []any{invocation.OutcomeServed, "done", !o.Idempotent}, []any{v.Outcome, string(v.Result), v.Durable})
	}
}

// The same key at the same moment, synchronous and deferred: one run, one answer for all.
func TestOneKeyManyTimesAtOnce(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	w.Serve(func(c *fakes.Call) { c.OK("booked") })
	for i := range 40 {
		var work sync.WaitGroup
		body := fmt.Sprintf("slot %d", i)
		for n := range 6 {
			work.Go(func() {
				o := order("reserva", body)
				o.IdempotencyKey = body
				var v View
				var err error
				if n%2 == 0 {
					v, err = h.desk.Invoke(context.Background(), o)
				} else {
					v, err = h.desk.Submit(o)
				}
				if assert.NoError(t, err) && v.State != invocation.StateCompleted {
					v = h.wait(v.ID)
				}
				assert.Equal(t, "booked", string(v.Result))
			})
		}
		work.Wait()
		require.Equal(t, 1, w.CallCount(body))
	}
	_, err := h.desk.Submit(invocation.Request{Tenant: "a", IdempotencyKey: "slot 1", Function: "f", Fingerprint: []byte("other")})
	assert.ErrorIs(t, err, invocation.ErrKeyReused)
}

// A restart with tickets in every state; one function is gone from the catalogue, one ticket's time is over.
func TestRestart(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	booked, looked := h.defers(order("reserva", "r")), h.defers(order("consulta", "c"))
	w.Next()
	w.Next()
	later := order("reserva", "later")
	later.NotBefore = time.Now().Add(200 * time.Millisecond)
	over, gone := later, later
	over.NotBefore, over.Expires = time.Now().Add(time.Millisecond), time.Now().Add(2*time.Millisecond)
	over.RunTimeout = time.Millisecond
	gone.Function = "g"
	waits, expires, withdrawn := h.defers(later), h.defers(over), h.defers(gone)
	h.cat.gone["g"] = true
	h.restart(fakes.NewCore(t, w))
	v := h.wait(booked)
	assert.Equal(t, []any{invocation.OutcomeFailed, true, true}, []any{v.Outcome, v.MayHaveRun, v.DeadLetter})
	k := w.Next()
	assert.Equal(t, "c", k.Body)
	k.OK("free")
	assert.Equal(t, invocation.OutcomeServed, h.wait(looked).Outcome)
	w.Next().OK("booked")
	assert.Equal(t, invocation.OutcomeServed, h.wait(waits).Outcome)
	assert.Equal(t, invocation.OutcomeDeadlineExceeded, h.wait(expires).Outcome)
	assert.Equal(t, invocation.OutcomeFailed, h.wait(withdrawn).Outcome)
	heir, err := h.desk.Redrive(booked, true, "looked it up: no such booking")
	require.NoError(t, err)
	w.Next().OK("booked now")
	assert.Equal(t, "booked now", string(h.wait(heir.ID).Result))
	assert.Equal(t, invocation.OutcomeFailed, h.wait(booked).Outcome, "its own answer stays")
}

// The machine's clock is set back by an hour between two runs, and later forward: a clock set back neither wakes
// anything late nor ends it early; one set forward ends what would have ended by then, and nothing else.
func TestClockThatJumpsBetweenRuns(t *testing.T) {
	w := fakes.NewWorker(t)
	h := newHouse(t, fakes.NewCore(t, w))
	soon, minute, day := order("reserva", "soon"), order("reserva", "minute"), order("reserva", "day")
	soon.NotBefore = time.Now().Add(300 * time.Millisecond)
	minute.NotBefore = time.Now().Add(30 * time.Second)
	day.NotBefore, day.Expires = time.Now().Add(2*time.Hour), time.Now().Add(24*time.Hour)
	first, second, third := h.defers(soon), h.defers(minute), h.defers(day)
	h.wall = -time.Hour
	h.restart(fakes.NewCore(t, w))
	w.Next().OK("booked")
	assert.Equal(t, invocation.OutcomeServed, h.wait(first).Outcome, "in its time, not an hour later")
	h.wall = time.Hour
	h.restart(fakes.NewCore(t, w))
	assert.Equal(t, invocation.OutcomeDeadlineExceeded, h.wait(second).Outcome)
	h.wall = -time.Hour
	h.restart(fakes.NewCore(t, w))
	v, err := h.desk.Wait(cancelledContext, "a", third)
	require.NoError(t, err)
	assert.Equal(t, invocation.StateWaiting, v.State)
	assert.Equal(t, invocation.OutcomeServed, h.wait(first).Outcome, "answers stay as they are")
}

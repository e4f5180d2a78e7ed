package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
	"kitefall/internal/worker"
)

func newCall(id uint64, body string, done func(call.Answer)) *call.Call {
	return &call.Call{ID: id, Class: "reserva", Function: "7f3a9c21e0b4d655", Body: []byte(body),
		Deadline: time.Now().Add(4 * time.Second), Done: done}
}

// The client leaves while its call waits in the owner's queue, and the owner is late: nothing of the call begins, though
// the owner hears of the call before it hears of its end. Whether the site lets attempts be called off makes no difference.
func TestCallGivenUpInTheQueueDoesNotBegin(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		w := fakes.NewWorker(t)
		s := fakes.Settings()
		s.CanCancel, s.LoadOrders = cancel, false // no wait for a load before the first byte
		core := fakes.NewCoreWithSettings(t, s, w)
		t.Cleanup(core.Stop)
		late, seen := make(chan bool), make(chan string, 1)
		core.Post(func() { <-late })
		gone, err := core.Submit(newCall(1, "gone", func(call.Answer) { t.Error("answered, though its client had left") }))
		require.NoError(t, err)
		answered := make(chan call.Answer, 1)
		_, err = core.Submit(newCall(2, "stays", func(a call.Answer) { answered <- a }))
		require.NoError(t, err)
		core.Post(func() { seen <- w.Next().Body }) // before the owner hears that the first has gone
		gone.Cancel()
		close(late)
		assert.Equal(t, "stays", <-seen)
		require.Eventually(t, func() bool { return core.InFlight() == 1 }, time.Until(fakes.Deadline()), time.Millisecond)
	}
}

// A call that another attempt has answered is over also where the site lets none be called off: what still waits for a
// connection must not begin.
func TestAnsweredCallBeginsNothingMore(t *testing.T) {
	w := fakes.NewWorker(t)
	s := fakes.Settings()
	s.CanCancel = false
	core := fakes.NewCoreWithSettings(t, s, w)
	t.Cleanup(core.Stop)
	answered := make(chan call.Answer, 1)
	h, err := core.Submit(newCall(1, "x", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	w.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	assert.True(t, h.Over())
}

// ordering starts a core that knows one worker, and returns how each of its orders ends.
func ordering(t *testing.T, links worker.Config) (*dispatch.Core, *fakes.Worker, chan balancer.LoadEndedEvent) {
	w := fakes.NewWorker(t)
	core, err := dispatch.New(dispatch.Config{Settings: fakes.Settings(), Seed: 1, Pool: links, MaxInFlight: 100, MaxBodyBytes: 1 << 20})
	require.NoError(t, err)
	loaded := make(chan balancer.LoadEndedEvent, 16)
	core.Tap(func(e balancer.Event) {
		if l, ok := e.(balancer.LoadEndedEvent); ok {
			loaded <- l
		}
	})
	go core.Run()
	t.Cleanup(core.Stop)
	core.UpdateEndpoints(fakes.Endpoints(w))
	return core, w, loaded
}

// An order that finds no room on this side says nothing of its worker: taken for a connection that failed, it left the
// worker out of turn.
func TestOrderWithoutRoomSaysNothingOfTheWorker(t *testing.T) {
	links := fakes.PoolConfig()
	links.MaxConns = 0
	core, w, loaded := ordering(t, links)
	core.Post(func() { core.Order(fakes.Endpoints(w).Endpoints[0].ID, "7f3a9c21e0b4d655", 0) })
	assert.Equal(t, balancer.NotSent, (<-loaded).Status)
}

// An order begins within the time that the module's ration counts with, or not at all.
func TestOrderCarriesTheTimeInWhichItMayBegin(t *testing.T) {
	core, w, loaded := ordering(t, fakes.PoolConfig())
	id := fakes.Endpoints(w).Endpoints[0].ID
	for within, status := range map[time.Duration]balancer.Status{1: balancer.Rejected, time.Minute: balancer.OK} {
		core.Post(func() { core.Order(id, "7f3a9c21e0b4d655", within) })
		assert.Equal(t, status, (<-loaded).Status, "within %v", within)
	}
	assert.Len(t, w.LoadOrderTimes(), 1)
}

// A change may name a worker without its address: the way to it stays, and with it what is open there.
func TestChangeWithoutAnAddressKeepsTheWay(t *testing.T) {
	w := fakes.NewWorker(t)
	core := fakes.NewCore(t, w)
	t.Cleanup(core.Stop)
	first := make(chan call.Answer, 2)
	_, err := core.Submit(newCall(1, "a", func(a call.Answer) { first <- a }))
	require.NoError(t, err)
	k := w.Next()
	from := k.From()
	k.OK("")
	require.Equal(t, call.Served, (<-first).Outcome)
	e := fakes.Endpoints(w).Endpoints[0]
	e.Addr = ""
	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: []discovery.Endpoint{e}})
	_, err = core.Submit(newCall(2, "b", func(a call.Answer) { first <- a }))
	require.NoError(t, err)
	k = w.Next()
	assert.Equal(t, from, k.From())
	k.OK("")
	require.Equal(t, call.Served, (<-first).Outcome)
}

// A drain and a start under one uid in one list, and the other way round: the last word counts.
func TestLastWordOfAListCounts(t *testing.T) {
	w := fakes.NewWorker(t)
	core := fakes.NewCore(t, w)
	t.Cleanup(core.Stop)
	ready := fakes.Endpoints(w).Endpoints[0]
	drains := ready
	drains.State = balancer.Draining
	answered := make(chan call.Answer, 1)
	for i, list := range [][]discovery.Endpoint{{ready, drains}, {drains, ready}} {
		core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeDelta, Endpoints: list})
		k := newCall(uint64(i+1), "x", func(a call.Answer) { answered <- a })
		k.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err := core.Submit(k)
		require.NoError(t, err)
		if list[1].State == balancer.Ready {
			w.Next().OK("")
			assert.Equal(t, call.Served, (<-answered).Outcome)
		} else {
			assert.Equal(t, call.Rejected, (<-answered).Outcome)
			assert.Zero(t, w.CallCount("x"))
		}
	}
}

// A whole list where a change was awaited: who is not in it is gone, also while a call waits for its connection there.
func TestWholeListEndsWhatItDoesNotName(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	core := fakes.NewCore(t, w)
	t.Cleanup(core.Stop)
	answered := make(chan call.Answer, 1)
	core.UpdateEndpoints(fakes.Endpoints(other))
	_, err := core.Submit(newCall(1, "x", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	other.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	core.UpdateEndpoints(discovery.Update{Scope: balancer.ScopeFull}) // names nobody: what comes is refused, and the program goes on
	k := newCall(2, "y", func(a call.Answer) { answered <- a })
	k.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err = core.Submit(k)
	require.NoError(t, err)
	assert.Equal(t, call.Rejected, (<-answered).Outcome)
	core.UpdateEndpoints(fakes.Endpoints(w))
	_, err = core.Submit(newCall(3, "z", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	w.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	assert.Zero(t, w.CallCount("x")+w.CallCount("y")+other.CallCount("y")+other.CallCount("z"))
}

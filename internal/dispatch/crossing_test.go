package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/board"
	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/standin"
	"kitefall/internal/worker"
	"kitefall/rules"
)

func newCall(id uint64, body string, done func(call.Answer)) *call.Call {
	return &call.Call{ID: id, Class: "reserva", Function: "7f3a9c21e0b4d655", Body: []byte(body),
		Deadline: time.Now().Add(4 * time.Second), Done: done}
}

// The client leaves while its call waits in the owner's queue, and the owner is late: nothing of the call begins, though
// the owner hears of the call before it hears of its end. Whether the site lets attempts be called off makes no difference.
func TestCallGivenUpInTheQueueDoesNotBegin(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		w := standin.NewWorker(t)
		s := standin.Settings()
		s.Cancel, s.Orders = cancel, false // no wait for a load before the first byte
		core := standin.NewCoreOf(t, s, w)
		t.Cleanup(core.Stop)
		late, seen := make(chan bool), make(chan string, 1)
		core.Post(func() { <-late })
		gone, err := core.Submit(newCall(1, "gone", func(call.Answer) { t.Error("answered, though its client had left") }))
		require.NoError(t, err)
		answered := make(chan call.Answer, 1)
		_, err = core.Submit(newCall(2, "stays", func(a call.Answer) { answered <- a }))
		require.NoError(t, err)
		core.Post(func() { seen <- w.Next().Body }) // before the owner hears that the first has gone
		gone.GiveUp()
		close(late)
		assert.Equal(t, "stays", <-seen)
		require.Eventually(t, func() bool { return core.Open() == 1 }, time.Until(standin.By()), time.Millisecond)
	}
}

// A call that another attempt has answered is over also where the site lets none be called off: what still waits for a
// connection must not begin.
func TestAnsweredCallBeginsNothingMore(t *testing.T) {
	w := standin.NewWorker(t)
	s := standin.Settings()
	s.Cancel = false
	core := standin.NewCoreOf(t, s, w)
	t.Cleanup(core.Stop)
	answered := make(chan call.Answer, 1)
	h, err := core.Submit(newCall(1, "x", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	w.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	assert.True(t, h.Over())
}

// ordering starts a core that knows one worker, and returns how each of its orders ends.
func ordering(t *testing.T, links worker.Config) (*dispatch.Core, *standin.Worker, chan rules.LoadedEvent) {
	w := standin.NewWorker(t)
	core, err := dispatch.New(dispatch.Config{Settings: standin.Settings(), Seed: 1, Links: links, MostOpen: 100, MostHeld: 1 << 20})
	require.NoError(t, err)
	loaded := make(chan rules.LoadedEvent, 16)
	core.Tap(func(e rules.Event) {
		if l, ok := e.(rules.LoadedEvent); ok {
			loaded <- l
		}
	})
	go core.Run()
	t.Cleanup(core.Stop)
	core.News(standin.List(w))
	return core, w, loaded
}

// An order that finds no room on this side says nothing of its worker: taken for a connection that failed, it left the
// worker out of turn.
func TestOrderWithoutRoomSaysNothingOfTheWorker(t *testing.T) {
	links := standin.Links()
	links.Connections = 0
	core, w, loaded := ordering(t, links)
	core.Post(func() { core.Order(standin.List(w).Entries[0].ID, "7f3a9c21e0b4d655", 0) })
	assert.Equal(t, rules.Moot, (<-loaded).Status)
}

// An order begins within the time that the module's ration counts with, or not at all.
func TestOrderCarriesTheTimeInWhichItMayBegin(t *testing.T) {
	core, w, loaded := ordering(t, standin.Links())
	id := standin.List(w).Entries[0].ID
	for within, status := range map[time.Duration]rules.Status{1: rules.Full, time.Minute: rules.OK} {
		core.Post(func() { core.Order(id, "7f3a9c21e0b4d655", within) })
		assert.Equal(t, status, (<-loaded).Status, "within %v", within)
	}
	assert.Len(t, w.Orders(), 1)
}

// A change may name a worker without its address: the way to it stays, and with it what is open there.
func TestChangeWithoutAnAddressKeepsTheWay(t *testing.T) {
	w := standin.NewWorker(t)
	core := standin.NewCore(t, w)
	t.Cleanup(core.Stop)
	first := make(chan call.Answer, 2)
	_, err := core.Submit(newCall(1, "a", func(a call.Answer) { first <- a }))
	require.NoError(t, err)
	k := w.Next()
	from := k.From()
	k.OK("")
	require.Equal(t, call.Served, (<-first).Outcome)
	e := standin.List(w).Entries[0]
	e.Addr = ""
	core.News(board.List{Scope: rules.ListChange, Entries: []board.Entry{e}})
	_, err = core.Submit(newCall(2, "b", func(a call.Answer) { first <- a }))
	require.NoError(t, err)
	k = w.Next()
	assert.Equal(t, from, k.From())
	k.OK("")
	require.Equal(t, call.Served, (<-first).Outcome)
}

// A drain and a start under one uid in one list, and the other way round: the last word counts.
func TestLastWordOfAListCounts(t *testing.T) {
	w := standin.NewWorker(t)
	core := standin.NewCore(t, w)
	t.Cleanup(core.Stop)
	ready := standin.List(w).Entries[0]
	drains := ready
	drains.State = rules.Draining
	answered := make(chan call.Answer, 1)
	for i, list := range [][]board.Entry{{ready, drains}, {drains, ready}} {
		core.News(board.List{Scope: rules.ListChange, Entries: list})
		k := newCall(uint64(i+1), "x", func(a call.Answer) { answered <- a })
		k.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err := core.Submit(k)
		require.NoError(t, err)
		if list[1].State == rules.Ready {
			w.Next().OK("")
			assert.Equal(t, call.Served, (<-answered).Outcome)
		} else {
			assert.Equal(t, call.Refused, (<-answered).Outcome)
			assert.Zero(t, w.Runs("x"))
		}
	}
}

// A whole list where a change was awaited: who is not in it is gone, also while a call waits for its connection there.
func TestWholeListEndsWhatItDoesNotName(t *testing.T) {
	w, other := standin.NewWorker(t), standin.NewWorker(t)
	core := standin.NewCore(t, w)
	t.Cleanup(core.Stop)
	answered := make(chan call.Answer, 1)
	core.News(standin.List(other))
	_, err := core.Submit(newCall(1, "x", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	other.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	core.News(board.List{Scope: rules.ListFull}) // names nobody: what comes is refused, and the program goes on
	k := newCall(2, "y", func(a call.Answer) { answered <- a })
	k.Deadline = time.Now().Add(200 * time.Millisecond)
	_, err = core.Submit(k)
	require.NoError(t, err)
	assert.Equal(t, call.Refused, (<-answered).Outcome)
	core.News(standin.List(w))
	_, err = core.Submit(newCall(3, "z", func(a call.Answer) { answered <- a }))
	require.NoError(t, err)
	w.Next().OK("done")
	assert.Equal(t, call.Served, (<-answered).Outcome)
	assert.Zero(t, w.Runs("x")+w.Runs("y")+other.Runs("y")+other.Runs("z"))
}

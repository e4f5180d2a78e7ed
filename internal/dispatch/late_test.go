package dispatch_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/call"
	"kitefall/internal/fakes"
)

// Guards against answers that are given up because the dispatcher itself was held up (incident of floods): they have arrived
// meanwhile, and the time does not count as a silence of their worker.
func TestAnswersThatArrivedDuringAStallAreUsed(t *testing.T) {
	const stall = 150 * time.Millisecond
	worker := fakes.NewWorker(t)
	settings := fakes.Settings()
	settings.Hedging = false // an overdue attempt is cancelled so that another one may follow
	core := fakes.NewCoreWithSettings(t, settings, worker)
	t.Cleanup(core.Stop)
	submit := func(id uint64, clientGone func() bool) <-chan call.Answer {
		answered := make(chan call.Answer, 1)
		_, err := core.Submit(&call.Call{ID: id, Class: "consulta", Function: "7f3a9c21e0b4d655", ClientGone: clientGone,
			Deadline: time.Now().Add(time.Second), Done: func(a call.Answer) { answered <- a }})
		assert.NoError(t, err)
		return answered
	}
	for id := uint64(1); id <= 20; id++ { // the worker is known to answer at once
		answered := submit(id, nil)
		worker.NextCall().AnswerOK("done")
		fakes.Receive(t, answered)
	}
	answered := submit(101, nil)
	received := worker.NextCall()
	stalled := make(chan struct{})
	var once sync.Once
	submit(102, func() bool { // the event loop asks this before it sends the call
		once.Do(func() { close(stalled); time.Sleep(stall) })
		return false
	})
	<-stalled
	received.AnswerOK("done")
	assert.Equal(t, call.Served, fakes.Receive(t, answered).Outcome)
}

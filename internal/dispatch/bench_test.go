package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/call"
	"kitefall/internal/dispatch"
	"kitefall/internal/fakes"
)

// BenchmarkCoreRequest measures one request from Submit to its final answer, in two cases: a worker on loopback serves the
// request, or its deadline has passed and the balancer rejects it without a worker.
func BenchmarkCoreRequest(b *testing.B) {
	settings := fakes.Settings()
	settings.LoadOrders = false

	b.Run("served", func(b *testing.B) {
		worker := fakes.NewWorker(b)
		worker.Serve(func(c *fakes.Call) { c.AnswerOK("done") })
		core := fakes.NewCoreWithSettings(b, settings, worker)
		b.Cleanup(core.Stop)
		benchmarkRequests(b, core, time.Minute, call.Served)
	})
	b.Run("past deadline", func(b *testing.B) {
		core := fakes.NewCoreWithSettings(b, settings, fakes.NewWorker(b))
		b.Cleanup(core.Stop)
		benchmarkRequests(b, core, -time.Second, call.Rejected)
	})
}

// benchmarkRequests submits requests one at a time, each with the given time left to its deadline, and checks that each ends
// with the wanted outcome.
func benchmarkRequests(b *testing.B, core *dispatch.Core, timeLeft time.Duration, want call.Outcome) {
	answered := make(chan call.Answer, 1)
	body := []byte("payload")
	done := func(a call.Answer) { answered <- a }
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		_, err := core.Submit(&call.Call{ID: id, Class: "reserva", Function: testFunction, Body: body,
			Deadline: time.Now().Add(timeLeft), Done: done})
		require.NoError(b, err)
		if answer := <-answered; answer.Outcome != want {
			b.Fatalf("outcome %d, want %d", answer.Outcome, want)
		}
	}
}

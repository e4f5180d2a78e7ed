package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

const (
	measuredPolls        = 64
	measuredRunTime      = 50 * time.Millisecond // of a deferred call at the worker
	deferringDevices     = 32                    // that accept the deferred calls, each on one connection
	incompleteRequests   = 3
	incompleteRequestHas = "POST " + bookInvocations + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n\""
)

// Measures the time from SIGTERM to the end of the program, which must be before the earliest SIGKILL, by what there is to do at the
// signal. Without KITEFALL_MEASURE_END, as in CI, the test is skipped; TestWaitsEndAtSIGTERM and others check single cases.
func TestMeasureTheEnd(t *testing.T) {
	if os.Getenv("KITEFALL_MEASURE_END") == "" {
		t.Skip("KITEFALL_MEASURE_END is not set")
	}
	for _, load := range []struct {
		polls, deferred, incomplete int
	}{
		{}, {polls: measuredPolls}, {deferred: 1200}, {deferred: 4800}, {incomplete: incompleteRequests},
		{polls: measuredPolls, deferred: 4800, incomplete: incompleteRequests},
	} {
		t.Run(fmt.Sprintf("%+v", load), func(t *testing.T) {
			s := newTerminationTest(t)
			s.worker.Serve(func(call *fakes.Call) { time.AfterFunc(measuredRunTime, func() { call.AnswerOK(`"booked"`) }) })
			var polls []<-chan deviceResponse
			for range load.polls {
				polls = append(polls, s.device().send(http.MethodGet, s.device().deferInvocation(), "", "Prefer", "wait=12"))
			}
			for range load.incomplete {
				s.openIncompleteRequest(incompleteRequestHas)
			}
			s.deferMany(load.deferred)
			terminatedAt := time.Now()
			require.NoError(t, signalSelf(syscall.SIGTERM))
			for _, poll := range polls {
				requireAccepted(t, fakes.Receive(t, poll))
			}
			require.NoError(t, fakes.Receive(t, s.service.runErr))
			t.Logf("the program ended %v after SIGTERM", time.Since(terminatedAt).Round(10*time.Millisecond))
			assert.Less(t, time.Since(terminatedAt), earliestKill)
		})
	}
}

// deferMany has a number of deferred calls accepted.
func (t *terminationTest) deferMany(count int) {
	var devices sync.WaitGroup
	for number := range deferringDevices {
		devices.Go(func() {
			d := newDevice(t.T, t.authority, t.url, true)
			for i := number; i < count; i += deferringDevices {
				response := fakes.Receive(t, d.send(http.MethodPost, bookInvocations, fmt.Sprintf(`"%d"`, i), "Prefer", "respond-async"))
				assert.Equal(t, http.StatusAccepted, response.status)
			}
		})
	}
	devices.Wait()
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

const (
	waitingPolls       = 64
	deferredRunTime    = 50 * time.Millisecond // at the worker
	deferringDevices   = 32                    // that send the deferred calls, each on one connection
	incompleteRequests = 3
)

// The program ends before the earliest SIGKILL, whatever there is to do at SIGTERM, and polls that wait are answered. The test logs how
// long the end takes.
func TestTheEndComesBeforeSIGKILL(t *testing.T) {
	for _, load := range []struct {
		polls, deferred, incomplete int
	}{
		{}, {polls: waitingPolls}, {deferred: 1200}, {deferred: 4800}, {incomplete: incompleteRequests},
		{polls: waitingPolls, deferred: 4800, incomplete: incompleteRequests},
	} {
		t.Run(fmt.Sprintf("%+v", load), func(t *testing.T) {
			s := newTerminationTest(t)
			s.worker.Serve(func(call *fakes.Call) { time.AfterFunc(deferredRunTime, func() { call.AnswerOK(`"booked"`) }) })
			var polls []<-chan deviceResponse
			for range load.polls {
				polls = append(polls, s.device().send(http.MethodGet, s.device().deferInvocation(), "", "Prefer", "wait=12"))
			}
			for range load.incomplete {
				s.openIncompleteRequest(bookHeaders + "\"")
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

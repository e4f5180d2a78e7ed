package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// earliestKill is how long after SIGTERM the earliest SIGKILL comes with the configuration of writeConfig, whose longest deadline
// counts as 3 s (source: client protocol).
const earliestKill = 3700 * time.Millisecond

// device is a client of the invoke API that sends each request on a connection of its own: a request whose connection ends without
// a response is not sent again.
type device struct {
	t      *testing.T
	client *http.Client
	url    string
}

// deviceResponse is what a device got for a request.
type deviceResponse struct {
	status     int
	location   string
	retryAfter string
	body       string
	err        error // the connection ended without a whole response
}

func newDevice(t *testing.T, authority *fakes.Authority, url string, http2 bool) *device {
	transport := authority.Client(fakes.TrustDomain + clientIdentity).Transport.(*http.Transport).Clone()
	transport.ForceAttemptHTTP2 = http2
	transport.DisableKeepAlives = !http2
	t.Cleanup(transport.CloseIdleConnections)
	return &device{t: t, client: &http.Client{Transport: transport}, url: url}
}

// send sends a request in the background and returns once it is written. The channel gets the response.
func (d *device) send(method, path, body string, headers ...string) <-chan deviceResponse {
	d.t.Helper()
	written := make(chan struct{})
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(written) }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	request, err := http.NewRequestWithContext(ctx, method, d.url+path, strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	responses := make(chan deviceResponse, 1)
	go func() { responses <- receiveResponse(d.client.Do(request)) }()
	fakes.Receive(d.t, written)
	return responses
}

func receiveResponse(response *http.Response, err error) deviceResponse {
	if err != nil {
		return deviceResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return deviceResponse{response.StatusCode, response.Header.Get("Location"), response.Header.Get("Retry-After"), string(body), err}
}

// deferInvocation invokes the function book, deferred and not to be run within the test, and returns the path of its ticket.
func (d *device) deferInvocation() string {
	d.t.Helper()
	accepted := fakes.Receive(d.t, d.send(http.MethodPost, bookInvocations, `"slot"`, "Prefer", "respond-async", "Request-Delay", "40"))
	require.Equal(d.t, http.StatusAccepted, accepted.status, "%+v", accepted)
	return accepted.location
}

// bookInvocations is the path at which the function book is invoked.
const bookInvocations = "/v1/functions/book/invocations"

// bookHeaders is the header of an HTTP/1.1 request that invokes the function book with a body of ten bytes.
const bookHeaders = "POST " + bookInvocations + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n"

// requireAccepted requires that a device got the pending document of a ticket, which says where and when to ask for it.
func requireAccepted(t *testing.T, response deviceResponse) {
	t.Helper()
	require.NoError(t, response.err)
	assert.Equal(t, http.StatusAccepted, response.status, response.body)
	assert.Equal(t, "1", response.retryAfter)
	var pending struct{ Status, Ticket string }
	require.NoError(t, json.NewDecoder(bytes.NewReader([]byte(response.body))).Decode(&pending))
	assert.Equal(t, "pending", pending.Status)
	assert.Equal(t, "/v1/invocations/"+pending.Ticket, response.location)
}

// terminationTest is a service with the invoke API and a worker that answers nothing.
type terminationTest struct {
	*testing.T
	service   *service
	authority *fakes.Authority
	worker    *fakes.Worker
	url       string
	adminAddr string
}

func newTerminationTest(t *testing.T) *terminationTest {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	invokeFile, url := writeInvokeFile(t, authority)
	addLookFunction(t, invokeFile)
	setLoadTime(t, invokeFile, "1s")
	s := newService(t, newIdleDiscovery(t), worker)
	adminAddr := freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"`+adminAddr+`","name"`, 1)
	})
	s.start(invokeFile)
	conn := dial(t, s.addr)
	require.Eventually(t, func() bool { return checkReady(t, conn) == "yes" }, waitTimeout, waitInterval)
	conn.Close()
	return &terminationTest{T: t, service: s, authority: authority, worker: worker, url: url, adminAddr: adminAddr}
}

func (t *terminationTest) device() *device { return newDevice(t.T, t.authority, t.url, false) }

// openIncompleteRequest sends a part of a request on a connection that stays open until the end of the test.
func (t *terminationTest) openIncompleteRequest(part string) {
	t.Helper()
	_, err := io.WriteString(t.dialHTTP1(), part)
	require.NoError(t, err)
}

// dialHTTP1 returns a device's connection to the invoke API, for HTTP/1.1. It stays open until the end of the test, unless the caller
// closes it.
func (t *terminationTest) dialHTTP1() *tls.Conn {
	t.Helper()
	config := t.authority.Client(fakes.TrustDomain + clientIdentity).Transport.(*http.Transport).TLSClientConfig.Clone()
	config.NextProtos = []string{"http/1.1"}
	raw, err := net.Dial("tcp", strings.TrimPrefix(t.url, "https://"))
	require.NoError(t, err)
	t.Cleanup(func() { raw.Close() })
	conn := tls.Client(raw, config)
	require.NoError(t, conn.Handshake())
	return conn
}

// Whatever waits at SIGTERM gets its response, and the process ends, before the earliest SIGKILL (review case 10): polls, deferred
// calls that wait, synchronous calls and their repeats, with both HTTP versions, also during an evacuation. Before the fix only an
// evacuation ended a wait, and the shutdown of the invoke API waited for 5 s of its own.
func TestWaitsEndAtSIGTERM(t *testing.T) {
	for name, test := range map[string]struct {
		before func(*terminationTest) <-chan deviceResponse // sends the request before SIGTERM
		after  func(*terminationTest) <-chan deviceResponse // sends the request while everything is still accepted
	}{
		"poll": {before: func(t *terminationTest) <-chan deviceResponse {
			return t.device().send(http.MethodGet, t.device().deferInvocation(), "", "Prefer", "wait=12")
		}},
		"poll over HTTP/2": {before: func(t *terminationTest) <-chan deviceResponse {
			d := newDevice(t.T, t.authority, t.url, true)
			return d.send(http.MethodGet, d.deferInvocation(), "", "Prefer", "wait=12")
		}},
		"late poll": {after: func(t *terminationTest) <-chan deviceResponse {
			ticket := t.device().deferInvocation()
			time.Sleep(200 * time.Millisecond)
			return t.device().send(http.MethodGet, ticket, "", "Prefer", "wait=12")
		}},
		"deferred call": {before: func(t *terminationTest) <-chan deviceResponse {
			return t.device().send(http.MethodPost, bookInvocations, `"slot"`, "Prefer", "respond-async, wait=12", "Request-Delay", "40")
		}},
		"evacuation": {before: func(t *terminationTest) <-chan deviceResponse {
			poll := t.device().send(http.MethodGet, t.device().deferInvocation(), "", "Prefer", "wait=12")
			require.Equal(t, 200, callAdmin(t.T, t.adminAddr, "PUT", "/api/evacuate"))
			time.Sleep(time.Second)
			return poll
		}},
		"call": {after: func(t *terminationTest) <-chan deviceResponse {
			call := t.device().send(http.MethodPost, bookInvocations, `"slot"`)
			t.worker.NextCall()
			return call
		}},
		"repeat": {after: func(t *terminationTest) <-chan deviceResponse {
			t.device().send(http.MethodPost, bookInvocations, `"slot"`, "Idempotency-Key", "k")
			t.worker.NextCall()
			return t.device().send(http.MethodPost, bookInvocations, `"slot"`, "Idempotency-Key", "k")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTerminationTest(t)
			var response <-chan deviceResponse
			if test.before != nil {
				response = test.before(s)
			}
			terminatedAt := time.Now()
			require.NoError(t, signalSelf(syscall.SIGTERM))
			if test.after != nil {
				response = test.after(s)
			}
			requireAccepted(t, fakes.Receive(t, response))
			assert.Less(t, time.Since(terminatedAt), earliestKill)
			require.NoError(t, fakes.Receive(t, s.service.runErr))
			assert.Less(t, time.Since(terminatedAt), earliestKill)
		})
	}
}

// A part of a request, at any point, does not keep the process from ending before the earliest SIGKILL.
func TestIncompleteRequestsDoNotDelayTheEnd(t *testing.T) {
	s := newTerminationTest(t)
	s.openIncompleteRequest("")
	s.openIncompleteRequest(bookHeaders[:20])
	s.openIncompleteRequest(bookHeaders + "\"")
	terminatedAt := time.Now()
	require.NoError(t, signalSelf(syscall.SIGTERM))
	require.NoError(t, fakes.Receive(t, s.service.runErr))
	assert.Less(t, time.Since(terminatedAt), earliestKill)
}

// Deferred calls that have not run at SIGTERM stay on record and are not started any more. The run in flight gets its outcome, and
// its poll is answered with it.
func TestDeferredCallsAreNotStartedAfterSIGTERM(t *testing.T) {
	s := newTerminationTest(t)
	const deferred = 40
	tickets := make([]string, deferred)
	for i := range tickets {
		accepted := fakes.Receive(t, s.device().send(http.MethodPost, bookInvocations, fmt.Sprintf(`"slot %d"`, i), "Prefer", "respond-async"))
		require.Equal(t, http.StatusAccepted, accepted.status)
		tickets[i] = accepted.location
	}
	var inFlight []*fakes.Call
	require.Eventually(t, func() bool {
		select {
		case call := <-s.worker.Calls:
			inFlight = append(inFlight, call)
		default:
		}
		return len(inFlight) > 0 && len(s.worker.Calls) == 0
	}, waitTimeout, 50*time.Millisecond)
	require.Less(t, len(inFlight), deferred)
	polls := make([]<-chan deviceResponse, deferred)
	for i, ticket := range tickets {
		polls[i] = s.device().send(http.MethodGet, ticket, "", "Prefer", "wait=12")
	}
	terminatedAt := time.Now()
	require.NoError(t, signalSelf(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	for _, call := range inFlight {
		call.AnswerOK(`"booked"`)
	}
	statuses := map[int]int{}
	for _, poll := range polls {
		response := fakes.Receive(t, poll)
		require.NoError(t, response.err)
		statuses[response.status]++
	}
	require.NoError(t, fakes.Receive(t, s.service.runErr))
	assert.Less(t, time.Since(terminatedAt), earliestKill)
	assert.Equal(t, map[int]int{http.StatusOK: len(inFlight), http.StatusAccepted: deferred - len(inFlight)}, statuses)
	assert.Empty(t, s.worker.Calls, "a run was started after SIGTERM")
}

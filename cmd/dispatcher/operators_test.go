package main

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// operatorTimeout is within what every operators' call is answered (source: operation page).
const operatorTimeout = time.Second

// callOperators makes an operators' call and returns the status of the answer.
func callOperators(t *testing.T, addr, method, path string) int {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	client := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// startWithOperators starts a service with an operators' address, which it returns.
func startWithOperators(t *testing.T, edit func(config string) string) (s *service, operators string) {
	t.Helper()
	s = newService(t, noDiscovery, fakes.NewWorker(t))
	operators = freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return edit(strings.Replace(text, `"name"`, `"admin":"`+operators+`","name"`, 1))
	})
	s.start("")
	dial(t, operators).Close()
	return s, operators
}

// hold makes connections that stay until the end of the test and send no more than some bytes.
func hold(t *testing.T, addr, bytes string, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, bytes)
	}
}

// Operators are answered while clients hold all descriptors that they may, and callers that send nothing stay.
func TestOperatorsAreAnsweredWhateverOthersHold(t *testing.T) {
	s, operators := startWithOperators(t, func(text string) string {
		return strings.Replace(text, `"sockets":1024`, `"sockets":48`, 1)
	})
	require.Eventually(t, func() bool { return callOperators(t, operators, "GET", "/api/ready") == 200 }, waitTimeout, waitInterval)
	hold(t, s.addr, "*5\r\n$4\r\nCALL", 60)
	for range 10 {
		hold(t, operators, "GET /api/re", 10)
		assert.Equal(t, 200, callOperators(t, operators, "GET", "/api/ready"))
	}
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/evacuate"))
	assert.Equal(t, 503, callOperators(t, operators, "GET", "/api/ready"))
	assert.Equal(t, "no", checkReady(t, dial(t, s.addr)), "the same everywhere")
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/rejoin"))
	assert.Equal(t, 200, callOperators(t, operators, "GET", "/api/ready"))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	require.Eventually(t, func() bool { return callOperators(t, operators, "GET", "/api/ready") == 503 }, waitTimeout, waitInterval)
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/evacuate"), "it does so already")
	assert.Equal(t, 409, callOperators(t, operators, "PUT", "/api/rejoin"), "there is no way back")
	assert.NoError(t, <-s.ended)
}

// Before the list of workers is known the process is not ready; it can be told to send clients away all the same, and stays
// so through a reload.
func TestEvacuationBeforeTheEndpointsAreKnown(t *testing.T) {
	s, operators := startWithOperators(t, func(text string) string {
		return regexp.MustCompile(`"known":\{.*\},\n`).ReplaceAllString(text, "")
	})
	dial(t, s.addr).Close()
	assert.Equal(t, 503, callOperators(t, operators, "GET", "/api/ready"))
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/evacuate"))
	require.NoError(t, signalSelf(syscall.SIGHUP))
	assert.Equal(t, "no", checkReady(t, dial(t, s.addr)))
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/rejoin"))
	assert.Equal(t, 503, callOperators(t, operators, "GET", "/api/ready"))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.ended)
}

// An address that cannot be had is a clear error at the start.
func TestOperatorsAddressThatCannotBeHad(t *testing.T) {
	s := newService(t, noDiscovery, fakes.NewWorker(t))
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"192.0.2.1:4101","name"`, 1)
	})
	assert.ErrorContains(t, run(s.configPath, ""), "192.0.2.1:4101")
}

// The invoke API follows: evacuated, it rejects new invocations; told to, it takes them again.
func TestInvokeAPIFollowsAnEvacuation(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	worker.Serve(func(c *fakes.Call) { c.OK(`"booked"`) })
	invokeFile, url := writeInvokeFile(t, authority)
	s := newService(t, noDiscovery, worker)
	operators := freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"`+operators+`","name"`, 1)
	})
	s.start(invokeFile)
	dial(t, s.addr).Close()
	invoke := func() int {
		request, err := newInvocationRequest(url, "book", `"slot"`)
		require.NoError(t, err)
		client := authority.Client(fakes.Domain + clientIdentity) // a new connection each time
		defer client.CloseIdleConnections()
		answer, err := client.Do(request)
		require.NoError(t, err)
		answer.Body.Close()
		return answer.StatusCode
	}
	assert.Equal(t, 200, invoke())
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/evacuate"))
	require.Eventually(t, func() bool { return invoke() == 503 }, waitTimeout, waitInterval)
	assert.Equal(t, 200, callOperators(t, operators, "PUT", "/api/rejoin"))
	require.Eventually(t, func() bool { return invoke() == 200 }, waitTimeout, waitInterval)
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.ended)
}

// While another process still holds the clients' address, the process is not ready, though it knows the workers.
func TestNotReadyBeforeClientsCanConnect(t *testing.T) {
	s := newService(t, noDiscovery, fakes.NewWorker(t))
	operators := freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"`+operators+`","name"`, 1)
	})
	previous, err := net.Listen("tcp", s.addr)
	require.NoError(t, err)
	s.start("")
	dial(t, operators).Close()
	time.Sleep(100 * time.Millisecond) // the list is known by now
	assert.Equal(t, 503, callOperators(t, operators, "GET", "/api/ready"))
	previous.Close()
	require.Eventually(t, func() bool { return callOperators(t, operators, "GET", "/api/ready") == 200 }, waitTimeout, waitInterval)
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.ended)
}

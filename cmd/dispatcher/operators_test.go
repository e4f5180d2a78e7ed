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

// adminTimeout is the time within which every operator's request must be answered (source: operation page).
const adminTimeout = time.Second

// callAdmin sends a request to an admin address and returns the HTTP status of the answer.
func callAdmin(t *testing.T, addr, method, path string) int {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// startWithAdmin starts a service with an admin address, once edit has changed its configuration. It returns the service
// and the address.
func startWithAdmin(t *testing.T, edit func(config string) string) (s *service, adminAddr string) {
	t.Helper()
	s = newService(t, unreachableDiscovery, fakes.NewWorker(t))
	adminAddr = freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return edit(strings.Replace(text, `"name"`, `"admin":"`+adminAddr+`","name"`, 1))
	})
	s.start("")
	dial(t, adminAddr).Close()
	return s, adminAddr
}

// openStalledConns opens connections that send only prefix, an incomplete request, and stay open until the end of the test.
func openStalledConns(t *testing.T, addr, prefix string, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, prefix)
	}
}

// Operators must not be locked out: their requests are answered while clients hold all descriptors of their share, and while
// other connections to the admin address stay open with incomplete requests. The answers follow an evacuation, a rejoin and
// SIGTERM.
func TestAdminAnswersWhileOthersHoldDescriptors(t *testing.T) {
	s, adminAddr := startWithAdmin(t, func(text string) string {
		return strings.Replace(text, `"sockets":1024`, `"sockets":48`, 1)
	})
	require.Eventually(t, func() bool { return callAdmin(t, adminAddr, "GET", "/api/ready") == 200 }, waitTimeout, waitInterval)
	openStalledConns(t, s.addr, "*5\r\n$4\r\nCALL", 60)
	for range 10 {
		openStalledConns(t, adminAddr, "GET /api/re", 10)
		assert.Equal(t, 200, callAdmin(t, adminAddr, "GET", "/api/ready"))
	}
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/evacuate"))
	assert.Equal(t, 503, callAdmin(t, adminAddr, "GET", "/api/ready"))
	assert.Equal(t, "no", checkReady(t, dial(t, s.addr)), "clients and operators must get the same answer")
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/rejoin"))
	assert.Equal(t, 200, callAdmin(t, adminAddr, "GET", "/api/ready"))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	require.Eventually(t, func() bool { return callAdmin(t, adminAddr, "GET", "/api/ready") == 503 }, waitTimeout, waitInterval)
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/evacuate"), "evacuating a terminating process is no error")
	assert.Equal(t, 409, callAdmin(t, adminAddr, "PUT", "/api/rejoin"), "a terminating process must not accept clients again")
	assert.NoError(t, <-s.runErr)
}

// A process that does not know the endpoint list yet is not ready, but can be evacuated. A reload must not end the
// evacuation, and rejoin must not make the process ready without an endpoint list.
func TestEvacuationBeforeTheEndpointsAreKnown(t *testing.T) {
	s, adminAddr := startWithAdmin(t, func(text string) string {
		return regexp.MustCompile(`"known":\{.*\},\n`).ReplaceAllString(text, "")
	})
	dial(t, s.addr).Close()
	assert.Equal(t, 503, callAdmin(t, adminAddr, "GET", "/api/ready"))
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/evacuate"))
	require.NoError(t, signalSelf(syscall.SIGHUP))
	assert.Equal(t, "no", checkReady(t, dial(t, s.addr)))
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/rejoin"))
	assert.Equal(t, 503, callAdmin(t, adminAddr, "GET", "/api/ready"))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

// If the admin address cannot be listened at, the start fails with an error that names the address.
func TestAdminAddressUnavailable(t *testing.T) {
	s := newService(t, unreachableDiscovery, fakes.NewWorker(t))
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"192.0.2.1:4101","name"`, 1)
	})
	assert.ErrorContains(t, run(s.configPath, ""), "192.0.2.1:4101")
}

// The invoke API rejects new invocations with 503 during an evacuation, and accepts them again after a rejoin.
func TestInvokeAPIFollowsAnEvacuation(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	worker.Serve(func(c *fakes.Call) { c.AnswerOK(`"booked"`) })
	invokeFile, url := writeInvokeFile(t, authority)
	s := newService(t, unreachableDiscovery, worker)
	adminAddr := freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"`+adminAddr+`","name"`, 1)
	})
	s.start(invokeFile)
	dial(t, s.addr).Close()
	invoke := func() int {
		request, err := newInvocationRequest(url, "book", `"slot"`)
		require.NoError(t, err)
		client := authority.Client(fakes.TrustDomain + clientIdentity) // a new connection for each request
		defer client.CloseIdleConnections()
		answer, err := client.Do(request)
		require.NoError(t, err)
		answer.Body.Close()
		return answer.StatusCode
	}
	assert.Equal(t, 200, invoke())
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/evacuate"))
	require.Eventually(t, func() bool { return invoke() == 503 }, waitTimeout, waitInterval)
	assert.Equal(t, 200, callAdmin(t, adminAddr, "PUT", "/api/rejoin"))
	require.Eventually(t, func() bool { return invoke() == 200 }, waitTimeout, waitInterval)
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

// A process that knows its workers must not be ready while another process still uses the address for clients, since no
// client could connect to it.
func TestNotReadyBeforeClientsCanConnect(t *testing.T) {
	s := newService(t, unreachableDiscovery, fakes.NewWorker(t))
	adminAddr := freeAddress(t)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"name"`, `"admin":"`+adminAddr+`","name"`, 1)
	})
	previous, err := net.Listen("tcp", s.addr)
	require.NoError(t, err)
	s.start("")
	dial(t, adminAddr).Close()
	time.Sleep(100 * time.Millisecond) // enough for the endpoint list to be taken in
	assert.Equal(t, 503, callAdmin(t, adminAddr, "GET", "/api/ready"))
	previous.Close()
	require.Eventually(t, func() bool { return callAdmin(t, adminAddr, "GET", "/api/ready") == 200 }, waitTimeout, waitInterval)
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// A reload of an invalid file keeps the present discovery address, and a reload of a valid file switches to the address in
// it. Neither interrupts service: an invocation that is in flight during both is answered.
func TestReloadFollowsTheNewDiscoveryAddress(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	invokeFile, url := writeInvokeFile(t, authority)
	client := authority.Client(fakes.TrustDomain + clientIdentity)
	polls := make(chan string, 64)
	first, second := newHangingDiscovery(t, "first", polls), newHangingDiscovery(t, "second", polls)
	s := newService(t, first, worker)
	s.start(invokeFile)
	dial(t, s.addr).Close()

	submit, err := newInvocationRequest(url, "book", `"slot"`)
	require.NoError(t, err)
	submit.Header.Set("Prefer", "respond-async")
	accepted, err := client.Do(submit)
	require.NoError(t, err)
	accepted.Body.Close()
	require.Equal(t, 202, accepted.StatusCode)
	pending := worker.NextCall()

	require.Equal(t, "first 1", <-polls)
	require.NoError(t, os.WriteFile(s.configPath, []byte(`{"board":`), 0o600))
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Equal(t, "first 1", <-polls, "an invalid file must not change the discovery address")
	writeConfig(t, s.configPath, s.addr, second, worker)
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Eventually(t, func() bool { return <-polls == "second 1" }, waitTimeout, waitInterval)

	pending.AnswerOK(`"booked"`)
	poll, err := http.NewRequest(http.MethodGet, url+accepted.Header.Get("Location"), nil)
	require.NoError(t, err)
	poll.Header.Set("Prefer", "wait=5")
	answered, err := client.Do(poll)
	require.NoError(t, err)
	answer, err := io.ReadAll(answered.Body)
	require.NoError(t, err)
	answered.Body.Close()
	assert.Equal(t, []any{200, `"booked"`}, []any{answered.StatusCode, string(answer)})
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

// After SIGTERM, as in a planned restart, the program answers the calls in flight and for a while still accepts new ones. It
// ends once all are answered.
func TestDrainAnswersCallsInFlight(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	invokeFile, url := writeInvokeFile(t, authority)
	s := newService(t, unreachableDiscovery, worker)
	s.start(invokeFile)
	connBefore := dial(t, s.addr)
	notFound, err := authority.Client(fakes.TrustDomain + clientIdentity).Get(url + "/v1/invocations/none")
	require.NoError(t, err)
	notFound.Body.Close()
	assert.Equal(t, 404, notFound.StatusCode, "the invoke API must be up before the frontend for the platform's clients")

	sendCall(connBefore, "9b1f03aa5c7e2d41", "open")
	inFlight := worker.NextCall()
	require.NoError(t, signalSelf(syscall.SIGTERM))
	connAfter := dial(t, s.addr)
	sendCall(connAfter, "9b1f03aa5c7e2d42", "new")
	worker.NextCall().AnswerOK("done")
	inFlight.AnswerOK("done")
	for _, conn := range []net.Conn{connBefore, connAfter} {
		got, err := io.ReadAll(conn) // returns once the program closes the connection, which has nothing in flight then
		require.NoError(t, err)
		assert.True(t, strings.HasSuffix(string(got), "$2\r\nok\r\n$0\r\n\r\n$4\r\ndone\r\n"), "%q", got)
	}
	assert.NoError(t, <-s.runErr)
}

// A previous process that is still draining may use the address: listen must retry until the address is free, the deadline
// passes or a signal arrives.
func TestListenRetriesWhileTheAddressIsInUse(t *testing.T) {
	previous, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	terminate := make(chan os.Signal, 1)
	attempts := 0
	// openFreedAt returns a function that tries to listen at the address. The address becomes free at the given attempt,
	// counted from 1; 0: never.
	openFreedAt := func(freedAt int) func() (net.Listener, error) {
		attempts = 0
		return func() (net.Listener, error) {
			if attempts++; attempts == freedAt {
				previous.Close()
			}
			return net.Listen("tcp", previous.Addr().String())
		}
	}

	_, err = listen(openFreedAt(0), time.Now(), terminate)
	assert.ErrorIs(t, err, syscall.EADDRINUSE, "no retry after the deadline")
	terminate <- syscall.SIGTERM
	_, err = listen(openFreedAt(0), fakes.Deadline(), terminate)
	assert.ErrorIs(t, err, syscall.EADDRINUSE, "no retry after a signal to terminate")
	listener, err := listen(openFreedAt(3), fakes.Deadline(), terminate)
	require.NoError(t, err)
	listener.Close()
	assert.Equal(t, 3, attempts)
}

// A process that starts while discovery is down is ready with the endpoints of its configuration. A reload of an invalid or
// missing file changes nothing. A draining process still follows a reloaded discovery address, since it has to learn of
// draining workers until its last call is answered, and the reload must not make it ready again.
func TestReloadWhileDraining(t *testing.T) {
	worker := fakes.NewWorker(t)
	polls := make(chan string, 64)
	nextDiscovery := newHangingDiscovery(t, "next", polls)
	s := newService(t, unreachableDiscovery, worker)
	s.start("")
	conn := dial(t, s.addr)
	require.Eventually(t, func() bool { return checkReady(t, conn) == "yes" }, waitTimeout, waitInterval)
	sendCall(conn, "9b1f03aa5c7e2d41", "x")
	inFlight := worker.NextCall()

	for _, text := range []string{"", `{"board":`, `{"board":"","seed":"1","settings":{"grades":[]}}`, "[]"} {
		require.NoError(t, os.WriteFile(s.configPath, []byte(text), 0o600))
		require.NoError(t, signalSelf(syscall.SIGHUP))
		require.Equal(t, "yes", checkReady(t, conn), "after %q", text)
	}
	require.NoError(t, os.Remove(s.configPath))
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Equal(t, "yes", checkReady(t, conn))

	require.NoError(t, signalSelf(syscall.SIGTERM))
	require.Eventually(t, func() bool { return checkReady(t, conn) == "no" }, waitTimeout, waitInterval)
	writeConfig(t, s.configPath, s.addr, nextDiscovery, worker)
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Equal(t, "next 1", <-polls)
	require.Equal(t, "no", checkReady(t, conn))
	inFlight.AnswerOK("done")
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Contains(t, string(got), "done")
	assert.NoError(t, <-s.runErr)
}

// A program without any endpoints is not ready. On SIGTERM it ends, as no calls are in flight.
func TestDrainWhileStarting(t *testing.T) {
	s := newService(t, unreachableDiscovery, fakes.NewWorker(t))
	s.rewriteConfig(t, func(text string) string {
		return text[:strings.Index(text, `"known"`)] + text[strings.Index(text, `"settings"`):]
	})
	s.start("")
	conn := dial(t, s.addr)
	assert.Equal(t, "no", checkReady(t, conn))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

// Idle clients that open as many connections as they can, while discovery is down, must not use up the descriptors: a new
// client can still connect, and its call still reaches a worker.
func TestIdleClientsLeaveSocketsForCalls(t *testing.T) {
	worker := fakes.NewWorker(t)
	s := newService(t, unreachableDiscovery, worker)
	s.rewriteConfig(t, func(text string) string {
		return strings.Replace(text, `"sockets":1024`, `"sockets":64`, 1)
	})
	s.start("")
	var idle []net.Conn
	for range 80 {
		idle = append(idle, dial(t, s.addr))
	}
	conn := dial(t, s.addr)
	require.Eventually(t, func() bool { return checkReady(t, conn) == "yes" }, waitTimeout, waitInterval)
	sendCall(conn, "9b1f03aa5c7e2d41", "x")
	worker.NextCall().AnswerOK("done")
	answer := make([]byte, 64)
	length, err := conn.Read(answer)
	require.NoError(t, err)
	assert.Contains(t, string(answer[:length]), "done")
	for _, conn := range idle {
		conn.Close()
	}
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.runErr)
}

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

// A broken file changes nothing, a good one makes the watcher follow its discovery address, and the program goes on. An
// invocation that is pending meanwhile is answered.
func TestReloadFollowsTheNewDiscoveryAddress(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	invokeFile, url := writeInvokeFile(t, authority)
	client := authority.Client(fakes.Domain + clientIdentity)
	polls := make(chan string, 64)
	first, second := newDiscovery(t, "first", polls), newDiscovery(t, "second", polls)
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
	pending := worker.Next()

	require.Equal(t, "first 1", <-polls)
	require.NoError(t, os.WriteFile(s.configPath, []byte(`{"board":`), 0o600))
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Equal(t, "first 1", <-polls, "it goes on with the address that it has")
	writeConfig(t, s.configPath, s.addr, second, worker)
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Eventually(t, func() bool { return <-polls == "second 1" }, waitTimeout, waitInterval)

	pending.OK(`"booked"`)
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
	assert.NoError(t, <-s.ended)
}

// A planned restart: calls in flight are answered, and new ones are still taken for a while, before the program ends.
func TestDrainAnswersCallsInFlight(t *testing.T) {
	worker, authority := fakes.NewWorker(t), fakes.NewAuthority(t)
	invokeFile, url := writeInvokeFile(t, authority)
	s := newService(t, noDiscovery, worker)
	s.start(invokeFile)
	before := dial(t, s.addr)
	notFound, err := authority.Client(fakes.Domain + clientIdentity).Get(url + "/v1/invocations/none")
	require.NoError(t, err)
	notFound.Body.Close()
	assert.Equal(t, 404, notFound.StatusCode, "the invoke API is up before the platform's frontend")

	sendCall(before, "9b1f03aa5c7e2d41", "open")
	inFlight := worker.Next()
	require.NoError(t, signalSelf(syscall.SIGTERM))
	after := dial(t, s.addr)
	sendCall(after, "9b1f03aa5c7e2d42", "new")
	worker.Next().OK("done")
	inFlight.OK("done")
	for _, conn := range []net.Conn{before, after} {
		got, err := io.ReadAll(conn) // to the end: the program closes connections with nothing in flight
		require.NoError(t, err)
		assert.True(t, strings.HasSuffix(string(got), "$2\r\nok\r\n$0\r\n\r\n$4\r\ndone\r\n"), "%q", got)
	}
	assert.NoError(t, <-s.ended)
}

// The previous process may still be draining at the address.
func TestListenWaitsForTheAddress(t *testing.T) {
	previous, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	terminate := make(chan os.Signal, 1)
	attempts := 0
	// openFreedAt opens the address, which the previous process frees at the given attempt; never at 0.
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
	assert.ErrorIs(t, err, syscall.EADDRINUSE, "until the deadline")
	terminate <- syscall.SIGTERM
	_, err = listen(openFreedAt(0), fakes.Deadline(), terminate)
	assert.ErrorIs(t, err, syscall.EADDRINUSE, "until told to end")
	listener, err := listen(openFreedAt(3), fakes.Deadline(), terminate)
	require.NoError(t, err)
	listener.Close()
	assert.Equal(t, 3, attempts)
}

// A process that starts while discovery is down is ready with the endpoints of its configuration. A reload is carried out
// also while it drains, since it has to learn of draining workers until the last call; a file that cannot be used changes
// nothing, and the program does not go back to serving.
func TestReloadWhileDraining(t *testing.T) {
	worker := fakes.NewWorker(t)
	polls := make(chan string, 64)
	next := newDiscovery(t, "next", polls)
	s := newService(t, noDiscovery, worker)
	s.start("")
	conn := dial(t, s.addr)
	require.Eventually(t, func() bool { return checkReady(t, conn) == "yes" }, waitTimeout, waitInterval)
	sendCall(conn, "9b1f03aa5c7e2d41", "x")
	inFlight := worker.Next()

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
	writeConfig(t, s.configPath, s.addr, next, worker)
	require.NoError(t, signalSelf(syscall.SIGHUP))
	require.Equal(t, "next 1", <-polls)
	require.Equal(t, "no", checkReady(t, conn))
	inFlight.OK("done")
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Contains(t, string(got), "done")
	assert.NoError(t, <-s.ended)
}

// Without any endpoints the program is not ready. Told to end then, with nothing in flight, it ends.
func TestDrainWhileStarting(t *testing.T) {
	s := newService(t, noDiscovery, fakes.NewWorker(t))
	s.rewriteConfig(t, func(text string) string {
		return text[:strings.Index(text, `"known"`)] + text[strings.Index(text, `"settings"`):]
	})
	s.start("")
	conn := dial(t, s.addr)
	assert.Equal(t, "no", checkReady(t, conn))
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.ended)
}

// Idle clients hold all the connections that they can get while discovery is down: new clients, and the workers, are
// reached all the same.
func TestIdleClientsLeaveSocketsForCalls(t *testing.T) {
	worker := fakes.NewWorker(t)
	s := newService(t, noDiscovery, worker)
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
	worker.Next().OK("done")
	answer := make([]byte, 64)
	length, err := conn.Read(answer)
	require.NoError(t, err)
	assert.Contains(t, string(answer[:length]), "done")
	for _, conn := range idle {
		conn.Close()
	}
	require.NoError(t, signalSelf(syscall.SIGTERM))
	assert.NoError(t, <-s.ended)
}

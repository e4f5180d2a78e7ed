package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// free is an address that nothing listens at.
func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func configure(t *testing.T, path, addr, board string, w *fakes.Worker) {
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n1","listen":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"board":%q,
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":[{"uid":"s-1","endpoint":%q,"state":"active"}]}}]},
		"settings":{"caps":{"cancel":true,"try_limit":4,"dial_timeout_us":250000,"idle_close_us":15000000,"max_streams":32},
		"domain":{"placement_calls":true,"answer_within_us":5000000,"keep_alive_us":9000000},
		"guarantees":{"drain_grace_us":1000000},
		"grades":[{"name":"reserva","effect":"side_effect","deadline_us":5000000,"goal_time_us":4000000},
		{"name":"consulta","effect":"pure","deadline_us":5000000,"goal_time_us":4000000}]}}`,
		addr, board, w.Addr), 0o600))
}

func connect(t *testing.T, addr string) (c net.Conn) {
	require.Eventually(t, func() (up bool) {
		var err error
		c, err = net.Dial("tcp", addr)
		return err == nil
	}, 5e9, 1e6)
	require.NoError(t, c.SetDeadline(fakes.Deadline()))
	return c
}

// edge sets the invoke front up, for one client and one function.
func edge(t *testing.T, ca *fakes.Authority) (file, url string) {
	addr, file := free(t), filepath.Join(t.TempDir(), "invoke.toml")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "listen = %q\nworkload_api = %q\nstore = %q\n"+
		"[tenants]\n\"spiffe://turnos.example/desk/a\" = \"a\"\n[functions.book]\nclass = \"reserva\"\n"+
		"key = \"7f3a9c21e0b4d655\"\nlanes = 4\nload = \"10ms\"\ndeadline = \"4s\"\nmost_deadline = \"4s\"\n",
		addr, ca.Addr, file+".db"), 0o600))
	return file, "https://" + addr
}

// SIGHUP: a broken file changes nothing, a good one moves the watcher to its board, and the program goes on. A
// ticket that is pending meanwhile gets its answer.
func TestReloadFollowsTheNewBoard(t *testing.T) {
	w, addr, path := fakes.NewWorker(t), free(t), filepath.Join(t.TempDir(), "config.json")
	ca := fakes.NewAuthority(t)
	invokeFile, url := edge(t, ca)
	client := ca.Client(fakes.Domain + "/desk/a")
	polls := make(chan string, 64)
	serve := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			polls <- name + " " + r.URL.Query().Get("watch")
			<-r.Context().Done()
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	first, second := serve("first"), serve("second")
	configure(t, path, addr, first, w)
	ended := make(chan error, 1)
	go func() { ended <- run(path, invokeFile) }()
	connect(t, addr).Close()
	q, err := http.NewRequest(http.MethodPost, url+"/v1/functions/book/invocations", strings.NewReader(`"slot"`))
	require.NoError(t, err)
	q.Header.Set("Prefer", "respond-async")
	q.Header.Set("Content-Type", "application/json")
	taken, err := client.Do(q)
	require.NoError(t, err)
	taken.Body.Close()
	require.Equal(t, 202, taken.StatusCode)
	pending := w.Next()
	require.Equal(t, "first 1", <-polls)
	require.NoError(t, os.WriteFile(path, []byte(`{"board":`), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "first 1", <-polls, "it goes on with the board that it has")
	configure(t, path, addr, second, w)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, func() bool { return <-polls == "second 1" }, 5e9, 1e6)
	pending.OK(`"booked"`)
	q, err = http.NewRequest(http.MethodGet, url+taken.Header.Get("Location"), nil)
	require.NoError(t, err)
	q.Header.Set("Prefer", "wait=5")
	told, err := client.Do(q)
	require.NoError(t, err)
	answer, err := io.ReadAll(told.Body)
	require.NoError(t, err)
	told.Body.Close()
	assert.Equal(t, []any{200, `"booked"`}, []any{told.StatusCode, string(answer)})
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}

// A planned restart: what is open is answered, and what still comes is taken, before the program ends.
func TestEndsAfterItHasAnswered(t *testing.T) {
	w := fakes.NewWorker(t)
	addr, ca, path := free(t), fakes.NewAuthority(t), filepath.Join(t.TempDir(), "config.json")
	invokeFile, url := edge(t, ca)
	configure(t, path, addr, "127.0.0.1:1", w)
	ended := make(chan error, 1)
	go func() { ended <- run(path, invokeFile) }()
	connect := func() net.Conn { return connect(t, addr) }
	ask := func(c net.Conn, id, body string) {
		fields := "id=" + id + ",wait=4000,key=7f3a9c21e0b4d655"
		fmt.Fprintf(c, "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$7\r\nreserva\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(fields), fields,
			len(body), body)
	}
	before := connect()
	none, err := ca.Client(fakes.Domain + "/desk/a").Get(url + "/v1/invocations/none")
	require.NoError(t, err)
	none.Body.Close()
	assert.Equal(t, 404, none.StatusCode, "the invoke front is up before the platform's")
	ask(before, "9b1f03aa5c7e2d41", "open")
	open := w.Next()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	after := connect()
	ask(after, "9b1f03aa5c7e2d42", "new")
	w.Next().OK("done")
	open.OK("done")
	for _, c := range []net.Conn{before, after} {
		got, err := io.ReadAll(c) // to the end: the program closes what has nothing open
		require.NoError(t, err)
		assert.True(t, strings.HasSuffix(string(got), "$2\r\nok\r\n$0\r\n\r\n$4\r\ndone\r\n"), "%q", got)
	}
	assert.NoError(t, <-ended)
}

// The process before may still be ending at the address: the start waits for it, until its time or until it is told to end.
func TestStartWaitsForTheAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tries, ended := 0, make(chan os.Signal, 1)
	open := func(free int) func() (net.Listener, error) {
		tries = 0
		return func() (net.Listener, error) {
			if tries++; tries == free {
				before.Close()
			}
			return net.Listen("tcp", before.Addr().String())
		}
	}
	_, err = listen(open(0), time.Now(), ended)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	ended <- syscall.SIGTERM
	_, err = listen(open(0), fakes.Deadline(), ended)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	ln, err := listen(open(3), fakes.Deadline(), ended)
	require.NoError(t, err)
	ln.Close()
	assert.Equal(t, 3, tries)
}

// check asks a dispatcher whether it is ready.
func check(t *testing.T, c net.Conn) string {
	fmt.Fprint(c, "*3\r\n$5\r\nCHECK\r\n$1\r\n9\r\n$0\r\n\r\n")
	answer := make([]byte, 64)
	n, err := c.Read(answer)
	require.NoError(t, err)
	return strings.Fields(string(answer[:n]))[4]
}

// A process that starts while discovery is down is ready with the list of its start. Word of a new board that comes after
// the word to end is followed too, since drains must be heard of until the last call; what the file cannot be used for
// changes nothing, and the program does not go back to serving.
func TestReadyWithoutDiscoveryAndReloadedWhileItEnds(t *testing.T) {
	w, addr, path := fakes.NewWorker(t), free(t), filepath.Join(t.TempDir(), "config.json")
	polls := make(chan string, 64)
	next := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		polls <- r.URL.Query().Get("watch")
		<-r.Context().Done()
	}))
	t.Cleanup(next.Close)
	configure(t, path, addr, "127.0.0.1:1", w)
	ended := make(chan error, 1)
	go func() { ended <- run(path, "") }()
	c := connect(t, addr)
	require.Eventually(t, func() bool { return check(t, c) == "yes" }, 5e9, 1e6)
	fields := "id=9b1f03aa5c7e2d41,wait=4000,key=7f3a9c21e0b4d655"
	fmt.Fprintf(c, "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$7\r\nreserva\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(fields), fields)
	open := w.Next()
	for _, text := range []string{"", `{"board":`, `{"board":"","seed":"1","settings":{"grades":[]}}`, "[]"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Equal(t, "yes", check(t, c), "after %q", text)
	}
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "yes", check(t, c))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return check(t, c) == "no" }, 5e9, 1e6)
	configure(t, path, addr, strings.TrimPrefix(next.URL, "http://"), w)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "1", <-polls)
	require.Equal(t, "no", check(t, c))
	open.OK("done")
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(got), "done")
	assert.NoError(t, <-ended)
}

// Told to end before the list is known, with nothing open: it ends.
func TestEndsWhileItStarts(t *testing.T) {
	w, addr, path := fakes.NewWorker(t), free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, "127.0.0.1:1", w)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	known := strings.Index(string(text), `"known"`)
	rest := strings.Index(string(text), `"settings"`)
	require.NoError(t, os.WriteFile(path, []byte(string(text[:known])+string(text[rest:])), 0o600))
	ended := make(chan error, 1)
	go func() { ended <- run(path, "") }()
	c := connect(t, addr)
	assert.Equal(t, "no", check(t, c))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}

// Idle clients take all the connections that they can get while discovery is down: new clients, and the workers, are
// reached all the same.
func TestIdleClientsLeaveRoomForCalls(t *testing.T) {
	w, addr, path := fakes.NewWorker(t), free(t), filepath.Join(t.TempDir(), "config.json")
	configure(t, path, addr, "127.0.0.1:1", w)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), `"sockets":1024`, `"sockets":64`, 1)), 0o600))
	ended := make(chan error, 1)
	go func() { ended <- run(path, "") }()
	var idle []net.Conn
	for range 80 {
		idle = append(idle, connect(t, addr))
	}
	c := connect(t, addr)
	require.Eventually(t, func() bool { return check(t, c) == "yes" }, 5e9, 1e6)
	fields := "id=9b1f03aa5c7e2d41,wait=4000,key=7f3a9c21e0b4d655"
	fmt.Fprintf(c, "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$7\r\nreserva\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(fields), fields)
	w.Next().OK("done")
	answer := make([]byte, 64)
	n, err := c.Read(answer)
	require.NoError(t, err)
	assert.Contains(t, string(answer[:n]), "done")
	for _, i := range idle {
		i.Close()
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NoError(t, <-ended)
}

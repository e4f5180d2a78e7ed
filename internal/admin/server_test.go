package admin

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/descriptors"
)

// fakeOperations is a process that does as it is told, unless rejoinErr is set.
type fakeOperations struct {
	mu        sync.Mutex
	evacuated bool
	rejoinErr error
}

func (o *fakeOperations) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.evacuated
}

func (o *fakeOperations) Evacuate() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated = true
	return nil
}

func (o *fakeOperations) Rejoin() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rejoinErr == nil {
		o.evacuated = false
	}
	return o.rejoinErr
}

// start starts a server and returns its address.
func start(t *testing.T, operations Operations, maxConns int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := New(operations, descriptors.NewShare(maxConns))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return ln.Addr().String()
}

// callAt makes a call and returns the answer's status and header.
func callAt(t *testing.T, addr, method, path string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.True(t, response.Close, "one call a connection")
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.NotEmpty(t, strings.TrimSpace(string(text)), "a plain message")
	return response.StatusCode, response.Header
}

func TestCalls(t *testing.T) {
	operations := &fakeOperations{}
	addr := start(t, operations, 4)
	for _, step := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/api/ready", 200},
		{"PUT", "/api/evacuate", 200},
		{"PUT", "/api/evacuate", 200},
		{"GET", "/api/ready", 503},
		{"PUT", "/api/rejoin", 200},
		{"PUT", "/api/rejoin", 200},
		{"GET", "/api/ready", 200},
		{"GET", "/api/telemetry", 503},
		{"GET", "/api/none", 404},
		{"GET", "/", 404},
	} {
		status, _ := callAt(t, addr, step.method, step.path)
		assert.Equal(t, step.want, status, "%s %s", step.method, step.path)
	}
	operations.rejoinErr = errors.New("told to end")
	status, _ := callAt(t, addr, "PUT", "/api/rejoin")
	assert.Equal(t, 409, status)
}

func TestWrongMethodNamesTheRightOne(t *testing.T) {
	addr := start(t, &fakeOperations{}, 4)
	status, header := callAt(t, addr, "GET", "/api/evacuate")
	assert.Equal(t, 405, status)
	assert.Equal(t, "PUT", header.Get("Allow"))
	status, header = callAt(t, addr, "DELETE", "/api/ready")
	assert.Equal(t, 405, status)
	assert.Contains(t, header.Get("Allow"), "GET")
}

// Callers that send nothing, or half a call, and stay keep nobody out: the newest is served.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	const maxConns = 4
	addr := start(t, &fakeOperations{}, maxConns)
	var silent []net.Conn
	for i := range 200 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		if i%2 == 0 {
			_, err = io.WriteString(conn, "GET /api/re")
			require.NoError(t, err)
		}
		silent = append(silent, conn)
	}
	begun := time.Now()
	status, _ := callAt(t, addr, "GET", "/api/ready")
	assert.Equal(t, 200, status)
	assert.Less(t, time.Since(begun), time.Second)
	require.NoError(t, silent[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadAll(silent[0])
	assert.False(t, errors.Is(err, errTimeout(err)), "the oldest was closed")
}

// errTimeout returns err if it is a timeout, else an error that is nothing else.
func errTimeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return err
	}
	return errors.New("no timeout")
}

// slowOperations tells of each question whether it is ready, and answers when it is let.
type slowOperations struct {
	fakeOperations
	asked  chan struct{}
	answer chan struct{}
}

func (o *slowOperations) Ready() bool {
	o.asked <- struct{}{}
	<-o.answer
	return true
}

// A caller whose call was read is answered, however many others connect meanwhile and whatever the machine is busy with.
func TestCallThatWasReadIsAnswered(t *testing.T) {
	const maxConns = 4
	operations := &slowOperations{asked: make(chan struct{}), answer: make(chan struct{})}
	addr := start(t, operations, maxConns)
	caller, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	<-operations.asked
	connectSilently(t, addr, 20*maxConns)
	close(operations.answer)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Contains(t, string(answer), "HTTP/1.1 200 ")
}

// connectSilently makes connections on which nothing is sent, and waits until each was accepted: only the newest are open.
func connectSilently(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	time.Sleep(100 * time.Millisecond)
}

// A call that has come and was not read yet, since the machine is busy, is spared as well.
func TestCallThatIsNotReadYetKeepsItsConnection(t *testing.T) {
	const maxConns = 4
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bounded := newBoundedListener(ln, descriptors.NewShare(maxConns))
	defer bounded.Close()
	connect := func() (caller, accepted net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { caller.Close() })
		accepted, err = bounded.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { accepted.Close() })
		return caller, accepted
	}
	caller, accepted := connect()
	const call = "GET /api/ready HTTP/1.1\r\n\r\n"
	_, err = io.WriteString(caller, call)
	require.NoError(t, err)
	for range 5 * maxConns {
		connect()
	}
	received := make([]byte, len(call))
	_, err = io.ReadFull(accepted, received)
	require.NoError(t, err)
	assert.Equal(t, call, string(received))
}

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

// fakeOperations implements Operations. Rejoin fails with rejoinErr if that is set.
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

// startServer starts a server, which is closed at the end of the test, and returns its address.
func startServer(t *testing.T, operations Operations, maxConns int) string {
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

// sendRequest sends a request and returns the status and the header of the response.
func sendRequest(t *testing.T, addr, method, path string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.True(t, response.Close, "one request per connection")
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.NotEmpty(t, strings.TrimSpace(string(text)), "the body holds a message")
	return response.StatusCode, response.Header
}

func TestRequests(t *testing.T) {
	operations := &fakeOperations{}
	addr := startServer(t, operations, 4)
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
		status, _ := sendRequest(t, addr, step.method, step.path)
		assert.Equal(t, step.want, status, "%s %s", step.method, step.path)
	}
	operations.rejoinErr = errors.New("told to end")
	status, _ := sendRequest(t, addr, "PUT", "/api/rejoin")
	assert.Equal(t, 409, status)
}

func TestWrongMethodIsAnsweredWithTheAllowedOne(t *testing.T) {
	addr := startServer(t, &fakeOperations{}, 4)
	status, header := sendRequest(t, addr, "GET", "/api/evacuate")
	assert.Equal(t, 405, status)
	assert.Equal(t, "PUT", header.Get("Allow"))
	status, header = sendRequest(t, addr, "DELETE", "/api/ready")
	assert.Equal(t, 405, status)
	assert.Contains(t, header.Get("Allow"), "GET")
}

// Clients that send nothing, or only part of a request, and stay connected must not block a new client: the server evicts the
// oldest connection.
func TestSilentClientsDoNotBlockNewClients(t *testing.T) {
	const maxConns = 4
	addr := startServer(t, &fakeOperations{}, maxConns)
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
	startedAt := time.Now()
	status, _ := sendRequest(t, addr, "GET", "/api/ready")
	assert.Equal(t, 200, status)
	assert.Less(t, time.Since(startedAt), time.Second)
	require.NoError(t, silent[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadAll(silent[0])
	assert.False(t, errors.Is(err, timeoutOrOther(err)), "the oldest connection was closed")
}

// timeoutOrOther returns err if it is a timeout, else an unrelated error that errors.Is does not find in err.
func timeoutOrOther(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return err
	}
	return errors.New("no timeout")
}

// blockingOperations reports each call of Ready on readyCalled. The call returns once release is closed.
type blockingOperations struct {
	fakeOperations
	readyCalled chan struct{}
	release     chan struct{}
}

func (o *blockingOperations) Ready() bool {
	o.readyCalled <- struct{}{}
	<-o.release
	return true
}

// A request that was read completely must be answered, however many other clients connect before the answer and however busy the
// machine is.
func TestCompleteRequestIsAnswered(t *testing.T) {
	const maxConns = 4
	operations := &blockingOperations{readyCalled: make(chan struct{}), release: make(chan struct{})}
	addr := startServer(t, operations, maxConns)
	client, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	<-operations.readyCalled
	openSilentConns(t, addr, 20*maxConns)
	close(operations.release)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(client)
	require.NoError(t, err)
	assert.Contains(t, string(answer), "HTTP/1.1 200 ")
}

// openSilentConns opens count connections, sends nothing on them, and waits until the server has accepted all of them. Only the
// newest of them stay open.
func openSilentConns(t *testing.T, addr string, count int) {
	t.Helper()
	for range count {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	time.Sleep(100 * time.Millisecond)
}

// The connection of a request that was received, but not read yet because the machine is busy, must not be evicted.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	const maxConns = 4
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bounded := newBoundedListener(ln, descriptors.NewShare(maxConns))
	defer bounded.Close()
	connect := func() (client, accepted net.Conn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { client.Close() })
		accepted, err = bounded.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { accepted.Close() })
		return client, accepted
	}
	client, accepted := connect()
	const request = "GET /api/ready HTTP/1.1\r\n\r\n"
	_, err = io.WriteString(client, request)
	require.NoError(t, err)
	for range 5 * maxConns {
		connect()
	}
	received := make([]byte, len(request))
	_, err = io.ReadFull(accepted, received)
	require.NoError(t, err)
	assert.Equal(t, request, string(received))
}

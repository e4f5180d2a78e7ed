package invoke_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// dialDevice opens a TLS connection to the frontend, for HTTP/1.1, as a device of tenant a.
func (f *testFrontend) dialDevice() net.Conn {
	f.t.Helper()
	config := f.clientA.Transport.(*http.Transport).TLSClientConfig.Clone()
	config.NextProtos = []string{"http/1.1"}
	raw, err := net.Dial("tcp", strings.TrimPrefix(f.url, "https://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { raw.Close() })
	require.NoError(f.t, raw.SetDeadline(fakes.Deadline()))
	conn := tls.Client(raw, config)
	require.NoError(f.t, conn.Handshake())
	return conn
}

// readStatus reads a response from a connection and returns its status.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// After an evacuation no connection is held for a request that never becomes whole (limit of the operations page: 4 s, of which 0.5 s
// are left after EndWaits): one whose header is incomplete is closed, and one whose body is incomplete is rejected. Before the fix
// both stayed open for the read timeout of 10 s.
func TestEvacuationClosesConnectionsWithIncompleteRequests(t *testing.T) {
	f := newTestFrontend(t, fakes.NewWorker(t))
	incompleteHeader, incompleteBody := f.dialDevice(), f.dialDevice()
	io.WriteString(incompleteHeader, lookRequest[:20])
	io.WriteString(incompleteBody, lookRequest[:len(lookRequest)-1])
	time.Sleep(time.Second) // both are older than the time that a new connection has for its first request
	f.server.Drain()
	f.server.EndWaits()
	assert.Equal(t, http.StatusServiceUnavailable, readStatus(t, incompleteBody))
	_, err := incompleteHeader.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	incompleteBody.Close()
	require.Eventually(t, func() bool { return f.share.InUse() == 0 }, 500*time.Millisecond, time.Millisecond)
}

// A connection that is opened after EndWaits has time to send its request, which is answered. It is closed if it sends none.
func TestConnectionsOpenedAfterEndWaits(t *testing.T) {
	f := newTestFrontend(t, fakes.NewWorker(t))
	f.server.Drain()
	f.server.EndWaits()
	silent, device := f.dialDevice(), f.dialDevice()
	io.WriteString(device, lookRequest)
	assert.Equal(t, http.StatusServiceUnavailable, readStatus(t, device))
	_, err := silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	f.server.Rejoin()
	silent = f.dialDevice()
	time.Sleep(1100 * time.Millisecond) // longer than a new connection has while the server drains
	io.WriteString(silent, "GET /v1/invocations/none HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Equal(t, http.StatusNotFound, readStatus(t, silent))
}

// A synchronous call that is idempotent and has no key cannot be looked up later. When its device must be answered, the call is
// cancelled, and the device may send it elsewhere.
func TestEndWaitsRejectsEphemeralCalls(t *testing.T) {
	w := fakes.NewWorker(t)
	f := newTestFrontend(t, w)
	answered := make(chan response, 1)
	go func() {
		result, _ := f.send(context.Background(), f.clientA, http.MethodPost, lookPath, `"day"`)
		answered <- result
	}()
	received := w.NextCall()
	f.server.Drain()
	f.server.EndWaits()
	assert.Equal(t, problem{status: 503, name: "refused", retryable: true}, fakes.Receive(t, answered).problem)
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
}

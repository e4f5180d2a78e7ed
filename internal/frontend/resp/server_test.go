package resp_test

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/frontend/resp"
)

// While the server drains, a connection that a CANCEL leaves without requests in flight must close, or the program
// never ends.
func TestDrainClosesAConnectionLeftIdleByACancel(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startServer(t, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	w.Next()
	server.DrainState.Terminate(time.Now())
	c.sendCommand("CANCEL", "1")
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// A client that connects and sends nothing, stops within a request, or sends one and stays, holds its descriptor no
// longer than a timeout; one that waits for an answer is disconnected by none of them.
func TestTimeoutsCloseIdleConnections(t *testing.T) {
	const timeout = 50 * time.Millisecond
	w := fakes.NewWorker(t)
	timeouts := resp.Timeouts{FirstRequest: timeout, Request: timeout, Idle: timeout}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, w)
	waiting := connect()
	waiting.sendCall(1, "reserva", "book")
	received := w.Next()
	silent, incomplete, idle := connect(), connect(), connect()
	incomplete.sendCommand("CHECK", "1", "")
	incomplete.receive()
	incomplete.sendRaw("*3\r\n$4\r\nCA")
	idle.sendCommand("CHECK", "1", "")
	idle.receive()
	for name, c := range map[string]*client{"silent": silent, "incomplete request": incomplete, "idle": idle} {
		_, err := c.reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, name)
	}
	received.OK("done")
	assert.Equal(t, "1 ok  done", waiting.receive())
}

// A client that writes a request slowly is waited for within its time, whatever the wall clock does. Many sweeps look at
// it meanwhile: with a jittering wall clock (package wallstep) any use of that would close the connection.
func TestSlowRequestIsWaitedFor(t *testing.T) {
	const manySweeps = 300 * time.Millisecond
	timeouts := resp.Timeouts{FirstRequest: 50 * time.Millisecond, Request: time.Minute, Idle: time.Minute}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, fakes.NewWorker(t))
	slow := connect()
	slow.sendCommand("CHECK", "1", "")
	slow.receive()
	slow.sendRaw("*3\r\n$5\r\nCHE")
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(manySweeps)))
	_, err := slow.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "it is open still")
	require.NoError(t, slow.SetReadDeadline(fakes.Deadline()))
	slow.sendRaw("CK\r\n$1\r\n2\r\n$0\r\n\r\n")
	assert.Equal(t, "2 yes", strings.TrimSpace(slow.receive()))
}

// The idle timeout does not end a request that has begun within it, however slow that is.
func TestIdleTimeoutSparesARequestInPart(t *testing.T) {
	timeouts := resp.Timeouts{FirstRequest: 50 * time.Millisecond, Request: time.Minute, Idle: 150 * time.Millisecond}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, fakes.NewWorker(t))
	slow := connect()
	slow.sendCommand("CHECK", "1", "")
	slow.receive()
	slow.sendRaw("*3\r\n$5\r\nCHE")
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(3*timeouts.Idle)))
	_, err := slow.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "it is open still")
}

// With all connections taken, the next one is accepted in place of an idle one, silent ones first.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	w := fakes.NewWorker(t)
	timeouts := resp.DefaultTimeouts
	timeouts.Silence = 0 // the silent one counts as such at once
	_, connect := startServerWith(t, 3, timeouts, w)
	busy, idle := connect(), connect()
	busy.sendCall(1, "reserva", "book")
	received := w.Next()
	idle.sendCommand("CHECK", "1", "")
	idle.receive()
	silent := connect()
	for i, closed := range []*client{silent, idle} {
		accepted := connect()
		_, err := closed.reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		accepted.sendCall(2+i, "reserva", "next")
		w.Next()
	}
	_, err := connect().reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "all have requests in flight")
	received.OK("done")
	assert.Equal(t, "1 ok  done", busy.receive())
}

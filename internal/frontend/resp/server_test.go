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

// While the server drains, it must close a connection whose last request in flight is cancelled. Otherwise the process would
// never end.
func TestDrainClosesConnectionLeftIdleByCancel(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startServer(t, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	w.NextCall()
	server.DrainState.Terminate(time.Now())
	c.sendCommand("CANCEL", "1")
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// The timeouts close the connection of a client that sends nothing, stops in the middle of a request, or is idle after a request.
// They do not close the connection of a client that waits for an answer.
func TestTimeoutsCloseIdleConnections(t *testing.T) {
	const timeout = 50 * time.Millisecond
	w := fakes.NewWorker(t)
	timeouts := resp.Timeouts{FirstRequest: timeout, Request: timeout, Idle: timeout}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, w)
	waiting := connect()
	waiting.sendCall(1, "reserva", "book")
	received := w.NextCall()
	unused, incomplete, idle := connect(), connect(), connect()
	incomplete.sendCommand("CHECK", "1", "")
	incomplete.receive()
	incomplete.sendRaw("*3\r\n$4\r\nCA")
	idle.sendCommand("CHECK", "1", "")
	idle.receive()
	for name, c := range map[string]*client{"unused": unused, "incomplete request": incomplete, "idle": idle} {
		_, err := c.reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, name)
	}
	received.AnswerOK("done")
	assert.Equal(t, "1 ok  done", waiting.receive())
}

// The connection of a client that sends a request slowly stays open within Timeouts.Request, independent of the wall clock. Many
// sweeps check the connection during the test. When it runs with a jittering wall clock (package wallstep), any use of the wall
// clock in the timeouts would close the connection.
func TestSlowRequestIsNotTimedOut(t *testing.T) {
	const observationTime = 300 * time.Millisecond
	timeouts := resp.Timeouts{FirstRequest: 50 * time.Millisecond, Request: time.Minute, Idle: time.Minute}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, fakes.NewWorker(t))
	slow := connect()
	slow.sendCommand("CHECK", "1", "")
	slow.receive()
	slow.sendRaw("*3\r\n$5\r\nCHE")
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(observationTime)))
	_, err := slow.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must stay open")
	require.NoError(t, slow.SetReadDeadline(fakes.Deadline()))
	slow.sendRaw("CK\r\n$1\r\n2\r\n$0\r\n\r\n")
	assert.Equal(t, "2 yes", strings.TrimSpace(slow.receive()))
}

// A connection with an incomplete request is not closed by the idle timeout, even if the request takes longer than that timeout.
func TestIdleTimeoutDoesNotApplyToIncompleteRequest(t *testing.T) {
	timeouts := resp.Timeouts{FirstRequest: 50 * time.Millisecond, Request: time.Minute, Idle: 150 * time.Millisecond}
	_, connect := startServerWith(t, defaultMaxConns, timeouts, fakes.NewWorker(t))
	slow := connect()
	slow.sendCommand("CHECK", "1", "")
	slow.receive()
	slow.sendRaw("*3\r\n$5\r\nCHE")
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(3*timeouts.Idle)))
	_, err := slow.reader.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must stay open")
}

// At the connection limit, a new connection evicts an idle one: first a connection that has sent no request.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	w := fakes.NewWorker(t)
	timeouts := resp.DefaultTimeouts
	timeouts.NewConnGrace = 0 // a connection without a request is the first to be evicted, from the accept on
	_, connect := startServerWith(t, 3, timeouts, w)
	busy, idle := connect(), connect()
	busy.sendCall(1, "reserva", "book")
	received := w.NextCall()
	idle.sendCommand("CHECK", "1", "")
	idle.receive()
	unused := connect()
	for i, closed := range []*client{unused, idle} {
		accepted := connect()
		_, err := closed.reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		accepted.sendCall(2+i, "reserva", "next")
		w.NextCall()
	}
	_, err := connect().reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the new connection must be rejected, as all others have requests in flight")
	received.AnswerOK("done")
	assert.Equal(t, "1 ok  done", busy.receive())
}

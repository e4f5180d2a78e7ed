package resp_test

import (
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/drain"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/resp"
	"kitefall/internal/metrics"
)

// startDraining starts a server for the workers that follows the given schedule once it is evacuated.
func startDraining(t *testing.T, evacuation drain.Schedule, workers ...*fakes.Worker) (*resp.Server, func() *client) {
	t.Helper()
	return startServerWithDrain(t, defaultMaxConns, resp.DefaultTimeouts, evacuation, workers...)
}

func evacuate(server *resp.Server) { server.DrainState.Evacuate(time.Now()) }

// requireOpen fails the test if the connection is closed, or receives data, within 150 ms, which is several sweeps.
func (c *client) requireOpen() {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.reader.Peek(1)
	require.ErrorIs(c.t, err, os.ErrDeadlineExceeded, "the connection must stay open")
	require.NoError(c.t, c.SetReadDeadline(fakes.Deadline()))
}

// requireClosed fails the test if the server sends more data instead of closing the connection.
func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// closeIdleOnly closes idle connections at once and leaves the others open for an hour.
var closeIdleOnly = drain.Schedule{AnswerBy: time.Hour, CloseBy: time.Hour}

// Clients notice late that the server is being evacuated. For Schedule.AcceptAllFor, idle connections stay open, and new
// connections are accepted and served.
func TestEvacuationKeepsConnectionsOpenWhileAcceptingAll(t *testing.T) {
	server, connect := startDraining(t, drain.Schedule{AcceptAllFor: 400 * time.Millisecond, AnswerBy: time.Hour, CloseBy: time.Hour},
		fakes.NewWorker(t))
	early := connect()
	evacuate(server)
	early.requireOpen()
	late := connect()
	late.sendCommand("CHECK", "1", "")
	assert.Equal(t, "1 yes  ", late.receive())
	early.requireClosed()
	late.requireClosed()
}

// The server waits for the rest of a request that is incomplete when the evacuation starts, and answers it, both on a new
// connection and on one that has been used.
func TestEvacuationWaitsForIncompleteRequest(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, closeIdleOnly, w)
	used, fresh := connect(), connect()
	used.sendCommand("CHECK", "1", "")
	used.receive()
	rest := map[*client]string{}
	for i, c := range []*client{used, fresh} {
		fields := fmt.Sprintf("id=%016x,wait=4000,tenant=acme,key=7f3a9c21e0b4d655", callID(i))
		encoded := encodeCommand("CALL", "7", "reserva", fields, "x")
		c.sendRaw(encoded[:20])
		rest[c] = encoded[20:]
	}
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 2 }, 10*time.Second, time.Millisecond)
	evacuate(server)
	for _, c := range []*client{used, fresh} {
		c.requireOpen()
		c.sendRaw(rest[c])
		w.NextCall().AnswerOK("done")
		assert.Equal(t, "7 ok  done", c.receive())
		c.requireClosed()
	}
}

// At AnswerBy, requests in flight are answered as failed and their attempts are cancelled. Then the connection is closed.
func TestEvacuationFailsOpenRequestsAtAnswerBy(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 100 * time.Millisecond, CloseBy: time.Hour}, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	received := w.NextCall()
	evacuatedAt := time.Now()
	evacuate(server)
	assert.Equal(t, "1 fault  ", c.receive())
	c.requireClosed()
	assert.Less(t, time.Since(evacuatedAt), time.Second, "the answer must come long before the deadline of the call")
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
}

// A call that may keep its connection in use beyond AnswerBy is rejected. A call with a shorter wait is served.
func TestEvacuationRejectsCallsWithTooLongWait(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 2 * time.Second, CloseBy: time.Hour}, w)
	c := connect()
	c.sendCall(1, "reserva", "open")
	open := w.NextCall()
	evacuate(server)
	c.sendCall(2, "reserva", "long")
	assert.Equal(t, "2 full  ", c.receive())
	fields := "id=9b1f03aa5c7e2d43,wait=300,tenant=acme,key=7f3a9c21e0b4d655"
	c.sendCommand("CALL", "3", "reserva", fields, "short")
	w.NextCall().AnswerOK("served")
	assert.Equal(t, "3 ok  served", c.receive())
	open.AnswerOK("done")
	assert.Equal(t, "1 ok  done", c.receive())
	c.requireClosed()
	assert.Zero(t, w.CallCount("long"))
}

// A client that does not read its answers or never completes a request is disconnected at CloseBy. This does not count as a
// violation. The test covers the incomplete request.
func TestEvacuationClosesStuckConnections(t *testing.T) {
	before := metrics.Violations.Get("client_held")
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 50 * time.Millisecond, CloseBy: 200 * time.Millisecond},
		fakes.NewWorker(t))
	stuck := connect()
	stuck.sendRaw("*3\r\n$5\r\nCHE")
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 1 }, 10*time.Second, time.Millisecond)
	evacuatedAt := time.Now()
	evacuate(server)
	stuck.requireClosed()
	assert.Less(t, time.Since(evacuatedAt), time.Second, "the close must come long before the request timeout")
	assert.Equal(t, before, metrics.Violations.Get("client_held"))
}

// After a rejoin the server keeps the connections that it has not closed yet.
func TestRejoinKeepsConnections(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{AcceptAllFor: 10 * time.Millisecond, AnswerBy: time.Hour, CloseBy: time.Hour}, w)
	busy := connect()
	busy.sendCall(1, "reserva", "book")
	received := w.NextCall()
	evacuate(server)
	busy.requireOpen()
	server.DrainState.Rejoin()
	received.AnswerOK("done")
	assert.Equal(t, "1 ok  done", busy.receive())
	busy.requireOpen()
}

// A connection that is made after CloseBy must not be closed while its request is being sent: a request that was read must be
// answered on such a connection too (incident 2).
func TestRequestOnNewConnectionIsAnsweredAfterCloseBy(t *testing.T) {
	server, connect := startDraining(t, drain.Schedule{AnswerBy: time.Second, CloseBy: 6 * time.Second}, fakes.NewWorker(t))
	server.DrainState.Evacuate(time.Now().Add(-time.Minute))
	late := connect()
	encoded := encodeCommand("CHECK", "1", "")
	late.sendRaw(encoded[:9])
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 1 }, 10*time.Second, time.Millisecond)
	late.requireOpen()
	late.sendRaw(encoded[9:])
	assert.Equal(t, "1 yes  ", late.receive(), "the CHECK must be answered; the answer is yes because this server is always ready")
	late.requireClosed()
}

package resp_test

import (
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

// startDraining starts a dispatcher for the workers that sends its clients away by a schedule when it is evacuated.
func startDraining(t *testing.T, evacuation drain.Schedule, workers ...*fakes.Worker) (*resp.Server, func() *client) {
	t.Helper()
	return startEvacuable(t, defaultMaxConns, resp.DefaultTimeouts, evacuation, workers...)
}

func evacuate(server *resp.Server) { server.DrainState.Evacuate(time.Now()) }

// requireOpen fails if the connection ends within a time in which many sweeps look at it.
func (c *client) requireOpen() {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.reader.Peek(1)
	require.ErrorIs(c.t, err, os.ErrDeadlineExceeded, "it is open still")
	require.NoError(c.t, c.SetReadDeadline(fakes.Deadline()))
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// patient closes idle connections at once, and waits for the others.
var patient = drain.Schedule{AnswerBy: time.Hour, CloseBy: time.Hour}

// Clients notice late that they are sent away: idle connections stay open for a while, and so does what comes meanwhile.
func TestEvacuationLingers(t *testing.T) {
	server, connect := startDraining(t, drain.Schedule{Linger: 400 * time.Millisecond, AnswerBy: time.Hour, CloseBy: time.Hour},
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

// A request whose first bytes have come is waited for and answered, on a new connection and on one that was used.
func TestEvacuationWaitsForARequestInPart(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, patient, w)
	used, fresh := connect(), connect()
	used.sendCommand("CHECK", "1", "")
	used.receive()
	rest := map[*client]string{}
	for _, c := range []*client{used, fresh} {
		encoded := encodeCommand("CALL", "7", "reserva", "id=9b1f03aa5c7e2d41,wait=4000,tenant=acme,key=7f3a9c21e0b4d655", "x")
		c.sendRaw(encoded[:20])
		rest[c] = encoded[20:]
	}
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 2 }, 10*time.Second, time.Millisecond)
	evacuate(server)
	for _, c := range []*client{used, fresh} {
		c.requireOpen()
		c.sendRaw(rest[c])
		w.Next().OK("done")
		assert.Equal(t, "7 ok  done", c.receive())
		c.requireClosed()
	}
}

// What is not answered by the time is answered as failed, and its attempt is given up; then the connection goes.
func TestEvacuationAnswersWhatIsOpenAtItsEnd(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 100 * time.Millisecond, CloseBy: time.Hour}, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	received := w.Next()
	evacuated := time.Now()
	evacuate(server)
	assert.Equal(t, "1 fault  ", c.receive())
	c.requireClosed()
	assert.Less(t, time.Since(evacuated), time.Second, "long before its deadline")
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
}

// A request that would keep its connection in use past the end is refused; one with less time is served.
func TestEvacuationRefusesWhatItCannotFinish(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 2 * time.Second, CloseBy: time.Hour}, w)
	c := connect()
	c.sendCall(1, "reserva", "open")
	open := w.Next()
	evacuate(server)
	c.sendCall(2, "reserva", "long")
	assert.Equal(t, "2 full  ", c.receive())
	fields := "id=9b1f03aa5c7e2d43,wait=300,tenant=acme,key=7f3a9c21e0b4d655"
	c.sendCommand("CALL", "3", "reserva", fields, "short")
	w.Next().OK("served")
	assert.Equal(t, "3 ok  served", c.receive())
	open.OK("done")
	assert.Equal(t, "1 ok  done", c.receive())
	c.requireClosed()
	assert.Zero(t, w.CallCount("long"))
}

// A client that does not read its answers, or never finishes a request, is closed at the end, which is no violation.
func TestEvacuationEndsStuckConnections(t *testing.T) {
	before := metrics.Violations.Get("client_held")
	server, connect := startDraining(t, drain.Schedule{AnswerBy: 50 * time.Millisecond, CloseBy: 200 * time.Millisecond},
		fakes.NewWorker(t))
	stuck := connect()
	stuck.sendRaw("*3\r\n$5\r\nCHE")
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 1 }, 10*time.Second, time.Millisecond)
	evacuated := time.Now()
	evacuate(server)
	stuck.requireClosed()
	assert.Less(t, time.Since(evacuated), time.Second, "long before its timeout")
	assert.Equal(t, before, metrics.Violations.Get("client_held"))
}

// Told to take clients again, at any moment, a server leaves alone what it has not closed yet.
func TestRejoinKeepsConnections(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startDraining(t, drain.Schedule{Linger: 10 * time.Millisecond, AnswerBy: time.Hour, CloseBy: time.Hour}, w)
	busy := connect()
	busy.sendCall(1, "reserva", "book")
	received := w.Next()
	evacuate(server)
	busy.requireOpen()
	server.DrainState.Rejoin()
	received.OK("done")
	assert.Equal(t, "1 ok  done", busy.receive())
	busy.requireOpen()
}

// A connection that is made when all others have to be gone is not closed under its request: what is read is answered, on new
// connections too (incident 2, found when the change was read again).
func TestRequestOnANewConnectionIsAnsweredAfterTheEnd(t *testing.T) {
	server, connect := startDraining(t, drain.Schedule{AnswerBy: time.Second, CloseBy: 6 * time.Second}, fakes.NewWorker(t))
	server.DrainState.Evacuate(time.Now().Add(-time.Minute))
	late := connect()
	encoded := encodeCommand("CHECK", "1", "")
	late.sendRaw(encoded[:9])
	require.Eventually(t, func() bool { return server.IncompleteRequests() == 1 }, 10*time.Second, time.Millisecond)
	late.requireOpen()
	late.sendRaw(encoded[9:])
	assert.Equal(t, "1 yes  ", late.receive(), "whatever it is, as this server is always ready")
	late.requireClosed()
}

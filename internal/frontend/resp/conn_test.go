package resp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

func TestAnswersComeOutOfOrder(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "consulta", "first\r\n\x00")
	first := w.Next()
	c.sendCall(2, "reserva", "second")
	second := w.Next()
	assert.Equal(t, "first\r\n\x00", first.Body)
	assert.Regexp(t, `^profile=reserva,thing=7f3a9c21e0b4d655,max=[1-9]\d*$`, second.Fields)
	assert.Equal(t, callID(2), second.ID)
	second.OK("done 2")
	assert.Equal(t, "2 ok  done 2", c.receive())
	first.OK("done 1")
	assert.Equal(t, "1 ok  done 1", c.receive())
	c.sendCommand("CHECK", "3", "")
	assert.Equal(t, "3 yes  ", c.receive())
}

func TestCheckIsNotReadyBeforeEndpointsAreKnown(t *testing.T) {
	c := startAndConnect(t)
	c.sendCommand("CHECK", "1", "")
	assert.Equal(t, "1 no  ", c.receive())
}

// A worker that dies with a call in hand may have run it: a reserva fails and is not retried.
func TestNonIdempotentCallIsNotRetriedAfterAReset(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	c := startAndConnect(t, w, other)
	c.sendCall(1, "reserva", "book")
	received, _ := fakes.FirstCallAtEither(w, other)
	received.ResetConn()
	assert.Equal(t, "1 fault  ", c.receive())
	assert.Equal(t, 1, w.CallCount("book")+other.CallCount("book"))
}

// The same for a frame whose checksum does not match: nothing after it on the connection can be trusted.
func TestCorruptFrameFailsRequestsInFlight(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "reserva", "book")
	received := w.Next()
	corrupt := fakes.Frame(64, received.ID, "remark=hot", "done")
	corrupt[len(corrupt)-1] ^= 1
	received.WriteRaw(corrupt)
	assert.Equal(t, "1 fault  ", c.receive())
}

func TestIdempotentCallIsRetriedOnAnotherWorkerAfterAReset(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	c := startAndConnect(t, w, other)
	c.sendCall(1, "consulta", "look")
	received, remaining := fakes.FirstCallAtEither(w, other)
	received.ResetConn()
	remaining.Next().OK("seen")
	assert.Equal(t, "1 ok  seen", c.receive())
}

// After a CANCEL no answer is due, and one that crosses it must not reach the client.
func TestLateAnswerAfterCancelIsDropped(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "consulta", "look")
	cancelled := w.Next()
	c.sendCommand("CANCEL", "1")
	assert.Equal(t, cancelled.ID, fakes.Receive(t, w.Cancelled))
	cancelled.OK("late")
	c.sendCall(2, "consulta", "again")
	w.Next().OK("in time")
	assert.Equal(t, "2 ok  in time", c.receive())
}

// A worker does not answer: the call ends at its deadline, and the worker is told to cancel it.
func TestUnansweredCallFailsAtItsDeadline(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCommand("CALL", "1", "reserva", "id=9b1f03aa5c7e2d41,wait=200,tenant=acme,key=7f3a9c21e0b4d655", "book")
	received := w.Next()
	assert.Equal(t, "1 fault  ", c.receive())
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
}

// Two requests in flight under one id: a worker would take them for one, and its answer could go to either.
func TestIDOfARequestInFlightIsNotAcceptedAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	_, connect := startServer(t, w)
	c, other := connect(), connect()
	c.sendCall(1, "reserva", "mine")
	received := w.Next()
	other.sendCall(1, "reserva", "theirs")
	assert.Equal(t, "1 fault  ", other.receive())
	received.OK("done")
	assert.Equal(t, "1 ok  done", c.receive())
	other.sendCall(1, "reserva", "later")
	w.Next().OK("done")
	assert.Equal(t, "1 ok  done", other.receive())
}

// A client that closes has gone. One that closes only its sending half looks just the same: both send the end of the
// stream and nothing more, and the client protocol has no word that tells them apart. Its calls are cancelled.
func TestEndOfStreamCancelsCallsInFlight(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "reserva", "book")
	received := w.Next()
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
	received.OK("late")
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// The same with a call behind it that has not begun: the last bytes of both come with the end of the stream.
func TestEndOfStreamCancelsCallsReadWithIt(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startServer(t, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	c.sendCall(2, "consulta", "look")
	c.Close()
	allEnded := func() bool { return server.ActiveConns() == 0 && server.Core.InFlight() == 0 }
	require.Eventually(t, allEnded, 10*time.Second, time.Millisecond)
	other := connect()
	other.sendCall(3, "reserva", "other")
	received := w.Next()
	for received.Body != "other" { // what had begun before the end was read may be there
		received = w.Next()
	}
	received.OK("done")
	assert.Equal(t, "3 ok  done", other.receive())
}

// A link that loses every other packet brings a request byte by byte.
func TestRequestReceivedByteByByte(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	fields := "id=9b1f03aa5c7e2d41,wait=4000,tenant=acme,key=7f3a9c21e0b4d655"
	for _, b := range []byte(encodeCommand("CALL", "1", "reserva", fields, "bo\r\n")) {
		c.sendRaw(string(b))
	}
	received := w.Next()
	assert.Equal(t, "bo\r\n", received.Body)
	received.OK("done")
	assert.Equal(t, "1 ok  done", c.receive())
}

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
	first := w.NextCall()
	c.sendCall(2, "reserva", "second")
	second := w.NextCall()
	assert.Equal(t, "first\r\n\x00", first.Body)
	assert.Regexp(t, `^profile=reserva,thing=7f3a9c21e0b4d655,max=[1-9]\d*$`, second.Fields)
	assert.Equal(t, callID(2), second.ID)
	second.AnswerOK("done 2")
	assert.Equal(t, "2 ok  done 2", c.receive())
	first.AnswerOK("done 1")
	assert.Equal(t, "1 ok  done 1", c.receive())
	c.sendCommand("CHECK", "3", "")
	assert.Equal(t, "3 yes  ", c.receive())
}

func TestCheckIsNotReadyBeforeEndpointsAreKnown(t *testing.T) {
	c := startAndConnect(t)
	c.sendCommand("CHECK", "1", "")
	assert.Equal(t, "1 no  ", c.receive())
}

// A worker whose connection breaks during a call may have run the call. A call of class reserva must not run twice, so it fails
// without a retry.
func TestNonIdempotentCallIsNotRetriedAfterAReset(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	c := startAndConnect(t, w, other)
	c.sendCall(1, "reserva", "book")
	received, _ := fakes.FirstCallAtEither(w, other)
	received.ResetConn()
	assert.Equal(t, "1 fault  ", c.receive())
	assert.Equal(t, 1, w.CallCount("book")+other.CallCount("book"))
}

// A frame with a wrong checksum ends the worker's connection, because nothing after it can be trusted. The requests in flight on
// that connection may have run, so a call of class reserva, which must not run twice, fails.
func TestCorruptFrameFailsRequestsInFlight(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "reserva", "book")
	received := w.NextCall()
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
	remaining.NextCall().AnswerOK("seen")
	assert.Equal(t, "1 ok  seen", c.receive())
}

// A cancelled call gets no answer: an answer that the worker sends after the CANCEL must not reach the client.
func TestLateAnswerAfterCancelIsDropped(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "consulta", "look")
	cancelled := w.NextCall()
	c.sendCommand("CANCEL", "1")
	assert.Equal(t, cancelled.ID, fakes.Receive(t, w.Cancelled))
	cancelled.AnswerOK("late")
	c.sendCall(2, "consulta", "again")
	w.NextCall().AnswerOK("in time")
	assert.Equal(t, "2 ok  in time", c.receive())
}

// A call that the worker does not answer fails at its deadline, and the dispatcher sends the worker a cancellation.
func TestUnansweredCallFailsAtItsDeadline(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCommand("CALL", "1", "reserva", "id=9b1f03aa5c7e2d41,wait=200,tenant=acme,key=7f3a9c21e0b4d655", "book")
	received := w.NextCall()
	assert.Equal(t, "1 fault  ", c.receive())
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
}

// A second request with the id of a request in flight fails: a worker would treat both as one, and its answer could go to
// either client. It also fails once the first one has run, as clients use a new id for each request.
func TestIDOfARequestInFlightIsNotAcceptedAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	_, connect := startServer(t, w)
	c, other := connect(), connect()
	c.sendCall(1, "reserva", "mine")
	received := w.NextCall()
	other.sendCall(1, "reserva", "theirs")
	assert.Equal(t, "1 fault  ", other.receive())
	received.AnswerOK("done")
	assert.Equal(t, "1 ok  done", c.receive())
	other.sendCall(1, "reserva", "later")
	assert.Equal(t, "1 fault  ", other.receive(), "the request has run")
	assert.Zero(t, w.CallCount("theirs")+w.CallCount("later"))
}

// Guards against a request that runs twice because its client leaves and another one comes with its id (incident of floods).
func TestIDOfARequestWhoseClientLeftDoesNotRunAgain(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startServer(t, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	received := w.NextCall()
	c.Close()
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
	require.Eventually(t, func() bool { return server.Core.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	other := connect()
	other.sendCall(1, "reserva", "again")
	assert.Equal(t, "1 fault  ", other.receive())
	assert.Zero(t, w.CallCount("again"))
}

// The end of a client's stream cancels its calls. A client that closes its connection and one that closes only its sending half
// look the same: both send only the end of the stream, and nothing in the client protocol distinguishes them.
func TestEndOfStreamCancelsCallsInFlight(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	c.sendCall(1, "reserva", "book")
	received := w.NextCall()
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	assert.Equal(t, received.ID, fakes.Receive(t, w.Cancelled))
	received.AnswerOK("late")
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// The end of the stream also cancels the calls that are read together with it, including a second call that has not started.
// Afterwards other clients are served.
func TestEndOfStreamCancelsCallsReadWithIt(t *testing.T) {
	w := fakes.NewWorker(t)
	server, connect := startServer(t, w)
	c := connect()
	c.sendCall(1, "reserva", "book")
	c.sendCall(2, "consulta", "look")
	c.Close()
	allEnded := func() bool { return server.OpenConns() == 0 && server.Core.InFlight() == 0 }
	require.Eventually(t, allEnded, 10*time.Second, time.Millisecond)
	other := connect()
	other.sendCall(3, "reserva", "other")
	received := w.NextCall()
	for received.Body != "other" { // calls that started before the end of the stream was read may also arrive
		received = w.NextCall()
	}
	received.AnswerOK("done")
	assert.Equal(t, "3 ok  done", other.receive())
}

// A request may arrive byte by byte, for example over a link that loses every other packet.
func TestRequestReceivedByteByByte(t *testing.T) {
	w := fakes.NewWorker(t)
	c := startAndConnect(t, w)
	fields := "id=9b1f03aa5c7e2d41,wait=4000,tenant=acme,key=7f3a9c21e0b4d655"
	for _, b := range []byte(encodeCommand("CALL", "1", "reserva", fields, "bo\r\n")) {
		c.sendRaw(string(b))
	}
	received := w.NextCall()
	assert.Equal(t, "bo\r\n", received.Body)
	received.AnswerOK("done")
	assert.Equal(t, "1 ok  done", c.receive())
}

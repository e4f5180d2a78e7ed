package resp_test

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/drain"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/resp"
	"kitefall/internal/metrics"
	"kitefall/internal/tcptest"
)

// Sizes of the receive buffers of clients that read slowly, in bytes.
const (
	slowReadBuffer   = 4 << 10  // so small that nearly all of an answer stays at the dispatcher
	steadyReadBuffer = 64 << 10 // large enough for some megabytes a second
)

// longBody is the body of an answer that is much larger than slowReadBuffer. The kernel of the dispatcher's machine takes it
// whole, but most of it cannot be sent before the client reads.
var longBody = strings.Repeat("x", 230_000)

// connectSlowReader connects a client with a receive buffer of the given size.
func connectSlowReader(t *testing.T, addr string, readBuffer int) *client {
	t.Helper()
	conn := tcptest.DialWithReadBuffer(t, addr, readBuffer)
	require.NoError(t, conn.SetDeadline(fakes.Deadline()))
	return &client{Conn: conn, t: t, reader: bufio.NewReaderSize(conn, len(longBody)+slowReadBuffer)}
}

// startWithLongAnswer starts a server with one slow reader, whose first request has been answered with longBody. Nothing of the
// answer has been read, and all of it is in the kernel.
func startWithLongAnswer(t *testing.T, maxConns int, timeouts resp.Timeouts,
	evacuation drain.Schedule) (server *resp.Server, connect func() *client, slow *client) {
	t.Helper()
	w := fakes.NewWorker(t)
	server, connect = startServerWithDrain(t, maxConns, timeouts, evacuation, w)
	slow = connectSlowReader(t, addressOf(t, server, connect), slowReadBuffer)
	slow.sendCall(1, "reserva", "book")
	w.NextCall().AnswerOK(longBody)
	require.Eventually(t, func() bool { return server.IdleConns() == 1 }, 10*time.Second, time.Millisecond)
	return server, connect, slow
}

// addressOf returns the address of the server, on which no connection is open.
func addressOf(t *testing.T, server *resp.Server, connect func() *client) string {
	t.Helper()
	first := connect()
	require.Eventually(t, func() bool { return server.OpenConns() == 1 }, 10*time.Second, time.Millisecond)
	first.Close()
	require.Eventually(t, func() bool { return server.OpenConns() == 0 }, 10*time.Second, time.Millisecond)
	return first.RemoteAddr().String()
}

// sendLate sends a further request, which the client may do as long as it has not read the end of the stream. The connection may
// have ended.
func (c *client) sendLate() { io.WriteString(c, encodeCommand("CHECK", "2", "")) }

// requireLongAnswer reads the answer to the first request.
func (c *client) requireLongAnswer() {
	c.t.Helper()
	require.Equal(c.t, "1 ok  "+longBody, c.receive())
}

// A connection must not be closed while its client is still reading an answer: the kernel would reset the connection at the
// client's next request and drop the rest of the answer (review case 2). Each subtest closes idle connections in another way.
func TestAnswerIsDeliveredBeforeClose(t *testing.T) {
	for name, close := range map[string]func(*resp.Server, func() *client){
		"evacuation":  func(s *resp.Server, _ func() *client) { s.DrainState.Evacuate(time.Now()) },
		"termination": func(s *resp.Server, _ func() *client) { s.DrainState.Terminate(time.Now()) },
		"eviction": func(_ *resp.Server, connect func() *client) {
			_, err := connect().reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the new connection must be rejected, as the only other one is in use")
		},
	} {
		t.Run(name, func(t *testing.T) {
			server, connect, slow := startWithLongAnswer(t, 1, resp.DefaultTimeouts, closeIdleOnly)
			close(server, connect)
			time.Sleep(3 * resp.DrainSweepInterval)
			slow.sendLate()
			slow.requireLongAnswer()
		})
	}
}

// A connection on which nothing is in use any more is closed once its client has taken the answer, and not before.
func TestDrainClosesConnectionOnceAnswerIsDelivered(t *testing.T) {
	server, _, slow := startWithLongAnswer(t, 1, resp.DefaultTimeouts, closeIdleOnly)
	evacuate(server)
	time.Sleep(3 * resp.DrainSweepInterval)
	require.Equal(t, 1, server.OpenConns())
	slow.requireLongAnswer()
	slow.requireClosed()
	require.Eventually(t, func() bool { return server.OpenConns() == 0 }, 10*time.Second, time.Millisecond)
}

// readSlowly reads the long answer in pieces of 1 KiB until the time is over.
func (c *client) readSlowly(duration time.Duration) {
	c.t.Helper()
	for begin := time.Now(); time.Since(begin) < duration; {
		time.Sleep(20 * time.Millisecond)
		_, err := c.reader.Peek(c.reader.Buffered() + 1024)
		require.NoError(c.t, err)
	}
}

// At CloseBy of an evacuation, a client that is still reading an answer gets the rest of it, and then the end of the stream. Its
// further requests are not read. The time that clients take to read does not count (operations page, "Less room").
func TestEvacuationDeliversAnswersAfterCloseBy(t *testing.T) {
	schedule := drain.Schedule{AnswerBy: 50 * time.Millisecond, CloseBy: 100 * time.Millisecond, AwaitDelivery: true}
	server, _, slow := startWithLongAnswer(t, 1, resp.DefaultTimeouts, schedule)
	evacuate(server)
	slow.readSlowly(3 * schedule.CloseBy)
	slow.sendLate()
	slow.requireLongAnswer()
	_, err := slow.reader.ReadByte()
	require.Error(t, err, "the connection must end after the answer")
	require.Eventually(t, func() bool { return server.OpenConns() == 0 }, 10*time.Second, time.Millisecond)
}

// A client that takes nothing of an answer is disconnected soon after CloseBy.
func TestEvacuationClosesStalledConnection(t *testing.T) {
	cut := metrics.AnswersCut.Get("stalled")
	schedule := drain.Schedule{AnswerBy: 50 * time.Millisecond, CloseBy: 100 * time.Millisecond, AwaitDelivery: true}
	server, _, _ := startWithLongAnswer(t, 1, resp.DefaultTimeouts, schedule)
	evacuatedAt := time.Now()
	evacuate(server)
	require.Eventually(t, func() bool { return server.OpenConns() == 0 }, 10*time.Second, time.Millisecond)
	assert.Less(t, time.Since(evacuatedAt), resp.DefaultTimeouts.Idle, "the close must not wait for the idle timeout")
	assert.Equal(t, cut+1, metrics.AnswersCut.Get("stalled"))
}

// A client reads its answers for longer than the time until which it waits for them. As long as it takes some of them, none is cut
// off. The answers are more than the kernel takes at once.
func TestSlowReaderGetsAnswersAfterTheirDeadline(t *testing.T) {
	const readingTime = 5 * time.Second
	_, slow := startWithManyLongAnswers(t, resp.DefaultTimeouts, time.Second)
	received := map[string]bool{}
	for range manyCalls {
		time.Sleep(readingTime / manyCalls)
		tag, answer, _ := strings.Cut(slow.receive(), " ")
		require.True(t, answer == "ok  "+longBody, "answer %s begins with %.20q", tag, answer)
		received[tag] = true
	}
	assert.Len(t, received, manyCalls)
}

// A client that takes nothing is disconnected, also if the kernel does not take its answers.
func TestBlockedWriteEndsWhenTheClientTakesNothing(t *testing.T) {
	timeouts := resp.DefaultTimeouts
	timeouts.Idle = 100 * time.Millisecond
	cut := metrics.AnswersCut.Get("write_failed")
	server, _ := startWithManyLongAnswers(t, timeouts, 4*time.Second)
	closed := func() bool { return metrics.AnswersCut.Get("write_failed") == cut+1 && server.OpenConns() == 0 }
	require.Eventually(t, closed, 10*time.Second, time.Millisecond) // no connection is open before the server accepts it, either
}

// manyCalls is the number of calls that a client may have in flight on a connection.
const manyCalls = 32

// startWithManyLongAnswers starts a server and a client that has sent manyCalls calls and has read nothing. Each is answered with
// longBody, which is together more than the kernel takes. The client waits callWait for each answer.
func startWithManyLongAnswers(t *testing.T, timeouts resp.Timeouts, callWait time.Duration) (*resp.Server, *client) {
	t.Helper()
	w := fakes.NewWorker(t)
	w.Serve(func(c *fakes.Call) { c.AnswerOK(longBody) })
	server, connect := startServerWith(t, defaultMaxConns, timeouts, w)
	slow := connectSlowReader(t, addressOf(t, server, connect), steadyReadBuffer)
	for tag := 1; tag <= manyCalls; tag++ {
		fields := fmt.Sprintf("id=%016x,wait=%d,tenant=acme,key=7f3a9c21e0b4d655", callID(tag), callWait.Milliseconds())
		slow.sendCommand("CALL", strconv.Itoa(tag), "consulta", fields, "x")
	}
	return server, slow
}

// The idle timeout does not cut off an answer that the client takes longer to read than the timeout.
func TestIdleTimeoutWaitsForSlowReader(t *testing.T) {
	timeouts := resp.DefaultTimeouts
	timeouts.FirstRequest, timeouts.Idle = 100*time.Millisecond, 200*time.Millisecond
	_, _, slow := startWithLongAnswer(t, 1, timeouts, closeIdleOnly)
	slow.readSlowly(3 * timeouts.Idle)
	slow.sendLate()
	slow.requireLongAnswer()
	assert.Equal(t, "2 yes  ", slow.receive())
}

// A client that takes nothing of an answer is disconnected by the idle timeout, so that it does not hold a descriptor for ever.
func TestIdleTimeoutClosesStalledConnection(t *testing.T) {
	timeouts := resp.DefaultTimeouts
	timeouts.FirstRequest, timeouts.Idle = 20*time.Millisecond, 50*time.Millisecond
	cut := metrics.AnswersCut.Get("stalled")
	server, _, _ := startWithLongAnswer(t, 1, timeouts, closeIdleOnly)
	require.Eventually(t, func() bool { return server.OpenConns() == 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, cut+1, metrics.AnswersCut.Get("stalled"))
}

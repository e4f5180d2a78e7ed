package resp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/resp"
)

type client struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

// dispatcher starts a core and its RESP front, and returns a way to connect to it.
func dispatcher(t *testing.T, workers ...*fakes.Worker) func() *client {
	_, connect := serve(t, workers...)
	return connect
}

func serve(t *testing.T, workers ...*fakes.Worker) (*resp.Server, func() *client) {
	return serveMost(t, 64, resp.DefaultTimeouts, workers...)
}

func serveMost(t *testing.T, most int, p resp.Timeouts, workers ...*fakes.Worker) (*resp.Server, func() *client) {
	core := fakes.NewCore(t, workers...)
	t.Cleanup(core.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &resp.Server{Core: core, Ready: core.EndpointsKnown, Settings: fakes.Settings(), Timeouts: p}
	s.Settings.Tenants = []balancer.Tenant{{Name: "acme"}}
	go s.Serve(ln, most)
	return s, func() *client {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(fakes.Deadline()))
		return &client{t, c, bufio.NewReader(c)}
	}
}

func (c *client) say(words ...string) {
	out := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	_, err := io.WriteString(c, out)
	require.NoError(c.t, err)
}

func (c *client) call(tag int, class, body string) {
	c.say("CALL", strconv.Itoa(tag), class, fmt.Sprintf("id=%016x,wait=4000,tenant=acme,key=7f3a9c21e0b4d655,cost=8.2,"+
		"spec=memory_mb:512;lanes:2;load_ms:640", uint64(0x9b1f03aa5c7e2d00)+uint64(tag)), body)
}

// hear reads an answer: tag, word, fields, body.
func (c *client) hear() string {
	var words []string
	n := c.number('*')
	for range n {
		word := make([]byte, c.number('$')+2)
		_, err := io.ReadFull(c.r, word)
		require.NoError(c.t, err)
		words = append(words, string(word[:len(word)-2]))
	}
	return strings.Join(words, " ")
}

func (c *client) number(mark byte) int {
	line, err := c.r.ReadString('\n')
	require.NoError(c.t, err)
	require.Equal(c.t, mark, line[0])
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	require.NoError(c.t, err)
	return n
}

func TestAnswersComeOutOfOrder(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "consulta", "first\r\n\x00")
	first := w.Next()
	c.call(2, "reserva", "second")
	second := w.Next()
	assert.Equal(t, "first\r\n\x00", first.Body)
	assert.Regexp(t, `^profile=reserva,thing=7f3a9c21e0b4d655,max=[1-9]\d*$`, second.Fields)
	assert.Equal(t, uint64(0x9b1f03aa5c7e2d02), second.ID)
	second.OK("done 2")
	assert.Equal(t, "2 ok  done 2", c.hear())
	first.OK("done 1")
	assert.Equal(t, "1 ok  done 1", c.hear())
	c.say("CHECK", "3", "")
	assert.Equal(t, "3 yes  ", c.hear())
}

func TestNotReadyBeforeTheListIsKnown(t *testing.T) {
	c := dispatcher(t)()
	c.say("CHECK", "1", "")
	assert.Equal(t, "1 no  ", c.hear())
}

// A worker that dies with a call in hand may have run it: a reserva fails and goes nowhere else.
func TestReservaIsNotRepeatedAfterAReset(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	c := dispatcher(t, w, other)()
	c.call(1, "reserva", "book")
	k, _ := fakes.FirstCallAtEither(w, other)
	k.ResetConn()
	assert.Equal(t, "1 fault  ", c.hear())
	assert.Equal(t, 1, w.CallCount("book")+other.CallCount("book"))
}

// The same for a frame whose check does not match: nothing after it on the connection can be trusted.
func TestBadFrameFailsWhatIsOpen(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "reserva", "book")
	k := w.Next()
	bad := fakes.Frame(64, k.ID, "remark=hot", "done")
	bad[len(bad)-1] ^= 1
	k.WriteRaw(bad)
	assert.Equal(t, "1 fault  ", c.hear())
}

func TestConsultaGoesElsewhereAfterAReset(t *testing.T) {
	w, other := fakes.NewWorker(t), fakes.NewWorker(t)
	c := dispatcher(t, w, other)()
	c.call(1, "consulta", "look")
	k, rest := fakes.FirstCallAtEither(w, other)
	k.ResetConn()
	rest.Next().OK("seen")
	assert.Equal(t, "1 ok  seen", c.hear())
}

// After a CANCEL no answer is owed, and one that crosses it must not reach the client.
func TestLateAnswerAfterCancelIsDropped(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "consulta", "look")
	k := w.Next()
	c.say("CANCEL", "1")
	assert.Equal(t, k.ID, <-w.Cancelled)
	k.OK("late")
	c.call(2, "consulta", "again")
	w.Next().OK("in time")
	assert.Equal(t, "2 ok  in time", c.hear())
}

// A worker that says nothing: the deadline ends the call, and the worker is told to give it up.
func TestSilenceEndsAtTheDeadline(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	c.say("CALL", "1", "reserva", "id=9b1f03aa5c7e2d41,wait=200,tenant=acme,key=7f3a9c21e0b4d655", "book")
	k := w.Next()
	assert.Equal(t, "1 fault  ", c.hear())
	assert.Equal(t, k.ID, <-w.Cancelled)
}

// While it drains, a connection that a CANCEL leaves without open requests must close, or the program never ends.
func TestDrainingClosesAConnectionLeftIdleByACancel(t *testing.T) {
	w := fakes.NewWorker(t)
	s, connect := serve(t, w)
	c := connect()
	c.call(1, "reserva", "book")
	w.Next()
	s.Drain()
	c.say("CANCEL", "1")
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// What a worker could not use must not reach one: its error would be held against it. None of these is answered
// by anyone but the front.
func TestBadRequests(t *testing.T) {
	w := fakes.NewWorker(t)
	connect := dispatcher(t, w)
	c := connect()
	const id, key, rest = "id=9b1f03aa5c7e2d41,", "key=7f3a9c21e0b4d655", ",wait=1000,tenant=acme"
	for i, words := range [][2]string{{"consulta", key + rest}, {"consulta", "id=xyz," + key + rest},
		{"consulta", "id=1," + key + rest}, {"consulta", id + id + key + rest}, {"consulta", id + "key=aa" + rest},
		{"consulta", id + "key=7f3a9c21e0b4d65g" + rest}, {"consulta", id + rest[1:]},
		{"consulta", id + key + ",wait=-1,tenant=acme"}, {"consulta", id + key + ",wait=NaN,tenant=acme"},
		{"consulta", id + key + ",wait=1e300,tenant=acme"}, {"consulta", id + key + ",tenant=acme"},
		{"consulta", id + key + ",wait=1000,tenant=nobody"}, {"nothing", id + key + rest}, {"", id + key + rest},
		{"consulta", id + key + rest + ",cost=NaN"}, {"consulta", id + key + rest + ",cost=-3"},
		{"consulta", id + key + rest + ",cost=much"}, {"consulta", id + key + rest + ",spec=memory_mb:+Inf"},
		{"consulta", id + key + rest + ",spec=lanes:0"}, {"consulta", id + key + rest + ",spec=load_ms:-1e9"},
		{"consulta", id + key + rest + ",spec=lanes"}, {"consulta", ""}} {
		tag := strconv.Itoa(i + 10)
		c.say("CALL", tag, words[0], words[1], "")
		assert.Equal(t, tag+" fault  ", c.hear(), "%q", words)
	}
	c.call(1, "consulta", "good") // the next call that the worker sees
	w.Next().OK("done")
	assert.Equal(t, "1 ok  done", c.hear())
	c.say("SING", "5")
	assert.Equal(t, "5 fault  ", c.hear())
	// Without the guard the first of these keeps redcon in a loop, the second grows its buffer, the third is a
	// command to it. All end the connection.
	for _, raw := range []string{"*99999999999999999\r\n", "*2\r\n$999999999\r\n", "PING\r\n", "*1\r\n$5\r\nCHECK\r\n",
		"*2\r\n$5\r\nCHECK\r\n$1\r\n0\r\n", "*0\r\n", "*2\r\r\n", "*2\r\n+x\r\n"} {
		c := connect()
		_, err := io.WriteString(c, raw)
		require.NoError(t, err)
		_, err = c.r.ReadByte()
		assert.Error(t, err, raw)
		c.Close()
	}
	c = connect() // others are served as before
	c.say("CHECK", "1", "")
	assert.Equal(t, "1 yes  ", c.hear())
}

// Two open requests under one id: a worker would take them for one, and its answer could go to either.
func TestIDOfAnOpenRequestIsNotTakenTwice(t *testing.T) {
	w := fakes.NewWorker(t)
	connect := dispatcher(t, w)
	c, other := connect(), connect()
	c.call(1, "reserva", "mine")
	k := w.Next()
	other.call(1, "reserva", "theirs")
	assert.Equal(t, "1 fault  ", other.hear())
	k.OK("done")
	assert.Equal(t, "1 ok  done", c.hear())
	other.call(1, "reserva", "later")
	w.Next().OK("done")
	assert.Equal(t, "1 ok  done", other.hear())
}

// Who connects and says nothing, stops within a request, or asked once and stays, holds its descriptor no longer
// than a deadline; who waits for an answer is not cut off by any of them.
func TestConnectionsThatOnlyStayAreClosed(t *testing.T) {
	w := fakes.NewWorker(t)
	_, connect := serveMost(t, 64, resp.Timeouts{FirstRequest: 50e6, Request: 50e6, Idle: 50e6}, w)
	waits := connect()
	waits.call(1, "reserva", "book")
	k := w.Next()
	silent, half, stays := connect(), connect(), connect()
	half.say("CHECK", "1", "")
	half.hear()
	_, err := io.WriteString(half, "*3\r\n$4\r\nCA")
	require.NoError(t, err)
	stays.say("CHECK", "1", "")
	stays.hear()
	for _, c := range []*client{silent, half, stays} {
		_, err := c.r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
	k.OK("done")
	assert.Equal(t, "1 ok  done", waits.hear())
}

// With all connections taken, the next one is let in for one that has nothing open, silent ones first.
func TestNewcomersTakeThePlaceOfTheIdle(t *testing.T) {
	w := fakes.NewWorker(t)
	_, connect := serveMost(t, 3, resp.DefaultTimeouts, w)
	busy, idle := connect(), connect()
	busy.call(1, "reserva", "book")
	k := w.Next()
	idle.say("CHECK", "1", "")
	idle.hear()
	silent := connect()
	for i, out := range []*client{silent, idle} {
		next := connect()
		_, err := out.r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		next.call(2+i, "reserva", "next")
		w.Next()
	}
	_, err := connect().r.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "all have requests open")
	k.OK("done")
	assert.Equal(t, "1 ok  done", busy.hear())
}

// A client that closes has gone. One that closes only its sending half looks just the same: both send the end of the
// stream and nothing more, and the platform's protocol has no word that tells them apart. What it asked for is given up.
func TestEndOfTheStreamIsTheEndOfItsCalls(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "reserva", "book")
	k := w.Next()
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	assert.Equal(t, k.ID, <-w.Cancelled)
	k.OK("late")
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// The same with a call behind it that has not begun: the last bytes of both come with the end of the stream.
func TestCallsThatComeWithTheEndOfTheStream(t *testing.T) {
	w := fakes.NewWorker(t)
	s, connect := serve(t, w)
	c := connect()
	c.call(1, "reserva", "book")
	c.call(2, "consulta", "look")
	c.Close()
	require.Eventually(t, func() bool { return s.ActiveConns() == 0 && s.Core.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	other := connect()
	other.call(3, "reserva", "other")
	for k := w.Next(); ; k = w.Next() { // what had begun before the end was read may be there
		if k.Body == "other" {
			k.OK("done")
			break
		}
	}
	assert.Equal(t, "3 ok  done", other.hear())
}

// A link that loses every other packet brings a request byte by byte.
func TestRequestInPieces(t *testing.T) {
	w := fakes.NewWorker(t)
	c := dispatcher(t, w)()
	fields := "id=9b1f03aa5c7e2d41,wait=4000,tenant=acme,key=7f3a9c21e0b4d655"
	for _, b := range []byte(fmt.Sprintf("*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$7\r\nreserva\r\n$%d\r\n%s\r\n$4\r\nbo\r\n\r\n",
		len(fields), fields)) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	k := w.Next()
	assert.Equal(t, "bo\r\n", k.Body)
	k.OK("done")
	assert.Equal(t, "1 ok  done", c.hear())
}

package resp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/front/resp"
	"kitefall/internal/standin"
)

type client struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

// dispatcher starts a core and its RESP front, and returns a way to connect to it.
func dispatcher(t *testing.T, workers ...*standin.Worker) func() *client {
	_, connect := serve(t, workers...)
	return connect
}

func serve(t *testing.T, workers ...*standin.Worker) (*resp.Server, func() *client) {
	core := standin.NewCore(t, workers...)
	t.Cleanup(core.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &resp.Server{Core: core, Ready: core.Known}
	go s.Serve(ln, 64)
	return s, func() *client {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(standin.By()))
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
	w := standin.NewWorker(t)
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
	w, other := standin.NewWorker(t), standin.NewWorker(t)
	c := dispatcher(t, w, other)()
	c.call(1, "reserva", "book")
	k, _ := standin.Either(w, other)
	k.Die()
	assert.Equal(t, "1 fault  ", c.hear())
	assert.Equal(t, 1, w.Runs("book")+other.Runs("book"))
}

// The same for a frame whose check does not match: nothing after it on the connection can be trusted.
func TestBadFrameFailsWhatIsOpen(t *testing.T) {
	w := standin.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "reserva", "book")
	k := w.Next()
	bad := standin.Frame(64, k.ID, "remark=hot", "done")
	bad[len(bad)-1] ^= 1
	k.Raw(bad)
	assert.Equal(t, "1 fault  ", c.hear())
}

func TestConsultaGoesElsewhereAfterAReset(t *testing.T) {
	w, other := standin.NewWorker(t), standin.NewWorker(t)
	c := dispatcher(t, w, other)()
	c.call(1, "consulta", "look")
	k, rest := standin.Either(w, other)
	k.Die()
	rest.Next().OK("seen")
	assert.Equal(t, "1 ok  seen", c.hear())
}

// After a CANCEL no answer is owed, and one that crosses it must not reach the client.
func TestLateAnswerAfterCancelIsDropped(t *testing.T) {
	w := standin.NewWorker(t)
	c := dispatcher(t, w)()
	c.call(1, "consulta", "look")
	k := w.Next()
	c.say("CANCEL", "1")
	assert.Equal(t, k.ID, <-w.Gone)
	k.OK("late")
	c.call(2, "consulta", "again")
	w.Next().OK("in time")
	assert.Equal(t, "2 ok  in time", c.hear())
}

// A worker that says nothing: the deadline ends the call, and the worker is told to give it up.
func TestSilenceEndsAtTheDeadline(t *testing.T) {
	w := standin.NewWorker(t)
	c := dispatcher(t, w)()
	c.say("CALL", "1", "reserva", "id=9b1f03aa5c7e2d41,wait=200,key=7f3a9c21e0b4d655", "book")
	k := w.Next()
	assert.Equal(t, "1 fault  ", c.hear())
	assert.Equal(t, k.ID, <-w.Gone)
}

// While it drains, a connection that a CANCEL leaves without open requests must close, or the program never ends.
func TestDrainingClosesAConnectionLeftIdleByACancel(t *testing.T) {
	w := standin.NewWorker(t)
	s, connect := serve(t, w)
	c := connect()
	c.call(1, "reserva", "book")
	w.Next()
	s.Finish()
	c.say("CANCEL", "1")
	_, err := c.r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

func TestBadRequests(t *testing.T) {
	connect := dispatcher(t, standin.NewWorker(t))
	c := connect()
	for tag, fields := range map[string]string{"1": "id=xyz,wait=10,key=aa", "2": "id=1,key=aa", "3": "id=1,wait=10",
		"4": "id=1,wait=10,key=aa,cost=much"} {
		c.say("CALL", tag, "consulta", fields, "")
		assert.Equal(t, tag+" fault  ", c.hear())
	}
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

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

	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/descriptors"
	"kitefall/internal/drain"
	"kitefall/internal/fakes"
	"kitefall/internal/frontend/resp"
)

const defaultMaxConns = 64

// startServer starts a dispatcher core for the workers and a RESP frontend for it. It returns the frontend and a function that
// connects a client to it.
func startServer(t *testing.T, workers ...*fakes.Worker) (*resp.Server, func() *client) {
	t.Helper()
	return startServerWith(t, defaultMaxConns, resp.DefaultTimeouts, workers...)
}

// startServerWith is like startServer, with a connection limit and timeouts.
func startServerWith(t *testing.T, maxConns int, timeouts resp.Timeouts,
	workers ...*fakes.Worker) (*resp.Server, func() *client) {
	t.Helper()
	return startServerWithDrain(t, maxConns, timeouts, drain.Evacuation(), workers...)
}

// startServerWithDrain is like startServerWith, with the schedule that the server follows when it is evacuated.
func startServerWithDrain(t *testing.T, maxConns int, timeouts resp.Timeouts, evacuation drain.Schedule,
	workers ...*fakes.Worker) (*resp.Server, func() *client) {
	t.Helper()
	core := fakes.NewCore(t, workers...)
	t.Cleanup(core.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	server := &resp.Server{Core: core, Ready: core.EndpointsKnown, Settings: fakes.Settings(), Timeouts: timeouts,
		Cores:      1,
		DrainState: drain.New(evacuation, drain.Schedule{AnswerBy: time.Hour, CloseBy: time.Hour})}
	server.Settings.Tenants = []balancer.Tenant{{Name: "acme"}}
	go server.Serve(ln, descriptors.NewShare(maxConns))
	connect := func() *client {
		t.Helper()
		conn, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		require.NoError(t, conn.SetDeadline(fakes.Deadline()))
		return &client{Conn: conn, t: t, reader: bufio.NewReader(conn)}
	}
	return server, connect
}

// startAndConnect starts a dispatcher core for the workers and connects a client to its RESP frontend.
func startAndConnect(t *testing.T, workers ...*fakes.Worker) *client {
	t.Helper()
	_, connect := startServer(t, workers...)
	return connect()
}

// client is a client with one connection to the RESP frontend.
type client struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

// sendCommand sends a request with the arguments.
func (c *client) sendCommand(arguments ...string) {
	c.t.Helper()
	c.sendRaw(encodeCommand(arguments...))
}

func (c *client) sendRaw(data string) {
	c.t.Helper()
	_, err := io.WriteString(c, data)
	require.NoError(c.t, err)
}

func encodeCommand(arguments ...string) string {
	encoded := fmt.Sprintf("*%d\r\n", len(arguments))
	for _, argument := range arguments {
		encoded += fmt.Sprintf("$%d\r\n%s\r\n", len(argument), argument)
	}
	return encoded
}

// sendCall sends a CALL with typical fields, the id callID(tag) and a wait of 4 s.
func (c *client) sendCall(tag int, class, body string) {
	c.t.Helper()
	fields := fmt.Sprintf("id=%016x,wait=4000,tenant=acme,key=7f3a9c21e0b4d655,cost=8.2,"+
		"spec=memory_mb:512;lanes:2;load_ms:640", callID(tag))
	c.sendCommand("CALL", strconv.Itoa(tag), class, fields, body)
}

// callID returns the id of the call that sendCall sends with the tag.
func callID(tag int) uint64 { return 0x9b1f03aa5c7e2d00 + uint64(tag) }

// receive reads an answer and returns its tag, word, fields and body, separated by spaces.
func (c *client) receive() string {
	c.t.Helper()
	var parts []string
	for range c.receiveNumber('*') {
		data := make([]byte, c.receiveNumber('$')+len("\r\n"))
		_, err := io.ReadFull(c.reader, data)
		require.NoError(c.t, err)
		parts = append(parts, strings.TrimSuffix(string(data), "\r\n"))
	}
	return strings.Join(parts, " ")
}

func (c *client) receiveNumber(marker byte) int {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	require.NoError(c.t, err)
	require.Equal(c.t, marker, line[0])
	number, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	require.NoError(c.t, err)
	return number
}

package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// attemptGrace is how long after its client has left an attempt of a call may still begin (source: standing test's page).
const attemptGrace = 100 * time.Millisecond

// Functions at the workers, by class.
var functionKeys = map[string]string{"reserva": "7f3a9c21e0b4d655", "consulta": "0000007c55d20a01"}

// departure is a way in which a client sends a call and leaves. send sends the call and returns how the client leaves.
type departure struct {
	name string
	send func(t *departureTest, class, body string) (leave func())
}

// departures are the ways of both frontends. The last ones leave behind a byte of a further request, or a whole one, over HTTP/1.1. (The
// names are short because the test's directory holds a socket, whose path may have 107 bytes.)
var departures = []departure{
	{"RESP, close", func(t *departureTest, class, body string) func() {
		conn := dial(t.T, t.service.addr)
		sendClassCall(conn, class, body)
		return func() { conn.Close() }
	}},
	{"RESP, CANCEL", func(t *departureTest, class, body string) func() {
		conn := dial(t.T, t.service.addr)
		sendClassCall(conn, class, body)
		return func() { io.WriteString(conn, "*2\r\n$6\r\nCANCEL\r\n$1\r\n1\r\n") }
	}},
	{"HTTP 1", func(t *departureTest, class, body string) func() { return t.sendHTTP(false, class, body) }},
	{"HTTP 2", func(t *departureTest, class, body string) func() { return t.sendHTTP(true, class, body) }},
	{"HTTP 1, key", func(t *departureTest, class, body string) func() {
		return t.sendHTTP(false, class, body, "Idempotency-Key", body)
	}},
	{"HTTP 2, key", func(t *departureTest, class, body string) func() {
		return t.sendHTTP(true, class, body, "Idempotency-Key", body)
	}},
	{"next byte", func(t *departureTest, class, body string) func() {
		conn := t.sendPipelined(httpRequest(class, body), "P")
		return func() { conn.Close() }
	}},
	{"byte, reset", func(t *departureTest, class, body string) func() {
		conn := t.sendPipelined(httpRequest(class, body), "P")
		return func() {
			socket := conn.NetConn().(*net.TCPConn)
			require.NoError(t, socket.SetLinger(0))
			socket.Close()
		}
	}},
	{"same record", func(t *departureTest, class, body string) func() {
		conn := t.sendPipelined(httpRequest(class, body) + httpRequest(class, body))
		return func() { conn.Close() }
	}},
	{"next call", func(t *departureTest, class, body string) func() {
		conn := t.sendPipelined(httpRequest(class, body), httpRequest(class, body))
		return func() { conn.Close() }
	}},
}

// httpRequest returns an HTTP/1.1 request that invokes the function of a class.
func httpRequest(class, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		invocationPath(class), len(body), body)
}

// sendPipelined sends bytes on a connection for HTTP/1.1, each text in a TLS record of its own.
func (t *departureTest) sendPipelined(texts ...string) *tls.Conn {
	t.Helper()
	conn := t.dialHTTP1()
	for _, text := range texts {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
	return conn
}

// sendClassCall sends a RESP call of a class.
func sendClassCall(conn io.Writer, class, body string) {
	fields := fmt.Sprintf("id=%016x,wait=4000,key=%s", time.Now().UnixNano(), functionKeys[class])
	fmt.Fprintf(conn, "*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(class), class, len(fields), fields,
		len(body), body)
}

// departureTest is a service with both frontends, and a worker that has loaded nothing and whose load orders the test answers.
type departureTest struct {
	*terminationTest
	loads <-chan *fakes.Call
}

func newDepartureTest(t *testing.T) *departureTest {
	d := &departureTest{terminationTest: newTerminationTest(t)}
	d.loads = d.worker.HoldLoadOrders()
	d.worker.UnloadAll()
	t.Cleanup(func() {
		require.NoError(t, signalSelf(syscall.SIGTERM))
		require.NoError(t, fakes.Receive(t, d.service.runErr))
	})
	return d
}

// finishLoads finishes a load, and every later one at once.
func (t *departureTest) finishLoads(first *fakes.Call) {
	t.worker.FinishLoad(first)
	go func() { // runs until the test binary exits
		for load := range t.loads {
			t.worker.FinishLoad(load)
		}
	}()
}

// invocationPath returns the path at which the function of a class is invoked.
func invocationPath(class string) string {
	return map[string]string{"reserva": bookInvocations, "consulta": "/v1/functions/look/invocations"}[class]
}

func (t *departureTest) sendHTTP(http2 bool, class, body string, headers ...string) (leave func()) {
	t.Helper()
	device := newDevice(t.T, t.authority, t.url, http2)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url+invocationPath(class), strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	ended := make(chan error, 1)
	go func() {
		_, err := device.client.Do(request)
		ended <- err
	}()
	return func() {
		cancel()
		fakes.Receive(t, ended)
	}
}

// A client leaves while its call waits for a load. No attempt of the call may begin after the load (review case 9), whatever the
// frontend, the way of leaving, the class and the key; before the fix the invoke API sent each reserva, and each call with a key. A
// client that stays is served, and a device that comes again with its key too: the function then runs once.
func TestNoAttemptAfterTheClientHasLeft(t *testing.T) {
	for class := range functionKeys {
		for _, way := range departures {
			t.Run(class+" "+way.name, func(t *testing.T) {
				d := newDepartureTest(t)
				leave := way.send(d, class, `"left"`)
				load := fakes.Receive(t, d.loads)
				departures[0].send(d, class, `"stays"`)
				leave()
				time.Sleep(attemptGrace)
				d.finishLoads(load)
				stays := d.worker.NextCall()
				assert.Equal(t, `"stays"`, stays.Body)
				stays.AnswerOK(`"done"`)
				repeat := d.device().send(http.MethodPost, invocationPath(class), `"left"`, "Idempotency-Key", `"left"`)
				received := d.worker.NextCall()
				assert.Equal(t, `"left"`, received.Body)
				received.AnswerOK(`"done"`)
				assert.Equal(t, `"done"`, fakes.Receive(t, repeat).body)
				assert.Equal(t, 1, d.worker.CallCount(`"left"`))
			})
		}
	}
}

package invoke_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
	"kitefall/internal/tcptest"
)

// slowReadBuffer is the size of the receive buffer of a device that reads slowly, in bytes.
const slowReadBuffer = 4 << 10

// longResult is a result that is much larger than slowReadBuffer.
var longResult = strings.Repeat("x", 230_000)

// dialWithSmallBuffer connects to the frontend with a receive buffer of slowReadBuffer.
func (f *testFrontend) dialWithSmallBuffer() net.Conn {
	f.t.Helper()
	raw := tcptest.DialWithReadBuffer(f.t, strings.TrimPrefix(f.url, "https://"), slowReadBuffer)
	require.NoError(f.t, raw.SetDeadline(fakes.Deadline()))
	return raw
}

// dialSlowReader opens a TLS connection with a small receive buffer to the frontend, for HTTP/1.1, as a device of tenant a.
func (f *testFrontend) dialSlowReader() net.Conn {
	f.t.Helper()
	config := f.clientA.Transport.(*http.Transport).TLSClientConfig.Clone()
	config.NextProtos = []string{"http/1.1"}
	return tls.Client(f.dialWithSmallBuffer(), config)
}

// pausedConn is a connection of which nothing is read while it is paused.
type pausedConn struct {
	net.Conn
	reading sync.Mutex // held while the connection is paused
}

func (c *pausedConn) Read(buffer []byte) (int, error) {
	c.reading.Lock()
	c.reading.Unlock() //lint:ignore SA2001 waits while the connection is paused
	return c.Conn.Read(buffer)
}

// endings are the ways in which the frontend closes its connections.
var endings = map[string]func(*testFrontend){
	"evacuation": func(f *testFrontend) {
		f.server.Drain()
		f.server.EndWaits()
	},
	"shutdown": func(f *testFrontend) {
		f.server.Drain()
		go f.server.Shutdown(context.Background())
	},
}

// The same over HTTP/2: a device that reads nothing while the API closes its connection, and sends another request, gets the whole
// response to the first one.
func TestHTTP2ResponseIsDeliveredBeforeClose(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			w := fakes.NewWorker(t)
			f := newTestFrontend(t, w)
			transport := f.clientA.Transport.(*http.Transport).Clone()
			transport.ForceAttemptHTTP2 = true
			paused := &pausedConn{Conn: f.dialWithSmallBuffer()}
			var dialed atomic.Bool
			transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
				if dialed.Swap(true) {
					return nil, net.ErrClosed // no further connection
				}
				return paused, nil
			}
			device := &http.Client{Transport: transport}
			defer transport.CloseIdleConnections()
			f.mustSend(device, http.MethodGet, "/v1/invocations/none", "") // opens the connection
			type outcome struct {
				response response
				err      error
			}
			first := make(chan outcome, 1)
			go func() {
				result, err := f.send(context.Background(), device, http.MethodPost, lookPath, `"day"`)
				first <- outcome{result, err}
			}()
			received := w.NextCall()
			paused.reading.Lock()
			received.AnswerOK(longResult)
			time.Sleep(100 * time.Millisecond) // the response is written as far as the kernel takes it
			end(f)
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.send(ctx, device, http.MethodPost, lookPath, `"next day"`)
			time.Sleep(100 * time.Millisecond)
			paused.reading.Unlock()
			got := <-first
			require.NoError(t, got.err)
			assert.True(t, got.response.body == longResult, "%d bytes", len(got.response.body))
		})
	}
}

const lookRequest = "POST " + lookPath + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\n\"day\""

// The API must not close a connection while its device is still reading a response: the kernel would reset the connection at the
// device's next request and drop the rest of the response (review case 2, on the path of the RESP clients).
func TestResponseIsDeliveredBeforeClose(t *testing.T) {
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			w := fakes.NewWorker(t)
			f := newTestFrontend(t, w)
			slow := f.dialSlowReader()
			_, err := io.WriteString(slow, lookRequest)
			require.NoError(t, err)
			w.NextCall().AnswerOK(longResult)
			time.Sleep(100 * time.Millisecond) // the response is written, and the connection is idle
			end(f)
			time.Sleep(100 * time.Millisecond)
			io.WriteString(slow, lookRequest)
			response, err := http.ReadResponse(bufio.NewReader(slow), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.True(t, string(body) == longResult, "%d bytes", len(body))
			slow.Close()
			require.Eventually(t, func() bool { return f.share.InUse() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

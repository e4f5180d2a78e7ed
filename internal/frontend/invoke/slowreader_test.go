package invoke_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"kitefall/internal/fakes"
)

// slowReadBuffer is the size of the receive buffer of a device that reads slowly, in bytes.
const slowReadBuffer = 4 << 10

// longResult is a result that is much larger than slowReadBuffer.
var longResult = strings.Repeat("x", 230_000)

// dialSlowReader opens a TLS connection with a small receive buffer to the frontend, for HTTP/1.1, as a device of tenant a.
func (f *testFrontend) dialSlowReader() net.Conn {
	f.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, slowReadBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	raw, err := dialer.DialContext(context.Background(), "tcp", strings.TrimPrefix(f.url, "https://"))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { raw.Close() })
	require.NoError(f.t, raw.SetDeadline(fakes.Deadline()))
	config := f.clientA.Transport.(*http.Transport).TLSClientConfig.Clone()
	config.NextProtos = []string{"http/1.1"}
	return tls.Client(raw, config)
}

const lookRequest = "POST " + lookPath + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\n\"day\""

// The API must not close a connection while its device is still reading a response: the kernel would reset the connection at the
// device's next request and drop the rest of the response (review case 2, on the path of the RESP clients).
func TestResponseIsDeliveredBeforeClose(t *testing.T) {
	for name, end := range map[string]func(*testFrontend){
		"evacuation": func(f *testFrontend) {
			f.server.Evacuate()
			f.server.EndLongPolls()
		},
		"shutdown": func(f *testFrontend) {
			f.server.Drain()
			go f.server.Shutdown(context.Background())
		},
	} {
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

package invoke_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/fakes"
)

// A device closes only its own direction of the connection, and so has left. What it can still read must not say that a retry of a
// reserva does no harm, since a worker has it.
func TestResponseToADeviceThatHasLeft(t *testing.T) {
	worker := fakes.NewWorker(t)
	f := newTestFrontend(t, worker)
	device := f.dialDevice()
	_, err := io.WriteString(device, strings.Replace(lookRequest, lookPath, bookPath, 1))
	require.NoError(t, err)
	received := worker.NextCall()
	require.NoError(t, device.(*tls.Conn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(device), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, problem{http.StatusConflict, "client-left", false, true}, parseProblem(t, body))
	assert.Equal(t, received.ID, fakes.Receive(t, worker.Cancelled))
}

package resp

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/redcon"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
)

// encodeRequest returns the arguments as a RESP array of bulk strings.
func encodeRequest(arguments ...string) []byte {
	encoded := redcon.AppendArray(nil, len(arguments))
	for _, argument := range arguments {
		encoded = redcon.AppendBulkString(encoded, argument)
	}
	return encoded
}

func TestRequestReaderReadsRequestsInARow(t *testing.T) {
	reader := newRequestReader(bytes.NewReader(append(encodeRequest("CALL", "1", "consulta", "", "b\r\n"), encodeRequest("CHECK", "2")...)))
	first, err := reader.next()
	require.NoError(t, err)
	assert.Equal(t, [][]byte{[]byte("CALL"), []byte("1"), []byte("consulta"), {}, []byte("b\r\n")}, first.arguments)
	second, err := reader.next()
	require.NoError(t, err)
	assert.Equal(t, [][]byte{[]byte("CHECK"), []byte("2")}, second.arguments)
	assert.False(t, second.truncated)
}

// Guards against memory that grows with the requests of slow clients: a reader keeps no more of a request than the largest valid
// one has, and answers the request behind it.
func TestRequestReaderKeepsABoundedPartOfALargeRequest(t *testing.T) {
	argument := strings.Repeat("x", maxArgumentBytes)
	stream := encodeRequest("CALL", "1", argument, argument, argument, argument, argument, argument)
	reader := newRequestReader(bytes.NewReader(append(stream, encodeRequest("CHECK", "2")...)))
	large, err := reader.next()
	require.NoError(t, err)
	assert.True(t, large.truncated)
	assert.Equal(t, "1", string(large.arguments[argumentTag]))
	assert.LessOrEqual(t, cap(reader.storage), maxRequestBytes)
	next, err := reader.next()
	require.NoError(t, err)
	assert.Equal(t, "CHECK", string(next.arguments[argumentCommand]))
}

// Guards against requests whose many short fields cost more than their bytes: they are refused without a table of the names.
func TestManyFieldsAreRefusedCheaply(t *testing.T) {
	settings := &balancer.Settings{Classes: []balancer.Class{{Name: "consulta"}}}
	received := callRequest("consulta", strings.Repeat("a=1,", maxFieldsBytes/4-1)+"a=1")
	allocated := testing.AllocsPerRun(100, func() {
		_, err := parseCall(received, settings, time.Now())
		require.Error(t, err)
	})
	assert.Less(t, allocated, 10.0)
	var names []string
	for i := range maxFields + 1 {
		names = append(names, strings.Repeat("n", i+1)+"=1")
	}
	_, err := parseCall(callRequest("consulta", strings.Join(names, ",")), settings, time.Now())
	assert.ErrorIs(t, err, errTooManyFields)
}

// The largest body and the longest idempotency key are accepted together.
func TestLargestValidRequestIsAccepted(t *testing.T) {
	settings := &balancer.Settings{Classes: []balancer.Class{{Name: "consulta"}}}
	fields := "id=9b1f03aa5c7e2d41,key=7f3a9c21e0b4d655,wait=1000,once=" + strings.Repeat("k", call.MaxKeyBytes)
	stream := encodeRequest("CALL", "1", "consulta", fields, strings.Repeat("b", call.MaxBodyBytes))
	received, err := newRequestReader(bytes.NewReader(stream)).next()
	require.NoError(t, err)
	parsed, err := parseCall(received, settings, time.Now())
	require.NoError(t, err)
	assert.Len(t, parsed.Body, call.MaxBodyBytes)
}

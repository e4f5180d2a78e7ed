package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"kitefall/internal/tcptest"
)

// newConnPair returns a client's connection, without a running reader, and the dispatcher's side of it.
func newConnPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	dialed, accepted := tcptest.Pair(t)
	return &clientConn{client: &client{}, netConn: dialed, pending: map[int]*Request{}, byTag: map[int]*Request{}}, accepted
}

// sendTwoRequests sends two requests. The dispatcher's side reads the first and, if readSecond is set, the second one, answers the
// first one if answerFirst is set, and closes the connection.
func sendTwoRequests(t *testing.T, readSecond, answerFirst bool) (first, second *Request) {
	t.Helper()
	conn, dispatcher := newConnPair(t)
	first = &Request{ID: 1, Class: ClassIdempotent, Wait: time.Second}
	second = &Request{ID: 2, Class: ClassIdempotent, Wait: time.Second}
	read := 0
	for _, r := range []*Request{first, second} {
		tag := conn.send(r)
		require.NotZero(t, tag)
		if r == first || readSecond {
			read += len(r.encode(tag))
		}
	}
	_, err := io.ReadFull(dispatcher, make([]byte, read))
	require.NoError(t, err)
	if answerFirst {
		_, err = io.WriteString(dispatcher, encodeWords("1", wordOK, "", "0000000000000001"))
		require.NoError(t, err)
	}
	require.NoError(t, dispatcher.Close())
	conn.readAnswers()
	return first, second
}

// Guards against taking a request that the dispatcher read and did not answer for one that it had not read when it closed the
// connection. The answer to an earlier request may be in transit when the request is sent.
func TestRequestThatRacesWithTheCloseOfItsConnection(t *testing.T) {
	first, second := sendTwoRequests(t, false, true)
	assert.Len(t, first.Answers, 1)
	assert.True(t, second.EndedUnread)
	assert.Equal(t, 1, second.OpenAtEnd)
	assert.True(t, second.racedWithClose())

	_, second = sendTwoRequests(t, true, true)
	assert.False(t, second.EndedUnread, "the dispatcher read the second request")
	assert.Equal(t, 1, second.OpenAtEnd)
	assert.False(t, second.racedWithClose())

	first, second = sendTwoRequests(t, false, false)
	assert.Empty(t, first.Answers)
	assert.Equal(t, 2, second.OpenAtEnd, "the first request was read and has no answer either")
	assert.False(t, second.racedWithClose())
}

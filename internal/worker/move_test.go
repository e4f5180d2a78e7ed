package worker

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cut is a connection that breaks in the middle of a write.
type cut struct{ net.Conn }

func (cut) Write([]byte) (int, error)        { return 3, io.ErrClosedPipe }
func (cut) SetWriteDeadline(time.Time) error { return nil }
func (cut) Close() error                     { return nil }

// A call of which not all was written never ran: it goes to another connection, and no attempt is lost.
func TestCallNotWrittenWholeMovesOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	l := NewPool("s-1", ln.Addr().String(), &Config{DialTimeout: time.Second, IdleTimeout: time.Minute,
		MaxStreams: 32, MaxConns: 4, ConnLimit: NewConnLimit(4)})
	defer l.Close()
	broken := &conn{link: l, net: cut{}, out: make(chan *PendingRequest, 1), closed: make(chan struct{}), open: map[uint64]*PendingRequest{},
		spent: map[uint64]time.Time{}, since: time.Now()}
	l.conns = append(l.conns, broken)
	by := time.Now().Add(10 * time.Second)
	_, err = l.Call(Attempt{ID: 7, Class: "reserva", Function: "7f3a9c21e0b4d655", Deadline: by}, func(Result) {})
	require.NoError(t, err)
	broken.write(<-broken.out)
	require.NoError(t, ln.(*net.TCPListener).SetDeadline(by))
	c, err := ln.Accept()
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(by))
	var head [headSize]byte
	_, err = io.ReadFull(c, head[:])
	require.NoError(t, err)
	assert.Equal(t, uint64(7), binary.BigEndian.Uint64(head[8:]))
}

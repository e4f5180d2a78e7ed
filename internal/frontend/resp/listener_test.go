package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scripted is a listener whose accepts the test ends one by one.
type scripted struct {
	accepts chan any // a net.Conn or an error
	asked   atomic.Int64
	ended   chan struct{}
	end     sync.Once
}

func newScripted() *scripted {
	return &scripted{accepts: make(chan any, 8), ended: make(chan struct{})}
}

func (s *scripted) Accept() (net.Conn, error) {
	s.asked.Add(1)
	select {
	case a := <-s.accepts:
		if c, ok := a.(net.Conn); ok {
			return c, nil
		}
		return nil, a.(error)
	case <-s.ended:
		return nil, net.ErrClosed
	}
}
func (s *scripted) Close() error   { s.end.Do(func() { close(s.ended) }); return nil }
func (s *scripted) Addr() net.Addr { return &net.TCPAddr{} }

// serveScripted starts a front with no core: nothing here comes to a call.
func serveScripted(ln net.Listener) (*Server, chan error) {
	s := &Server{Ready: func() bool { return true }, Timeouts: Timeouts{FirstRequest: time.Hour, Request: time.Hour, Idle: time.Hour}}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln, 8) }()
	synctest.Wait()
	return s, ended
}

// Told that the listener has ended, redcon closes every connection that it still holds. One that has not sent its first
// request yet, or whose first request is being handed over, lost it: a planned restart must take it and answer.
func TestListenerEndsWhileAClientIsConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newScripted()
		s, ended := serveScripted(ln)
		client, server := net.Pipe()
		ln.accepts <- server
		synctest.Wait()
		ln.Close()
		synctest.Wait()
		require.Equal(t, 1, s.ActiveConns(), "closed with the listener")
		go client.Write([]byte("*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n"))
		answer := make([]byte, 64)
		n, err := client.Read(answer)
		require.NoError(t, err)
		assert.Contains(t, string(answer[:n]), "yes")
		s.Drain()
		synctest.Wait()
		require.Len(t, ended, 1, "the front ends with its last client")
		assert.NoError(t, <-ended)
	})
}

// Out of descriptors, every accept fails at once. Redcon asks again without a pause, and nothing else of the program got
// to run; the connection idle longest makes room, and the next client is let in.
func TestAcceptThatFailsMakesRoomAndPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newScripted()
		s, ended := serveScripted(ln)
		idle, first := net.Pipe()
		ln.accepts <- first
		synctest.Wait()
		asked, began := ln.asked.Load(), time.Now()
		for range 3 {
			ln.accepts <- syscall.EMFILE
		}
		newcomer, second := net.Pipe()
		ln.accepts <- second
		_, err := idle.Read(make([]byte, 1))
		assert.Error(t, err, "it made room")
		go newcomer.Write([]byte("*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$0\r\n\r\n"))
		_, err = newcomer.Read(make([]byte, 64))
		assert.NoError(t, err)
		assert.LessOrEqual(t, ln.asked.Load()-asked, int64(5))
		assert.GreaterOrEqual(t, time.Since(began), 3*acceptRetryDelay)
		ln.Close()
		s.Drain()
		synctest.Wait()
		assert.NoError(t, <-ended)
	})
}

package resp

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// The bounds of a request: words in it, digits of a length, bytes of a word.
const (
	mostWords  = 8
	mostDigits = 5
	mostWord   = 20 << 10
)

// acceptAgain is the pause after an accept that failed for want of descriptors or memory.
const acceptAgain = 10 * time.Millisecond

var errRequest = errors.New("not a request")

// guard checks what a client sends, byte by byte, before redcon reads it. Redcon takes lengths as they are
// told: a claimed count of words keeps it in a loop, a claimed length makes its buffer grow without bound, and
// a line without either is taken for a command. A guarded connection ends with an error instead.
type guard struct {
	net.Conn
	server   *Server
	accepted time.Time
	begun    atomic.Int64 // when the message that is not whole yet began, in Unix nanoseconds; 0: none is
	client   *client      // from the first request on, guarded by the server's mu
	closed   bool         // guarded by the server's mu

	// The rest is the reader's.
	head   bool // reading a count or a length
	mark   byte // '*' or '$'
	digits int
	n      int // the number read so far
	words  int // still to come
	skip   int // bytes of a word, with its line end, still to come
}

func (g *guard) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if !g.pass(p[:n]) {
		return 0, errRequest
	}
	if between := !g.head && g.words == 0 && g.skip == 0; between {
		g.begun.Store(0)
	} else if g.begun.Load() == 0 {
		g.begun.Store(time.Now().UnixNano())
	}
	return n, err
}

func (g *guard) pass(p []byte) bool {
	for i := 0; i < len(p); i++ {
		if g.skip > 0 {
			step := min(g.skip, len(p)-i)
			g.skip -= step
			i += step - 1
			continue
		}
		switch b := p[i]; {
		case !g.head:
			g.mark = '$'
			if g.words == 0 {
				g.mark = '*'
			}
			if b != g.mark {
				return false
			}
			g.head, g.digits, g.n = true, 0, 0
		case b >= '0' && b <= '9' && g.digits < mostDigits:
			g.digits, g.n = g.digits+1, g.n*10+int(b-'0')
		case b == '\r' && g.digits > 0 && g.digits <= mostDigits:
			g.digits = mostDigits + 1 // only the line end may follow
		case b == '\n' && g.digits == mostDigits+1:
			g.head = false
			if g.mark == '*' {
				if g.words = g.n; g.n == 0 || g.n > mostWords {
					return false
				}
			} else {
				if g.words, g.skip = g.words-1, g.n+2; g.n > mostWord {
					return false
				}
			}
		default:
			return false
		}
	}
	return true
}

// Close closes the connection and makes room for another.
func (g *guard) Close() error {
	g.server.mu.Lock()
	g.closed = true
	delete(g.server.conns, g)
	g.server.gone.Broadcast()
	g.server.mu.Unlock()
	return g.Conn.Close()
}

// overdue tells whether the client has let one of its deadlines go by, with the server locked. A connection with
// requests open never is: closing it would lose their answers.
func (g *guard) overdue(now time.Time) bool {
	p := &g.server.Timeouts
	if g.client == nil { // connects and says nothing, or never comes to an end
		return g.server.done || now.After(g.accepted.Add(p.FirstRequest))
	}
	since, idle := g.client.idleSince()
	if g.server.done { // accepted while the program was told to end
		return idle
	}
	if begun := g.begun.Load(); begun != 0 && now.After(time.Unix(0, begun).Add(p.Request)) {
		return idle // half a message, and nothing after it
	}
	return idle && now.After(since.Add(p.Idle)) // asked once, and keeps its connection for good
}

// sweep closes the connections that are overdue.
func (s *Server) sweep(now time.Time) {
	var late []*guard
	s.mu.Lock()
	for g := range s.conns {
		if g.overdue(now) {
			late = append(late, g)
		}
	}
	s.mu.Unlock()
	for _, g := range late {
		g.leave()
	}
}

// leave closes the connection unless a request has come meanwhile, and tells whether it did.
func (g *guard) leave() bool {
	g.server.mu.Lock()
	c := g.client
	g.closed = g.closed || c == nil // a first request that crosses this is not taken any more
	g.server.mu.Unlock()
	if c == nil {
		g.Close()
		return true
	}
	return c.endIfIdle()
}

// longestIdle is the connection whose end costs least: the oldest of those that never sent a whole request, else
// the one idle longest; nil if all have something open.
func (s *Server) longestIdle() *guard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *guard
	var least time.Time
	for g := range s.conns {
		since, idle := g.accepted, true
		if g.client != nil {
			since, idle = g.client.idleSince()
		}
		if !idle || best != nil && best.client == nil && g.client != nil {
			continue
		}
		if best == nil || best.client != nil && g.client == nil || since.Before(least) {
			best, least = g, since
		}
	}
	return best
}

// listener guards the connections that it accepts, and holds at most so many at a time.
type listener struct {
	net.Listener
	server *Server
	most   int
}

func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			// Told of the end, redcon closes all that it still holds: also a connection whose first request has come, or
			// is being handed over in this moment. So it hears of the end only once no client is left.
			l.server.mu.Lock()
			for len(l.server.conns) > 0 {
				l.server.gone.Wait()
			}
			l.server.mu.Unlock()
			return nil, err
		}
		if err != nil {
			// Out of descriptors, most likely. Redcon would ask again without a pause, and the processor with it; the
			// connection idle longest makes room for the next.
			l.server.starved.Log(slog.LevelWarn, "front: cannot accept", "err", err)
			if g := l.server.longestIdle(); g != nil {
				g.leave()
			}
			time.Sleep(acceptAgain)
			continue
		}
		// The descriptors left are for the workers: without them no open call could end well. Whoever connects
		// and stays must not keep the next ones out, so the connection idle longest makes room.
		for l.full() {
			g := l.server.longestIdle()
			if g == nil {
				break
			}
			g.leave()
		}
		if l.full() {
			l.server.turned.Log(slog.LevelWarn, "front: turned away, all connections have requests open", "addr", c.RemoteAddr().String(), "connections", l.most)
			c.Close()
			continue
		}
		g := &guard{Conn: c, server: l.server, accepted: time.Now()}
		l.server.mu.Lock()
		l.server.conns[g] = true
		l.server.mu.Unlock()
		return g, nil
	}
}

func (l listener) full() bool {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	return len(l.server.conns) >= l.most
}

package resp

import (
	"errors"
	"net"
	"sync"
)

// The bounds of a request: words in it, digits of a length, bytes of a word.
const (
	mostWords  = 8
	mostDigits = 5
	mostWord   = 20 << 10
)

var errRequest = errors.New("not a request")

// guard checks what a client sends, byte by byte, before redcon reads it. Redcon takes lengths as they are
// told: a claimed count of words keeps it in a loop, a claimed length makes its buffer grow without bound, and
// a line without either is taken for a command. A guarded connection ends with an error instead.
type guard struct {
	net.Conn
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

// listener guards the connections that it accepts, and holds at most so many at a time.
type listener struct {
	net.Listener
	room chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.room <- struct{}{}:
			return &guard{Conn: &counted{Conn: c, room: l.room}}, nil
		default: // the descriptors left are for the workers: without them no open call could end well
			c.Close()
		}
	}
}

type counted struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}

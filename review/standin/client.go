package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxOpen is how many requests may be open on one connection (source: protocol page).
const maxOpen = 32

// Client is a client of the platform's frontend with one connection. It is safe for concurrent use.
type Client struct {
	Name   string
	Record *Record

	conn  net.Conn
	ended chan struct{} // closed when the connection has ended

	mu      sync.Mutex
	lastTag uint64
	waiting map[uint64]*pendingCall
	closed  bool // the connection has ended, or the client has closed it
}

type pendingCall struct {
	tag    uint64
	answer chan Reply // has room for the answer
}

// Reply is a dispatcher's answer to a request.
type Reply struct {
	Word   string // ok, full or another one; empty: the connection ended without a whole answer
	Fields string
	Body   string
	Err    error // why there is no whole answer
}

// Dial connects a client to a dispatcher. The client reads at most bytesPerSecond; 0: as fast as it can.
func Dial(name, addr string, record *Record, bytesPerSecond int) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if bytesPerSecond > 0 {
		conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
	}
	c := &Client{Name: name, Record: record, conn: conn, ended: make(chan struct{}), waiting: map[uint64]*pendingCall{}}
	go c.read(&slowReader{reader: conn, bytesPerSecond: bytesPerSecond})
	return c, nil
}

// slowReadBuffer is the size of the receive buffer of a client that reads slowly, in bytes.
const slowReadBuffer = 32 << 10

// slowReader reads at a limited rate.
type slowReader struct {
	reader         io.Reader
	bytesPerSecond int
}

// Read reads a piece and then pauses for as long as the rate demands.
func (s *slowReader) Read(buffer []byte) (int, error) {
	n, err := s.reader.Read(buffer)
	if s.bytesPerSecond > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	}
	return n, err
}

// ErrNotSent means that a request was not sent: the connection has ended, or has too many requests open.
var ErrNotSent = errors.New("not sent")

// Send sends a CALL. The returned channel gets the answer, or an empty reply when the connection ends before.
func (c *Client) Send(class, fields, body string) (<-chan Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.waiting) >= maxOpen {
		return nil, ErrNotSent
	}
	c.lastTag++
	call := &pendingCall{tag: c.lastTag, answer: make(chan Reply, 1)}
	c.waiting[call.tag] = call
	c.Record.Add("%s sends CALL %d %s %s body %.40q", c.Name, call.tag, class, fields, body)
	if _, err := c.conn.Write(encodeRequest("CALL", strconv.FormatUint(call.tag, 10), class, fields, body)); err != nil {
		delete(c.waiting, call.tag)
		return nil, err
	}
	return call.answer, nil
}

// Call sends a CALL and waits for its answer or for the end of the connection.
func (c *Client) Call(class, fields, body string) Reply {
	answer, err := c.Send(class, fields, body)
	if err != nil {
		return Reply{Err: err}
	}
	return <-answer
}

// Ended reports whether the connection has ended.
func (c *Client) Ended() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.conn.Close()
}

func encodeRequest(arguments ...string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return []byte(text.String())
}

// read reads answers until the connection ends. Requests without a whole answer then get an empty reply.
func (c *Client) read(connection io.Reader) {
	reader := bufio.NewReader(connection)
	var err error
	for err == nil {
		var parts []string
		if parts, err = readArray(reader); err == nil {
			c.answer(parts)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.conn.Close()
	c.Record.Add("%s: the connection has ended with %d requests open: %v", c.Name, len(c.waiting), err)
	for _, call := range c.waiting {
		call.answer <- Reply{Err: err}
	}
	c.waiting = map[uint64]*pendingCall{}
	close(c.ended)
}

// answer passes on an answer.
func (c *Client) answer(parts []string) {
	for len(parts) < 4 {
		parts = append(parts, "")
	}
	tag, _ := strconv.ParseUint(parts[0], 10, 64)
	c.mu.Lock()
	call := c.waiting[tag]
	delete(c.waiting, tag)
	c.mu.Unlock()
	c.Record.Add("%s is answered %d %q %s with %d bytes %.40q", c.Name, tag, parts[1], parts[2], len(parts[3]), parts[3])
	if call != nil {
		call.answer <- Reply{Word: parts[1], Fields: parts[2], Body: parts[3]}
	}
}

// readArray reads an array of bulk strings.
func readArray(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, count)
	for i := range parts {
		size, err := readLength(reader, '$')
		if err != nil {
			return nil, err
		}
		content := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(reader, content); err != nil {
			return nil, err
		}
		parts[i] = string(content[:size])
	}
	return parts, nil
}

func readLength(reader *bufio.Reader, marker byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if len(line) < 2 || line[0] != marker {
		return 0, fmt.Errorf("line %q does not begin with %c", line, marker)
	}
	return strconv.Atoi(line[1:])
}

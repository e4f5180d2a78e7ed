package peers2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Client is a connection of a client of the RESP frontend. It is safe for concurrent use.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	lastTag int
	waiting map[string]chan []string // by tag
	err     error
}

// DialClient connects to a dispatcher.
func DialClient(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, waiting: map[string]chan []string{}}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Check sends CHECK and returns the answer's word.
func (c *Client) Check(within time.Duration) (string, error) {
	answer, err := c.exchange(within, "CHECK", "")
	if err != nil || len(answer) < 2 {
		return "", err
	}
	return answer[1], nil
}

// Call sends a call of a class and returns the word and the body of its answer.
func (c *Client) Call(within time.Duration, class, fields, body string) (word, result string, err error) {
	answer, err := c.exchange(within, "CALL", class, fields, body)
	if err != nil {
		return "", "", err
	}
	for len(answer) < 4 {
		answer = append(answer, "")
	}
	return answer[1], answer[3], nil
}

func (c *Client) exchange(within time.Duration, command string, words ...string) ([]string, error) {
	answers := make(chan []string, 1)
	c.mu.Lock()
	c.lastTag++
	tag := strconv.Itoa(c.lastTag)
	c.waiting[tag] = answers
	err := c.err
	if err == nil {
		_, err = io.WriteString(c.conn, encodeWords(append([]string{command, tag}, words...)...))
	}
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case answer, ok := <-answers:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return answer, nil
	case <-time.After(within):
		return nil, fmt.Errorf("%w: no answer to %s %s", ErrTimeout, command, tag)
	}
}

func encodeWords(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

// read passes the answers on until the connection ends.
func (c *Client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		answer, err := readWords(reader)
		c.mu.Lock()
		if err != nil {
			c.err = err
			for _, answers := range c.waiting {
				close(answers)
			}
			c.waiting = map[string]chan []string{}
			c.mu.Unlock()
			return
		}
		if answers := c.waiting[answer[0]]; answers != nil {
			delete(c.waiting, answer[0])
			answers <- answer
		}
		c.mu.Unlock()
	}
}

func readWords(reader *bufio.Reader) ([]string, error) {
	count, err := readNumber(reader, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, max(1, count))
	for i := range count {
		size, err := readNumber(reader, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, size+2)
		if _, err := io.ReadFull(reader, data); err != nil {
			return nil, err
		}
		words[i] = string(data[:size])
	}
	return words, nil
}

func readNumber(reader *bufio.Reader, marker byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != marker {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

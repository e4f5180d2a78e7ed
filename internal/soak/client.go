package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Names of the classes in the settings of a fleet.
const (
	ClassIdempotent    = "consulta"
	ClassNotIdempotent = "reserva"
)

const (
	connsPerClient = 4 // at most
	// giveUpAfter is how long after its time a request is still waited for.
	giveUpAfter = time.Second
	dialTimeout = time.Second
	// quietInterval is how often a client that sends nothing looks whether its load has changed.
	quietInterval = 20 * time.Millisecond
)

// Load says what clients send to one dispatcher.
type Load struct {
	Conns         int     // connections that are used; 0: connsPerClient
	Rate          float64 // requests a second; 0: none for now
	Functions     int     // that are called, by a Zipf distribution
	FirstFunction int
	MinWait       time.Duration // how long clients wait for the answer
	MaxWait       time.Duration
	CancelShare   float64 // part of the requests that the client cancels
	CloseShare    float64 // part of the requests after which the client closes the connection
	FreshShare    float64 // part of the requests that come on a connection of their own
	PieceShare    float64 // part of these that are written in two pieces
}

// client sends requests to one dispatcher and records what comes of them.
type client struct {
	fleet      *Fleet
	dispatcher int
	random     *rand.Rand

	readers sync.WaitGroup // of the connections

	mu       sync.Mutex // guards also the connections and the requests
	load     Load
	conns    [connsPerClient]*clientConn
	requests []*Request
}

// recorded waits until all connections have ended and returns the requests.
func (c *client) recorded() []*Request {
	c.readers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := make([]*Request, 0, len(c.requests))
	for _, r := range c.requests {
		copies = append(copies, new(*r))
	}
	return copies
}

// setLoad changes what is sent from now on.
func (c *client) setLoad(load Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load = load
}

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for {
		c.mu.Lock()
		load := c.load
		c.mu.Unlock()
		if load.Rate == 0 {
			if waitOr(stop, quietInterval) {
				return
			}
			continue
		}
		pause := time.Duration(c.random.ExpFloat64() / load.Rate * float64(time.Second))
		if waitOr(stop, pause) {
			return
		}
		c.sendOne(load)
	}
}

// sendOne sends one request on one of the connections.
func (c *client) sendOne(load Load) {
	if c.random.Float64() < load.FreshShare {
		c.sendFresh(load)
		return
	}
	conn := c.conn(c.random.IntN(cmp.Or(load.Conns, connsPerClient)))
	if conn == nil {
		return
	}
	request := c.newRequest(load, conn)
	tag := conn.send(request)
	if tag == 0 {
		return
	}
	c.leaveLater(load, conn, tag, request)
}

// newRequest draws a request and records it.
func (c *client) newRequest(load Load, conn *clientConn) *Request {
	class := ClassIdempotent
	if c.random.Float64() < 0.3 {
		class = ClassNotIdempotent
	}
	spread := load.MaxWait - load.MinWait
	request := &Request{
		ID:         c.random.Uint64(),
		Dispatcher: c.dispatcher,
		Run:        conn.run,
		Class:      class,
		Function:   functionName(load.FirstFunction + c.drawFunction(load.Functions)),
		Wait:       load.MinWait + time.Duration(c.random.Float64()*float64(spread)),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	return request
}

// leaveLater has the client cancel some requests, close the connection after others, and give up all in the end.
func (c *client) leaveLater(load Load, conn *clientConn, tag int, request *Request) {
	draw := c.random.Float64()
	leaveAfter := time.Duration(c.random.Float64() * float64(300*time.Millisecond))
	switch {
	case draw < load.CancelShare:
		time.AfterFunc(leaveAfter, func() { conn.cancel(tag) })
	case draw < load.CancelShare+load.CloseShare:
		time.AfterFunc(leaveAfter, conn.closeByClient)
	default:
		time.AfterFunc(request.Wait+giveUpAfter, func() { conn.cancel(tag) })
	}
}

// drawFunction draws the number of a function: a few are called often, most rarely.
func (c *client) drawFunction(functions int) int {
	return int(rand.NewZipf(c.random, 1.2, 3, uint64(functions-1)).Uint64())
}

// functionName returns the name of a function by its number.
func functionName(number int) string { return fmt.Sprintf("%016x", 0x7f3a000000000001+uint64(number)) }

// conn returns an open connection, a new one where the last has ended; nil if there is none. One that is open is used for
// as long as it is, also while its dispatcher sends its clients away.
func (c *client) conn(index int) *clientConn {
	c.mu.Lock()
	existing := c.conns[index]
	c.mu.Unlock()
	if existing != nil && existing.isOpen() {
		return existing
	}
	conn := c.dial()
	if conn == nil {
		return nil
	}
	c.mu.Lock()
	c.conns[index] = conn
	c.mu.Unlock()
	return conn
}

// dial makes a connection; nil if there is none.
func (c *client) dial() *clientConn {
	if !c.fleet.accepting(c.dispatcher) {
		return nil
	}
	run := c.fleet.currentRun(c.dispatcher)
	netConn, err := net.DialTimeout("tcp", c.fleet.dispatcherAddr(c.dispatcher), dialTimeout)
	if err != nil {
		return nil
	}
	conn := &clientConn{
		client:  c,
		netConn: netConn.(*net.TCPConn),
		run:     run,
		open:    map[int]*Request{},
		all:     map[int]*Request{},
	}
	c.readers.Go(conn.read)
	return conn
}

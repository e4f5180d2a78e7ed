package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Names of the classes in the dispatchers' settings.
const (
	ClassIdempotent    = "consulta"
	ClassNotIdempotent = "reserva"
)

const (
	maxConnsPerClient = 4
	// lateAnswerWait is how long a client still waits for an answer after the request's own wait has ended.
	lateAnswerWait = time.Second
	dialTimeout    = time.Second
	// loadCheckInterval is how often a client whose rate is 0 checks whether its load has changed.
	loadCheckInterval = 20 * time.Millisecond
)

// Load describes the requests that clients send to one dispatcher.
type Load struct {
	Conns         int           // connections in use at a time; 0: maxConnsPerClient
	Rate          float64       // requests per second; 0: none
	Functions     int           // number of functions called, drawn from a Zipf distribution
	FirstFunction int           // number of the first of these functions
	MinWait       time.Duration // bounds of the time that clients wait for an answer
	MaxWait       time.Duration
	CancelShare   float64 // share of requests that the client cancels
	CloseShare    float64 // share of requests after which the client closes the connection
	FreshShare    float64 // share of requests that are sent on a new connection of their own
	SplitShare    float64 // share of the requests on new connections that are written in two parts
}

// client sends requests to one dispatcher and records their results.
type client struct {
	fleet      *Fleet
	dispatcher int
	random     *rand.Rand

	readers sync.WaitGroup // the goroutines that read from connections

	mu       sync.Mutex // guards the fields below and the fields of each clientConn and Request
	load     Load
	conns    [maxConnsPerClient]*clientConn
	requests []*Request
}

// awaitRequests waits until all connections have ended and returns copies of all requests.
func (c *client) awaitRequests() []*Request {
	c.readers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := make([]*Request, 0, len(c.requests))
	for _, r := range c.requests {
		copies = append(copies, new(*r))
	}
	return copies
}

// setLoad sets the load from now on.
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
			if waitOrDone(stop, loadCheckInterval) {
				return
			}
			continue
		}
		pause := time.Duration(c.random.ExpFloat64() / load.Rate * float64(time.Second))
		if waitOrDone(stop, pause) {
			return
		}
		c.sendRequest(load)
	}
}

// sendRequest sends one request, on one of the client's connections or on a new connection of its own.
func (c *client) sendRequest(load Load) {
	if c.random.Float64() < load.FreshShare {
		c.sendOnFreshConn(load)
		return
	}
	conn := c.openConn(c.random.IntN(cmp.Or(load.Conns, maxConnsPerClient)))
	if conn == nil {
		return
	}
	request := c.newRequest(load, conn)
	tag := conn.send(request)
	if tag == 0 {
		return
	}
	c.scheduleCancelOrClose(load, conn, tag, request)
}

// newRequest creates a random request and records it.
func (c *client) newRequest(load Load, conn *clientConn) *Request {
	class := ClassIdempotent
	if c.random.Float64() < 0.3 {
		class = ClassNotIdempotent
	}
	waitRange := load.MaxWait - load.MinWait
	request := &Request{
		ID:         c.random.Uint64(),
		Dispatcher: c.dispatcher,
		Run:        conn.run,
		Class:      class,
		Function:   functionName(load.FirstFunction + c.randomFunction(load.Functions)),
		Wait:       load.MinWait + time.Duration(c.random.Float64()*float64(waitRange)),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	return request
}

// scheduleCancelOrClose schedules how the client ends its wait: it cancels some requests early, closes the connection of others,
// and cancels the rest lateAnswerWait after their own wait.
func (c *client) scheduleCancelOrClose(load Load, conn *clientConn, tag int, request *Request) {
	draw := c.random.Float64()
	leaveDelay := time.Duration(c.random.Float64() * float64(300*time.Millisecond))
	switch {
	case draw < load.CancelShare:
		time.AfterFunc(leaveDelay, func() { conn.cancel(tag) })
	case draw < load.CancelShare+load.CloseShare:
		time.AfterFunc(leaveDelay, conn.closeByClient)
	default:
		time.AfterFunc(request.Wait+lateAnswerWait, func() { conn.cancel(tag) })
	}
}

// randomFunction returns a random function number: a few functions are called often, most of them rarely.
func (c *client) randomFunction(functions int) int {
	return int(rand.NewZipf(c.random, 1.2, 3, uint64(functions-1)).Uint64())
}

// functionName returns the name of the function with the given number.
func functionName(number int) string { return fmt.Sprintf("%016x", 0x7f3a000000000001+uint64(number)) }

// openConn returns the connection at an index. It opens a new one if the last has ended, and returns nil if that fails. An open
// connection stays in use until it is closed, even while its dispatcher drains after an evacuate call or SIGTERM.
func (c *client) openConn(index int) *clientConn {
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

// dial opens a connection. It returns nil if clients may not connect to the dispatcher, or if the dial fails.
func (c *client) dial() *clientConn {
	if !c.fleet.clientsMayConnect(c.dispatcher) {
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
		pending: map[int]*Request{},
		byTag:   map[int]*Request{},
	}
	c.readers.Go(conn.readAnswers)
	return conn
}

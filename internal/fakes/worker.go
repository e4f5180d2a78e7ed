// Package standin holds scripted peers for tests over loopback: workers, and a dispatcher to set between them
// and clients. What a worker does with a call is the test's to say, call by call; nothing waits for a clock.
package fakes

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kitefall/internal/balancer"
	"kitefall/internal/discovery"
	"kitefall/internal/dispatch"
	"kitefall/internal/worker"
)

// By is a moment by which whatever a test waits for has come, or it never will.
func Deadline() time.Time { return time.Now().Add(10 * time.Second) }

// Worker listens like a worker. Orders to load are answered at once; calls wait for the test.
type Worker struct {
	t         testing.TB
	ln        net.Listener
	Addr      string
	Calls     chan *Call // calls that have arrived whole
	Cancelled chan uint64

	mu     sync.Mutex
	runs   map[string]int
	copies map[string]bool // nil: it has a copy of everything
	orders []time.Time
}

// Empty has the worker hold no copies from now on: it answers 'miss' until an order to load has come.
func (w *Worker) UnloadAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies = map[string]bool{}
}

// Orders are the times at which orders to load have come.
func (w *Worker) LoadOrderTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.orders...)
}

// Serve answers each call as the test says, until the test ends.
func (w *Worker) Serve(answer func(*Call)) {
	go func() {
		for c := range w.Calls {
			answer(c)
		}
	}()
}

// holds tells whether a copy stands, and field reads a frame's field.
func (w *Worker) holds(function string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copies == nil || w.copies[function]
}

func field(fields, name string) string {
	for f := range strings.SplitSeq(fields, ",") {
		if k, v, _ := strings.Cut(f, "="); k == name {
			return v
		}
	}
	return ""
}

// Call is a call at a worker.
type Call struct {
	ID     uint64
	Fields string
	Body   string
	conn   net.Conn
}

// NewWorker starts a worker, which ends with the test.
func NewWorker(t testing.TB) *Worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &Worker{t: t, ln: ln, Addr: ln.Addr().String(), Calls: make(chan *Call, 64), Cancelled: make(chan uint64, 64),
		runs: map[string]int{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w
}

func (w *Worker) serve(c net.Conn) {
	defer c.Close()
	for {
		head := make([]byte, 16)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		fields := int(binary.BigEndian.Uint16(head[2:]))
		rest := make([]byte, fields+int(binary.BigEndian.Uint32(head[4:]))+4)
		if _, err := io.ReadFull(c, rest); err != nil {
			return
		}
		call := &Call{ID: binary.BigEndian.Uint64(head[8:]), Fields: string(rest[:fields]),
			Body: string(rest[fields : len(rest)-4]), conn: c}
		switch head[1] {
		case 48:
			if !w.holds(field(call.Fields, "thing")) {
				call.Answer(66, "", "")
				continue
			}
			w.mu.Lock()
			w.runs[call.Body]++
			w.mu.Unlock()
			w.Calls <- call
		case 49:
			w.Cancelled <- call.ID
		case 52:
			w.mu.Lock()
			w.orders = append(w.orders, time.Now())
			if w.copies != nil {
				w.copies[field(call.Fields, "thing")] = true
			}
			w.mu.Unlock()
			call.Answer(64, "n=1", "")
		}
	}
}

// Next is the next call to arrive.
func (w *Worker) Next() *Call {
	w.t.Helper()
	select {
	case c := <-w.Calls:
		return c
	case <-time.After(time.Until(Deadline())):
		require.FailNow(w.t, "no call came to the worker")
		return nil
	}
}

// Either is the next call to arrive at one of two workers, and the other worker.
func FirstCallAtEither(a, b *Worker) (*Call, *Worker) {
	a.t.Helper()
	select {
	case c := <-a.Calls:
		return c, b
	case c := <-b.Calls:
		return c, a
	case <-time.After(time.Until(Deadline())):
		require.FailNow(a.t, "no call came to either worker")
		return nil, nil
	}
}

// Runs is how often calls with the body have arrived.
func (w *Worker) CallCount(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[body]
}

// Frame makes an answer's frame.
func Frame(code byte, id uint64, fields, body string) []byte {
	out := []byte{193, code}
	out = binary.BigEndian.AppendUint16(out, uint16(len(fields)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, id)
	out = append(out, fields+body...)
	return binary.BigEndian.AppendUint32(out, crc32.ChecksumIEEE(out[16:]))
}

// Answer writes an answer.
func (c *Call) Answer(code byte, fields, body string) { c.WriteRaw(Frame(code, c.ID, fields, body)) }

// OK serves the call.
func (c *Call) OK(body string) { c.Answer(64, "remark=hot", body) }

// Raw writes bytes as they are.
func (c *Call) WriteRaw(p []byte) { c.conn.Write(p) }

// From is the address that the call came from: one for each connection.
func (c *Call) From() string { return c.conn.RemoteAddr().String() }

// Die resets the connection, as the kernel does for a process that dies.
func (c *Call) ResetConn() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// Settings are those of a small site: consulta may repeat, reserva must not.
func Settings() balancer.Settings {
	return balancer.Settings{Dispatchers: 1, CanCancel: true, Hedging: true, MaxAttempts: 4, LoadOrders: true,
		IdleTTL: 10 * time.Second, LoadTimeout: 5 * time.Second, DialTimeout: time.Second, DrainGrace: time.Second,
		MaxRetryAfter: 2 * time.Second, AnswerGrace: 16 * time.Millisecond,
		Classes: []balancer.Class{
			{Name: "consulta", Weight: 1, LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.Idempotent},
			{Name: "reserva", Weight: 2, LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: balancer.NotIdempotent}}}
}

// Links are settings for connections to match.
func PoolConfig() worker.Config {
	return worker.Config{DialTimeout: time.Second, IdleTimeout: 15 * time.Second, MaxStreams: 32, MaxConns: 4,
		ConnLimit: worker.NewConnLimit(64)}
}

// NewCore starts a core that knows the workers. Who calls it stops it.
func NewCore(t testing.TB, workers ...*Worker) *dispatch.Core {
	return NewCoreWithSettings(t, Settings(), workers...)
}

// NewCoreOf is NewCore with settings of the test's own.
func NewCoreWithSettings(t testing.TB, s balancer.Settings, workers ...*Worker) *dispatch.Core {
	c, err := dispatch.New(dispatch.Config{Settings: s, Seed: 1, Pool: PoolConfig(), MaxInFlight: 100,
		MaxBodyBytes: 1 << 20})
	require.NoError(t, err)
	go c.Run()
	if len(workers) > 0 {
		c.UpdateEndpoints(Endpoints(workers...))
	}
	return c
}

// List is the whole list of workers; each has its address in its uid.
func Endpoints(workers ...*Worker) discovery.Update {
	l := discovery.Update{Scope: balancer.ScopeFull}
	for _, w := range workers {
		uid := "s-" + strings.ReplaceAll(w.Addr, ":", "-")
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{Worker: balancer.Worker{ID: balancer.WorkerID(uid), Weight: 1},
			Addr: w.Addr})
	}
	return l
}

package peers2

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Codes of commands and answers (source: protocol page).
const (
	codeRequest = 48
	codeGiveUp  = 49
	codePing    = 50
	codeLoad    = 52
	codeUnload  = 54

	CodeOK    = 64 // served, or the copies stand
	CodeMiss  = 66
	CodeFull  = 67
	CodeError = 68
	codePong  = 70
)

const (
	markCommand  = 192
	markAnswer   = 193
	headerSize   = 16
	checksumSize = 4
	maxBodySize  = 1 << 20
)

var errBadFrame = errors.New("a frame cannot be read")

// Request is a request that a worker has received whole.
type Request struct {
	ID     uint64
	Fields map[string]string
	Body   string
	At     time.Duration // since the start of the case

	conn *workerConn
}

// Answer answers the request.
func (r *Request) Answer(code byte, fields, body string) { r.conn.write(code, r.ID, fields, body) }

// Reset resets the connection that the request came on.
func (r *Request) Reset() {
	r.conn.conn.SetLinger(0)
	r.conn.conn.Close()
}

// Arrival is what a worker got that counts as new work: a request, or an order to load a copy.
type Arrival struct {
	At   time.Duration
	What string
}

// Worker is a stand-in for an executor. Its exported fields must be set before Listen.
type Worker struct {
	UID      string
	Addr     string
	Record   *Record
	LoadTime time.Duration
	// Run runs a request of a loaded function, on a goroutine of its own, and answers it.
	Run func(r *Request)
	// Arrived, if set, is told of each request once it has arrived whole, whether it runs or not.
	Arrived func(r *Request)

	mu        sync.Mutex
	listener  net.Listener
	functions map[string]chan struct{} // loaded or loading functions; closed once the copy stands
	draining  bool
	arrivals  []Arrival
}

// Listen starts the worker at a free loopback address.
func (w *Worker) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener = listener
	w.Addr = listener.Addr().String()
	w.functions = map[string]chan struct{}{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &workerConn{worker: w, conn: conn.(*net.TCPConn), ended: make(chan struct{})}
			go c.serve()
		}
	}()
	return nil
}

// Target returns the worker's entry in a notice.
func (w *Worker) Target(state string) Target {
	return Target{UID: w.UID, Endpoint: w.Addr, AZ: "sala-norte", Model: "std-3c", PodGroup: 0, State: state, Capacity: 4}
}

// Drain makes the worker refuse new requests and orders to load.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Unload unloads all copies, as after a new release.
func (w *Worker) Unload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.functions = map[string]chan struct{}{}
}

// Arrivals returns the new work that came so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

func (w *Worker) arrive(what string) (drains bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{At: w.Record.Since(), What: what})
	return w.draining
}

// loaded returns the channel of a loaded or loading function, or nil.
func (w *Worker) loaded(function string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.functions[function]
}

// beginLoad returns the channel of a function, and whether its load has to begin now.
func (w *Worker) beginLoad(function string) (stands chan struct{}, isNew bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if stands = w.functions[function]; stands != nil {
		return stands, false
	}
	stands = make(chan struct{})
	w.functions[function] = stands
	return stands, true
}

// workerConn is a connection from a dispatcher.
type workerConn struct {
	worker *Worker
	conn   *net.TCPConn
	ended  chan struct{} // closed once the connection has ended
	given  sync.Map      // ids of the requests that the dispatcher gave up
	mu     sync.Mutex    // held while a frame is written
}

func (c *workerConn) serve() {
	defer close(c.ended)
	defer c.conn.Close()
	for {
		code, request, err := c.read()
		if err != nil {
			return
		}
		switch code {
		case codeRequest:
			c.worker.Record.Logf("%s: request %016x %v %q", c.worker.UID, request.ID, request.Fields, request.Body)
			drains := c.worker.arrive("request")
			if c.worker.Arrived != nil {
				c.worker.Arrived(request)
			}
			go c.request(request, drains)
		case codeGiveUp:
			c.worker.Record.Logf("%s: request %016x was given up", c.worker.UID, request.ID)
			c.given.Store(request.ID, true)
		case codePing:
			c.write(codePong, request.ID, "", "")
		case codeLoad:
			go c.load(request)
		case codeUnload: // copies are kept
		}
	}
}

func (c *workerConn) read() (code byte, request *Request, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return 0, nil, err
	}
	fieldsSize := int(binary.BigEndian.Uint16(header[2:]))
	bodySize := int(binary.BigEndian.Uint32(header[4:]))
	if header[0] != markCommand || bodySize > maxBodySize {
		return 0, nil, errBadFrame
	}
	payload := make([]byte, fieldsSize+bodySize+checksumSize)
	if _, err := io.ReadFull(c.conn, payload); err != nil {
		return 0, nil, err
	}
	content := payload[:fieldsSize+bodySize]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(payload[len(content):]) {
		return 0, nil, errBadFrame
	}
	request = &Request{ID: binary.BigEndian.Uint64(header[8:]), Fields: map[string]string{}, Body: string(content[fieldsSize:]),
		At: c.worker.Record.Since(), conn: c}
	for field := range strings.SplitSeq(string(content[:fieldsSize]), ",") {
		if name, value, ok := strings.Cut(field, "="); ok {
			request.Fields[name] = value
		}
	}
	return header[1], request, nil
}

func (c *workerConn) write(code byte, id uint64, fields, body string) {
	frame := []byte{markAnswer, code}
	frame = binary.BigEndian.AppendUint16(frame, uint16(len(fields)))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.BigEndian.AppendUint64(frame, id)
	frame = append(append(frame, fields...), body...)
	frame = binary.BigEndian.AppendUint32(frame, crc32.ChecksumIEEE(frame[headerSize:]))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.Write(frame)
}

// request has a request run once its function is loaded. A request of a function that nobody has ordered is a miss.
func (c *workerConn) request(r *Request, drains bool) {
	if drains {
		r.Answer(CodeFull, "", "")
		return
	}
	stands := c.worker.loaded(r.Fields["thing"])
	if stands == nil {
		c.worker.Record.Logf("%s: request %016x is a miss", c.worker.UID, r.ID)
		r.Answer(CodeMiss, "", "")
		return
	}
	select {
	case <-stands:
	case <-c.ended:
		return
	}
	if _, given := c.given.Load(r.ID); given {
		return
	}
	c.worker.Run(r)
}

// load carries out an order to load.
func (c *workerConn) load(r *Request) {
	function := r.Fields["thing"]
	if r.Fields["n"] == "0" {
		copies := "n=0"
		if stands := c.worker.loaded(function); stands != nil {
			copies = "n=1"
		}
		r.Answer(CodeOK, copies, "")
		return
	}
	c.worker.Record.Logf("%s: order to load %s", c.worker.UID, function)
	if drains := c.worker.arrive("order to load"); drains {
		r.Answer(CodeFull, "n=0", "")
		return
	}
	stands, isNew := c.worker.beginLoad(function)
	if isNew {
		time.Sleep(c.worker.LoadTime)
		close(stands)
	}
	<-stands
	c.worker.Record.Logf("%s: %s is loaded", c.worker.UID, function)
	r.Answer(CodeOK, "n=1", "")
}

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The flooding clients run in a process of their own, which is this test binary with the environment variables below: in the process
// of the worker and of the calm clients they would delay these, and not only the dispatcher.
const (
	floodNameEnv = "KITEFALL_FLOOD"         // a name of floods
	floodAddrEnv = "KITEFALL_FLOOD_ADDRESS" // of the dispatcher
	// floodProcessors is how many processors the flooding clients use at a time. They send far more than a dispatcher reads.
	floodProcessors = 2
	firstFloodTag   = 1_000_000_000 // tags have as many digits as newTag
)

func TestMain(m *testing.M) {
	if name := os.Getenv(floodNameEnv); name != "" {
		floods()[name].run(os.Getenv(floodAddrEnv))
		return
	}
	os.Exit(m.Run())
}

// startFlood floods a dispatcher for floodLength. The returned function waits for the end.
func startFlood(t *testing.T, name, address string) (wait func()) {
	t.Helper()
	clients := exec.Command(os.Args[0])
	clients.Env = append(os.Environ(), floodNameEnv+"="+name, floodAddrEnv+"="+address, fmt.Sprintf("GOMAXPROCS=%d", floodProcessors))
	var out strings.Builder
	clients.Stdout, clients.Stderr = &out, &out
	require.NoError(t, clients.Start())
	return func() {
		require.NoError(t, clients.Wait(), out.String())
		t.Log("flooding clients:", strings.TrimSpace(out.String()))
	}
}

// flood is one way to flood a dispatcher.
type flood struct {
	connections int
	readAnswers bool
	pause       time.Duration // between two blocks
	requests    int           // number of requests that are written at once, as a block
	request     []byte        // the encoding of a request, which may have newTag and newID in it
}

// The parts of a request that are replaced whenever it is written. No process of the test has used the new ones before.
const (
	newTag = "1000000000"
	newID  = "0123456789abcdef"
)

// newBlock returns the encoding of the requests of a block.
func (f flood) newBlock() *floodBlock {
	return &floodBlock{
		data:        bytes.Repeat(f.request, f.requests),
		requestSize: len(f.request),
		tags:        indexAll(f.request, newTag),
		ids:         indexAll(f.request, newID),
	}
}

// floodBlock is the encoding of the requests of a block.
type floodBlock struct {
	data        []byte
	requestSize int
	tags, ids   []int // where they begin in each request
}

// indexAll returns where the text occurs in data.
func indexAll(data []byte, text string) []int {
	var starts []int
	for from := 0; ; {
		at := bytes.Index(data[from:], []byte(text))
		if at < 0 {
			return starts
		}
		starts = append(starts, from+at)
		from += at + len(text)
	}
}

// renew replaces the tags and ids. It is cheap, so that the clients write faster than a dispatcher reads.
func (b *floodBlock) renew() {
	var tag, id []byte
	for request := range slices.Chunk(b.data, b.requestSize) {
		number := nextFloodID()
		tag = strconv.AppendUint(tag[:0], firstFloodTag+number&math.MaxUint32, 10)
		id = hex.AppendEncode(id[:0], binary.BigEndian.AppendUint64(nil, number))
		for _, start := range b.tags {
			copy(request[start:], tag)
		}
		for _, start := range b.ids {
			copy(request[start:], id)
		}
	}
}

// run floods a dispatcher for floodLength and prints how much it has sent.
func (f flood) run(address string) {
	var clients sync.WaitGroup
	var sent atomic.Int64
	blocks := make([]*floodBlock, f.connections)
	for i := range blocks {
		blocks[i] = f.newBlock()
	}
	end := time.Now().Add(floodLength)
	for _, block := range blocks {
		clients.Go(func() { f.writeUntil(end, address, block, &sent) })
	}
	clients.Wait()
	fmt.Printf("%d bytes on %d connections at a time\n", sent.Load(), f.connections)
}

// writeUntil writes a block to a connection as fast as it is taken, over and over with new digits, and begins again on a new connection
// after an error or a write that stalls, until end. It adds the number of bytes to sent.
func (f flood) writeUntil(end time.Time, address string, block *floodBlock, sent *atomic.Int64) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, floodStallTimeout)
		if err != nil {
			continue
		}
		if f.readAnswers {
			go io.Copy(io.Discard, conn)
		}
		for err == nil && time.Now().Before(end) {
			time.Sleep(min(f.pause, time.Until(end)))
			block.renew()
			conn.SetWriteDeadline(time.Now().Add(floodStallTimeout))
			var written int
			written, err = conn.Write(block.data)
			sent.Add(int64(written))
		}
		conn.Close()
	}
}

// floods returns the floods by name.
func floods() map[string]flood {
	const (
		function      = "7f3a9c21e0b4d655"
		blockRequests = 200
		words         = 8 // of the largest request that a client may begin
		wordBytes     = 20480
		unsentBytes   = 480
	)
	unknownClass := floodCall(newTag, "none-"+newID, newID, function, "")
	newFunction := floodCall(newTag, "consulta", newID, newID, "")
	call := floodCall(newTag, "consulta", newID, function, "")
	cancelledCall := append(call, encodeWords("CANCEL", newTag)...)
	manyFields := ""
	for i := range 3200 {
		manyFields += fmt.Sprintf(",%x=1", i)
	}
	callOfManyFields := floodCall(newTag, "consulta", newID, function, manyFields)
	largest := encodeWords(slices.Repeat([]string{strings.Repeat("y", wordBytes)}, words)...)
	incomplete := largest[:len(largest)-unsentBytes]
	return map[string]flood{
		"unknown names":      {connections: 1, readAnswers: true, requests: blockRequests, request: unknownClass},
		"many unknown names": {connections: 16, readAnswers: true, requests: blockRequests, request: unknownClass},
		"invalid ids": {connections: 1, readAnswers: true, requests: blockRequests,
			request: encodeWords("CALL", newTag, "consulta", "id=1")},
		"checks with answers unread":                    {connections: 1, requests: blockRequests, request: encodeWords("CHECK", newTag, "")},
		"new functions over the limit of open requests": {connections: 6, readAnswers: true, requests: blockRequests, request: newFunction},
		"calls cancelled at once":                       {connections: 1, readAnswers: true, requests: blockRequests, request: cancelledCall},
		"many short fields":                             {connections: slowClients, pause: 100 * time.Millisecond, requests: 1, request: callOfManyFields},
		"large requests not completed":                  {connections: slowClients, pause: floodLength, requests: 1, request: incomplete},
	}
}

var (
	floodIDPrefix = uint64(os.Getpid()) << 32
	lastFloodID   atomic.Uint64
)

// nextFloodID returns an id that no process of the test has used before.
func nextFloodID() uint64 { return floodIDPrefix + lastFloodID.Add(1) }

// floodCall encodes a CALL. extra is appended to its fields.
func floodCall(tag, class, id, function, extra string) []byte {
	return encodeWords("CALL", tag, class, fmt.Sprintf("id=%s,wait=900,key=%s%s", id, function, extra), "x")
}

func encodeWords(words ...string) []byte {
	encoded := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		encoded = fmt.Appendf(encoded, "$%d\r\n%s\r\n", len(word), word)
	}
	return encoded
}

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
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
	block       func() []byte
}

// run floods a dispatcher for floodLength and prints how much it has sent.
func (f flood) run(address string) {
	var clients sync.WaitGroup
	var sent atomic.Int64
	end := time.Now().Add(floodLength)
	for range f.connections {
		clients.Go(func() { f.writeUntil(end, address, &sent) })
	}
	clients.Wait()
	fmt.Printf("%d bytes on %d connections at a time\n", sent.Load(), f.connections)
}

// writeUntil writes blocks to a connection as fast as they are taken, and begins again on a new connection after an error or a write
// that stalls, until end. It adds the number of bytes to sent.
func (f flood) writeUntil(end time.Time, address string, sent *atomic.Int64) {
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
			conn.SetWriteDeadline(time.Now().Add(floodStallTimeout))
			var written int
			written, err = conn.Write(f.block())
			sent.Add(int64(written))
		}
		conn.Close()
	}
}

// floods returns the floods by name.
func floods() map[string]flood {
	const function = "7f3a9c21e0b4d655"
	manyFields := ""
	for i := range 3200 {
		manyFields += fmt.Sprintf(",%x=1", i)
	}
	manyShortFields := floodCall(1, "consulta", nextFloodID(), function, manyFields, "x")
	unknownClass := func() []byte {
		return repeatRequests(func(tag int) []byte {
			id := nextFloodID()
			return floodCall(tag, fmt.Sprintf("none-%x", id), id, function, "", "x")
		})
	}
	largest := append([]byte("*8\r\n"), strings.Repeat("$20480\r\n"+strings.Repeat("y", 20480)+"\r\n", 7)...)
	largest = append(largest, "$20480\r\n"+strings.Repeat("y", 20000)...)
	return map[string]flood{
		"unknown names":      {connections: 1, readAnswers: true, block: unknownClass},
		"many unknown names": {connections: 16, readAnswers: true, block: unknownClass},
		"invalid ids": {connections: 1, readAnswers: true, block: func() []byte {
			return repeatRequests(func(tag int) []byte { return encodeWords("CALL", strconv.Itoa(tag), "consulta", "id=1") })
		}},
		"checks with answers unread": {connections: 1, block: func() []byte {
			return repeatRequests(func(tag int) []byte { return encodeWords("CHECK", strconv.Itoa(tag), "") })
		}},
		"new functions over the limit of open requests": {connections: 6, readAnswers: true, block: func() []byte {
			return repeatRequests(func(tag int) []byte {
				id := nextFloodID()
				return floodCall(tag, "consulta", id, fmt.Sprintf("%016x", id), "", "x")
			})
		}},
		"calls cancelled at once": {connections: 1, readAnswers: true, block: func() []byte {
			return repeatRequests(func(tag int) []byte {
				request := floodCall(tag, "consulta", nextFloodID(), function, "", "x")
				return append(request, encodeWords("CANCEL", strconv.Itoa(tag))...)
			})
		}},
		"many short fields":            {connections: slowClients, pause: 100 * time.Millisecond, block: func() []byte { return manyShortFields }},
		"large requests not completed": {connections: slowClients, pause: floodLength, block: func() []byte { return largest }},
	}
}

// repeatRequests returns the encoding of many requests in a row, with tags that begin anew in each block.
func repeatRequests(encode func(tag int) []byte) []byte {
	var block []byte
	for tag := 10; tag < 210; tag++ {
		block = append(block, encode(tag)...)
	}
	return block
}

var (
	floodIDPrefix = uint64(os.Getpid()) << 32
	lastFloodID   atomic.Uint64
)

// nextFloodID returns an id that no process of the test has used before.
func nextFloodID() uint64 { return floodIDPrefix + lastFloodID.Add(1) }

// floodCall encodes a CALL. extra is appended to its fields.
func floodCall(tag int, class string, id uint64, function, extra, body string) []byte {
	fields := fmt.Sprintf("id=%016x,wait=900,key=%s%s", id, function, extra)
	return encodeWords("CALL", strconv.Itoa(tag), class, fields, body)
}

func encodeWords(words ...string) []byte {
	encoded := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		encoded = fmt.Appendf(encoded, "$%d\r\n%s\r\n", len(word), word)
	}
	return encoded
}

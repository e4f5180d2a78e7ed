package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FloodKind names what the clients of a FaultFlood send.
type FloodKind string

// The kinds of floods.
const (
	FloodNames   FloodKind = "names"   // requests of ever new, unknown classes, at full speed
	FloodChecks  FloodKind = "checks"  // CHECKs at full speed, whose answers are not read
	FloodFields  FloodKind = "fields"  // large requests of very many short fields, from many connections
	FloodHalf    FloodKind = "half"    // large requests that are not completed, from many connections
	FloodRepeats FloodKind = "repeats" // calls whose client leaves, and then calls again with the same ids
)

var floodKinds = []FloodKind{FloodNames, FloodChecks, FloodFields, FloodHalf, FloodRepeats}

const (
	floodBlock          = 200  // requests in one write
	manyFields          = 3000 // fields of one request of FloodFields
	halfRequestBytes    = 15_000
	floodSocketShare    = 0.2                    // connections of FloodFields and FloodHalf, as a share of the dispatcher's descriptor limit
	maxFloodConns       = 6                      // connections of FloodNames and FloodChecks
	floodWait           = 900 * time.Millisecond // how long the clients of a flood wait for an answer
	floodWriteTimeout   = 500 * time.Millisecond
	floodPause          = 50 * time.Millisecond // between two requests on a connection of FloodFields
	repeatedCalls       = 12                    // calls of one client of FloodRepeats
	repeatPause         = 150 * time.Millisecond
	repeatAnswerTime    = 600 * time.Millisecond // how long the second client of FloodRepeats stays
	floodsForEachPlan   = 4
	seedOfFloods        = 3 // number of the random stream from which floods are drawn
	shortestFloodLength = 500 * time.Millisecond
	longestFloodLength  = 3 * time.Second
)

// AddFloods adds floods to the plan. It draws them from a separate random stream, so that the rest of the plan does not change.
func (p *Plan) AddFloods() {
	random := rand.New(rand.NewPCG(p.Seed, seedOfFloods))
	for range floodsForEachPlan {
		p.Faults = append(p.Faults, Fault{
			At:     time.Duration(random.Float64() * float64(p.Length)),
			Kind:   FaultFlood,
			Flood:  floodKinds[random.IntN(len(floodKinds))],
			Target: random.IntN(p.Dispatchers),
			Length: randomLength(random, durationRange{shortestFloodLength, longestFloodLength}),
		})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// FloodDispatcher floods a dispatcher for a time. It returns once all its connections are closed.
func (f *Fleet) FloodDispatcher(number int, kind FloodKind, length time.Duration) {
	flood := &flooder{fleet: f, dispatcher: number, kind: kind, end: Now() + length}
	conns := maxFloodConns
	switch kind {
	case FloodFields, FloodHalf:
		conns = int(floodSocketShare * float64(f.config.Limits.Sockets))
	case FloodRepeats:
		conns = 1
	}
	var clients sync.WaitGroup
	for range conns {
		clients.Go(flood.run)
	}
	clients.Wait()
}

// flooder is the clients of one flood.
type flooder struct {
	fleet      *Fleet
	dispatcher int
	kind       FloodKind
	end        time.Duration
}

// run floods on one connection at a time until the end.
func (f *flooder) run() {
	for Now() < f.end {
		conn, err := net.DialTimeout("tcp", f.fleet.dispatcherAddr(f.dispatcher), crowdDialTimeout)
		if err != nil { // the dispatcher has ended or is about to end
			time.Sleep(crowdDialInterval)
			continue
		}
		if f.kind == FloodRepeats {
			f.leaveAndRepeat(conn)
		} else {
			f.write(conn)
		}
		conn.Close()
	}
}

// write writes to a connection until the end, or until a write fails.
func (f *flooder) write(conn net.Conn) {
	if f.kind != FloodChecks {
		go io.Copy(io.Discard, conn) // ends when the connection is closed
	}
	for Now() < f.end {
		conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		if _, err := io.WriteString(conn, f.block()); err != nil {
			return
		}
		switch f.kind {
		case FloodFields:
			time.Sleep(floodPause)
		case FloodHalf:
			time.Sleep(f.end - Now())
		}
	}
}

// block returns what is written at once.
func (f *flooder) block() string {
	switch f.kind {
	case FloodFields:
		return floodCall(1, ClassIdempotent, rand.Uint64(), strings.Repeat(",a=1", manyFields), "x")
	case FloodHalf:
		whole := floodCall(1, ClassIdempotent, rand.Uint64(), "", strings.Repeat("y", halfRequestBytes+1000))
		return whole[:halfRequestBytes]
	}
	var block strings.Builder
	for tag := 1; tag <= floodBlock; tag++ {
		if f.kind == FloodChecks {
			block.WriteString(encodeWords("CHECK", strconv.Itoa(tag), ""))
			continue
		}
		id := rand.Uint64()
		block.WriteString(floodCall(tag, fmt.Sprintf("none-%x", id), id, "", "x"))
	}
	return block.String()
}

// leaveAndRepeat sends calls that are not idempotent, closes the connection soon, and sends the same calls on another one. It does
// not repeat them to another process, which cannot know of the first ones.
func (f *flooder) leaveAndRepeat(conn net.Conn) {
	run := f.fleet.currentRun(f.dispatcher)
	var calls strings.Builder
	var ids []uint64
	for tag := 1; tag <= repeatedCalls; tag++ {
		ids = append(ids, rand.Uint64())
		calls.WriteString(floodCall(tag, ClassNotIdempotent, ids[tag-1], "", "x"))
	}
	sent := Now()
	io.WriteString(conn, calls.String())
	time.Sleep(time.Duration(rand.Float64() * float64(repeatPause)))
	conn.Close()
	f.record(ids, run, sent)
	time.Sleep(repeatPause)
	again, err := net.DialTimeout("tcp", f.fleet.dispatcherAddr(f.dispatcher), crowdDialTimeout)
	if err != nil {
		return
	}
	defer again.Close()
	if f.fleet.currentRun(f.dispatcher) != run {
		return
	}
	sent = Now()
	io.WriteString(again, calls.String())
	time.Sleep(repeatAnswerTime)
	f.record(ids, run, sent)
}

// record records calls that were sent to a process, and whose client has left now. If ids are recorded again, the later record counts
// for when their client left.
func (f *flooder) record(ids []uint64, run int, sent time.Duration) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	for _, id := range ids {
		f.fleet.floodRequests = append(f.fleet.floodRequests, &Request{ID: id, Dispatcher: f.dispatcher, Run: run,
			Class: ClassNotIdempotent, Function: functionName(0), Wait: floodWait, Sent: sent, ClientLeft: Now()})
	}
}

// floodCall encodes a call of the function that clients call most. extra is appended to its fields.
func floodCall(tag int, class string, id uint64, extra, body string) string {
	fields := fmt.Sprintf("id=%016x,wait=%d,key=%s%s", id, floodWait.Milliseconds(), functionName(0), extra)
	return encodeWords("CALL", strconv.Itoa(tag), class, fields, body)
}

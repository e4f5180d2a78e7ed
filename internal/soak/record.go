package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// WorkerEventKind says what a worker has seen or done.
type WorkerEventKind string

// The kinds of worker events.
const (
	WorkerStarted WorkerEventKind = "started"
	CallArrived   WorkerEventKind = "call"  // a call has arrived whole
	CallRan       WorkerEventKind = "run"   // it begins to run
	LoadArrived   WorkerEventKind = "load"  // a load order has arrived whole
	FramesBroken  WorkerEventKind = "frame" // a frame that cannot be read
)

// WorkerEvent is one line of a worker's record.
type WorkerEvent struct {
	At         time.Duration   `json:"at"`
	Kind       WorkerEventKind `json:"kind"`
	Worker     string          `json:"worker"`
	Dispatcher int             `json:"dispatcher"` // whose address was used
	Call       uint64          `json:"call,omitempty"`
	Class      string          `json:"class,omitempty"`
	Function   string          `json:"function,omitempty"`
	Max        time.Duration   `json:"max,omitempty"`    // the deadline passed on with a call
	Copies     int             `json:"copies,omitempty"` // asked for by a load order; 0: it only asks
}

// readWorkerEvents reads a worker's record. The last line may be cut off: the worker was killed.
func readWorkerEvents(path string) ([]WorkerEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var events []WorkerEvent
	for {
		var e WorkerEvent
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, e)
	}
}

// Request is what a client saw of one request.
type Request struct {
	ID         uint64
	Dispatcher int
	Run        int // of the dispatcher: the number of its process
	Class      string
	Function   string
	Wait       time.Duration
	Sent       time.Duration   // its last byte was written
	Answers    []time.Duration // when answers came
	Words      []string        // ... and their words
	WrongBody  bool            // a served answer that no worker made for this request
	Left       time.Duration   // the client cancelled it or closed its connection; 0: it did not
	ConnEnded  time.Duration   // the dispatcher ended the connection before any answer; 0: it did not
	// OpenAtEnd is how many requests had no answer when the dispatcher ended the connection. EndedUnread says that the
	// dispatcher had not read the last of them.
	OpenAtEnd   int
	EndedUnread bool
}

// served reports whether the first answer was that it is served.
func (r *Request) served() bool { return len(r.Words) > 0 && r.Words[0] == wordOK }

// DispatcherRun is one process of a dispatcher.
type DispatcherRun struct {
	Dispatcher int
	Run        int
	Started    time.Duration
	ListedAt   time.Duration // as of when its configuration has the list of workers; 0: the first list
	Terminated time.Duration // SIGTERM was sent; 0: never
	Killed     time.Duration // SIGKILL was sent; 0: never
	Ended      time.Duration
	Crash      string // how it ended by itself; empty: it did not
	// Descriptors and MemoryMB are the most that the process was seen to use.
	Descriptors int
	MemoryMB    int
	Shortages   int // lines of its log that tell of a want of descriptors
	Stopped     int // lines of its log that tell of a choice which would have broken a rule and was stopped
}

// Evacuation is a call to a dispatcher to send its clients away, and what was seen after it.
type Evacuation struct {
	Dispatcher int
	Run        int
	Called     time.Duration
	Problems   []string // what was seen that must not be
}

// Notification is word to a dispatcher that a worker is in a state.
type Notification struct {
	Dispatcher int
	Run        int
	Worker     string
	State      string
	BootMS     int64
	At         time.Duration // when it counts as told
}

// ListChange is a worker's state in the endpoint list from a time on.
type ListChange struct {
	Worker string
	State  string
	At     time.Duration // 0: in the first list
}

// Freeze is a time in which a worker's process was stopped.
type Freeze struct {
	Worker string
	Begin  time.Duration
	End    time.Duration
}

// History is all that was recorded in a run.
type History struct {
	Rules         Rules
	Workers       []WorkerEvent
	Requests      []*Request
	Dispatchers   []DispatcherRun
	Notifications []Notification
	ListChanges   []ListChange // by time
	Freezes       []Freeze
	Evacuations   []Evacuation
	Outages       []Outage
	Limits        Limits
	KillDelay     time.Duration  // the earliest time from SIGTERM to SIGKILL
	Faults        map[string]int // faults injected, by kind
}
